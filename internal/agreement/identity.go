package agreement

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// peerAnswer is the last answer of one peer.
type peerAnswer struct {
	reply *agreementpb.PeerReply
	at    time.Time
}

// verdict is what the answers of the peers mean for a replica.
type verdict uint8

const (
	// wait means that more answers are needed.
	wait verdict = iota + 1
	// form means that all members of the first group are blank.
	form
	// adopt means that a peer knows a newer group.
	adopt
	// requestSwap means that the group lists another disk in this replica's place.
	requestSwap
	// outsider means that the group does not list this replica.
	outsider
	// outdated means that the folder is older than what a peer has seen of it, or was replaced.
	outdated
	// intact means that a majority of the group confirms the folder.
	intact
)

// situation is what a replica knows when it judges the answers of its peers.
type situation struct {
	id, disk string
	// sequence is the last journal entry when the folder was opened, and durable the last one now.
	opened, durable uint64
	group           *agreementpb.Group
	first           []Member
	seenAny         bool
	// join is set if the first group was formed before.
	join    bool
	answers map[string]*agreementpb.PeerReply
}

// judge decides by itself, from the arguments only.
func (s situation) judge() verdict {
	if newest := s.newest(); newest.GetEpoch() > s.group.GetEpoch() {
		return s.judgeNewer(newest)
	}
	if s.outdated() {
		return outdated
	}
	if s.group == nil {
		return s.judgeBlank()
	}
	self := findMember(s.group, s.id)
	if self == nil {
		return outsider
	}
	if self.GetDiskId() != s.disk {
		return outdated
	}
	if s.confirmations() >= majority(len(s.group.GetMembers())) {
		return intact
	}
	return wait
}

func (s situation) newest() *agreementpb.Group {
	var newest *agreementpb.Group
	for _, a := range s.answers {
		if a.GetGroup().GetEpoch() > newest.GetEpoch() {
			newest = a.GetGroup()
		}
	}
	return newest
}

func (s situation) judgeNewer(g *agreementpb.Group) verdict {
	self := findMember(g, s.id)
	switch {
	case s.group != nil:
		return adopt
	case s.outdated():
		return outdated
	case self == nil:
		return outsider
	case self.GetDiskId() != s.disk:
		return requestSwap
	default:
		return adopt
	}
}

// outdated tells whether a peer has seen more of this disk than the folder held when it was opened
// and than it holds now.
func (s situation) outdated() bool {
	for _, a := range s.answers {
		if a.GetSeenSequence() > max(s.opened, s.durable) {
			return true
		}
	}
	return false
}

// judgeBlank forms the first group only if nobody has seen any member.
func (s situation) judgeBlank() verdict {
	listed := false
	for _, m := range s.first {
		if m.ID == s.id {
			listed = true
			continue
		}
		a := s.answers[m.ID]
		if a == nil || a.GetState() != string(Blank) || a.GetSeenAny() {
			return wait
		}
	}
	if !listed || s.seenAny || s.join {
		return wait
	}
	return form
}

// confirmations counts the members that have answered, this replica included.
func (s situation) confirmations() int {
	count := 1
	for _, m := range s.group.GetMembers() {
		a := s.answers[m.GetId()]
		if m.GetId() != s.id && a != nil && a.GetSelf().GetDiskId() == m.GetDiskId() {
			count++
		}
	}
	return count
}

func findMember(g *agreementpb.Group, id string) *agreementpb.Member {
	for _, m := range g.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// peers returns whom to ask: the members of the group and of the one before, and those of the settings.
// It is called with the lock held.
func (r *Replica) peers() map[string]Member {
	peers := map[string]Member{}
	for _, m := range r.cfg.FirstGroup {
		peers[m.ID] = m
	}
	for _, m := range r.store.group.GetPrevious() {
		peers[m.GetId()] = Member{ID: m.GetId(), Address: m.GetAddress()}
	}
	for _, m := range r.store.group.GetMembers() {
		peers[m.GetId()] = Member{ID: m.GetId(), Address: m.GetAddress()}
	}
	for _, m := range r.newestGroup().GetMembers() {
		peers[m.GetId()] = Member{ID: m.GetId(), Address: m.GetAddress()}
	}
	if r.cfg.Discover != nil && r.store.group == nil {
		for _, m := range r.cfg.Discover() {
			peers[m.ID] = m
		}
	}
	delete(peers, r.cfg.ID)
	return peers
}

// exchange asks every peer that has no question open.
func (r *Replica) exchange(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.peerRequest()
	for id, m := range r.peers() {
		if r.asking[id] || r.now().Sub(r.answers[id].at) < ExchangeInterval/2 {
			continue
		}
		r.asking[id] = true
		r.background.Go(func() { r.ask(ctx, m, request) })
	}
}

// peerRequest is called with the lock held.
func (r *Replica) peerRequest() *agreementpb.PeerRequest {
	return &agreementpb.PeerRequest{
		Header:   &agreementpb.Header{Epoch: r.store.group.GetEpoch(), From: r.cfg.ID},
		Self:     r.self(),
		State:    string(r.state),
		Sequence: &agreementpb.Sequence{Id: r.cfg.ID, DiskId: r.disk, Sequence: r.log.Durable()},
	}
}

func (r *Replica) ask(ctx context.Context, m Member, request *agreementpb.PeerRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := r.client.Replica(m).Peer(ctx, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, m.ID)
	// An answer about a disk that was put aside meanwhile is of no use.
	if err != nil || request.GetSelf().GetDiskId() != r.disk || out.GetSelf().GetId() != m.ID {
		return
	}
	r.store.see(out.GetHeader().GetSequence())
	before := r.answers[m.ID].reply
	r.answers[m.ID] = peerAnswer{reply: out, at: r.now()}
	if before.GetState() != out.GetState() || before.GetGroup().GetEpoch() != out.GetGroup().GetEpoch() {
		r.poke()
	}
}

// situation is called with the lock held.
func (r *Replica) situation() situation {
	s := situation{
		id: r.cfg.ID, disk: r.disk, opened: r.opened, durable: r.log.Durable(),
		group: r.store.group, first: r.cfg.FirstGroup, seenAny: len(r.store.seen) > 0, join: r.cfg.Join,
		answers: map[string]*agreementpb.PeerReply{},
	}
	for id, a := range r.answers {
		if a.reply != nil && r.now().Sub(a.at) <= answerLifetime {
			s.answers[id] = a.reply
		}
	}
	return s
}

// step acts on the answers of the peers.
func (r *Replica) step(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log.Err() != nil {
		r.stop(r.log.Err().Error())
		return
	}
	s := r.situation()
	switch s.judge() {
	case form:
		r.form(s)
	case adopt:
		r.adopt(s.newest())
		r.poke()
	case requestSwap:
		r.become(Blank, "the group lists another disk of this replica; asking to be swapped in")
		r.requestSwap(ctx, s)
	case outsider:
		r.leave("the control group does not list this replica; an operator must swap it in")
	case outdated:
		r.discard(s)
	case intact:
		r.confirmed(ctx)
	default:
	}
}

// leave is called with the lock held. A former voter keeps its state, from which learners copy.
func (r *Replica) leave(reason string) {
	if r.store.group == nil {
		r.become(Blank, reason)
		return
	}
	r.become(Stopped, reason)
}

// discard is called with the lock held. A running replica whose place another disk took keeps its
// folder, from which learners copy; after a restart it begins anew.
func (r *Replica) discard(s situation) {
	if r.verified && !s.outdated() {
		r.become(Stopped, "another disk has taken this replica's place in the group")
		return
	}
	if r.compacting {
		// The snapshot that is being written must not land in the new folder.
		return
	}
	reason := "the folder is older than what the peers have seen of it, or its disk was replaced in the group"
	r.logger.Error("the data folder is not this replica's newest one", "id", r.cfg.ID, "disk", r.disk, "sequence", s.durable)
	seen := r.store.seen
	if err := r.log.Close(); err != nil {
		r.logger.Warn("the old journal could not be closed", "err", logging.Err(err))
	}
	if err := r.beginAnew(reason); err != nil {
		r.logger.Error("no new data folder could be made; the replica stops", "err", logging.Err(err))
		r.stop(err.Error())
		return
	}
	r.store.seen = seen
	r.answers = map[string]peerAnswer{}
	r.poke()
}

// form is called with the lock held, when all members of the first group are blank.
func (r *Replica) form(s situation) {
	g := &agreementpb.Group{Epoch: 1}
	for _, m := range r.cfg.FirstGroup {
		disk := r.disk
		if m.ID != r.cfg.ID {
			disk = s.answers[m.ID].GetSelf().GetDiskId()
		}
		g.Members = append(g.Members, &agreementpb.Member{Id: m.ID, DiskId: disk, Address: m.Address, Joined: 1})
	}
	r.logger.Info("the first control group is formed", "id", r.cfg.ID, "members", len(g.Members))
	r.adopt(g)
	r.verified = true
	r.become(Voting, "")
}

// adopt moves to a newer group. It is called with the lock held.
func (r *Replica) adopt(g *agreementpb.Group) {
	if g.GetEpoch() <= r.store.group.GetEpoch() {
		return
	}
	first := r.store.group == nil
	entries := []*agreementpb.JournalEntry{entryGroup(g)}
	if first && g.GetEpoch() == 1 {
		// This member of the first group has not voted before, so its empty state is its full state.
		entries = append(entries, entryReady(1))
		r.store.ready = 1
	}
	r.store.group = g
	r.groupSequence = r.append(entries...)
	if r.state == Stopped && r.log.Err() != nil {
		return
	}
	r.logger.Info("the replica moves to a new group", "id", r.cfg.ID, "epoch", g.GetEpoch())
	self := findMember(g, r.cfg.ID)
	switch {
	case self == nil:
		r.leave("removed from the control group; stop this process or swap the replica in again")
	case self.GetDiskId() != r.disk:
		r.leave("another disk has taken this replica's place in the group")
	case self.GetJoined() != r.store.ready:
		r.verified = false
		r.become(Learning, "copying the state of the group")
	case r.state != Voting:
		r.become(Checking, "waiting for a majority of the group to confirm the folder")
	}
}

// adoptEncoded moves to the group that was decided in a group register. It is called with the lock held.
func (r *Replica) adoptEncoded(epoch uint64, value []byte) {
	g := &agreementpb.Group{}
	if err := proto.Unmarshal(value, g); err != nil || g.GetEpoch() != epoch {
		invariant.Check(false, "agreement.group-register", "register of epoch %d holds no such group", epoch)
		return
	}
	r.adopt(g)
}

// confirmed is called with the lock held, when a majority of the group has confirmed the folder.
func (r *Replica) confirmed(ctx context.Context) {
	if r.state == Stopped {
		return
	}
	if findMember(r.store.group, r.cfg.ID).GetJoined() != r.store.ready {
		if r.state != Learning {
			r.become(Learning, "copying the state of the group")
		}
		r.startLearning(ctx)
		return
	}
	r.verified = true
	r.become(Voting, "")
}

// saveSeen journals the peers' sequences, so that an old copy of a peer's folder is noticed even
// after this replica restarted. It adds nothing while there are no other entries, so that idle
// replicas do not keep each other writing. It is called with the lock held.
func (r *Replica) saveSeen() {
	if !r.unsavedSeen || r.store.group == nil || r.now().Sub(r.seenSavedAt) < seenInterval {
		return
	}
	var entries []*agreementpb.JournalEntry
	for key, sequence := range r.store.seen {
		if key.id != r.cfg.ID && sequence > r.seenSaved[key] {
			entries = append(entries, entrySeen(key, sequence))
			r.seenSaved[key] = sequence
		}
	}
	if len(entries) > 0 {
		r.append(entries...)
	}
	r.unsavedSeen = false
	r.seenSavedAt = r.now()
}

// seenInterval is the least time between two entries of the peers' sequences.
const seenInterval = time.Second
