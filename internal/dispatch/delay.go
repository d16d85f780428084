package dispatch

import "time"

const (
	// delayWindow is how long an unusually late response counts.
	delayWindow = time.Second
	// delaySignificance bounds the expected number of such delays of a healthy server per window. It is far
	// weaker than ejectionSignificance, since an avoided server keeps its place in the healthy capacity and
	// gets work when all others stay full.
	delaySignificance = 3e-2
	// sharedDelayRate is the share of equally late responses of the other servers above which the delay is
	// not a fault of the one server.
	sharedDelayRate = 0.02
	// avoidFor is how long a server is avoided after its last unusual delay.
	avoidFor = 5 * time.Second
	// maxAvoidedWait is how long requests wait for another server before an avoided one gets them.
	maxAvoidedWait = 100 * time.Millisecond
	// manyAvoidedDivisor is the reciprocal of the share of avoided servers above which the work itself may
	// have changed.
	manyAvoidedDivisor = 4
)

// detectDelays finds servers that delay work more than chance explains but too briefly for a stall, such as
// one that alternately hangs and works. They get work only when all other servers are full.
func (m *Machine) detectDelays(now time.Time) {
	if !m.latencies.known || m.mostServersBad(now) {
		return
	}
	m.avoidedCount = 0
	for _, s := range m.servers {
		if now.Before(s.avoidedUntil) {
			m.avoidedCount++
		}
	}
	for _, s := range m.servers {
		if s.healthy(now) && m.delaysWork(now, s) {
			s.avoidedUntil = now.Add(avoidFor)
		}
	}
}

// delaysWork reports whether the late requests of the server, with or without a response, are explained
// neither by chance, nor by a delay that other servers share, nor by a bad path.
func (m *Machine) delaysWork(now time.Time, s *server) bool {
	e, requests := m.delayEvidence(now, s)
	if len(e.ages) == 0 || e.probability*float64(requests) > delaySignificance {
		return false
	}
	return m.currentProbability(now, s, &e) <= sharedDelayRate && !m.badPath(s, &e)
}

// delayEvidence collects the requests of a server that have been waiting, or waited, longer than the
// suspicion threshold, and returns how many requests it examined. The node measures the latency of a
// response from the sending of the request.
func (m *Machine) delayEvidence(now time.Time, s *server) (e evidence, requests int) {
	limit := m.suspicionThreshold()
	e = evidence{nodes: m.evidenceNodes[:0], ages: m.evidenceAges[:0], probability: 1}
	count := func(n *node, sent time.Time, age time.Duration) {
		requests++
		if age < limit {
			return
		}
		e.probability *= m.tailProbability(age)
		e.ages = append(e.ages, age)
		e.addRequest(s, n, sent)
	}
	for _, r := range s.inflight {
		if !r.firstByte && r.credible(now) {
			count(r.node, r.sent, r.age(now))
		}
	}
	for i := len(s.samples) - 1; i >= 0 && now.Sub(s.samples[i].at) <= delayWindow; i-- {
		x := &s.samples[i]
		if !x.failed && !now.Before(x.node.isolatedUntil) {
			count(x.node, x.sent, x.latency)
		}
	}
	m.evidenceNodes, m.evidenceAges = e.nodes[:0], e.ages[:0]
	return e, requests
}

// manyAvoided reports whether so many servers are avoided that the work itself may have changed.
func (m *Machine) manyAvoided() bool {
	return manyAvoidedDivisor*m.avoidedCount > len(m.servers)
}

// isAvoided reports whether the server gets work last because of its delays.
func (m *Machine) isAvoided(now time.Time, s *server) bool {
	return now.Before(s.avoidedUntil) && !m.manyAvoided()
}

// shouldAvoid reports whether the request should wait for another server instead of this avoided one. Under
// high load all others are often full for a few milliseconds.
func (m *Machine) shouldAvoid(now time.Time, s *server, r *request) bool {
	if s.state != inRotation || !m.isAvoided(now, s) {
		return false
	}
	if s.underSuspicion && m.wantsConfirmation(now, s, r) || m.endsAvoidance(now, s, r) {
		return false
	}
	return m.backlogSince.IsZero() || now.Sub(m.backlogSince) < maxAvoidedWait
}
