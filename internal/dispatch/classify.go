package dispatch

import (
	"slices"
	"time"
)

const (
	// minPathBlockTime is how long a bad path is routed around at first; the time doubles with each repeat.
	minPathBlockTime = 5 * time.Second
	// maxPathBlockTime bounds the doubled time.
	maxPathBlockTime = time.Minute
	// minPathSuccesses is how many usual responses show that other nodes succeed.
	minPathSuccesses = 2
	// pathFailureFactor is how many times more often the nodes of other data centres fail over a bad path.
	pathFailureFactor = 3
	// isolateFor is how long the evidence of a node is ignored after its paths looked bad.
	isolateFor = 2 * time.Second
)

// classifyEvidence decides whether the evidence against a server is due to overload of the service, a bad
// path or a bad server. Requests that crash servers were identified earlier, in observeConnectionFailure.
func (m *Machine) classifyEvidence(now time.Time, s *server, e *evidence, reason cause) {
	if s.state != inRotation || m.mostServersBad(now) {
		return
	}
	if len(e.nodes) < 2 && m.othersActive(now, e.nodes) {
		// A single node may have a bad path. While the server is suspected, it gets requests of other
		// nodes, which confirm or clear the evidence.
		s.underSuspicion = true
		return
	}
	if m.badPath(s, e) {
		m.blockDataCentrePaths(now, s, e)
		return
	}
	m.eject(now, s, reason)
}

// badPath reports whether the network between data centres is the likely cause: the nodes of other data
// centres fail far more often at the server than those of its own, or only one data centre fails while
// others succeed.
func (m *Machine) badPath(s *server, e *evidence) bool {
	if m.onlyRemoteEvidence(s, e) {
		return true
	}
	localGood, remoteGood := m.countGoodSince(s, e.oldest)
	if e.remote == 0 {
		return remoteGood >= minPathSuccesses
	}
	if localGood < minPathSuccesses {
		return false
	}
	localRate := float64(e.local) / float64(e.local+localGood)
	remoteRate := float64(e.remote) / float64(e.remote+remoteGood)
	return pathFailureFactor*localRate < remoteRate
}

// countGoodSince counts the usual responses to requests sent since the oldest evidence, by whether the node
// is in the server's own data centre.
func (m *Machine) countGoodSince(s *server, since time.Time) (local, remote int) {
	for i := range s.samples {
		x := &s.samples[i]
		if x.failed || x.sent.Before(since) || x.latency >= slowFactor*max(m.latencies.p50, 1) {
			continue
		}
		if x.node.dataCentre == s.DataCentre {
			local++
		} else {
			remote++
		}
	}
	return local, remote
}

// othersActive reports whether other nodes got responses within the window, so that they can confirm the
// evidence.
func (m *Machine) othersActive(now time.Time, nodes []*node) bool {
	for _, n := range m.nodes {
		if n.connected && now.Sub(n.lastResponse) < sampleWindow && !slices.Contains(nodes, n) {
			return true
		}
	}
	return false
}

// onlyRemoteEvidence reports whether no node of the server's own data centre is among the evidence although
// the host set has such nodes. The network between the data centres is then the likely cause.
func (m *Machine) onlyRemoteEvidence(s *server, e *evidence) bool {
	for _, n := range e.nodes {
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

func (m *Machine) blockDataCentrePaths(now time.Time, s *server, e *evidence) {
	for _, n := range e.nodes {
		if e.remote == 0 || n.dataCentre != s.DataCentre {
			m.blockPath(now, s, n.centreKey)
		}
	}
}

func (m *Machine) blockPath(now time.Time, s *server, key string) {
	p := s.path(key)
	if now.Before(p.blockedUntil) {
		return
	}
	if now.Sub(p.blockedAt) > repeatWindow {
		p.blockCount = 0
	}
	p.blockedAt = now
	p.blockedUntil = now.Add(min(minPathBlockTime<<min(p.blockCount, 10), maxPathBlockTime))
	p.blockCount++
	if p.blockedUntil.After(s.pathsBlockedUntil) {
		s.pathsBlockedUntil = p.blockedUntil
	}
	m.stats.PathBlocks++
	m.recordEvent(now, s, eventBlocked, key)
}

// detectBadPaths finds nodes and data centres that get no responses from servers that respond to others.
func (m *Machine) detectBadPaths(now time.Time) {
	threshold := m.stallThreshold()
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
		m.detectBadPathsTo(now, s)
	}
	m.isolateNodes(now)
}

func (m *Machine) detectBadPathsTo(now time.Time, s *server) {
	for i, r := range m.overdue {
		if !r.node.lastResponse.After(r.sent) && m.firstOfNode(i) {
			r.node.overdueServers++
		}
		othersGotResponse := s.lastResponse.After(r.sent)
		if !othersGotResponse {
			continue
		}
		// The path is bad if two requests of one node, or of two nodes of one data centre, are overdue and
		// no response has arrived on the path since.
		if !s.path(r.node.nodeKey).lastResponse.After(r.sent) && m.countOverdue(func(x *request) bool { return x.node == r.node }) >= 2 {
			m.blockPath(now, s, r.node.nodeKey)
		}
		sameCentre := func(x *request) bool { return x.node != r.node && x.node.dataCentre == r.node.dataCentre }
		if !s.path(r.node.centreKey).lastResponse.After(r.sent) && m.countOverdue(sameCentre) >= 1 {
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

// isolateNodes excludes the evidence of nodes that get no responses from several servers. If more than a
// third of the nodes do, the servers are the likelier cause.
func (m *Machine) isolateNodes(now time.Time) {
	affected := 0
	for _, n := range m.nodes {
		if n.overdueServers >= 2 {
			affected++
		}
	}
	if affected == 0 || 3*affected > len(m.nodes) {
		return
	}
	for _, n := range m.nodes {
		if n.overdueServers >= 2 {
			n.isolatedUntil = now.Add(isolateFor)
		}
	}
}
