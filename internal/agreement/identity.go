package agreement

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// peerResponse is the last response of one peer.
type peerResponse struct {
	reply *agreementpb.PeerReply
	at    time.Time
}

// assessment is what the responses of the peers mean for a replica.
type assessment uint8

const (
	// needResponses means that more responses are needed.
	needResponses assessment = iota + 1
	// canForm means that all members of the first group are blank.
	canForm
	// newerGroup means that a peer knows a newer group.
	newerGroup
	// needSwap means that the group lists this replica with another disk.
	needSwap
	// notListed means that the group does not list this replica.
	notListed
	// folderOutdated means that a peer has seen a later sequence of this disk than the folder holds, or that
	// the group lists another disk in its place.
	folderOutdated
	// folderConfirmed means that a majority of the group confirms the folder.
	folderConfirmed
)

// peerSurvey is what a replica knows about itself and its peers when it assesses its folder.
type peerSurvey struct {
	id, diskID string
	// openedSequence is the last journal entry when the folder was opened, durableSequence the last one now.
	openedSequence, durableSequence uint64
	group                           *agreementpb.Group
	firstGroup                      []Member
	seenAny                         bool
	// join is set if the first group has been formed already.
	join      bool
	responses map[string]*agreementpb.PeerReply
}

// assess depends on the survey only and has no side effects.
func (s peerSurvey) assess() assessment {
	if newest := s.newestGroup(); newest.GetEpoch() > s.group.GetEpoch() {
		return s.assessNewerGroup(newest)
	}
	if s.isOutdated() {
		return folderOutdated
	}
	if s.group == nil {
		return s.assessBlank()
	}
	self := findMember(s.group, s.id)
	if self == nil {
		return notListed
	}
	if self.GetDiskId() != s.diskID {
		return folderOutdated
	}
	if s.confirmations() >= majority(len(s.group.GetMembers())) {
		return folderConfirmed
	}
	return needResponses
}

func (s peerSurvey) newestGroup() *agreementpb.Group {
	var newest *agreementpb.Group
	for _, resp := range s.responses {
		if resp.GetGroup().GetEpoch() > newest.GetEpoch() {
			newest = resp.GetGroup()
		}
	}
	return newest
}

func (s peerSurvey) assessNewerGroup(g *agreementpb.Group) assessment {
	self := findMember(g, s.id)
	switch {
	case s.group != nil:
		return newerGroup
	case s.isOutdated():
		return folderOutdated
	case self == nil:
		return notListed
	case self.GetDiskId() != s.diskID:
		return needSwap
	default:
		return newerGroup
	}
}

// isOutdated reports whether a peer has seen a later sequence of this disk than the folder held when it
// was opened and than it holds now.
func (s peerSurvey) isOutdated() bool {
	for _, resp := range s.responses {
		if resp.GetSeenSequence() > max(s.openedSequence, s.durableSequence) {
			return true
		}
	}
	return false
}

// assessBlank allows the first group to form only if all its members are blank and none has seen a journal
// sequence of any member.
func (s peerSurvey) assessBlank() assessment {
	listed := false
	for _, m := range s.firstGroup {
		if m.ID == s.id {
			listed = true
			continue
		}
		resp := s.responses[m.ID]
		if resp == nil || resp.GetState() != string(Blank) || resp.GetSeenAny() {
			return needResponses
		}
	}
	if !listed || s.seenAny || s.join {
		return needResponses
	}
	return canForm
}

// confirmations counts the members that have responded with the disk that the group lists, this replica
// included.
func (s peerSurvey) confirmations() int {
	count := 1
	for _, m := range s.group.GetMembers() {
		resp := s.responses[m.GetId()]
		if m.GetId() != s.id && resp != nil && resp.GetSelf().GetDiskId() == m.GetDiskId() {
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

// newestGroup must be called with r.mu held.
func (r *Replica) newestGroup() *agreementpb.Group {
	newest := r.store.group
	for _, resp := range r.peerResponses {
		if resp.reply.GetGroup().GetEpoch() > newest.GetEpoch() {
			newest = resp.reply.GetGroup()
		}
	}
	return newest
}

// peers returns the replicas to exchange state with: the members of this replica's group and its previous
// group, of the newest known group, and of FirstGroup, and without a group also the discovered ones. It must
// be called with r.mu held.
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

// exchangeWithPeers starts an exchange with every peer that has none in flight and is due for one.
func (r *Replica) exchangeWithPeers(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.peerRequest()
	peers := r.peers()
	interval := ExchangeInterval
	if r.state == Voting {
		interval = settledExchangeInterval(len(peers))
	}
	for id, m := range peers {
		if r.exchanging[id] || r.now().Sub(r.peerResponses[id].at) < interval-ExchangeInterval/2 {
			continue
		}
		r.exchanging[id] = true
		r.background.Go(func() { r.exchangeWith(ctx, m, request) })
	}
}

// settledExchangeInterval is the time between two exchanges of a voting replica with each peer. The exchanges of a
// replica in a large group are as many as in a group of five.
func settledExchangeInterval(peers int) time.Duration {
	const peersPerInterval = 4
	interval := ExchangeInterval * time.Duration(peers) / peersPerInterval
	return min(max(interval, ExchangeInterval), responseLifetime/2)
}

// peerRequest must be called with r.mu held.
func (r *Replica) peerRequest() *agreementpb.PeerRequest {
	return &agreementpb.PeerRequest{
		Header:   &agreementpb.Header{Epoch: r.store.group.GetEpoch(), From: r.cfg.ID},
		Self:     r.selfMember(),
		State:    string(r.state),
		Sequence: &agreementpb.Sequence{Id: r.cfg.ID, DiskId: r.disk, Sequence: r.log.Durable()},
	}
}

func (r *Replica) exchangeWith(ctx context.Context, m Member, request *agreementpb.PeerRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := r.client.Replica(m).Peer(ctx, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.exchanging, m.ID)
	// A response about a disk that was set aside in the meantime is ignored.
	if err != nil || request.GetSelf().GetDiskId() != r.disk || out.GetSelf().GetId() != m.ID {
		return
	}
	r.store.recordSeen(out.GetHeader().GetSequence())
	previous := r.peerResponses[m.ID].reply
	r.peerResponses[m.ID] = peerResponse{reply: out, at: r.now()}
	if previous.GetState() != out.GetState() || previous.GetGroup().GetEpoch() != out.GetGroup().GetEpoch() {
		r.wakeRun()
	}
}

// peerSurvey must be called with r.mu held.
func (r *Replica) peerSurvey() peerSurvey {
	s := peerSurvey{
		id: r.cfg.ID, diskID: r.disk, openedSequence: r.openedSequence, durableSequence: r.log.Durable(),
		group: r.store.group, firstGroup: r.cfg.FirstGroup, seenAny: len(r.store.seen) > 0, join: r.cfg.Join,
		responses: map[string]*agreementpb.PeerReply{},
	}
	for id, resp := range r.peerResponses {
		if resp.reply != nil && r.now().Sub(resp.at) <= responseLifetime {
			s.responses[id] = resp.reply
		}
	}
	return s
}

// actOnSurvey assesses the responses of the peers and acts on the result.
func (r *Replica) actOnSurvey(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log.Err() != nil {
		r.stopVoting(r.log.Err().Error())
		return
	}
	s := r.peerSurvey()
	switch s.assess() {
	case canForm:
		r.formFirstGroup(s)
	case newerGroup:
		r.adoptGroup(s.newestGroup())
		r.wakeRun()
	case needSwap:
		r.setStateLocked(Blank, "the group lists another disk of this replica; asking to be swapped in")
		r.requestSwap(ctx, s)
	case notListed:
		r.leaveGroup("the control group does not list this replica; an operator must swap it in")
	case folderOutdated:
		r.discardFolder(s)
	case folderConfirmed:
		r.onFolderConfirmed(ctx)
	default:
	}
}

// leaveGroup must be called with r.mu held. A former voter keeps its state, so that learners can copy it.
func (r *Replica) leaveGroup(reason string) {
	if r.store.group == nil {
		r.setStateLocked(Blank, reason)
		return
	}
	r.setStateLocked(Stopped, reason)
}

// discardFolder replaces an outdated folder by an empty one. A running replica whose place another disk
// took keeps its folder, so that learners can copy it, and replaces it after a restart. It must be called
// with r.mu held.
func (r *Replica) discardFolder(s peerSurvey) {
	if r.folderVerified && !s.isOutdated() {
		r.setStateLocked(Stopped, "another disk has taken this replica's place in the group")
		return
	}
	if r.compacting {
		// The snapshot that is being written must not end up in the new folder.
		return
	}
	reason := "the folder is older than what the peers have seen of it, or its disk was replaced in the group"
	r.logger.Error("the data folder is not the newest one of this replica", "id", r.cfg.ID, "disk", r.disk, "sequence", s.durableSequence)
	seen := r.store.seen
	if err := r.log.Close(); err != nil {
		r.logger.Warn("the old journal could not be closed", "err", logging.Err(err))
	}
	if err := r.resetFolder(reason); err != nil {
		r.logger.Error("a new data folder could not be created; the replica stops", "err", logging.Err(err))
		r.stopVoting(err.Error())
		return
	}
	r.store.seen = seen
	r.peerResponses = map[string]peerResponse{}
	r.wakeRun()
}

// formFirstGroup is called when all members of the first group are blank, with r.mu held.
func (r *Replica) formFirstGroup(s peerSurvey) {
	g := &agreementpb.Group{Epoch: 1}
	for _, m := range r.cfg.FirstGroup {
		disk := r.disk
		if m.ID != r.cfg.ID {
			disk = s.responses[m.ID].GetSelf().GetDiskId()
		}
		g.Members = append(g.Members, &agreementpb.Member{Id: m.ID, DiskId: disk, Address: m.Address, Joined: 1})
	}
	r.logger.Info("formed the first control group", "id", r.cfg.ID, "members", len(g.Members))
	r.adoptGroup(g)
	r.folderVerified = true
	r.setStateLocked(Voting, "")
}

// adoptGroup switches to the group if it is newer. It must be called with r.mu held.
func (r *Replica) adoptGroup(g *agreementpb.Group) {
	if g.GetEpoch() <= r.store.group.GetEpoch() {
		return
	}
	first := r.store.group == nil
	entries := []*agreementpb.JournalEntry{entryGroup(g)}
	if first && g.GetEpoch() == 1 {
		// This member of the first group has not voted yet, so its empty state is complete.
		entries = append(entries, entryReady(1))
		r.store.readyEpoch = 1
	}
	r.store.group = g
	r.groupSequence = r.appendEntries(entries...)
	if r.state == Stopped && r.log.Err() != nil {
		return
	}
	r.logger.Info("the replica switches to a new group", "id", r.cfg.ID, "epoch", g.GetEpoch())
	self := findMember(g, r.cfg.ID)
	switch {
	case self == nil:
		r.leaveGroup("removed from the control group; stop this process or swap the replica in again")
	case self.GetDiskId() != r.disk:
		r.leaveGroup("another disk has taken this replica's place in the group")
	case self.GetJoined() != r.store.readyEpoch:
		r.folderVerified = false
		r.setStateLocked(Learning, "copying the state of the group")
	case r.state != Voting:
		r.setStateLocked(Checking, "waiting for a majority of the group to confirm the folder")
	}
}

// adoptEncodedGroup switches to the group that was decided in a group register. It must be called with
// r.mu held.
func (r *Replica) adoptEncodedGroup(epoch uint64, value []byte) {
	g := &agreementpb.Group{}
	if err := proto.Unmarshal(value, g); err != nil || g.GetEpoch() != epoch {
		invariant.Check(false, "agreement.group-register", "register of epoch %d does not hold a group of that epoch", epoch)
		return
	}
	r.adoptGroup(g)
}

// onFolderConfirmed is called when a majority of the group has confirmed the folder, with r.mu held.
func (r *Replica) onFolderConfirmed(ctx context.Context) {
	if r.state == Stopped {
		return
	}
	if findMember(r.store.group, r.cfg.ID).GetJoined() != r.store.readyEpoch {
		if r.state != Learning {
			r.setStateLocked(Learning, "copying the state of the group")
		}
		r.startLearning(ctx)
		return
	}
	r.folderVerified = true
	r.setStateLocked(Voting, "")
}

// journalSeen journals the peers' sequences, so that an old copy of a peer's folder is detected even
// after this replica restarted. It writes nothing unless other entries were appended; otherwise each write
// would raise this replica's sequence and make its peers write in turn, even when all are idle. It must be
// called with r.mu held.
func (r *Replica) journalSeen() {
	if !r.appendedSinceSeen || r.store.group == nil || r.now().Sub(r.seenJournaledAt) < journalSeenInterval {
		return
	}
	var entries []*agreementpb.JournalEntry
	for key, sequence := range r.store.seen {
		if key.id != r.cfg.ID && sequence > r.journaledSeen[key] {
			entries = append(entries, entrySeen(key, sequence))
			r.journaledSeen[key] = sequence
		}
	}
	if len(entries) > 0 {
		r.appendEntries(entries...)
	}
	r.appendedSinceSeen = false
	r.seenJournaledAt = r.now()
}

// journalSeenInterval is the minimum time between two writes of the peers' sequences to the journal.
const journalSeenInterval = time.Second
