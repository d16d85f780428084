package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

const (
	// sampleWindow is the span of the evidence on errors and slowness.
	sampleWindow = 2 * time.Second
	// stallFloor and stallCap bound the age at which an unanswered request is overdue.
	stallFloor  = 150 * time.Millisecond
	stallCap    = 700 * time.Millisecond
	stallMargin = 50 * time.Millisecond
	stallFactor = 4
	// doubtFactor times p95, or stallMargin above p99 if that is less, but at least doubtFloor, is the age at which a server is doubted.
	doubtFactor = 2
	doubtFloor  = 75 * time.Millisecond
	// witnessAge is how long ago a node may have been heard. It is longer than the heartbeat of
	// 100 ms and shorter than stallFloor: a stall needs stallFloor of silence, so when many nodes are
	// cut off at once, none of them is a witness by then.
	witnessAge = 130 * time.Millisecond
	// costWeight is the weight of a new value in the mean slot time.
	costWeight = 0.05
)

// threshold is the age at which an unanswered request is overdue.
func (m *Machine) threshold() time.Duration {
	l := m.latencies
	if !l.known {
		return stallCap
	}
	wanted := max(stallFactor*l.p95, l.p99+stallMargin, stallFloor)
	// A service whose usual answers take longer than the cap needs a threshold above them.
	return max(min(wanted, stallCap), l.p99+stallMargin)
}

// doubtAge is the age at which an unanswered request makes its server doubted.
func (m *Machine) doubtAge() time.Duration {
	threshold := m.threshold()
	if !m.latencies.known {
		return threshold / 2
	}
	unusual := min(doubtFactor*m.latencies.p95, m.latencies.p99+stallMargin)
	return min(max(unusual, doubtFloor), threshold/2)
}

// age is how long a request in flight has waited for its first byte. Non-idempotent work may be
// sent as late as the grant's expiry, since its claim runs in parallel.
func (r *request) age(now time.Time) time.Duration {
	age := now.Sub(r.sent)
	if !r.Idempotent {
		age -= GrantExpiry
	}
	return age
}

// observe takes the end of a granted request as evidence on its server.
func (m *Machine) observe(now time.Time, r *request, c grant.Completion) {
	s := r.server
	latency := c.FirstByte
	if latency <= 0 {
		latency = c.Total
	}
	switch c.Result {
	case grant.OK:
		m.kindOf(r.Kind).learn(latency, c.Total)
		m.observeAnswer(now, r, latency, false)
		m.crashes.clear(now, r.Fingerprint)
		m.charge(r, c.Total)
		s.sheds = 0
		m.noteOutcome(now, r, false)
	case grant.Error:
		m.observeAnswer(now, r, latency, true)
		m.noteOutcome(now, r, true)
		m.charge(r, c.Total)
	case grant.Broken:
		m.observeBreak(now, r, c.Result)
		m.noteOutcome(now, r, true)
	case grant.ConnectFailed:
		m.observeBreak(now, r, c.Result)
	case grant.Shed:
		m.observeShed(now, s)
		m.noteOutcome(now, r, true)
		m.answered(now, r)
	case grant.Timeout, grant.Cancelled:
		m.observeSilence(now, r, c)
	}
	m.judgeCanary(now, r, c.Result, latency)
}

func (m *Machine) charge(r *request, total time.Duration) {
	p := r.Priority
	seconds := max(total.Seconds(), minimumCost)
	if m.cost[p] == 0 {
		m.cost[p] = seconds
	}
	m.cost[p] += costWeight * (seconds - m.cost[p])
}

func (m *Machine) observeAnswer(now time.Time, r *request, latency time.Duration, failed bool) {
	s := r.server
	s.addSample(sample{at: now, sent: r.sent, latency: latency, failed: failed, node: r.node, fingerprint: r.Fingerprint})
	if !failed && s.state == inRotation {
		s.latency.add(latency)
	}
	m.answered(now, r)
	if failed {
		// The next request confirms or clears the doubt.
		s.doubted = true
	} else if latency <= slowFactor*max(m.latencies.p50, 1) || !m.latencies.known {
		s.doubted = false
	}
}

// answered notes that a server answered a node.
func (m *Machine) answered(now time.Time, r *request) {
	s := r.server
	s.lastAnswer = now
	if r.sent.After(s.answeredSent) {
		s.answeredSent = r.sent
	}
	r.node.lastAnswer = now
	s.path(r.node.nodeKey).lastAnswer = now
	s.path(r.node.centreKey).lastAnswer = now
}

// observeSilence keeps a request that ended without an answer as evidence: hedges that win cancel
// the request at the silent server, which would otherwise hide the stall.
func (m *Machine) observeSilence(now time.Time, r *request, c grant.Completion) {
	if r.firstByte || c.FirstByte > 0 || c.Total < max(m.latencies.p95, 1) {
		return
	}
	r.server.addUnanswered(unansweredRequest{at: now, sent: r.sent, node: r.node, idempotent: r.Idempotent})
}

// proof is the evidence of a stall at one server.
type proof struct {
	// overdue requests are past the threshold, late ones past half of it.
	overdue, late int
	// unanswered ended without an answer after more than p95.
	unanswered int
	// chance is the probability that a healthy server leaves all these requests unanswered.
	chance float64
	ages   []time.Duration
	// oldest is the earliest sending time.
	oldest time.Time
	nodes  []*node
	// own and foreign count the evidence of nodes in the server's data centre and in others.
	own, foreign int
}

func (p *proof) note(s *server, n *node, sent time.Time) {
	if n.dataCentre == s.DataCentre {
		p.own++
	} else {
		p.foreign++
	}
	if p.oldest.IsZero() || sent.Before(p.oldest) {
		p.oldest = sent
	}
	for _, known := range p.nodes {
		if known == n {
			return
		}
	}
	p.nodes = append(p.nodes, n)
}

// stallProof collects the unanswered requests of a server. A request counts only if its node was
// heard a moment ago and confirmed that the grant had reached it: a node that is cut off from the
// dispatcher in either direction says nothing about the server.
func (m *Machine) stallProof(now time.Time, s *server) proof {
	threshold := m.threshold()
	late := threshold / 2
	doubt := m.doubtAge()
	p := proof{nodes: m.proofNodes[:0], ages: m.proofAges[:0], chance: 1}
	for _, r := range s.inflight {
		age := r.age(now)
		if r.firstByte || age < doubt || !r.credible(now) {
			continue
		}
		p.chance *= m.tail(age)
		p.ages = append(p.ages, age)
		if age < late {
			continue
		}
		p.late++
		if age >= threshold {
			p.overdue++
		}
		p.note(s, r.node, r.sent)
	}
	for _, g := range s.unanswered {
		if g.sent.Before(s.lastAnswer) || now.Sub(g.at) > sampleWindow || now.Before(g.node.isolatedUntil) {
			continue
		}
		age := g.at.Sub(g.sent)
		if !g.idempotent {
			age -= GrantExpiry
		}
		switch {
		case age >= threshold:
			p.overdue++
			p.late++
		case age >= m.latencies.p95:
			p.unanswered++
		default:
			continue
		}
		p.chance *= m.tail(age)
		p.ages = append(p.ages, age)
		p.note(s, g.node, g.sent)
	}
	m.proofNodes, m.proofAges = p.nodes[:0], p.ages[:0]
	return p
}

// credible tells whether the node would have reported an answer by now.
func (r *request) credible(now time.Time) bool {
	n := r.node
	if !n.connected || r.number > n.received || now.Before(n.isolatedUntil) {
		return false
	}
	return now.Sub(n.heard) <= witnessAge
}

// stalled tells whether the proof shows a stall: enough overdue requests, and no answer for as long
// as makes a request overdue.
func (m *Machine) stalled(now time.Time, s *server, p *proof) bool {
	if m.relapsing(now, s) {
		return p.overdue >= 1
	}
	if p.late < 2 && 2*p.overdue+p.unanswered < 4 || p.chance > significance {
		return false
	}
	since := s.lastAnswer
	if p.oldest.After(since) {
		since = p.oldest
	}
	silence := now.Sub(since)
	overdue := silence >= m.threshold() && (p.overdue >= 1 || p.unanswered >= 4)
	// Several requests that together are no chance need not wait for the threshold, which is far
	// above the usual answers of a service with even work; a pause of the server must be ruled out.
	joint := m.latencies.known && !m.manyAvoided() && p.late >= 2 && silence >= pauseSpan+m.latencies.p95
	return (overdue || joint) && m.chanceNow(now, s, p) <= significance
}

// chanceNow is the chance of the proof by what the other servers answered just now. A sudden change
// of the work shows there before it shows in the usual latencies. Avoided servers count, since
// leaving out who answers late would hide the change; servers out of rotation don't.
func (m *Machine) chanceNow(now time.Time, s *server, p *proof) float64 {
	m.values = m.values[:0]
	for _, other := range m.servers {
		if other != s && other.healthy(now) {
			m.values = other.recent(now, sampleWindow, m.values)
		}
	}
	chance := 1.0
	for _, age := range p.ages {
		longer := 0
		for _, latency := range m.values {
			if latency > age {
				longer++
			}
		}
		chance *= max(float64(longer)/float64(max(len(m.values), 1)), m.tail(age))
	}
	return chance
}

// relapsing tells whether the server returned from an ejection and has not yet grown to all its
// slots. It has room for one or two requests, so one overdue request is enough.
func (m *Machine) relapsing(now time.Time, s *server) bool {
	return s.ejections > 0 && now.Sub(s.growFrom) < s.growFor && now.Sub(s.lastEjected) < repeatWithin
}
