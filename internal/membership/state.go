package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// State is the pure gossip state of one node. Time and messages are arguments. It is not safe for
// concurrent use.
type State struct {
	id      string
	start   time.Time
	random  *rand.Rand
	nodes   map[string]*nodeEntry
	byNode  map[uint64]*nodeEntry
	servers map[serverID]*serverEntry
	byKey   map[uint64]*serverEntry
	// contact is the time of the last whole round trip with another node.
	contact time.Time
	rotation
}

// rotation is the order in which members are asked.
type rotation struct {
	order []string
}

// NewState returns the state of a node that knows only itself.
func NewState(now time.Time, self Identity, random *rand.Rand) *State {
	s := &State{
		id:      self.ID,
		start:   now,
		random:  random,
		nodes:   map[string]*nodeEntry{},
		byNode:  map[uint64]*nodeEntry{},
		servers: map[serverID]*serverEntry{},
		byKey:   map[uint64]*serverEntry{},
		contact: now,
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

// Clock is this node's clock in milliseconds, to which forwarded ages refer.
func (s *State) Clock(now time.Time) int64 {
	return now.Sub(s.start).Milliseconds()
}

// Isolated tells whether no other node answered for a while.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.contact) > isolatedAfter
}

// Self returns this node's own entry. The caller must not change it.
func (s *State) Self() *fleetpb.Node {
	return s.nodes[s.id].node
}

// SetRevision records the configuration revision in force. A lower revision is ignored.
func (s *State) SetRevision(now time.Time, revision uint64) {
	if revision > s.Self().GetRevision() {
		s.changeSelf(now, func(n *fleetpb.Node) { n.Revision = revision })
	}
}

// SetReady records whether this node serves callers.
func (s *State) SetReady(now time.Time, ready bool) {
	if ready != s.Self().GetReady() {
		s.changeSelf(now, func(n *fleetpb.Node) { n.Ready = ready })
	}
}

// SetUnreachable records the services that this node cannot reach.
func (s *State) SetUnreachable(now time.Time, services []string) {
	sorted := slices.Sorted(slices.Values(services))
	if !slices.Equal(sorted, s.Self().GetUnreachableServices()) {
		s.changeSelf(now, func(n *fleetpb.Node) { n.UnreachableServices = sorted })
	}
}

// Leave marks this node as leaving for good.
func (s *State) Leave(now time.Time) {
	if s.Self().GetState() < fleetpb.NodeState_NODE_STATE_LEAVING {
		s.changeSelf(now, func(n *fleetpb.Node) { n.State = fleetpb.NodeState_NODE_STATE_LEAVING })
	}
}

func (s *State) changeSelf(now time.Time, change func(*fleetpb.Node)) {
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

// View returns all nodes as messages, ordered by id, with the time since each was last heard here.
// The age of a node that was never heard counts from when its state was learned.
func (s *State) View(now time.Time) []*fleetpb.Node {
	var nodes []*fleetpb.Node
	for _, m := range s.Members() {
		e := s.nodes[m.ID]
		n := cloneNode(e.node)
		n.State = e.state()
		if m.ID != s.id {
			n.AgeMs = max(0, now.Sub(latest(e.heard, e.since)).Milliseconds())
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
		State:        e.state(),
		DataCentre:   e.node.GetDataCentre(),
		EntryAddress: e.node.GetEntryAddress(),
		FleetAddress: e.node.GetFleetAddress(),
		Role:         e.node.GetRole(),
		Revision:     e.node.GetRevision(),
		Ready:        e.node.GetReady(),
		Unreachable:  e.node.GetUnreachableServices(),
		LastHeard:    e.heard,
		StateSince:   e.since,
	}
}

// state includes the doubts that are not passed on.
func (e *nodeEntry) state() fleetpb.NodeState {
	if e.doubt && e.node.GetState() == fleetpb.NodeState_NODE_STATE_ALIVE {
		return fleetpb.NodeState_NODE_STATE_SUSPECT
	}
	return e.node.GetState()
}

// NextTarget returns the next member to exchange with; ok is false if there is none. Every member that
// is not dead gets its turn once in each round, in an order that changes from round to round.
func (s *State) NextTarget() (t Target, ok bool) {
	for range 2 {
		for len(s.order) > 0 {
			id := s.order[len(s.order)-1]
			s.order = s.order[:len(s.order)-1]
			if e, known := s.nodes[id]; known && e.node.GetState() != fleetpb.NodeState_NODE_STATE_DEAD {
				return e.target(), true
			}
		}
		s.reshuffle()
	}
	return Target{}, false
}

func (s *State) reshuffle() {
	for id := range s.nodes {
		if id != s.id {
			s.order = append(s.order, id)
		}
	}
	// The order of a map is not reproducible in tests.
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

// ProbeHelpers returns up to n members that may reach the target by another path. Members of third data
// centres come first, since a cut between two data centres leaves the way through a third, but one
// place is for the target's own data centre, in case the third is the one that is lost.
func (s *State) ProbeHelpers(t Target, n int) []Target {
	var third, beside, near []Target
	for id, e := range s.nodes {
		centre := e.node.GetDataCentre()
		switch {
		case id == s.id || id == t.ID || e.state() != fleetpb.NodeState_NODE_STATE_ALIVE:
		case centre == s.Self().GetDataCentre():
			near = append(near, e.target())
		case centre == t.DataCentre:
			beside = append(beside, e.target())
		default:
			third = append(third, e.target())
		}
	}
	third, beside, near = s.shuffled(third), s.shuffled(beside), s.shuffled(near)
	first := min(max(n-1, 0), len(third))
	helpers := slices.Concat(third[:first], beside, third[first:], near)
	return helpers[:min(n, len(helpers))]
}

func (s *State) shuffled(targets []Target) []Target {
	slices.SortFunc(targets, func(a, b Target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets
}

// Tick applies what is due: suspects become dead, and old entries are dropped.
func (s *State) Tick(now time.Time) {
	for id, e := range s.nodes {
		if id != s.id {
			s.expireNode(now, e)
		}
	}
	for _, e := range s.servers {
		if now.Sub(e.Renewed) > keepServerFor {
			s.dropServer(e)
		}
	}
}

func (s *State) expireNode(now time.Time, e *nodeEntry) {
	age := now.Sub(e.since)
	switch {
	case e.node.GetState() == fleetpb.NodeState_NODE_STATE_SUSPECT && age >= SuspicionTimeout && !s.Isolated(now):
		n := cloneNode(e.node)
		n.State = fleetpb.NodeState_NODE_STATE_DEAD
		s.putNode(now, n)
	case gone(e.node) && age > keepGoneFor:
		delete(s.nodes, e.node.GetId())
		delete(s.byNode, e.key)
	}
}
