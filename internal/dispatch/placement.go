package dispatch

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	// resetReportTime is the time within which a request that a failing server resets is reported.
	resetReportTime = 12 * time.Millisecond
	// verificationWindow is how long a granted request that has not failed shows that its server works.
	verificationWindow = 100 * time.Millisecond
	// unverifiedPenalty is added to the utilisation of a server that is not recentlyVerified, for
	// non-idempotent work.
	unverifiedPenalty = 0.4
	// maxDeferred bounds how many requests that no free server may serve are skipped in one pass, and
	// maxPausedDeferred how many more are skipped without a look at the servers, since these want no requests from
	// their node.
	maxDeferred       = 16
	maxPausedDeferred = 1024
	// recentSlowFactor is how many times the service's median the recent median of a server may be before
	// the server is suspected and, if it is local, another data centre is preferred.
	recentSlowFactor = 2
	// maxCanaryWait is how long a server waits for an idempotent canary while such work arrives.
	maxCanaryWait = 10 * time.Second
	// idempotentWorkPause is how long no idempotent request must have arrived before other work serves as canary at
	// once. A service whose work is never idempotent would otherwise lose each failed server for maxCanaryWait.
	idempotentWorkPause = time.Second
	// manyWithoutWorkShare is the share of servers without work from which non-idempotent requests test them. With fewer,
	// the others have room, and a failed test costs a request that cannot be retried.
	manyWithoutWorkShare = 0.15
	// minPassedOver and passedOverShare are the number and the share of doubted or avoided servers without work from which
	// idempotent requests test them although others have room. A few servers are better left out.
	minPassedOver   = 5
	passedOverShare = 0.05
	// passedOverFor is how long they are tested from then on, so that the last ones are tested as well.
	passedOverFor = 2 * time.Second
	// maxConfirmations is the number of requests in flight up to which a suspected server gets more for
	// confirmation.
	maxConfirmations = 3
)

// Ranks of servers in the selection; lower is better. A server of rankTest gets the request as a test.
const (
	rankTest = iota
	rankLocal
	rankRemote
	rankLastResort
	rankNone
)

// dispatchQueued grants queued requests while servers have free slots.
func (m *Machine) dispatchQueued(now time.Time) {
	if now.Before(m.started.Add(CollectionPeriod)) || m.queue.Length() == 0 {
		return
	}
	m.pass++
	m.surveyServers(now)
	skipped := 0
	for m.hasRoom(now) && skipped < maxPausedDeferred {
		r := m.queue.Next(&m.cost)
		if r == nil {
			break
		}
		if r.node.pausedInPass == m.pass && len(r.Exclude) == 0 && m.refusalReason(now, r) == "" {
			m.deferRequest(r)
			skipped++
			continue
		}
		if !m.dispatchRequest(now, r) && len(m.deferred)-skipped >= maxDeferred {
			break
		}
	}
	for _, r := range m.deferred {
		m.queue.Push(&r.queued)
	}
	m.deferred = m.deferred[:0]
}

// dispatchRequest grants, refuses, demotes or defers the request, and returns false if it deferred it.
func (m *Machine) dispatchRequest(now time.Time, r *request) bool {
	if kind := m.refusalReason(now, r); kind != "" {
		m.refuseQueued(r, kind)
		return true
	}
	if !r.queued.Late() && r.queued.Due.Sub(now) < m.requiredTime(&r.Request, m.queue.Length() > 1) {
		m.queue.Demote(&r.queued, r.Deadline)
		return true
	}
	s, possible := m.selectServer(now, r)
	if !possible {
		m.refuseUnservable(now, r)
		return true
	}
	if s == nil {
		m.deferRequest(r)
		return false
	}
	m.grantRequest(now, r, s)
	return true
}

// deferRequest takes a request out of the queue until the end of the pass.
func (m *Machine) deferRequest(r *request) {
	m.queue.Remove(&r.queued)
	m.deferred = append(m.deferred, r)
}

// refuseUnservable refuses a request that no server may serve before its deadline. If servers have asked its node to
// pause, the caller is told when the first pause ends.
func (m *Machine) refuseUnservable(now time.Time, r *request) {
	wait := refusalRetryAfter
	if left := m.firstPauseEnd(now, r.node); left > 0 {
		wait = left
	}
	m.queue.Remove(&r.queued)
	m.refuseFor(r.node, r.ID, problem.NoCapacity, wait)
	m.drop(r)
}

// refusalReason repeats the checks whose result may have changed while the request was queued.
func (m *Machine) refusalReason(now time.Time, r *request) problem.Kind {
	switch {
	case r.Deadline.Sub(now) < m.requiredTime(&r.Request, m.queue.Length() > 1):
		return problem.DeadlineUnmeetable
	case m.crashes.poisoned(now, r.Fingerprint):
		return problem.PoisonRequest
	case r.Purpose != grant.First && !m.retries.Allows(now):
		return problem.NoCapacity
	default:
		return ""
	}
}

// surveyServers inspects all servers once for all requests that are dispatched in one pass. At a large
// service, inspecting them for each request would take too much processor time.
func (m *Machine) surveyServers(now time.Time) {
	m.candidates, m.openServers = m.candidates[:0], m.openServers[:0]
	healthy, failing, withoutWork, passedOver := 0, 0, 0, 0
	for _, s := range m.servers {
		if !s.usable(now) {
			continue
		}
		m.candidates = append(m.candidates, s)
		if s.state != inRotation || s.longIdle(now) {
			withoutWork++
		}
		if s.state == inRotation && s.longIdle(now) && (s.doubted(now) || now.Before(s.avoidedUntil)) {
			passedOver++
		}
		if s.state == inRotation {
			healthy++
			if now.Before(s.deprioritizedUntil) {
				failing++
			}
		}
		if s.openLimit = s.limit(now); s.hasRoom(now) {
			m.openServers = append(m.openServers, s)
		}
	}
	m.manyWithoutWork = float64(withoutWork) >= manyWithoutWorkShare*float64(len(m.candidates))
	if passedOver >= minPassedOver && float64(passedOver) >= passedOverShare*float64(len(m.candidates)) {
		m.passedOverUntil = now.Add(passedOverFor)
	}
	// Skipping the deprioritized servers would leave too few.
	m.tooManyFailing = float64(failing) >= tooManyFailingShare*float64(healthy)
}

// hasRoom reports whether a server may get another request now.
func (m *Machine) hasRoom(now time.Time) bool {
	return slices.ContainsFunc(m.openServers, func(s *server) bool { return s.hasRoom(now) })
}

func (m *Machine) grantRequest(now time.Time, r *request, s *server) {
	invariant.Check(r.state == stateQueued, "dispatch.grant-once", "node %s request %d is granted twice", r.node.id, r.ID)
	m.queue.RemoveGranted(&r.queued)
	extra := r.Purpose != grant.First
	m.retries.Spend(now, extra)
	m.queue.ChargeSlotTime(r.Priority, m.cost[r.Priority], &m.config.Shares)
	r.state = stateGranted
	r.sent = now
	r.canary = s.state == onCanary
	m.canaries.recordGrant(r.canary || m.testsIdleServer(now, s, r))
	s.attach(r)
	s.rate.Spend(now)
	if now.Sub(s.lastGrant) >= resetReportTime {
		s.previousGrant = s.lastGrant
	}
	s.lastGrant = now
	invariant.Check(len(s.inflight) <= s.hardLimit(), "dispatch.slot-limit",
		"server %s has %d requests in flight with %d slots and %d connections", s.Instance, len(s.inflight), s.Slots, s.Connections)
	m.stats.Granted++
	r.actionNumber = r.node.emitted + 1
	switch r.Purpose {
	case grant.Retry:
		m.stats.Retries++
	case grant.Hedge:
		m.stats.Hedges++
	}
	m.emit(r.node, Action{
		Kind: Granted, ID: r.ID,
		Instance: s.Instance, Address: s.Address, DataCentre: s.DataCentre,
	})
}

// selectServer selects a server with a free slot. best is nil if all servers that may serve the request are
// full; possible is false if no server may serve it at all. Bad paths are used only by requests that have
// no other path.
func (m *Machine) selectServer(now time.Time, r *request) (best *server, possible bool) {
	best, possible = m.selectReachable(now, r, false)
	if !possible {
		best, possible = m.selectReachable(now, r, true)
	}
	return best, possible
}

func (m *Machine) selectReachable(now time.Time, r *request, badPaths bool) (best *server, possible bool) {
	reachable := func(s *server) bool {
		return s.pathBlocked(now, r.node) == badPaths && !slices.Contains(r.Exclude, s.Instance)
	}
	latestStart := m.latestStart(&r.Request)
	servableInTime := func(s *server) bool { return reachable(s) && s.pauseEnd(now, r.node).Before(latestStart) }
	if !slices.ContainsFunc(m.candidates, servableInTime) {
		return nil, false
	}
	bestRank, bestUtilisation := rankNone, 0.0
	allPaused := true
	for _, s := range m.openServers {
		if !s.hasRoom(now) || !s.wantsRequestsOf(now, r.node) {
			continue
		}
		allPaused = false
		if !reachable(s) || !m.acceptsRequest(now, s, r) || m.shouldAvoid(now, s, r) || s.hasUnverifiedRequest(now) || m.shouldSkipDeprioritized(now, s, r) {
			continue
		}
		rank := m.placementRank(now, s, r)
		utilisation := float64(len(s.inflight)+1) / float64(s.openLimit)
		if !r.Idempotent && rank <= rankRemote && !s.recentlyVerified(now) {
			// If the server has begun to fail, an idempotent request should find out first.
			utilisation += unverifiedPenalty
		}
		if best == nil || rank < bestRank || rank == bestRank && (utilisation < bestUtilisation || utilisation == bestUtilisation && s.preferredTo(best)) {
			best, bestRank, bestUtilisation = s, rank, utilisation
		}
	}
	if allPaused {
		r.node.pausedInPass = m.pass
	}
	return best, true
}

// preferredTo reports whether the server, and not another equally utilised one, gets the next request: the
// one that announces the lower load, or else the one whose latest grant is older, so that none is without
// work for long.
func (s *server) preferredTo(other *server) bool {
	if s.Load != other.Load {
		return s.Load < other.Load
	}
	return s.lastGrant.Before(other.lastGrant)
}

// recentlyVerified reports whether the server took a request within verificationWindow and its failure rate
// is low. The request counts once it is resetReportTime old, since a server that resets its requests does
// so within milliseconds.
func (s *server) recentlyVerified(now time.Time) bool {
	since := now.Sub(s.lastGrant)
	if since < resetReportTime {
		since = now.Sub(s.previousGrant)
	}
	return since >= resetReportTime && since <= verificationWindow && s.failureRate.current(now) < elevatedFailureRate
}

// pathBlocked reports whether the node's path to the server is blocked.
func (s *server) pathBlocked(now time.Time, n *node) bool {
	if !now.Before(s.pathsBlockedUntil) {
		return false
	}
	if p := s.paths[n.nodeKey]; p != nil && now.Before(p.blockedUntil) {
		return true
	}
	p := s.paths[n.centreKey]
	return p != nil && now.Before(p.blockedUntil)
}

// acceptsRequest reports whether the request suits the server's state. A canary must be idempotent, unless the service
// gets no such work or the server has waited for maxCanaryWait, and a first attempt, so that no canary counts against the retry
// budget. Two requests that were on crashed servers never share a server, so that the next crash shows
// which of them causes it.
func (m *Machine) acceptsRequest(now time.Time, s *server, r *request) bool {
	if s.state == onCanary {
		if !m.canaries.allows(now) {
			return false
		}
		safe := m.maySpendOnTest(now, r) || now.Sub(s.stateUntil) >= maxCanaryWait
		if !safe || r.Purpose != grant.First || r.crashSuspect {
			return false
		}
	}
	return !r.crashSuspect || s.crashSuspectsInFlight == 0
}

func (m *Machine) placementRank(now time.Time, s *server, r *request) int {
	if s.state == onCanary {
		return rankTest
	}
	if now.Before(s.deprioritizedUntil) {
		if m.testsIdleServer(now, s, r) {
			return rankTest
		}
		return rankLastResort
	}
	if s.doubted(now) {
		if m.wantsConfirmation(now, s, r) || m.testsIdleServer(now, s, r) {
			return rankTest
		}
		return rankLastResort
	}
	if m.isAvoided(now, s) && !m.endsAvoidance(now, s, r) {
		return rankLastResort
	}
	if (s.DataCentre == r.node.dataCentre || s.longIdle(now)) && !s.recentlySlow(now, m.latencies.p50) {
		return rankLocal
	}
	return rankRemote
}

// longIdle reports whether the server has been without work for so long that it should get some, even from
// another data centre.
func (s *server) longIdle(now time.Time) bool {
	return len(s.inflight) == 0 && now.Sub(s.idleSince()) >= maxIdleTime
}

// wantsConfirmation reports whether a suspected server should get the request, so that the suspicion is
// confirmed or cleared soon even at low load. The evidence must come from several nodes. A server that may
// not be ejected gets no requests for this purpose.
func (m *Machine) wantsConfirmation(now time.Time, s *server, r *request) bool {
	if !r.Idempotent || r.Purpose != grant.First || s.hasRequestOf(r.node) || now.Before(s.limitedUntil) {
		return false
	}
	if m.isAvoided(now, s) && !s.hanging && !m.endsAvoidance(now, s, r) {
		// The server responds again, and its former delays need no confirmation by more work.
		return false
	}
	return len(s.inflight) < maxConfirmations
}

// hasRequestOf reports whether a request of the node is in flight at the server.
func (s *server) hasRequestOf(n *node) bool {
	for _, r := range s.inflight {
		if r.node == n {
			return true
		}
	}
	return false
}

// recentlySlow reports whether recent responses of the server took much longer than the service's median.
// Responses older than the sample window do not count, so that a server without work gets some again.
func (s *server) recentlySlow(now time.Time, p50 time.Duration) bool {
	if p50 == 0 || len(s.samples) < minSlowSamples || now.Sub(s.samples[len(s.samples)-1].at) > sampleWindow {
		return false
	}
	var recent [minSlowSamples]time.Duration
	for i := range recent {
		recent[i] = s.samples[len(s.samples)-1-i].latency
	}
	return median(recent[:]) > recentSlowFactor*p50
}
