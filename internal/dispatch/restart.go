package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// resetAfterRestart discards what was learned about a former process of the server.
func (m *Machine) resetAfterRestart(now time.Time, s *server, b backend.Server) {
	if s.Incarnation != 0 {
		s.restartedAt = now
		m.recordLostServer(now, s)
	}
	s.Server = b
	s.draining = false
	s.shedWeight, s.consecutiveSheds, s.pausedUntil = 1, 0, time.Time{}
	s.limitedUntil = time.Time{}
	s.rate.Lift()
	s.rateAsOf = time.Time{}
	s.endPauses()
	if s.state == heldAfterCrash {
		s.state = inRotation
		s.crashHeld = false
		s.outSince = time.Time{}
	}
	s.resetEvidence(now)
	m.beginWarmUp(now, s)
}

// resetEvidence drops all evidence.
func (s *server) resetEvidence(now time.Time) {
	s.samples = s.samples[:0]
	s.unanswered = s.unanswered[:0]
	s.connectionFailures = s.connectionFailures[:0]
	s.latency = distribution{}
	s.underSuspicion = false
	s.avoidedUntil = time.Time{}
	s.crashedAt = time.Time{}
	s.lastResponse = now
}

// beginWarmUp starts the slow start of a server that has just become ready.
func (m *Machine) beginWarmUp(now time.Time, s *server) {
	s.lastResponse = now
	if s.ReadySince.IsZero() || s.WarmUp <= 0 {
		// The announcement already includes the default, so 0 means that the server needs no warm-up.
		return
	}
	s.slowStartFrom = s.ReadySince
	s.slowStartFor = s.WarmUp
}

// beginSlowStart lets the limit rise from one slot to all of them, as after a start.
func (s *server) beginSlowStart(now time.Time) {
	s.slowStartFrom = now
	s.slowStartFor = s.WarmUp
	if s.slowStartFor <= 0 {
		s.slowStartFor = defaultWarmUp
	}
}
