package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch/queue"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

const (
	// sampleWindow is the period of the evidence on errors and slowness.
	sampleWindow = 2 * time.Second
	// minStallThreshold and maxStallThreshold bound the age at which a request without a response is
	// overdue.
	minStallThreshold = 150 * time.Millisecond
	maxStallThreshold = 700 * time.Millisecond
	stallMargin       = 50 * time.Millisecond
	stallFactor       = 4
	// suspicionFactor times p95, or stallMargin above p99 if that is less, but at least
	// minSuspicionThreshold, is the age at which a request without a response makes its server suspected.
	suspicionFactor       = 2
	minSuspicionThreshold = 75 * time.Millisecond
	// maxContactAge is how recently a message of a node must have arrived for its requests to count as
	// evidence. It is longer than the heartbeat of 100 ms and shorter than minStallThreshold: a stall needs
	// minStallThreshold without a response, so when many nodes lose contact at once, none of their requests
	// counts as evidence by then.
	maxContactAge = 130 * time.Millisecond
	// costWeight is the weight of a new value in the mean slot time.
	costWeight = 0.05
)

// stallThreshold is the age at which a request without a response is overdue.
func (m *Machine) stallThreshold() time.Duration {
	l := m.latencies
	if !l.known {
		return maxStallThreshold
	}
	wanted := max(stallFactor*l.p95, l.p99+stallMargin, minStallThreshold, m.minStall)
	// A service whose usual responses take longer than maxStallThreshold needs a threshold above them.
	return max(min(wanted, maxStallThreshold), l.p99+stallMargin)
}

// suspicionThreshold is the age at which a request without a response makes its server suspected.
func (m *Machine) suspicionThreshold() time.Duration {
	threshold := m.stallThreshold()
	if !m.latencies.known {
		return threshold / 2
	}
	unusual := min(suspicionFactor*m.latencies.p95, m.latencies.p99+stallMargin)
	return min(max(unusual, minSuspicionThreshold), threshold/2)
}

// age is how long a request in flight has been waiting for its first byte. GrantExpiry is subtracted for
// work with a claim, which may be sent as late as that, since the claim runs in parallel.
func (r *request) age(now time.Time) time.Duration {
	age := now.Sub(r.sent)
	if !r.Idempotent && !r.Keyless {
		age -= GrantExpiry
	}
	return age
}

// observeCompletion records the end of a granted request as evidence on its server.
func (m *Machine) observeCompletion(now time.Time, r *request, c grant.Completion) {
	s := r.server
	latency := c.FirstByte
	if latency <= 0 {
		latency = c.Total
	}
	switch c.Result {
	case grant.OK:
		m.workKindOf(r.Kind).addResponse(latency, c.Total)
		m.observeResponse(now, r, latency, false)
		m.crashes.recordResponse(now, r.Fingerprint)
		m.updateCost(r, c.Total)
		s.consecutiveSheds = 0
		m.recordOutcome(now, r, false)
	case grant.Error:
		m.observeResponse(now, r, latency, true)
		m.recordOutcome(now, r, true)
		m.updateCost(r, c.Total)
	case grant.Broken:
		m.observeConnectionFailure(now, r, c.Result)
		m.recordOutcome(now, r, true)
	case grant.ConnectFailed:
		m.observeConnectionFailure(now, r, c.Result)
	case grant.Shed:
		m.observeShed(now, s)
		m.recordOutcome(now, r, true)
		m.recordResponse(now, r)
	case grant.Timeout, grant.Cancelled:
		m.observeUnanswered(now, r, c)
	}
	m.evaluateCanary(now, r, c.Result, latency)
}

func (m *Machine) updateCost(r *request, total time.Duration) {
	p := r.Priority
	seconds := max(total.Seconds(), queue.MinCost)
	if m.cost[p] == 0 {
		m.cost[p] = seconds
	}
	m.cost[p] += costWeight * (seconds - m.cost[p])
}

func (m *Machine) observeResponse(now time.Time, r *request, latency time.Duration, failed bool) {
	s := r.server
	s.addSample(sample{at: now, sent: r.sent, latency: latency, failed: failed, node: r.node, fingerprint: r.Fingerprint})
	if !failed && s.state == inRotation {
		s.latency.add(latency)
	}
	m.recordResponse(now, r)
	if failed {
		// The next request confirms or clears the suspicion.
		s.underSuspicion = true
	} else if latency <= slowFactor*max(m.latencies.p50, 1) || !m.latencies.known {
		s.underSuspicion = false
	}
}

// recordResponse records that a server responded to a node.
func (m *Machine) recordResponse(now time.Time, r *request) {
	s := r.server
	s.lastResponse = now
	if r.sent.After(s.lastRespondedSent) {
		s.lastRespondedSent = r.sent
	}
	r.node.lastResponse = now
	s.path(r.node.nodeKey).lastResponse = now
	s.path(r.node.centreKey).lastResponse = now
}

// observeUnanswered keeps a request that ended without a response as evidence: a hedge that wins cancels
// the request at the unresponsive server, which would otherwise hide the stall.
func (m *Machine) observeUnanswered(now time.Time, r *request, c grant.Completion) {
	if r.firstByte || c.FirstByte > 0 || c.Total < max(m.latencies.p95, 1) {
		return
	}
	r.server.addUnanswered(unansweredRequest{at: now, sent: r.sent, node: r.node, idempotent: r.Idempotent})
}

// evidence holds the requests that indicate a fault of one server.
type evidence struct {
	// overdue requests are past the stall threshold, late ones past half of it.
	overdue, late int
	// unanswered requests ended without a response at an age from p95 to the stall threshold.
	unanswered int
	// probability is the joint probability that a healthy server leaves all these requests without a
	// response for so long.
	probability float64
	ages        []time.Duration
	// oldest is the earliest sending time.
	oldest time.Time
	nodes  []*node
	// local and remote count the requests of nodes in the server's data centre and in others.
	local, remote int
}

func (e *evidence) addRequest(s *server, n *node, sent time.Time) {
	if n.dataCentre == s.DataCentre {
		e.local++
	} else {
		e.remote++
	}
	if e.oldest.IsZero() || sent.Before(e.oldest) {
		e.oldest = sent
	}
	for _, known := range e.nodes {
		if known == n {
			return
		}
	}
	e.nodes = append(e.nodes, n)
}

// stallEvidence collects the requests of a server without a response. A request counts only if its node was
// in contact within maxContactAge and confirmed that the grant had reached it: a node that is cut off from
// the dispatcher in either direction provides no evidence about the server.
func (m *Machine) stallEvidence(now time.Time, s *server) evidence {
	threshold := m.stallThreshold()
	late := threshold / 2
	suspicionAge := m.suspicionThreshold()
	e := evidence{nodes: m.evidenceNodes[:0], ages: m.evidenceAges[:0], probability: 1}
	for _, r := range s.inflight {
		age := r.age(now)
		if r.firstByte || age < suspicionAge || !r.credible(now) {
			continue
		}
		e.probability *= m.tailProbability(age)
		e.ages = append(e.ages, age)
		if age < late {
			continue
		}
		e.late++
		if age >= threshold {
			e.overdue++
		}
		e.addRequest(s, r.node, r.sent)
	}
	for _, u := range s.unanswered {
		if u.sent.Before(s.lastResponse) || now.Sub(u.at) > sampleWindow || now.Before(u.node.isolatedUntil) {
			continue
		}
		age := u.at.Sub(u.sent)
		if !u.idempotent {
			age -= GrantExpiry
		}
		switch {
		case age >= threshold:
			e.overdue++
			e.late++
		case age >= m.latencies.p95:
			e.unanswered++
		default:
			continue
		}
		e.probability *= m.tailProbability(age)
		e.ages = append(e.ages, age)
		e.addRequest(s, u.node, u.sent)
	}
	m.evidenceNodes, m.evidenceAges = e.nodes[:0], e.ages[:0]
	return e
}

// credible reports whether the node would have reported a response by now.
func (r *request) credible(now time.Time) bool {
	n := r.node
	if !n.connected || r.actionNumber > n.received || now.Before(n.isolatedUntil) {
		return false
	}
	return now.Sub(n.lastContact) <= max(n.maxContactAge, maxContactAge)
}

// stalled reports whether the evidence shows a stall: enough overdue or unanswered requests and no response
// for as long as the stall threshold, or several late requests that are improbable together. A relapsing
// server needs only one overdue request.
func (m *Machine) stalled(now time.Time, s *server, e *evidence) bool {
	if m.relapsing(now, s) {
		return e.overdue >= 1
	}
	if e.late < 2 && 2*e.overdue+e.unanswered < 4 || e.probability > ejectionSignificance {
		return false
	}
	since := s.lastResponse
	if e.oldest.After(since) {
		since = e.oldest
	}
	timeWithoutResponse := now.Sub(since)
	overdue := timeWithoutResponse >= m.stallThreshold() && (e.overdue >= 1 || e.unanswered >= 4)
	// Several late requests that are improbable together count before the threshold is reached, since it is
	// far above the usual latency of a service with uniform work. The wait of maxPause rules out a mere
	// pause of the server.
	joint := m.latencies.known && !m.manyAvoided() && e.late >= 2 && timeWithoutResponse >= maxPause+m.latencies.p95
	return (overdue || joint) && m.currentProbability(now, s, e) <= ejectionSignificance
}

// currentProbability is the joint probability of the evidence, estimated from the recent responses of the
// other servers. A sudden change of the work shows in these before it shows in the usual latencies. Avoided
// servers count, since leaving out the servers that respond late would hide the change; servers out of
// rotation do not.
func (m *Machine) currentProbability(now time.Time, s *server, e *evidence) float64 {
	m.values = m.values[:0]
	for _, other := range m.servers {
		if other != s && other.healthy(now) {
			m.values = other.recentLatencies(now, sampleWindow, m.values)
		}
	}
	probability := 1.0
	for _, age := range e.ages {
		longer := 0
		for _, latency := range m.values {
			if latency > age {
				longer++
			}
		}
		probability *= max(float64(longer)/float64(max(len(m.values), 1)), m.tailProbability(age))
	}
	return probability
}

// relapsing reports whether the server returned from an ejection and is still in its slow start. Its limit
// then allows only one or two requests, so one overdue request is enough.
func (m *Machine) relapsing(now time.Time, s *server) bool {
	return s.ejections > 0 && now.Sub(s.slowStartFrom) < s.slowStartFor && now.Sub(s.lastEjected) < repeatWindow
}
