package membership

import (
	"time"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Outcome is what a message led to.
type Outcome struct {
	// FollowUp is a request to send to the same member at once; nil if there is none.
	FollowUp *fleetpb.GossipRequest
	// NewerRevision tells that the sender has a newer configuration revision; nil if it has not.
	NewerRevision *PeerRevision
}

// Request returns what to send to a member. The id of the member may be empty if it is not known.
func (s *State) Request(now time.Time, member string) *fleetpb.GossipRequest {
	r := s.request(now)
	if e, ok := s.nodes[member]; ok && e.node.GetState() == fleetpb.NodeState_NODE_STATE_SUSPECT {
		r.Nodes = append(r.Nodes, e.message(now))
	}
	return r
}

// LeaveMessage returns the message that tells a member directly what this node says about itself.
func (s *State) LeaveMessage(now time.Time) *fleetpb.GossipRequest {
	r := s.request(now)
	r.Nodes = append(r.Nodes, cloneNode(s.Self()))
	return r
}

func (s *State) request(now time.Time) *fleetpb.GossipRequest {
	_, nodeDigest := s.sharedNodes(now)
	_, serverDigest := s.sharedServers(now)
	return &fleetpb.GossipRequest{From: s.sender(), NodeDigest: nodeDigest, Digest: serverDigest}
}

// sender is the short form of this node's entry.
func (s *State) sender() *fleetpb.Node {
	own := s.Self()
	return &fleetpb.Node{
		Id:          own.GetId(),
		Incarnation: own.GetIncarnation(),
		Version:     own.GetVersion(),
		State:       own.GetState(),
		Revision:    own.GetRevision(),
	}
}

// HandleRequest takes in a request and returns the reply.
// Errors: MalformedError, without any effect; SupersededError for a forwarded announcement.
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
	s.heardFrom(now, r.GetFrom().GetId())
	return s.reply(now, r), Outcome{NewerRevision: s.newer(r.GetFrom())}, nil
}

func (s *State) reply(now time.Time, r *fleetpb.GossipRequest) *fleetpb.GossipReply {
	nodes, nodeDigest := s.sharedNodes(now)
	servers, serverDigest := s.sharedServers(now)
	reply := &fleetpb.GossipReply{
		From:       s.sender(),
		NodeDigest: nodeDigest,
		Digest:     serverDigest,
		ClockMs:    s.Clock(now),
	}
	for _, e := range servers {
		reply.Ages = append(reply.Ages, ageOnWire(now, e.Renewed))
		reply.Loads = append(reply.Loads, byte(e.Load*loadUnits))
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
	s.addWanted(now, r, reply)
	s.correctSender(now, r.GetFrom(), reply)
	return reply
}

func (s *State) addWanted(now time.Time, r *fleetpb.GossipRequest, reply *fleetpb.GossipReply) {
	for _, key := range r.GetWantNodes() {
		if e, ok := s.byNode[key]; ok {
			reply.Nodes = append(reply.Nodes, e.message(now))
		}
	}
	for _, key := range r.GetWantServers() {
		if e, ok := s.byKey[key]; ok && now.Sub(e.Renewed) <= shareServerFor {
			reply.Servers = append(reply.Servers, agedMessage(now, e))
		}
	}
}

// correctSender asks the sender for its own entry if it is missing here, or tells it what this
// node believes about it instead.
func (s *State) correctSender(now time.Time, from *fleetpb.Node, reply *fleetpb.GossipReply) {
	key := nodeKey(from)
	if _, ok := s.byNode[key]; ok {
		return
	}
	if e, ok := s.nodes[from.GetId()]; ok && newerThan(e.node, from) {
		reply.Nodes = append(reply.Nodes, e.message(now))
		return
	}
	reply.Unknown = append(reply.Unknown, key)
}

// newerThan tells whether a wins over b when both speak of the same node.
func newerThan(a, b *fleetpb.Node) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetState() != b.GetState() {
		return a.GetState() > b.GetState()
	}
	return a.GetVersion() > b.GetVersion()
}

// HandleReply takes in the reply to a request that was sent at the given time.
// Errors: MalformedError, without any effect.
func (s *State) HandleReply(now, sent time.Time, r *fleetpb.GossipReply) (Outcome, error) {
	if err := checkReply(r); err != nil {
		return Outcome{}, err
	}
	s.reached(now)
	for _, n := range r.GetNodes() {
		s.mergeNode(now, n)
	}
	for _, m := range r.GetServers() {
		s.mergeServer(now, sent, m)
	}
	s.heardFrom(now, r.GetFrom().GetId())
	out := Outcome{NewerRevision: s.newer(r.GetFrom())}
	wantServers := s.takeAges(now, sent, r)
	wantNodes := s.missingNodes(r.GetNodeKeys())
	if len(wantServers) == 0 && len(wantNodes) == 0 && len(r.GetUnknown()) == 0 {
		return out, nil
	}
	out.FollowUp = s.request(now)
	out.FollowUp.WantServers = wantServers
	out.FollowUp.WantNodes = wantNodes
	if len(r.GetUnknown()) > 0 {
		out.FollowUp.Nodes = append(out.FollowUp.Nodes, cloneNode(s.Self()))
	}
	return out, nil
}

// takeAges renews entries and returns the keys of those that this node lacks.
func (s *State) takeAges(now, sent time.Time, r *fleetpb.GossipReply) (missing []uint64) {
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
		known := s.renew(sent, key, r.GetAges()[i], r.GetLoads()[i])
		if !known && len(missing) < maxFollowUp {
			missing = append(missing, key)
		}
	}
	return missing
}

func (s *State) missingNodes(keys []uint64) (missing []uint64) {
	for _, key := range keys {
		if _, ok := s.byNode[key]; !ok && len(missing) < maxFollowUp {
			missing = append(missing, key)
		}
	}
	return missing
}

func (s *State) newer(from *fleetpb.Node) *PeerRevision {
	if from.GetRevision() <= s.Self().GetRevision() {
		return nil
	}
	p := &PeerRevision{Node: from.GetId(), Revision: from.GetRevision()}
	if e, ok := s.nodes[from.GetId()]; ok {
		p.Address = e.node.GetFleetAddress()
	}
	return p
}
