package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// State is the gossip state of one node as a pure state machine: time and messages are arguments. It is
// not safe for concurrent use.
type State struct {
	id         string
	start      time.Time
	random     *rand.Rand
	nodes      map[string]*nodeEntry
	nodesByKey map[uint64]*nodeEntry
	servers    *serverTable
	// entryHosts holds the entry hosts that are attached to control hosts. No announcement of a backend server reaches
	// them, whatever it names.
	entryHosts *serverTable
	// gossiped holds the entries of servers and entryHosts.
	gossiped *gossipIndex
	// lastRoundTrip is when the last complete round trip with another node ended.
	lastRoundTrip time.Time
	// fleet is what the configuration in force says of the services; nil before the first one.
	fleet *hostset.Fleet
	rotation
}

// rotation holds the members that remain in the current round of exchanges. The last one is next.
type rotation struct {
	order []string
}

// NewState returns the state of a node that knows only itself.
func NewState(now time.Time, self Identity, random *rand.Rand) *State {
	gossiped := newGossipIndex()
	s := &State{
		id:            self.ID,
		start:         now,
		random:        random,
		nodes:         map[string]*nodeEntry{},
		nodesByKey:    map[uint64]*nodeEntry{},
		servers:       newServerTable(gossiped),
		entryHosts:    newServerTable(gossiped),
		gossiped:      gossiped,
		lastRoundTrip: now,
	}
	s.putNode(now, &fleetpb.Node{
		Id:           self.ID,
		Incarnation:  max(self.Incarnation, 1),
		State:        fleetpb.NodeState_NODE_STATE_ALIVE,
		DataCentre:   self.DataCentre,
		EntryAddress: self.EntryAddress,
		FleetAddress: self.FleetAddress,
		Role:         self.Role,
		Version:      1,
	})
	return s
}

// SetFleet sets the services of the configuration in force.
func (s *State) SetFleet(fleet *hostset.Fleet) {
	s.fleet = fleet
}

// isConfigured reports whether the configuration in force names the service.
func (s *State) isConfigured(service string) bool {
	return s.fleet != nil && slices.ContainsFunc(s.fleet.Services, func(c hostset.Service) bool { return shard.ServiceOf(c.Name) == service })
}

// Clock returns this node's clock in milliseconds. Forwarded announcements state the time to which
// their ages refer on this clock.
func (s *State) Clock(now time.Time) int64 {
	return now.Sub(s.start).Milliseconds()
}

// Isolated reports whether no round trip with another node was completed within isolationTimeout.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.lastRoundTrip) > isolationTimeout
}

// Self returns this node's own entry. The result must not be modified.
func (s *State) Self() *fleetpb.Node {
	return s.nodes[s.id].node
}

// SetRevision records the configuration revision in force. A lower revision than the recorded one is
// ignored.
func (s *State) SetRevision(now time.Time, revision uint64) {
	if revision > s.Self().GetRevision() {
		s.updateSelf(now, func(n *fleetpb.Node) { n.Revision = revision })
	}
}

// SetReady records whether this node serves callers.
func (s *State) SetReady(now time.Time, ready bool) {
	if ready != s.Self().GetReady() {
		s.updateSelf(now, func(n *fleetpb.Node) { n.Ready = ready })
	}
}

// SetUnreachable records the services that this node cannot reach.
func (s *State) SetUnreachable(now time.Time, services []string) {
	sorted := slices.Sorted(slices.Values(services))
	if !slices.Equal(sorted, s.Self().GetUnreachableServices()) {
		s.updateSelf(now, func(n *fleetpb.Node) { n.UnreachableServices = sorted })
	}
}

// Leave marks this node as leaving permanently.
func (s *State) Leave(now time.Time) {
	if s.Self().GetState() < fleetpb.NodeState_NODE_STATE_LEAVING {
		s.updateSelf(now, func(n *fleetpb.Node) { n.State = fleetpb.NodeState_NODE_STATE_LEAVING })
	}
}

func (s *State) updateSelf(now time.Time, change func(*fleetpb.Node)) {
	n := cloneNode(s.Self())
	n.Version++
	change(n)
	s.putNode(now, n)
}

// Members returns all nodes that this node knows, itself included, ordered by id.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.nodes))
	for _, e := range s.nodes {
		members = append(members, e.member())
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return members
}

// View returns all nodes as messages, ordered by id. Each has as its age the time since this node last
// received a message directly from it or learned its current state, whichever is later.
func (s *State) View(now time.Time) []*fleetpb.Node {
	var nodes []*fleetpb.Node
	for _, m := range s.Members() {
		e := s.nodes[m.ID]
		n := cloneNode(e.node)
		n.State = e.localState()
		if m.ID != s.id {
			n.AgeMs = max(0, now.Sub(latest(e.lastHeard, e.stateSince)).Milliseconds())
		}
		nodes = append(nodes, n)
	}
	return nodes
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Member returns one node; ok is false if this node does not know it.
func (s *State) Member(id string) (m Member, ok bool) {
	e, ok := s.nodes[id]
	if !ok {
		return Member{}, false
	}
	return e.member(), true
}

func (e *nodeEntry) member() Member {
	return Member{
		ID:           e.node.GetId(),
		Incarnation:  e.node.GetIncarnation(),
		State:        e.localState(),
		DataCentre:   e.node.GetDataCentre(),
		EntryAddress: e.node.GetEntryAddress(),
		FleetAddress: e.node.GetFleetAddress(),
		Role:         e.node.GetRole(),
		Revision:     e.node.GetRevision(),
		Ready:        e.node.GetReady(),
		Unreachable:  e.node.GetUnreachableServices(),
		LastHeard:    e.lastHeard,
		StateSince:   e.stateSince,
	}
}

// localState includes local suspicions, which are not passed on.
func (e *nodeEntry) localState() fleetpb.NodeState {
	if e.localSuspicion && e.node.GetState() == fleetpb.NodeState_NODE_STATE_ALIVE {
		return fleetpb.NodeState_NODE_STATE_SUSPECT
	}
	return e.node.GetState()
}

// NextTarget returns the next member to exchange with; ok is false if there is none. Each member that
// is not dead is returned once per round, in an order that changes from round to round.
func (s *State) NextTarget() (t Target, ok bool) {
	for range 2 {
		for len(s.order) > 0 {
			id := s.order[len(s.order)-1]
			s.order = s.order[:len(s.order)-1]
			if e, known := s.nodes[id]; known && e.node.GetState() != fleetpb.NodeState_NODE_STATE_DEAD {
				return e.target(), true
			}
		}
		s.startRound()
	}
	return Target{}, false
}

func (s *State) startRound() {
	for id := range s.nodes {
		if id != s.id {
			s.order = append(s.order, id)
		}
	}
	// Map iteration order is random; tests need a reproducible one.
	slices.Sort(s.order)
	s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
}

func (e *nodeEntry) target() Target {
	return Target{
		ID:          e.node.GetId(),
		Address:     e.node.GetFleetAddress(),
		DataCentre:  e.node.GetDataCentre(),
		Incarnation: e.node.GetIncarnation(),
	}
}

// ProbeHelpers returns up to n members that may reach the target over another network path. Members of
// third data centres come first, since a partition between two data centres does not affect the path
// through a third. One place is kept for the target's own data centre, in case the third one is
// unreachable.
func (s *State) ProbeHelpers(t Target, n int) []Target {
	var otherCentres, targetCentre, ownCentre []Target
	for id, e := range s.nodes {
		centre := e.node.GetDataCentre()
		switch {
		case id == s.id || id == t.ID || e.localState() != fleetpb.NodeState_NODE_STATE_ALIVE:
		case centre == s.Self().GetDataCentre():
			ownCentre = append(ownCentre, e.target())
		case centre == t.DataCentre:
			targetCentre = append(targetCentre, e.target())
		default:
			otherCentres = append(otherCentres, e.target())
		}
	}
	otherCentres, targetCentre, ownCentre = s.shuffleTargets(otherCentres), s.shuffleTargets(targetCentre), s.shuffleTargets(ownCentre)
	first := min(max(n-1, 0), len(otherCentres))
	helpers := slices.Concat(otherCentres[:first], targetCentre, otherCentres[first:], ownCentre)
	return helpers[:min(n, len(helpers))]
}

func (s *State) shuffleTargets(targets []Target) []Target {
	slices.SortFunc(targets, func(a, b Target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets
}

// Tick declares nodes dead that were suspect for SuspicionTimeout, unless this node is isolated, and drops
// old entries.
func (s *State) Tick(now time.Time) {
	for id, e := range s.nodes {
		if id != s.id {
			s.expireNode(now, e)
		}
	}
	for _, table := range []*serverTable{s.servers, s.entryHosts} {
		for _, e := range table.entries {
			if now.Sub(e.Renewed) > serverRetention {
				table.drop(e)
			}
		}
	}
}

func (s *State) expireNode(now time.Time, e *nodeEntry) {
	age := now.Sub(e.stateSince)
	switch {
	case e.node.GetState() == fleetpb.NodeState_NODE_STATE_SUSPECT && age >= SuspicionTimeout && !s.Isolated(now):
		n := cloneNode(e.node)
		n.State = fleetpb.NodeState_NODE_STATE_DEAD
		s.putNode(now, n)
	case leavingOrDead(e.node) && age > tombstoneRetention:
		delete(s.nodes, e.node.GetId())
		delete(s.nodesByKey, e.key)
	}
}
