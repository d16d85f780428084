package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

const (
	// probationTime is the time without work after an ejection.
	probationTime = 5 * time.Second
	// canaryRetryInterval is the delay between a failed canary and the next one. It does not grow: what is
	// known of a server out of rotation must not be older than the time within which a healthy one should
	// get work again.
	canaryRetryInterval = 1500 * time.Millisecond
	// canaryLatencyFactor is how many times the 90th percentile of its kind a successful canary may take.
	canaryLatencyFactor = 2
	// repeatWindow is the time within which a further ejection or path block counts as a repeat.
	repeatWindow = 10 * time.Minute
	// limitedFor is how long a server that may not be ejected stays limited to one slot after the last
	// evidence.
	limitedFor = time.Second
)

// cause is the reason for an ejection.
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
		if s.listed && !(m.config.MinimumOfStaying && s.leaving()) {
			total += s.Slots
		}
	}
	return total
}

// leaving reports whether the server is being removed on purpose.
func (s *server) leaving() bool {
	return s.draining || s.State >= backend.Draining
}

// deductLeaving subtracts the slots of servers that leave on purpose from the remembered capacity. The
// minimum protects against losses of capacity, which a removal by operators is not.
func (m *Machine) deductLeaving() {
	if !m.config.MinimumOfStaying {
		return
	}
	for _, s := range m.servers {
		if !s.leaving() || s.deductedFromPeaks {
			continue
		}
		s.deductedFromPeaks = true
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

// minimum is the healthy capacity below which no server is taken out of rotation.
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
	m.deductLeaving()
	minute := now.Unix() / 60
	p := &m.peaks[minute%peakMinutes]
	if p.minute != minute {
		*p = peak{minute: minute}
	}
	p.slots = max(p.slots, m.announcedSlots())
}

// mayTakeOut reports whether the minimum still holds when the server is taken out of rotation.
func (m *Machine) mayTakeOut(now time.Time, s *server) bool {
	after := m.healthyCapacity(now)
	if s.healthy(now) {
		after -= s.Slots
	}
	return after >= m.minimum(now)
}

// eject takes a server out of rotation, or limits it to one slot if the minimum forbids that.
func (m *Machine) eject(now time.Time, s *server, reason cause) {
	if s.state == ejectedServer {
		return
	}
	if reason == causeStall {
		m.adviseRetries(s)
	}
	if s.state == inRotation && !m.mayTakeOut(now, s) {
		m.limitToOneSlot(now, s)
		return
	}
	m.setProbation(now, s)
	if reason == causeInherited {
		// The age of the former dispatcher's assessment is unknown. If dispatchers change often, a wait would
		// begin again with each of them, so the first canary is due at once.
		s.stateUntil = now
	}
	m.takeOut(now, s, ejectedServer)
	m.stats.Ejections++
	m.recordEvent(now, s, eventEjected, causeNames[reason])
	s.resetEvidence(now)
}

// takeOut changes the state of a server and checks the invariant on the minimum healthy capacity.
func (m *Machine) takeOut(now time.Time, s *server, to rotationState) {
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

func (m *Machine) limitToOneSlot(now time.Time, s *server) {
	if !now.Before(s.limitedUntil) {
		m.stats.EjectionsDenied++
		m.recordEvent(now, s, eventLimited, "")
	}
	s.limitedUntil = now.Add(limitedFor)
}

func (m *Machine) setProbation(now time.Time, s *server) {
	if s.lastEjected.IsZero() || now.Sub(s.lastEjected) > repeatWindow {
		s.ejections = 0
	}
	s.ejections++
	s.lastEjected = now
	s.stateUntil = m.firstCanaryAt(now, probationTime)
}

// holdAfterCrash takes a server that crashed out of rotation for a short time, or limits it to one slot if
// the minimum forbids that.
func (m *Machine) holdAfterCrash(now time.Time, s *server) {
	if s.state == inRotation && !m.mayTakeOut(now, s) {
		m.limitToOneSlot(now, s)
		return
	}
	s.crashHeld = true
	m.takeOut(now, s, heldAfterCrash)
	m.recordEvent(now, s, eventHeld, "")
	s.stateUntil = now.Add(crashHoldTime)
}

// adviseRetries tells the nodes to retry the idempotent requests that wait for a response of the server. If
// requests are queued, these need the slots more.
func (m *Machine) adviseRetries(s *server) {
	if m.overload && m.queue.Length() > 0 {
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

// evaluateCanary returns the server to rotation after a successful canary and keeps it out after a failed
// one.
func (m *Machine) evaluateCanary(now time.Time, r *request, result grant.Result, latency time.Duration) {
	s := r.server
	if !r.canary || s.state != onCanary {
		return
	}
	switch result {
	case grant.OK:
		if latency <= m.canaryLatencyLimit(r) {
			m.returnToRotation(now, s, "canary succeeded")
			return
		}
		m.failCanary(now, s, "slow: "+latency.String())
	case grant.Error, grant.ConnectFailed, grant.Broken, grant.Timeout:
		m.failCanary(now, s, "ended: "+result.String())
	}
}

// canaryLatencyLimit is the longest time to the first byte of a successful canary: half of the stall
// threshold of the service, or canaryLatencyFactor times the 90th percentile of its kind if that is longer.
func (m *Machine) canaryLatencyLimit(r *request) time.Duration {
	return max(m.stallThreshold()/2, canaryLatencyFactor*m.workKindOf(r.Kind).p90)
}

// failCanary keeps the server out of rotation until its next canary.
func (m *Machine) failCanary(now time.Time, s *server, reason string) {
	s.state = ejectedServer
	if s.crashHeld {
		s.state = heldAfterCrash
	}
	s.stateUntil = now.Add(canaryRetryInterval)
	m.recordEvent(now, s, eventCanaryFailed, reason)
}

// returnToRotation returns a server to rotation with a slow start from one slot.
func (m *Machine) returnToRotation(now time.Time, s *server, reason string) {
	shortSlowStart := s.suspended || s.crashHeld
	s.state = inRotation
	s.crashHeld = false
	s.resetEvidence(now)
	s.beginSlowStart(now)
	if shortSlowStart {
		// The short slow start suffices: a server that starts cold announces a new incarnation and its own
		// warm-up.
		s.slowStartFor = slowStartAfterFailure
	}
	s.suspended = false
	m.recordEvent(now, s, eventReturned, reason)
	s.outSince = time.Time{}
	m.stats.Returns++
}

// enforceMinimum returns servers to rotation while the healthy capacity is below the minimum, those with
// the fewest ejections first.
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
		m.returnToRotation(now, least, "required by the minimum")
	}
}

// inheritEjections keeps those servers ejected that the former dispatcher had ejected, as far as the
// minimum allows.
func (m *Machine) inheritEjections(now time.Time) {
	for _, s := range m.servers {
		if m.inheritedEjections[s.Instance] && s.state == inRotation && m.mayTakeOut(now, s) {
			m.eject(now, s, causeInherited)
		}
	}
	clear(m.inheritedEjections)
}
