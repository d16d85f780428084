package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// memberState remembers since when a member is confirmed dead.
type memberState struct {
	deadSince time.Time
}

// reserve subtracts from each server the autonomous slots of the members without a live stream.
func (m *Machine) reserve(now time.Time) {
	m.noteDead(now)
	for _, s := range m.servers {
		s.reserved = 0
		if !s.present || len(m.config.Members) == 0 {
			continue
		}
		for i, share := range m.sharesOf(s) {
			if share > 0 && m.mayActAlone(now, m.config.Members[i]) {
				s.reserved += share
			}
		}
	}
}

func (m *Machine) sharesOf(s *server) []int {
	slots := s.hardLimit()
	if s.shares == nil || s.sharesSlots != slots || !sameMembers(s.sharesMembers, m.config.Members) {
		s.shares = shares(m.config.Service, s.Instance, m.config.Members, slots)
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

func (m *Machine) noteDead(now time.Time) {
	for _, member := range m.config.Members {
		if !member.Dead {
			delete(m.dead, member.Node)
			continue
		}
		if _, known := m.dead[member.Node]; !known {
			m.dead[member.Node] = memberState{deadSince: now}
		}
	}
}

// mayActAlone tells whether a member may be using its autonomous share.
func (m *Machine) mayActAlone(now time.Time, member Member) bool {
	if n := m.nodes[member.Node]; n != nil && n.connected {
		return false
	}
	state, dead := m.dead[member.Node]
	return !dead || now.Sub(state.deadSince) < DeadAfter
}

// sweepNodes frees the grants of streams that stay lost.
func (m *Machine) sweepNodes(now time.Time) {
	for id, n := range m.nodes {
		if n.connected || now.Sub(n.lostAt) < StreamGrace {
			continue
		}
		m.freeAll(now, n)
		delete(m.nodes, id)
	}
}

// sweepQueue refuses queued requests that can no longer meet their deadline.
func (m *Machine) sweepQueue(now time.Time) {
	m.deferred = m.queue.expired(func(r *request) bool {
		return r.Deadline.Sub(now) < m.needs(&r.Request, false)
	}, m.deferred[:0])
	for _, r := range m.deferred {
		m.refuseQueued(r, problem.DeadlineUnmeetable)
	}
	m.deferred = m.deferred[:0]
}
