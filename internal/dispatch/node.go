package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// memberState records since when a member has been confirmed dead.
type memberState struct {
	deadSince time.Time
}

// SetHeartbeat sets the longest pause between two messages of a node. The requests of a node count as evidence
// only if its last contact was not much longer ago, and a stall takes longer than that.
func (m *Machine) SetHeartbeat(interval time.Duration) {
	m.minStall = max(minStallThreshold, interval*3/2)
	for _, n := range m.nodes {
		n.maxContactAge = interval * 13 / 10
	}
}

// reserveAutonomousSlots subtracts from each server the autonomous slots of the members without a live
// stream.
func (m *Machine) reserveAutonomousSlots(now time.Time) {
	m.trackDeadMembers(now)
	for _, s := range m.servers {
		s.reservedSlots = 0
		if !s.listed || len(m.config.Members) == 0 {
			continue
		}
		for i, share := range m.memberSharesOf(s) {
			if share > 0 && m.mayBeAutonomous(now, m.config.Members[i]) {
				s.reservedSlots += share
			}
		}
	}
}

func (m *Machine) memberSharesOf(s *server) []int {
	slots := s.hardLimit()
	if s.shares == nil || s.sharesSlots != slots || !sameMembers(s.sharesMembers, m.config.Members) {
		s.shares = memberShares(m.config.Service, s.Instance, m.config.Members, slots)
		s.sharesSlots = slots
		s.sharesMembers = m.config.Members
	}
	return s.shares
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Node != b[i].Node {
			return false
		}
	}
	return true
}

func (m *Machine) trackDeadMembers(now time.Time) {
	for _, member := range m.config.Members {
		if !member.Dead {
			delete(m.deadMembers, member.Node)
			continue
		}
		if _, known := m.deadMembers[member.Node]; !known {
			m.deadMembers[member.Node] = memberState{deadSince: now}
		}
	}
}

// mayBeAutonomous reports whether a member may be using its autonomous share.
func (m *Machine) mayBeAutonomous(now time.Time, member Member) bool {
	if n := m.nodes[member.Node]; n != nil && n.connected {
		return false
	}
	state, dead := m.deadMembers[member.Node]
	return !dead || now.Sub(state.deadSince) < DeadAfter
}

// releaseLostNodes frees the grants of nodes whose stream has been lost for StreamGrace.
func (m *Machine) releaseLostNodes(now time.Time) {
	for id, n := range m.nodes {
		if n.connected || now.Sub(n.lostAt) < StreamGrace {
			continue
		}
		m.releaseAll(now, n)
		delete(m.nodes, id)
	}
}

// refuseExpired refuses queued requests that can no longer meet their deadline.
func (m *Machine) refuseExpired(now time.Time) {
	m.deferred = m.queue.Expired(func(r *request) bool {
		return r.Deadline.Sub(now) < m.requiredTime(&r.Request, false)
	}, m.deferred[:0])
	for _, r := range m.deferred {
		m.refuseQueued(r, problem.DeadlineUnmeetable)
	}
	m.deferred = m.deferred[:0]
}
