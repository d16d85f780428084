package membership

import (
	"time"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Outcome holds the actions that follow from a message.
type Outcome struct {
	// FollowUp is a request to send to the same member immediately; nil if there is none.
	FollowUp *fleetpb.GossipRequest
	// NewerRevision is set if the sender has a newer configuration revision than this node.
	NewerRevision *PeerRevision
	// Skipped is why an entry of a backend server was left out; nil if all were applied.
	Skipped error
}

// Request returns the first request of an exchange with a member. The id may be empty if it is not
// known. A suspect member is sent its own entry, so that it can refute the suspicion.
func (s *State) Request(now time.Time, member string) *fleetpb.GossipRequest {
	r := s.newRequest(now)
	if e, ok := s.nodes[member]; ok && e.node.GetState() == fleetpb.NodeState_NODE_STATE_SUSPECT {
		r.Nodes = append(r.Nodes, e.message(now))
	}
	return r
}

// LeaveMessage returns the message that sends this node's own entry directly to a member.
func (s *State) LeaveMessage(now time.Time) *fleetpb.GossipRequest {
	r := s.newRequest(now)
	r.Nodes = append(r.Nodes, cloneNode(s.Self()))
	return r
}

func (s *State) newRequest(now time.Time) *fleetpb.GossipRequest {
	_, nodeDigest := s.sharedNodes(now)
	_, serverDigest := s.sharedServers(now)
	return &fleetpb.GossipRequest{From: s.senderEntry(), NodeDigest: nodeDigest, Digest: serverDigest}
}

// senderEntry returns the short form of this node's entry.
func (s *State) senderEntry() *fleetpb.Node {
	own := s.Self()
	return &fleetpb.Node{
		Id:          own.GetId(),
		Incarnation: own.GetIncarnation(),
		Version:     own.GetVersion(),
		State:       own.GetState(),
		Revision:    own.GetRevision(),
	}
}

// HandleRequest applies a request and returns the reply. Errors: MalformedError, without any effect;
// SupersededError for a forwarded announcement.
func (s *State) HandleRequest(now time.Time, r *fleetpb.GossipRequest) (*fleetpb.GossipReply, Outcome, error) {
	if err := checkRequest(r); err != nil {
		return nil, Outcome{}, err
	}
	reference := s.start.Add(time.Duration(r.GetReferenceMs()) * time.Millisecond)
	if len(r.GetServers()) > 0 && (r.GetReferenceMs() <= 0 || reference.After(now)) {
		return nil, Outcome{}, malformed("reference_ms", "is not a past time of this node's clock")
	}
	for _, n := range r.GetNodes() {
		s.mergeNode(now, n)
	}
	for _, m := range r.GetServers() {
		server := serverFromMessage(reference, m).Server
		if err := s.Announce(server.Renewed, server); err != nil {
			return nil, Outcome{}, err
		}
	}
	s.recordContact(now, r.GetFrom().GetId())
	return s.reply(now, r), Outcome{NewerRevision: s.newerRevision(r.GetFrom())}, nil
}

func (s *State) reply(now time.Time, r *fleetpb.GossipRequest) *fleetpb.GossipReply {
	nodes, nodeDigest := s.sharedNodes(now)
	servers, serverDigest := s.sharedServers(now)
	reply := &fleetpb.GossipReply{
		From:       s.senderEntry(),
		NodeDigest: nodeDigest,
		Digest:     serverDigest,
		ClockMs:    s.Clock(now),
	}
	for _, e := range servers {
		reply.Ages = append(reply.Ages, encodeAge(now, e.Renewed))
		reply.Loads = append(reply.Loads, byte(e.Load*loadScale))
	}
	if serverDigest != r.GetDigest() {
		for _, e := range servers {
			reply.ServerKeys = append(reply.ServerKeys, e.key)
		}
	}
	if nodeDigest != r.GetNodeDigest() {
		for _, e := range nodes {
			reply.NodeKeys = append(reply.NodeKeys, e.key)
		}
	}
	s.addRequestedEntries(now, r, reply)
	s.correctSender(now, r.GetFrom(), reply)
	return reply
}

func (s *State) addRequestedEntries(now time.Time, r *fleetpb.GossipRequest, reply *fleetpb.GossipReply) {
	for _, key := range r.GetWantNodes() {
		if e, ok := s.nodesByKey[key]; ok {
			reply.Nodes = append(reply.Nodes, e.message(now))
		}
	}
	for _, key := range r.GetWantServers() {
		if e, ok := s.gossiped.byKey[key]; ok && now.Sub(e.Renewed) <= serverShareMaxAge {
			reply.Servers = append(reply.Servers, serverMessageWithAges(now, e))
		}
	}
}

// correctSender asks the sender for its own entry if this node lacks it, or sends the sender this
// node's entry about it if that one is newer.
func (s *State) correctSender(now time.Time, from *fleetpb.Node, reply *fleetpb.GossipReply) {
	key := nodeKey(from)
	if _, ok := s.nodesByKey[key]; ok {
		return
	}
	if e, ok := s.nodes[from.GetId()]; ok && newerThan(e.node, from) {
		reply.Nodes = append(reply.Nodes, e.message(now))
		return
	}
	reply.Unknown = append(reply.Unknown, key)
}

// newerThan reports whether a supersedes b, where both describe the same node.
func newerThan(a, b *fleetpb.Node) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetState() != b.GetState() {
		return a.GetState() > b.GetState()
	}
	return a.GetVersion() > b.GetVersion()
}

// HandleReply applies the reply to a request that was sent at the given time, except for malformed entries of backend
// servers. Errors: MalformedError, without any effect.
func (s *State) HandleReply(now, sent time.Time, r *fleetpb.GossipReply) (Outcome, error) {
	if err := checkReply(r); err != nil {
		return Outcome{}, err
	}
	s.recordRoundTrip(now)
	for _, n := range r.GetNodes() {
		s.mergeNode(now, n)
	}
	var out Outcome
	for _, m := range r.GetServers() {
		if err := checkServer(m); err != nil {
			out.Skipped = err
			continue
		}
		s.mergeServer(now, sent, m)
	}
	s.recordContact(now, r.GetFrom().GetId())
	out.NewerRevision = s.newerRevision(r.GetFrom())
	wantServers := s.applyAges(now, sent, r)
	wantNodes := s.missingNodes(r.GetNodeKeys())
	if len(wantServers) == 0 && len(wantNodes) == 0 && len(r.GetUnknown()) == 0 {
		return out, nil
	}
	out.FollowUp = s.newRequest(now)
	out.FollowUp.WantServers = wantServers
	out.FollowUp.WantNodes = wantNodes
	if len(r.GetUnknown()) > 0 {
		out.FollowUp.Nodes = append(out.FollowUp.Nodes, cloneNode(s.Self()))
	}
	return out, nil
}

// applyAges renews entries and returns the keys of those that this node lacks.
func (s *State) applyAges(now, sent time.Time, r *fleetpb.GossipReply) (missing []uint64) {
	keys := r.GetServerKeys()
	if len(keys) == 0 {
		own, digest := s.sharedServers(now)
		if digest != r.GetDigest() || len(own) != len(r.GetAges()) {
			return nil
		}
		for _, e := range own {
			keys = append(keys, e.key)
		}
	}
	for i, key := range keys {
		known := s.renewServer(sent, key, r.GetAges()[i], r.GetLoads()[i])
		if !known && len(missing) < maxFollowUpEntries {
			missing = append(missing, key)
		}
	}
	return missing
}

func (s *State) missingNodes(keys []uint64) (missing []uint64) {
	for _, key := range keys {
		if _, ok := s.nodesByKey[key]; !ok && len(missing) < maxFollowUpEntries {
			missing = append(missing, key)
		}
	}
	return missing
}

func (s *State) newerRevision(from *fleetpb.Node) *PeerRevision {
	if from.GetRevision() <= s.Self().GetRevision() {
		return nil
	}
	p := &PeerRevision{Node: from.GetId(), Revision: from.GetRevision()}
	if e, ok := s.nodes[from.GetId()]; ok {
		p.Address = e.node.GetFleetAddress()
	}
	return p
}
