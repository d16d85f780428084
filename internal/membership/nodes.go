package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

func cloneNode(n *fleetpb.Node) *fleetpb.Node {
	return proto.CloneOf(n)
}

// gone tells whether the node left or died.
func gone(n *fleetpb.Node) bool {
	return n.GetState() >= fleetpb.NodeState_NODE_STATE_LEAVING
}

// nodeKey identifies one version of an entry.
func nodeKey(n *fleetpb.Node) uint64 {
	var d xxhash.Digest
	d.Reset()
	var numbers [17]byte
	binary.LittleEndian.PutUint64(numbers[0:], n.GetIncarnation())
	binary.LittleEndian.PutUint64(numbers[8:], n.GetVersion())
	numbers[16] = byte(n.GetState())
	// Writing to a digest cannot fail.
	_, _ = d.WriteString(n.GetId())
	_, _ = d.Write(numbers[:])
	for _, centre := range n.GetSuspectedBy() {
		_, _ = d.WriteString(centre)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// putNode stores a version of an entry.
func (s *State) putNode(now time.Time, n *fleetpb.Node) {
	id := n.GetId()
	e, ok := s.nodes[id]
	if !ok {
		e = &nodeEntry{since: now}
		s.nodes[id] = e
	} else {
		invariant.Check(n.GetIncarnation() >= e.node.GetIncarnation(), "membership.incarnation-rises",
			"node %s went from incarnation %d to %d", id, e.node.GetIncarnation(), n.GetIncarnation())
		delete(s.byNode, e.key)
		if e.node.GetState() != n.GetState() || e.node.GetIncarnation() != n.GetIncarnation() {
			e.since = now
		}
	}
	if n.GetState() != fleetpb.NodeState_NODE_STATE_ALIVE || !ok || n.GetIncarnation() > e.node.GetIncarnation() {
		e.doubt = false
	}
	e.node = n
	e.key = nodeKey(n)
	s.byNode[e.key] = e
}

// mergeNode takes in an entry from another node. The time of its state is known only to lie
// within the given age.
func (s *State) mergeNode(now time.Time, in *fleetpb.Node) {
	if in.GetId() == s.id {
		s.refute(now, in)
		return
	}
	age := time.Duration(in.GetAgeMs()) * time.Millisecond
	e, ok := s.nodes[in.GetId()]
	if !ok {
		if gone(in) && age > shareGoneFor {
			return
		}
		s.storeNode(now, in, age)
		return
	}
	switch {
	case in.GetIncarnation() < e.node.GetIncarnation():
	case in.GetIncarnation() > e.node.GetIncarnation():
		s.storeNode(now, in, age)
	case in.GetState() < e.node.GetState():
	case in.GetState() > e.node.GetState():
		s.raiseState(now, e, in, age)
	case in.GetState() == fleetpb.NodeState_NODE_STATE_SUSPECT:
		s.suspect(now, e, in.GetSuspectedBy())
	case in.GetVersion() > e.node.GetVersion():
		s.storeNode(now, in, age)
	}
}

func (s *State) storeNode(now time.Time, in *fleetpb.Node, age time.Duration) {
	n := cloneNode(in)
	n.AgeMs = 0
	slices.Sort(n.SuspectedBy)
	n.SuspectedBy = slices.Compact(n.SuspectedBy)
	s.putNode(now, n)
	if gone(n) {
		s.nodes[n.GetId()].since = now.Add(-age)
	}
}

// raiseState takes a later state of the same incarnation. The word of a single data centre that a
// living node is dead counts as a suspicion only: one data centre that was cut off would otherwise
// declare all others dead on its return.
func (s *State) raiseState(now time.Time, e *nodeEntry, in *fleetpb.Node, age time.Duration) {
	switch {
	case in.GetState() == fleetpb.NodeState_NODE_STATE_SUSPECT:
		s.suspect(now, e, in.GetSuspectedBy())
	case in.GetState() == fleetpb.NodeState_NODE_STATE_DEAD &&
		e.node.GetState() <= fleetpb.NodeState_NODE_STATE_SUSPECT &&
		len(in.GetSuspectedBy()) < confirmations:
		s.suspect(now, e, in.GetSuspectedBy())
	default:
		s.storeNode(now, in, age)
	}
}

// suspect adds the word of data centres that a node does not answer.
func (s *State) suspect(now time.Time, e *nodeEntry, by []string) {
	n := cloneNode(e.node)
	n.State = max(n.State, fleetpb.NodeState_NODE_STATE_SUSPECT)
	n.SuspectedBy = append(n.SuspectedBy, by...)
	slices.Sort(n.SuspectedBy)
	n.SuspectedBy = slices.Compact(n.SuspectedBy)
	if len(n.SuspectedBy) >= confirmations {
		n.State = fleetpb.NodeState_NODE_STATE_DEAD
	}
	if nodeKey(n) != e.key {
		s.putNode(now, n)
	}
}

// refute raises this node's incarnation if others believe something about it that is not so.
func (s *State) refute(now time.Time, in *fleetpb.Node) {
	own := s.Self()
	newer := in.GetIncarnation() > own.GetIncarnation()
	same := in.GetIncarnation() == own.GetIncarnation()
	if newer || same && (in.GetState() > own.GetState() || in.GetVersion() > own.GetVersion()) {
		s.changeSelf(now, func(n *fleetpb.Node) { n.Incarnation = in.GetIncarnation() + 1 })
	}
}

// ProbeFailed records that neither this node nor its helpers reached a member since the probe
// began. It has no effect if the member was heard since or has another incarnation by now.
func (s *State) ProbeFailed(now, began time.Time, t Target) {
	e, ok := s.nodes[t.ID]
	if !ok || t.ID == s.id || e.node.GetIncarnation() != t.Incarnation || e.heard.After(began) {
		return
	}
	switch {
	case s.Isolated(now):
		e.doubt = true
	case e.node.GetState() == fleetpb.NodeState_NODE_STATE_LEAVING:
		n := cloneNode(e.node)
		n.State = fleetpb.NodeState_NODE_STATE_DEAD
		s.putNode(now, n)
	case e.node.GetState() < fleetpb.NodeState_NODE_STATE_LEAVING:
		s.suspect(now, e, []string{s.Self().GetDataCentre()})
	}
}

// heardFrom records a message of a node.
func (s *State) heardFrom(now time.Time, id string) {
	if e, ok := s.nodes[id]; ok && id != s.id {
		e.heard = now
		e.doubt = false
	}
}

// reached records a whole round trip. Requests of others do not count as contact, since a node
// whose own messages are lost judges others as wrongly as one that hears nobody.
func (s *State) reached(now time.Time) {
	if s.Isolated(now) {
		for _, e := range s.nodes {
			e.doubt = false
		}
	}
	s.contact = now
}

// sharedNodes returns the entries to pass on and their digest.
func (s *State) sharedNodes(now time.Time) (entries []*nodeEntry, digest uint64) {
	entries = make([]*nodeEntry, 0, len(s.nodes))
	for _, e := range s.nodes {
		if gone(e.node) && now.Sub(e.since) > shareGoneFor {
			continue
		}
		entries = append(entries, e)
		digest ^= e.key
	}
	return entries, digest
}

func (e *nodeEntry) message(now time.Time) *fleetpb.Node {
	n := cloneNode(e.node)
	if gone(n) {
		n.AgeMs = max(0, now.Sub(e.since).Milliseconds())
	}
	return n
}
