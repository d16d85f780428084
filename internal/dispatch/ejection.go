package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

const (
	// probation is the time without work after an ejection.
	probation = 5 * time.Second
	// retestEvery is the pause between a failed canary and the next one. It does not grow: what is known of a
	// server that is out must not be older than the time within which a sound one should get work again.
	retestEvery = 1500 * time.Millisecond
	// canaryFactor is how many times the 90th percentile of its kind a good canary may take.
	canaryFactor = 2
	// repeatWithin is the time within which a further ejection counts as a repeat.
	repeatWithin = 10 * time.Minute
	// limitedFor is how long a server that may not be ejected stays at one slot after the last evidence.
	limitedFor = time.Second
)

// cause of an ejection.
type cause uint8

const (
	causeStall cause = iota + 1
	causeError
	causeSlow
	causeRefused
	causeInherited
)

func (m *Machine) announcedSlots() int {
	total := 0
	for _, s := range m.servers {
		if s.present && !(m.config.MinimumOfStaying && s.leaving()) {
			total += s.Slots
		}
	}
	return total
}

// leaving tells whether the server was taken out on purpose.
func (s *server) leaving() bool {
	return s.draining || s.State >= backend.Draining
}

// forgetLeaving takes the slots of servers that leave on purpose out of the remembered capacity. The
// minimum guards against losses; what operators remove is none.
func (m *Machine) forgetLeaving() {
	if !m.config.MinimumOfStaying {
		return
	}
	for _, s := range m.servers {
		if !s.leaving() || s.deducted {
			continue
		}
		s.deducted = true
		for i := range m.peaks {
			m.peaks[i].slots = max(0, m.peaks[i].slots-s.Slots)
		}
	}
}

// healthyCapacity is the sum of the slots of the servers in rotation.
func (m *Machine) healthyCapacity(now time.Time) int {
	total := 0
	for _, s := range m.servers {
		if s.healthy(now) {
			total += s.Slots
		}
	}
	return total
}

// minimum is the healthy capacity below which nothing is ejected.
func (m *Machine) minimum(now time.Time) int {
	if m.config.MinimumHealthySlots > 0 {
		return m.config.MinimumHealthySlots
	}
	highest := 0
	oldest := now.Unix()/60 - peakMinutes
	for _, p := range m.peaks {
		if p.minute > oldest {
			highest = max(highest, p.slots)
		}
	}
	return (highest*m.config.MinimumHealthyPercent + 99) / 100
}

func (m *Machine) recordPeak(now time.Time) {
	m.forgetLeaving()
	minute := now.Unix() / 60
	p := &m.peaks[minute%peakMinutes]
	if p.minute != minute {
		*p = peak{minute: minute}
	}
	p.slots = max(p.slots, m.announcedSlots())
}

// allowed tells whether taking the server out keeps the minimum.
func (m *Machine) allowed(now time.Time, s *server) bool {
	after := m.healthyCapacity(now)
	if s.healthy(now) {
		after -= s.Slots
	}
	return after >= m.minimum(now)
}

// eject takes a server out of rotation, or limits it to one slot if the minimum forbids that.
func (m *Machine) eject(now time.Time, s *server, why cause) {
	if s.state == ejectedServer {
		return
	}
	if why == causeStall {
		m.advise(s)
	}
	if s.state == inRotation && !m.allowed(now, s) {
		m.limitToOne(now, s)
		return
	}
	m.setProbation(now, s)
	if why == causeInherited {
		// The age of the verdict is not known.
		s.stateUntil = now.Add(retestEvery)
	}
	m.takeOut(now, s, ejectedServer)
	m.stats.Ejections++
	m.note(now, s, eventEjected, causeNames[why])
	s.forget(now)
}

// takeOut changes the condition of a server and asserts the minimum healthy capacity.
func (m *Machine) takeOut(now time.Time, s *server, to condition) {
	wasHealthy := s.healthy(now)
	if s.state == inRotation {
		s.outSince = now
	}
	s.state = to
	if !wasHealthy {
		return
	}
	healthy, minimum := m.healthyCapacity(now), m.minimum(now)
	invariant.Check(healthy >= minimum, "dispatch.minimum-capacity",
		"ejecting %s leaves %d healthy slots of at least %d", s.Instance, healthy, minimum)
}

func (m *Machine) limitToOne(now time.Time, s *server) {
	if !now.Before(s.limitedUntil) {
		m.stats.EjectionsDenied++
		m.note(now, s, eventLimited, "")
	}
	s.limitedUntil = now.Add(limitedFor)
}

func (m *Machine) setProbation(now time.Time, s *server) {
	if s.lastEjected.IsZero() || now.Sub(s.lastEjected) > repeatWithin {
		s.ejections = 0
	}
	s.ejections++
	s.lastEjected = now
	s.stateUntil = m.firstTest(now, probation)
}

// hold takes a server that crashed out of rotation for a short time.
func (m *Machine) hold(now time.Time, s *server) {
	if s.state == inRotation && !m.allowed(now, s) {
		m.limitToOne(now, s)
		return
	}
	s.crashHeld = true
	m.takeOut(now, s, held)
	m.note(now, s, eventHeld, "")
	s.stateUntil = now.Add(holdFor)
}

// advise tells the nodes to retry the idempotent requests that wait at the server.
func (m *Machine) advise(s *server) {
	if m.overload {
		return
	}
	for _, r := range s.inflight {
		if !r.Idempotent || r.firstByte || r.advised {
			continue
		}
		r.advised = true
		m.emit(r.node, Action{Kind: Advised, ID: r.ID})
	}
}

// judgeCanary returns the server to rotation or keeps it out.
func (m *Machine) judgeCanary(now time.Time, r *request, result grant.Result, latency time.Duration) {
	s := r.server
	if !r.canary || s.state != onCanary {
		return
	}
	switch result {
	case grant.OK:
		if latency <= m.canaryLimit(r) {
			m.putBack(now, s, "canary was answered")
			return
		}
		m.failCanary(now, s, "slow: "+latency.String())
	case grant.Error, grant.ConnectFailed, grant.Broken, grant.Timeout:
		m.failCanary(now, s, "ended: "+result.String())
	}
}

// canaryLimit is the longest time to the first byte of a good canary: half of the stall threshold of the
// service, or twice what most requests of the same kind take.
func (m *Machine) canaryLimit(r *request) time.Duration {
	return max(m.threshold()/2, canaryFactor*m.kindOf(r.Kind).slow)
}

// failCanary keeps the server out until its next canary.
func (m *Machine) failCanary(now time.Time, s *server, why string) {
	s.state = ejectedServer
	if s.crashHeld {
		s.state = held
	}
	s.stateUntil = now.Add(retestEvery)
	m.note(now, s, eventCanaryFailed, why)
}

// putBack returns a server to rotation with one slot.
func (m *Machine) putBack(now time.Time, s *server, why string) {
	quick := s.failed || s.crashHeld
	s.state = inRotation
	s.crashHeld = false
	s.forget(now)
	s.grow(now)
	if quick {
		// A server that starts cold announces a new incarnation, and grows by its own warm-up.
		s.growFor = growAfterFailing
	}
	s.failed = false
	m.note(now, s, eventReturned, why)
	s.outSince = time.Time{}
	m.stats.Returns++
}

// enforceMinimum returns the least bad servers when the announced capacity falls.
func (m *Machine) enforceMinimum(now time.Time) {
	minimum := m.minimum(now)
	for m.healthyCapacity(now) < minimum {
		var least *server
		for _, s := range m.servers {
			if s.state == inRotation || !s.usable(now) {
				continue
			}
			if least == nil || s.ejections < least.ejections ||
				s.ejections == least.ejections && s.lastEjected.Before(least.lastEjected) {
				least = s
			}
		}
		if least == nil {
			return
		}
		m.putBack(now, least, "the minimum needs it")
	}
}

// inherit keeps the servers ejected that the former dispatcher had ejected, within the minimum.
func (m *Machine) inherit(now time.Time) {
	for _, s := range m.servers {
		if m.suspected[s.Instance] && s.state == inRotation && m.allowed(now, s) {
			m.eject(now, s, causeInherited)
		}
	}
	clear(m.suspected)
}
