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

// leavingOrDead reports whether the node is leaving or dead.
func leavingOrDead(n *fleetpb.Node) bool {
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
	// Writes to a digest cannot fail.
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
		e = &nodeEntry{stateSince: now}
		s.nodes[id] = e
	} else {
		invariant.Check(n.GetIncarnation() >= e.node.GetIncarnation(), "membership.incarnation-rises",
			"node %s went from incarnation %d to %d", id, e.node.GetIncarnation(), n.GetIncarnation())
		delete(s.nodesByKey, e.key)
		if e.node.GetState() != n.GetState() || e.node.GetIncarnation() != n.GetIncarnation() {
			e.stateSince = now
		}
	}
	if n.GetState() != fleetpb.NodeState_NODE_STATE_ALIVE || !ok || n.GetIncarnation() > e.node.GetIncarnation() {
		e.localSuspicion = false
	}
	e.node = n
	e.key = nodeKey(n)
	s.nodesByKey[e.key] = e
}

// mergeNode merges an entry from another node. The node reached its state at an unknown time, at most
// the given age ago.
func (s *State) mergeNode(now time.Time, in *fleetpb.Node) {
	if in.GetId() == s.id {
		s.refute(now, in)
		return
	}
	age := time.Duration(in.GetAgeMs()) * time.Millisecond
	e, ok := s.nodes[in.GetId()]
	if !ok {
		if leavingOrDead(in) && age > tombstoneShareMaxAge {
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
		s.addSuspicions(now, e, in.GetSuspectedBy())
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
	if leavingOrDead(n) {
		s.nodes[n.GetId()].stateSince = now.Add(-age)
	}
}

// raiseState applies a higher state of the same incarnation. An entry in which a single data centre
// declares a live node dead counts only as a suspicion: otherwise a data centre that was cut off would
// declare all others dead when it reconnects.
func (s *State) raiseState(now time.Time, e *nodeEntry, in *fleetpb.Node, age time.Duration) {
	switch {
	case in.GetState() == fleetpb.NodeState_NODE_STATE_SUSPECT:
		s.addSuspicions(now, e, in.GetSuspectedBy())
	case in.GetState() == fleetpb.NodeState_NODE_STATE_DEAD &&
		e.node.GetState() <= fleetpb.NodeState_NODE_STATE_SUSPECT &&
		len(in.GetSuspectedBy()) < suspicionQuorum:
		s.addSuspicions(now, e, in.GetSuspectedBy())
	default:
		s.storeNode(now, in, age)
	}
}

// addSuspicions adds data centres that suspect the node. The node is dead once suspicionQuorum of them
// do.
func (s *State) addSuspicions(now time.Time, e *nodeEntry, by []string) {
	n := cloneNode(e.node)
	n.State = max(n.State, fleetpb.NodeState_NODE_STATE_SUSPECT)
	n.SuspectedBy = append(n.SuspectedBy, by...)
	slices.Sort(n.SuspectedBy)
	n.SuspectedBy = slices.Compact(n.SuspectedBy)
	if len(n.SuspectedBy) >= suspicionQuorum {
		n.State = fleetpb.NodeState_NODE_STATE_DEAD
	}
	if nodeKey(n) != e.key {
		s.putNode(now, n)
	}
}

// refute raises this node's incarnation if another node has an entry about it that this process did not
// issue: one with a higher incarnation or, at the same incarnation, with a later state or version.
func (s *State) refute(now time.Time, in *fleetpb.Node) {
	own := s.Self()
	newer := in.GetIncarnation() > own.GetIncarnation()
	same := in.GetIncarnation() == own.GetIncarnation()
	if newer || same && (in.GetState() > own.GetState() || in.GetVersion() > own.GetVersion()) {
		s.updateSelf(now, func(n *fleetpb.Node) { n.Incarnation = in.GetIncarnation() + 1 })
	}
}

// ProbeFailed records that neither this node nor its helpers reached a member since the probe began. It
// has no effect if the member was heard from since then or has another incarnation by now.
func (s *State) ProbeFailed(now, began time.Time, t Target) {
	e, ok := s.nodes[t.ID]
	if !ok || t.ID == s.id || e.node.GetIncarnation() != t.Incarnation || e.lastHeard.After(began) {
		return
	}
	switch {
	case s.Isolated(now):
		e.localSuspicion = true
	case e.node.GetState() == fleetpb.NodeState_NODE_STATE_LEAVING:
		n := cloneNode(e.node)
		n.State = fleetpb.NodeState_NODE_STATE_DEAD
		s.putNode(now, n)
	case e.node.GetState() < fleetpb.NodeState_NODE_STATE_LEAVING:
		s.addSuspicions(now, e, []string{s.Self().GetDataCentre()})
	}
}

// recordContact records that a message was received directly from a node.
func (s *State) recordContact(now time.Time, id string) {
	if e, ok := s.nodes[id]; ok && id != s.id {
		e.lastHeard = now
		e.localSuspicion = false
	}
}

// recordRoundTrip records a complete round trip. Requests received from others do not count as contact,
// since a node whose own messages are lost suspects others just as wrongly as a node that receives no
// messages at all.
func (s *State) recordRoundTrip(now time.Time) {
	if s.Isolated(now) {
		for _, e := range s.nodes {
			e.localSuspicion = false
		}
	}
	s.lastRoundTrip = now
}

// sharedNodes returns the entries to pass on and their digest.
func (s *State) sharedNodes(now time.Time) (entries []*nodeEntry, digest uint64) {
	entries = make([]*nodeEntry, 0, len(s.nodes))
	for _, e := range s.nodes {
		if leavingOrDead(e.node) && now.Sub(e.stateSince) > tombstoneShareMaxAge {
			continue
		}
		entries = append(entries, e)
		digest ^= e.key
	}
	return entries, digest
}

func (e *nodeEntry) message(now time.Time) *fleetpb.Node {
	n := cloneNode(e.node)
	if leavingOrDead(n) {
		n.AgeMs = max(0, now.Sub(e.stateSince).Milliseconds())
	}
	return n
}
