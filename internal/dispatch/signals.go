package dispatch

import (
	"strconv"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// Signals applies what the server of a granted request said about itself in the head of a response that has not ended.
func (m *Machine) Signals(now time.Time, id string, request uint64, signals grant.ServerSignals) {
	n := m.nodes[id]
	if n == nil {
		return
	}
	if r := n.requests[request]; r != nil && r.state == stateGranted && !r.sentToFormerProcess() {
		m.applySignals(now, now, r.server, n, signals)
	}
}

// observeSignals applies what the server of a request said about itself in the head of its response, which may have
// arrived long before the response ended.
func (m *Machine) observeSignals(now time.Time, r *request, c *grant.Completion) {
	if c.HasHead() && !r.sentToFormerProcess() {
		m.applySignals(now, now.Add(-c.HeadAge()), r.server, r.node, c.ServerSignals)
	}
}

// ReportSignals applies what a process of a server, or any one if the incarnation is 0, said about itself to a node,
// which reports it to a new dispatcher. The last response of the server arrived at the given time.
func (m *Machine) ReportSignals(now, arrived time.Time, id, instance string, incarnation uint64, signals grant.ServerSignals) {
	s, n := m.byName[instance], m.nodes[id]
	if s == nil || n == nil || incarnation != 0 && incarnation != s.Incarnation {
		return
	}
	m.applySignals(now, arrived, s, n, signals)
}

// applySignals applies what a server said about itself in the head of a response that arrived at the given time.
func (m *Machine) applySignals(now, arrived time.Time, s *server, n *node, signals grant.ServerSignals) {
	if signals.Draining {
		s.draining = true
	}
	if signals.Pause > 0 {
		s.pauseFor(n, arrived.Add(signals.Pause))
	}
	if arrived.Before(s.rateAsOf) {
		return
	}
	s.rateAsOf = arrived
	limited := s.rate.Limited()
	switch {
	case signals.RateLimited:
		if !limited {
			m.recordEvent(now, s, eventRateLimited, strconv.FormatFloat(signals.Rate, 'g', 3, 64)+" requests/s")
		}
		s.rate.Set(now, max(signals.Rate, MinRate), 1)
	case limited:
		s.rate.Lift()
		m.recordEvent(now, s, eventRateLifted, "")
	}
}

// pauseFor records until when the server wants no requests from the node, unless it asked for a longer pause.
func (s *server) pauseFor(n *node, until time.Time) {
	if p := s.path(n.nodeKey); until.After(p.pausedUntil) {
		p.pausedUntil = until
	}
	if until.After(s.pausesUntil) {
		s.pausesUntil = until
	}
}

// endPauses ends the pauses for all nodes.
func (s *server) endPauses() {
	s.pausesUntil = time.Time{}
	for _, p := range s.paths {
		p.pausedUntil = time.Time{}
	}
}

// pauseEnd returns until when the server wants no requests from the node; it is not after now if it takes them.
func (s *server) pauseEnd(now time.Time, n *node) time.Time {
	if !now.Before(s.pausesUntil) {
		return now
	}
	if p := s.paths[n.nodeKey]; p != nil {
		return p.pausedUntil
	}
	return now
}

// wantsRequestsOf reports whether the server has not asked the node to pause.
func (s *server) wantsRequestsOf(now time.Time, n *node) bool {
	return !now.Before(s.pauseEnd(now, n))
}

// rateWait returns how long it takes until the rate of a usable server allows a request; 0 if one does now, or if there
// is no usable server.
func (m *Machine) rateWait(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, s := range m.servers {
		if !s.usable(now) {
			continue
		}
		wait := s.rate.Wait(now)
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// firstPauseEnd returns how long it takes until the first usable server that wants no requests from the node takes
// them again; 0 if there is none.
func (m *Machine) firstPauseEnd(now time.Time, n *node) time.Duration {
	first := time.Duration(0)
	for _, s := range m.candidates {
		if left := s.pauseEnd(now, n).Sub(now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}
