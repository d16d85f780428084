package dispatch

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	// survivedAfter is how soon a request that a failing server resets is reported.
	survivedAfter = 12 * time.Millisecond
	// provenFor is how long a request in flight shows that its server works.
	provenFor = 100 * time.Millisecond
	// unprovenUse is what an unproven server counts as fuller for work that must not repeat.
	unprovenUse = 0.4
	// deferLimit bounds how many requests that no free server may serve are passed over at a time.
	deferLimit = 16
	// slowerFactor is how much slower a local server may be before another data centre is preferred.
	slowerFactor = 2
	// canaryPatience is how long a server waits for an idempotent canary. A service whose work is
	// never idempotent would otherwise lose the server for good.
	canaryPatience = 10 * time.Second
	// confirmations is up to how many requests in flight a doubted server gets more.
	confirmations = 3
)

// Ranks of servers in placement; lower is better.
const (
	rankConfirm = iota
	rankLocal
	rankRemote
	rankDoubted
	rankNone
)

// pump grants queued requests while servers have free slots.
func (m *Machine) pump(now time.Time) {
	if now.Before(m.started.Add(CollectionPeriod)) || m.queue.length() == 0 {
		return
	}
	m.survey(now)
	for m.hasFreeSlot() {
		r := m.queue.next(&m.cost)
		if r == nil {
			break
		}
		if !m.dispatch(now, r) && len(m.deferred) >= deferLimit {
			break
		}
	}
	for _, r := range m.deferred {
		m.queue.push(r)
	}
	m.deferred = m.deferred[:0]
}

// dispatch grants, refuses, demotes or defers the request, and returns false if it deferred it.
func (m *Machine) dispatch(now time.Time, r *request) bool {
	if kind := m.refusal(now, r); kind != "" {
		m.refuseQueued(r, kind)
		return true
	}
	if !r.late && r.due.Sub(now) < m.needs(&r.Request, m.queue.length() > 1) {
		m.queue.demote(r)
		return true
	}
	s, possible := m.place(now, r)
	if !possible {
		m.refuseQueued(r, problem.NoCapacity)
		return true
	}
	if s == nil {
		m.queue.remove(r)
		m.deferred = append(m.deferred, r)
		return false
	}
	m.grant(now, r, s)
	return true
}

// refusal checks once more what may have changed while the request waited.
func (m *Machine) refusal(now time.Time, r *request) problem.Kind {
	switch {
	case r.Deadline.Sub(now) < m.needs(&r.Request, m.queue.length() > 1):
		return problem.DeadlineUnmeetable
	case m.crashes.poisoned(now, r.Fingerprint):
		return problem.PoisonRequest
	case r.Purpose != grant.First && !m.retries.Allows(now):
		return problem.NoCapacity
	default:
		return ""
	}
}

// survey looks at all servers once for the requests that are placed at one moment. Looking at all of them
// for each request costs more processor time than the requests of a large service leave.
func (m *Machine) survey(now time.Time) {
	m.candidates, m.open = m.candidates[:0], m.open[:0]
	healthy, failing := 0, 0
	for _, s := range m.servers {
		if !s.usable(now) {
			continue
		}
		m.candidates = append(m.candidates, s)
		if s.state == inRotation {
			healthy++
			if now.Before(s.failingUntil) {
				failing++
			}
		}
		if s.openLimit = s.limit(now); len(s.inflight) < s.openLimit {
			m.open = append(m.open, s)
		}
	}
	// Avoiding the failing servers would leave too few.
	m.mostFail = float64(failing) >= mostlyFailing*float64(healthy)
}

func (m *Machine) hasFreeSlot() bool {
	return slices.ContainsFunc(m.open, func(s *server) bool { return len(s.inflight) < s.openLimit })
}

func (m *Machine) grant(now time.Time, r *request, s *server) {
	invariant.Check(r.state == stateQueued, "dispatch.grant-once", "node %s request %d is granted twice", r.node.id, r.ID)
	m.queue.take(r)
	extra := r.Purpose != grant.First
	m.retries.Spend(now, extra)
	m.queue.served(r.Priority, m.cost[r.Priority], &m.config.Shares)
	r.state = stateGranted
	r.sent = now
	r.canary = s.state == onCanary
	m.canaries.count(r.canary || m.tests(now, s, r))
	s.attach(r)
	if now.Sub(s.lastGrant) >= survivedAfter {
		s.grantBefore = s.lastGrant
	}
	s.lastGrant = now
	invariant.Check(len(s.inflight) <= s.hardLimit(), "dispatch.slot-limit",
		"server %s has %d requests in flight with %d slots and %d connections", s.Instance, len(s.inflight), s.Slots, s.Connections)
	m.stats.Granted++
	r.number = r.node.emitted + 1
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

// place chooses a server with a free slot; nil if all that may serve the request are full.
// possible is false if no server may serve it at all. Bad paths are used only by requests that
// have no other.
func (m *Machine) place(now time.Time, r *request) (best *server, possible bool) {
	best, possible = m.placeOn(now, r, false)
	if !possible {
		best, possible = m.placeOn(now, r, true)
	}
	return best, possible
}

func (m *Machine) placeOn(now time.Time, r *request, badPaths bool) (best *server, possible bool) {
	reachable := func(s *server) bool {
		return s.blocked(now, r.node) == badPaths && !slices.Contains(r.Exclude, s.Instance)
	}
	if !slices.ContainsFunc(m.candidates, reachable) {
		return nil, false
	}
	bestRank, bestUse := rankNone, 0.0
	for _, s := range m.open {
		if len(s.inflight) >= s.openLimit || !reachable(s) || !m.accepts(now, s, r) || m.withholds(now, s, r) || s.testing(now) || m.spares(now, s, r) {
			continue
		}
		rank := m.rank(now, s, r)
		use := float64(len(s.inflight)+1) / float64(s.openLimit)
		if !r.Idempotent && rank <= rankRemote && !s.proven(now) {
			// A server that begins to fail is found by work that may repeat.
			use += unprovenUse
		}
		if best == nil || rank < bestRank || rank == bestRank && (use < bestUse || use == bestUse && s.before(best)) {
			best, bestRank, bestUse = s, rank, use
		}
	}
	return best, true
}

// before tells which of two equally used servers gets the next request: the less loaded by its own word,
// then the one that has waited longest, so that none goes without work for long.
func (s *server) before(other *server) bool {
	if s.Load != other.Load {
		return s.Load < other.Load
	}
	return s.lastGrant.Before(other.lastGrant)
}

// proven tells whether the server took a request a moment ago and has not failed it since. A server that
// resets its requests does so within milliseconds.
func (s *server) proven(now time.Time) bool {
	since := now.Sub(s.lastGrant)
	if since < survivedAfter {
		since = now.Sub(s.grantBefore)
	}
	return since >= survivedAfter && since <= provenFor && s.failing.share(now) < doubtfulShare
}

// blocked tells whether the node's path to the server is bad.
func (s *server) blocked(now time.Time, n *node) bool {
	if !now.Before(s.pathsBlockedUntil) {
		return false
	}
	if p := s.paths[n.nodeKey]; p != nil && now.Before(p.blockedUntil) {
		return true
	}
	p := s.paths[n.centreKey]
	return p != nil && now.Before(p.blockedUntil)
}

// accepts tells whether the request suits the server's condition: a canary must be idempotent,
// unless no such request came for canaryPatience, and paid by no retry budget, and two requests that were on crashed servers never share one, so
// that the next crash tells which of them causes it.
func (m *Machine) accepts(now time.Time, s *server, r *request) bool {
	if s.state == onCanary {
		if !m.canaries.allows(now) {
			return false
		}
		safe := r.Idempotent || now.Sub(s.stateUntil) >= canaryPatience
		if !safe || r.Purpose != grant.First || r.crashSuspect {
			return false
		}
	}
	return !r.crashSuspect || s.suspects == 0
}

func (m *Machine) rank(now time.Time, s *server, r *request) int {
	if s.state == onCanary {
		return rankConfirm
	}
	if now.Before(s.failingUntil) {
		if m.tests(now, s, r) {
			return rankConfirm
		}
		return rankDoubted
	}
	if s.doubted || s.failing.share(now) >= doubtfulShare {
		if m.wantsConfirmation(now, s, r) {
			return rankConfirm
		}
		return rankDoubted
	}
	if m.avoids(now, s) {
		return rankDoubted
	}
	if (s.DataCentre == r.node.dataCentre || s.forgotten(now)) && !s.slower(now, m.latencies.p50) {
		return rankLocal
	}
	return rankRemote
}

// forgotten tells whether the server has had no work for so long that it should have some, also from another data
// centre.
func (s *server) forgotten(now time.Time) bool {
	return len(s.inflight) == 0 && now.Sub(s.idleSince()) >= idleBeforeTest
}

// wantsConfirmation tells whether a doubted server should get the request, so that the doubt is
// confirmed or cleared soon also at low load. The evidence must come from several nodes. A server
// that may not be ejected gets no work for that.
func (m *Machine) wantsConfirmation(now time.Time, s *server, r *request) bool {
	if !r.Idempotent || r.Purpose != grant.First || s.waits(r.node) || now.Before(s.limitedUntil) {
		return false
	}
	if m.avoids(now, s) && !s.hanging {
		// It answers again, and its former delays need no confirmation by more work.
		return false
	}
	return len(s.inflight) < confirmations
}

// waits tells whether a request of the node is in flight at the server.
func (s *server) waits(n *node) bool {
	for _, r := range s.inflight {
		if r.node == n {
			return true
		}
	}
	return false
}

// slower tells whether recent answers of the server took much longer than the service's median.
// Answers older than the window do not count, so that a server without work gets some again.
func (s *server) slower(now time.Time, p50 time.Duration) bool {
	if p50 == 0 || len(s.samples) < slowSamples || now.Sub(s.samples[len(s.samples)-1].at) > sampleWindow {
		return false
	}
	var recent [slowSamples]time.Duration
	for i := range recent {
		recent[i] = s.samples[len(s.samples)-1-i].latency
	}
	return median(recent[:]) > slowerFactor*p50
}
