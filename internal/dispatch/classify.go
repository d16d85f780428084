package dispatch

import (
	"slices"
	"time"
)

const (
	// pathBlockFor is how long a bad path is routed around first; it doubles at each repeat.
	pathBlockFor = 5 * time.Second
	// pathBlockCap bounds the doubled time.
	pathBlockCap = time.Minute
	// pathSuccesses is how many usual answers show that others succeed.
	pathSuccesses = 2
	// pathFactor is how much more often the nodes of other data centres fail over a bad path.
	pathFactor = 3
	// isolateFor is how long the evidence of a node does not count after its paths looked bad.
	isolateFor = 2 * time.Second
)

// classify decides what the evidence against a server means: overload of the service, a bad path
// or a bad server. Crash requests are told apart before, in observeBreak.
func (m *Machine) classify(now time.Time, s *server, p *proof, why cause) {
	if s.state != inRotation || m.serviceBad(now) {
		return
	}
	if len(p.nodes) < 2 && m.othersActive(now, p.nodes) {
		// One node alone may have a bad path; the doubt asks other nodes to confirm.
		s.doubted = true
		return
	}
	if m.badPath(s, p) {
		m.blockCentres(now, s, p)
		return
	}
	m.eject(now, s, why)
}

// badPath tells whether the network between data centres is the likely cause: the nodes of other
// data centres fail far more often at the server than those of its own, or only one data centre
// fails while others succeed.
func (m *Machine) badPath(s *server, p *proof) bool {
	if m.onlyForeign(s, p) {
		return true
	}
	ownGood, foreignGood := m.goodSince(s, p.oldest)
	if p.foreign == 0 {
		return foreignGood >= pathSuccesses
	}
	if ownGood < pathSuccesses {
		return false
	}
	ownRate := float64(p.own) / float64(p.own+ownGood)
	foreignRate := float64(p.foreign) / float64(p.foreign+foreignGood)
	return pathFactor*ownRate < foreignRate
}

// goodSince counts the usual answers to requests sent since the oldest evidence, by whether the
// node is in the server's own data centre.
func (m *Machine) goodSince(s *server, since time.Time) (own, foreign int) {
	for i := range s.samples {
		x := &s.samples[i]
		if x.failed || x.sent.Before(since) || x.latency >= slowFactor*max(m.latencies.p50, 1) {
			continue
		}
		if x.node.dataCentre == s.DataCentre {
			own++
		} else {
			foreign++
		}
	}
	return own, foreign
}

// othersActive tells whether other nodes got answers within the window, so that they can confirm
// the evidence.
func (m *Machine) othersActive(now time.Time, nodes []*node) bool {
	for _, n := range m.nodes {
		if n.connected && now.Sub(n.lastAnswer) < sampleWindow && !slices.Contains(nodes, n) {
			return true
		}
	}
	return false
}

// onlyForeign tells whether no node of the server's own data centre is among the evidence though
// the host set has such nodes. The network between the data centres is then the likely cause.
func (m *Machine) onlyForeign(s *server, p *proof) bool {
	for _, n := range p.nodes {
		if n.dataCentre == s.DataCentre {
			return false
		}
	}
	for _, member := range m.config.Members {
		if member.DataCentre == s.DataCentre {
			return true
		}
	}
	return false
}

func (m *Machine) blockCentres(now time.Time, s *server, p *proof) {
	for _, n := range p.nodes {
		if p.foreign == 0 || n.dataCentre != s.DataCentre {
			m.blockPath(now, s, n.centreKey)
		}
	}
}

func (m *Machine) blockPath(now time.Time, s *server, key string) {
	p := s.path(key)
	if now.Before(p.blockedUntil) {
		return
	}
	if now.Sub(p.blockedAt) > repeatWithin {
		p.blocks = 0
	}
	p.blockedAt = now
	p.blockedUntil = now.Add(min(pathBlockFor<<min(p.blocks, 10), pathBlockCap))
	p.blocks++
	if p.blockedUntil.After(s.pathsBlockedUntil) {
		s.pathsBlockedUntil = p.blockedUntil
	}
	m.stats.PathBlocks++
	m.note(now, s, eventBlocked, key)
}

// judgePaths finds nodes and data centres that get no answers from servers that answer others.
func (m *Machine) judgePaths(now time.Time) {
	threshold := m.threshold()
	for _, n := range m.nodes {
		n.overdueServers = 0
	}
	for _, s := range m.servers {
		m.overdue = m.overdue[:0]
		for _, r := range s.inflight {
			if !r.firstByte && r.age(now) >= threshold && r.credible(now) {
				m.overdue = append(m.overdue, r)
			}
		}
		m.judgeServerPaths(now, s)
	}
	m.isolateNodes(now)
}

func (m *Machine) judgeServerPaths(now time.Time, s *server) {
	for i, r := range m.overdue {
		if !r.node.lastAnswer.After(r.sent) && m.firstOfNode(i) {
			r.node.overdueServers++
		}
		othersAnswered := s.lastAnswer.After(r.sent)
		if !othersAnswered {
			continue
		}
		// Two overdue requests of one node, or of two nodes of one data centre, with no answer on that path since.
		if !s.path(r.node.nodeKey).lastAnswer.After(r.sent) && m.countOverdue(func(x *request) bool { return x.node == r.node }) >= 2 {
			m.blockPath(now, s, r.node.nodeKey)
		}
		sameCentre := func(x *request) bool { return x.node != r.node && x.node.dataCentre == r.node.dataCentre }
		if !s.path(r.node.centreKey).lastAnswer.After(r.sent) && m.countOverdue(sameCentre) >= 1 {
			m.blockPath(now, s, r.node.centreKey)
		}
	}
}

func (m *Machine) firstOfNode(i int) bool {
	n := m.overdue[i].node
	return !slices.ContainsFunc(m.overdue[:i], func(x *request) bool { return x.node == n })
}

func (m *Machine) countOverdue(match func(*request) bool) int {
	count := 0
	for _, r := range m.overdue {
		if match(r) {
			count++
		}
	}
	return count
}

// isolateNodes ignores the evidence of nodes that get no answers from several servers. If many
// nodes look so, the servers are the likelier cause.
func (m *Machine) isolateNodes(now time.Time) {
	suspects := 0
	for _, n := range m.nodes {
		if n.overdueServers >= 2 {
			suspects++
		}
	}
	if suspects == 0 || 3*suspects > len(m.nodes) {
		return
	}
	for _, n := range m.nodes {
		if n.overdueServers >= 2 {
			n.isolatedUntil = now.Add(isolateFor)
		}
	}
}
