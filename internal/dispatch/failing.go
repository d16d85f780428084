package dispatch

import (
	"math"
	"time"
)

// The pattern that this file answers: at any time several servers reset or fail a large part of their
// requests for some seconds and then work again, more of them at once than the minimum healthy capacity
// allows to eject. Work that must not repeat is lost with the first failure, so each further one counts.
const (
	// failureWeight is the weight of the newest outcome in the share of failures.
	failureWeight = 0.3
	// failureHalfLife halves the share of a server that gets no work.
	failureHalfLife = 3 * time.Second
	// doubtfulShare is the share from which on a server gets work that must not repeat only when no
	// other has room: one failure that is not followed by two successes.
	doubtfulShare = 0.15
	// failingShare is the share from which on a server is suspended: two failures in a row.
	failingShare = 0.5
	// breaksTogether is how long the nodes may take to report the breaks of one crash.
	breaksTogether = 40 * time.Millisecond
	// sparedFor is how long a failing server that the minimum keeps is spared, unless it recovers before.
	sparedFor = 3 * time.Second
	// suspendFor is the time without work after failures in a row.
	suspendFor = 3 * time.Second
	// growAfterFailing is how soon a server that was suspended for failures has all its slots again.
	growAfterFailing = time.Second
	// hopelessShare is the share from which on a request is better off waiting to its end.
	hopelessShare = 0.75
	// sparedBacklog is how long requests may wait while failing servers have free slots.
	sparedBacklog = 250 * time.Millisecond
	// mostlyFailing is the share of failing servers from which on work goes to them all the same.
	mostlyFailing = 0.75
	// tryAnyway is how many usual times of its kind a request that must not repeat has left when it is
	// sent to a failing server rather than to none.
	tryAnyway = 1.5
)

// failures is the recent share of failed requests. The zero value has none.
type failures struct {
	value float64
	at    time.Time
	// failedAt is when the latest failure was noted. Later answers to what was sent before say nothing.
	failedAt time.Time
	// since is when the present failures began.
	since time.Time
	// faded is the share as of fadedAt. It is asked for many times at one moment.
	faded   float64
	fadedAt time.Time
}

// share returns the share as it has faded by now.
func (f *failures) share(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	if !f.fadedAt.Equal(now) {
		f.faded = f.value * math.Exp2(-now.Sub(f.at).Seconds()/failureHalfLife.Seconds())
		f.fadedAt = now
	}
	return f.faded
}

func (f *failures) add(now, sent time.Time, failed bool) {
	if failed {
		f.failedAt = now
	} else if sent.Before(f.failedAt) {
		return
	}
	value := f.share(now) * (1 - failureWeight)
	if failed {
		if value < doubtfulShare {
			f.since = now
		}
		value += failureWeight
	}
	f.value, f.at, f.fadedAt = value, now, time.Time{}
}

// noteOutcome counts the end of a request that the server answered or broke off.
func (m *Machine) noteOutcome(now time.Time, r *request, failed bool) {
	s := r.server
	s.failing.add(now, r.sent, failed)
	s.path(r.node.centreKey).failing.add(now, r.sent, failed)
	share := s.failing.share(now)
	if !failed && share < failingShare/2 {
		s.failingUntil = time.Time{}
	}
	if !failed || s.state != inRotation || share < failingShare {
		return
	}
	spared := now.Before(s.failingUntil)
	s.failingUntil = now.Add(sparedFor)
	if s.breaking(now) {
		// More may break at any moment, which would show a crash. The server is spared meanwhile.
		return
	}
	if m.onlyCentreFails(now, s, r.node) {
		m.blockPath(now, s, r.node.centreKey)
		return
	}
	if !m.suspend(now, s) && !spared {
		m.note(now, s, eventSpared, "")
	}
}

// breaking tells whether connections to the server have begun to break a moment ago.
func (s *server) breaking(now time.Time) bool {
	for _, b := range s.breaks {
		if !b.refused && !b.crashed && !b.at.Before(s.answeredSent) {
			return now.Sub(b.at) < breaksTogether
		}
	}
	return false
}

// onlyCentreFails tells whether the server fails for the nodes of one data centre while it has answered
// those of another since.
func (m *Machine) onlyCentreFails(now time.Time, s *server, n *node) bool {
	others := false
	since := s.path(n.centreKey).failing.since
	for _, other := range m.nodes {
		if other.centreKey == n.centreKey {
			continue
		}
		p := s.paths[other.centreKey]
		if p == nil || p.lastAnswer.Before(since) {
			continue
		}
		if p.failing.share(now) >= doubtfulShare {
			return false
		}
		others = true
	}
	return others && s.path(n.centreKey).failing.share(now) >= failingShare
}

// suspend takes a failing server out for a short time, and tells whether the minimum allowed that. If not,
// the server stays, and gets work only when all others are full.
func (m *Machine) suspend(now time.Time, s *server) bool {
	if !m.allowed(now, s) {
		m.stats.EjectionsDenied++
		return false
	}
	m.takeOut(now, s, ejectedServer)
	m.note(now, s, eventSuspended, "failures in a row")
	s.failed = true
	s.stateUntil = m.firstTest(now, suspendFor)
	m.stats.Ejections++
	return true
}

// testing tells whether a doubtful server has just taken a request that may still fail at once. Until that
// is known it gets no other, or a queue that waited for it would be lost together.
func (s *server) testing(now time.Time) bool {
	if now.Sub(s.lastGrant) >= survivedAfter || s.failing.share(now) < doubtfulShare {
		return false
	}
	for _, r := range s.inflight {
		if now.Sub(r.sent) < survivedAfter {
			return true
		}
	}
	return false
}

// spares tells whether the request should wait for another server than this failing one: what may
// repeat while it can meet its target, other work while it can be done at all.
func (m *Machine) spares(now time.Time, s *server, r *request) bool {
	if !now.Before(s.failingUntil) || s.state != inRotation || m.mostFail || m.tests(now, s, r) {
		return false
	}
	if s.failing.share(now) >= hopelessShare {
		return true
	}
	if !m.backlogAt.IsZero() && now.Sub(m.backlogAt) >= sparedBacklog {
		return false
	}
	usual := m.needs(&r.Request, false)
	if r.Idempotent {
		return now.Before(r.due.Add(-usual))
	}
	return now.Before(r.Deadline.Add(-time.Duration(tryAnyway * float64(usual))))
}
