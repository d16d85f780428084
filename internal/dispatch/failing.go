package dispatch

import (
	"math"
	"time"
)

// The code in this file handles the case that at any time several servers reset or fail a large part of
// their requests for some seconds and then recover, and that these are more servers than the minimum
// healthy capacity allows to eject. Non-idempotent work fails for good with the first failure, so each
// avoidable one counts.
const (
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of the failure rate of a server without new outcomes.
	failureHalfLife = 3 * time.Second
	// elevatedFailureRate is the failure rate from which on a server gets non-idempotent work only when no
	// other has room: one failure that is not followed by two successes.
	elevatedFailureRate = 0.15
	// suspendFailureRate is the failure rate from which on a server is suspended: two consecutive failures.
	suspendFailureRate = 0.5
	// crashReportSpread is how long the nodes may take to report all connections broken by one crash.
	crashReportSpread = 40 * time.Millisecond
	// deprioritizeFor is how long a failing server that the minimum keeps in rotation is spared, unless it
	// recovers earlier.
	deprioritizeFor = 3 * time.Second
	// suspendFor is the time without work after consecutive failures.
	suspendFor = 3 * time.Second
	// slowStartAfterFailure is the slow start of a server that returns from a suspension or a crash.
	slowStartAfterFailure = time.Second
	// alwaysSkipFailureRate is the failure rate from which on waiting for another server is the better
	// choice however little time a request has left.
	alwaysSkipFailureRate = 0.75
	// maxDeprioritizedWait is how long requests may be queued while failing servers have free slots.
	maxDeprioritizedWait = 250 * time.Millisecond
	// tooManyFailingShare is the share of failing servers from which on they are no longer spared.
	tooManyFailingShare = 0.75
	// lastResortFactor is how many medians of its kind a non-idempotent request has left when it is sent to
	// a failing server rather than to none.
	lastResortFactor = 1.5
)

// failureRate is a decaying rate of failed requests. The zero value is a rate of 0.
type failureRate struct {
	value float64
	at    time.Time
	// lastFailure is when the latest failure was recorded. Successes of requests sent before it are
	// ignored.
	lastFailure time.Time
	// onset is when the current failures began.
	onset time.Time
	// decayed is the rate as of decayedAt. It is cached because it is read many times at the same moment.
	decayed   float64
	decayedAt time.Time
}

// current returns the rate decayed to now.
func (f *failureRate) current(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	if !f.decayedAt.Equal(now) {
		f.decayed = f.value * math.Exp2(-now.Sub(f.at).Seconds()/failureHalfLife.Seconds())
		f.decayedAt = now
	}
	return f.decayed
}

func (f *failureRate) add(now, sent time.Time, failed bool) {
	if failed {
		f.lastFailure = now
	} else if sent.Before(f.lastFailure) {
		return
	}
	value := f.current(now) * (1 - failureWeight)
	if failed {
		if value < elevatedFailureRate {
			f.onset = now
		}
		value += failureWeight
	}
	f.value, f.at, f.decayedAt = value, now, time.Time{}
}

// recordOutcome records the end of a request that the server responded to or broke off. A server whose
// failure rate becomes too high is suspended, or spared if the minimum keeps it.
func (m *Machine) recordOutcome(now time.Time, r *request, failed bool) {
	s := r.server
	s.failureRate.add(now, r.sent, failed)
	s.path(r.node.centreKey).failureRate.add(now, r.sent, failed)
	rate := s.failureRate.current(now)
	if !failed && rate < suspendFailureRate/2 {
		s.deprioritizedUntil = time.Time{}
	}
	if !failed || s.state != inRotation || rate < suspendFailureRate {
		return
	}
	wasDeprioritized := now.Before(s.deprioritizedUntil)
	s.deprioritizedUntil = now.Add(deprioritizeFor)
	if s.connectionsBreaking(now) {
		// Further connections may break at any moment, which would show a crash. Until then the server is
		// spared.
		return
	}
	if m.failsForOneDataCentre(now, s, r.node) {
		m.blockPath(now, s, r.node.centreKey)
		return
	}
	if !m.suspend(now, s) && !wasDeprioritized {
		m.recordEvent(now, s, eventDeprioritized, "")
	}
}

// connectionsBreaking reports whether connections to the server started to break within the last
// crashReportSpread.
func (s *server) connectionsBreaking(now time.Time) bool {
	for _, b := range s.connectionFailures {
		if !b.refused && !b.crashed && !b.at.Before(s.lastRespondedSent) {
			return now.Sub(b.at) < crashReportSpread
		}
	}
	return false
}

// failsForOneDataCentre reports whether the server fails for the nodes of one data centre while it has
// responded to those of another since these failures began.
func (m *Machine) failsForOneDataCentre(now time.Time, s *server, n *node) bool {
	others := false
	since := s.path(n.centreKey).failureRate.onset
	for _, other := range m.nodes {
		if other.centreKey == n.centreKey {
			continue
		}
		p := s.paths[other.centreKey]
		if p == nil || p.lastResponse.Before(since) {
			continue
		}
		if p.failureRate.current(now) >= elevatedFailureRate {
			return false
		}
		others = true
	}
	return others && s.path(n.centreKey).failureRate.current(now) >= suspendFailureRate
}

// suspend takes a failing server out of rotation for a short time, and reports whether the minimum allowed
// that. If not, the server stays and gets work only when all others are full.
func (m *Machine) suspend(now time.Time, s *server) bool {
	if !m.mayTakeOut(now, s) {
		m.stats.EjectionsDenied++
		return false
	}
	m.takeOut(now, s, ejectedServer)
	m.recordEvent(now, s, eventSuspended, "consecutive failures")
	s.suspended = true
	s.stateUntil = m.firstCanaryAt(now, suspendFor)
	m.stats.Ejections++
	return true
}

// hasUnverifiedRequest reports whether a doubtful server has just taken a request that may still fail at
// once. Until the outcome is known it gets no other request; otherwise all requests queued for it would
// fail together.
func (s *server) hasUnverifiedRequest(now time.Time) bool {
	if now.Sub(s.lastGrant) >= resetReportTime || s.failureRate.current(now) < elevatedFailureRate {
		return false
	}
	for _, r := range s.inflight {
		if now.Sub(r.sent) < resetReportTime {
			return true
		}
	}
	return false
}

// shouldSkipDeprioritized reports whether the request should wait for another server instead of this failing one:
// idempotent work while it can meet its target, non-idempotent work while it can be served at all.
func (m *Machine) shouldSkipDeprioritized(now time.Time, s *server, r *request) bool {
	if !now.Before(s.deprioritizedUntil) || s.state != inRotation || m.tooManyFailing || m.testsIdleServer(now, s, r) {
		return false
	}
	if s.failureRate.current(now) >= alwaysSkipFailureRate {
		return true
	}
	if !m.backlogSince.IsZero() && now.Sub(m.backlogSince) >= maxDeprioritizedWait {
		return false
	}
	usual := m.requiredTime(&r.Request, false)
	if r.Idempotent {
		return now.Before(r.due.Add(-usual))
	}
	return now.Before(r.Deadline.Add(-time.Duration(lastResortFactor * float64(usual))))
}
