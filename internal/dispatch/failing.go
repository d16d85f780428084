package dispatch

import (
	"math"
	"time"
)

// The code in this file handles the case that at any time several servers reset or fail a large part of
// their requests for some seconds and then recover, and that the minimum healthy capacity does not allow
// all of them to be ejected. Non-idempotent work cannot be retried, so each avoidable failure counts.
const (
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of the failure rate of a server without new outcomes.
	failureHalfLife = 3 * time.Second
	// elevatedFailureRate is the failure rate from which on a server gets non-idempotent work only when no
	// other has room. One failure that is not followed by two successes reaches it.
	elevatedFailureRate = 0.15
	// suspendFailureRate is the failure rate from which on a server is suspended. Two consecutive failures
	// reach it.
	suspendFailureRate = 0.5
	// crashReportSpread is how long the nodes may take to report all connections broken by one crash.
	crashReportSpread = 40 * time.Millisecond
	// deprioritizeFor is how long a failing server that the minimum keeps in rotation is deprioritized,
	// unless it recovers earlier.
	deprioritizeFor = 3 * time.Second
	// suspendFor is the time without work after consecutive failures.
	suspendFor = 3 * time.Second
	// slowStartAfterFailure is the slow start of a server that returns from a suspension or a crash.
	slowStartAfterFailure = time.Second
	// alwaysSkipFailureRate is the failure rate from which on a deprioritized server is skipped however
	// little time a request has left.
	alwaysSkipFailureRate = 0.75
	// maxDeprioritizedWait is how long requests may be queued while deprioritized servers have free slots.
	maxDeprioritizedWait = 250 * time.Millisecond
	// tooManyFailingShare is the share of deprioritized servers from which on they are no longer skipped.
	tooManyFailingShare = 0.75
	// lastResortFactor times the median of its kind is the time left at which a non-idempotent request is
	// sent to a deprioritized server rather than to none.
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

// recordOutcome records whether a request succeeded or failed at the server. A server whose failure rate
// becomes too high is suspended, or deprioritized if the minimum keeps it in rotation.
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
		// Further connections may break at any moment, which would show a crash. Until that is known the
		// server is deprioritized.
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
	for _, f := range s.recentFailures(now) {
		if !f.refused && !f.crashed && !f.at.Before(s.lastRespondedSent) {
			return now.Sub(f.at) < crashReportSpread
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
// that. If not, the server stays in rotation.
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

// hasUnverifiedRequest reports whether a server with an elevated failure rate has taken a request within
// the last resetReportTime, which may still fail at once. Meanwhile the server gets no other request;
// otherwise all requests queued for it would fail together.
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

// shouldSkipDeprioritized reports whether the request should wait for another server instead of this
// deprioritized one: idempotent work while it can meet its target, non-idempotent work while it can be
// served at all.
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
		return now.Before(r.queued.Due.Add(-usual))
	}
	return now.Before(r.Deadline.Add(-time.Duration(lastResortFactor * float64(usual))))
}
