package agreement

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// requestSwap asks a voting peer to replace this replica's old disk by its new one in the group. It must
// be called with r.mu held.
func (r *Replica) requestSwap(ctx context.Context, s peerSurvey) {
	if r.now().Sub(r.swapRequestedAt) < swapInterval {
		return
	}
	for _, m := range s.newestGroup().GetMembers() {
		if s.responses[m.GetId()].GetState() != string(Voting) {
			continue
		}
		r.swapRequestedAt = r.now()
		request := &agreementpb.SwapRequest{
			Header:   &agreementpb.Header{Epoch: s.newestGroup().GetEpoch(), From: r.cfg.ID},
			RemoveId: r.cfg.ID,
			Add:      r.selfMember(),
		}
		r.background.Go(func() { r.sendSwap(ctx, Member{ID: m.GetId(), Address: m.GetAddress()}, request) })
		return
	}
}

func (r *Replica) sendSwap(ctx context.Context, m Member, request *agreementpb.SwapRequest) {
	ctx, cancel := context.WithTimeout(ctx, defaultDeadline)
	defer cancel()
	out, err := r.client.Replica(m).Swap(ctx, request)
	if err != nil || out.GetError() != "" {
		r.logger.Warn("the replica was not swapped in; it will ask again", "member", m.ID, "err", logging.Err(err), "answer", out.GetError())
		return
	}
	r.wakeRun()
}

// Swap replaces one member of the group by another, adds one if the request names none to remove, or removes
// one from a group of even size if it names none to add. It returns the new group once it is decided. If the
// request has no disk id, the new member is asked for it. A member that only changes its address keeps its state
// and its vote.
func (r *Replica) Swap(ctx context.Context, in *agreementpb.SwapRequest) (*agreementpb.SwapReply, error) {
	next, err := r.decideSwap(ctx, in.GetRemoveId(), in.GetAdd())
	r.mu.Lock()
	pending := r.newReply()
	r.mu.Unlock()
	out := &agreementpb.SwapReply{Group: next}
	if err != nil {
		out.Error = err.Error()
	}
	out.Header = r.finishReply(pending)
	return out, nil
}

func (r *Replica) decideSwap(ctx context.Context, removeID string, add *agreementpb.Member) (*agreementpb.Group, error) {
	if add == nil {
		return r.decideRemoval(ctx, removeID)
	}
	add, err := r.fillDiskID(ctx, add)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	current := r.store.group
	err = r.checkSwap(removeID, add)
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if m := findMember(current, add.GetId()); m.GetDiskId() == add.GetDiskId() && m.GetAddress() == add.GetAddress() {
		return current, nil
	}
	return r.decideGroup(ctx, nextGroup(current, removeID, add))
}

func (r *Replica) decideRemoval(ctx context.Context, removeID string) (*agreementpb.Group, error) {
	r.mu.Lock()
	current := r.store.group
	err := r.checkRemoval(removeID)
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	next := &agreementpb.Group{Epoch: current.GetEpoch() + 1, Previous: current.GetMembers()}
	for _, m := range current.GetMembers() {
		if m.GetId() != removeID {
			next.Members = append(next.Members, m)
		}
	}
	return r.decideGroup(ctx, next)
}

// checkRemoval refuses to remove a member from a group of odd size: a value that was decided in a fast round with
// its vote would then have fewer votes than a majority of the smaller group. In a group of even size, the other
// votes are a majority of the smaller group. It must be called with r.mu held.
func (r *Replica) checkRemoval(removeID string) error {
	members := r.store.group.GetMembers()
	switch {
	case r.state != Voting:
		return errors.Errorf("the replica is %s; ask a voting one", r.state)
	case findMember(r.store.group, removeID) == nil:
		return errors.Errorf("the group has no member %s; name one of its members", removeID)
	case len(members)%2 != 0:
		return errors.Errorf("the group has %d members; replace the member, or add another first", len(members))
	}
	if voting, need := r.countVoting(removeID), majority(len(members)-1); voting < need {
		return errors.Errorf("%d of the members that stay vote and %d must; wait until the others vote", voting, need)
	}
	return nil
}

// countVoting counts the members that vote, except the given one. It must be called with r.mu held.
func (r *Replica) countVoting(except string) int {
	voting := 0
	responses := r.peerSurvey().responses
	for _, m := range r.store.group.GetMembers() {
		if m.GetId() == except {
			continue
		}
		resp := responses[m.GetId()]
		if m.GetId() == r.cfg.ID || (resp.GetState() == string(Voting) && resp.GetSelf().GetDiskId() == m.GetDiskId()) {
			voting++
		}
	}
	return voting
}

// fillDiskID asks the new member for its disk id if the request does not have it.
func (r *Replica) fillDiskID(ctx context.Context, add *agreementpb.Member) (*agreementpb.Member, error) {
	if add.GetId() == "" || add.GetAddress() == "" {
		return nil, errors.New("the new member has no id or no address; give both")
	}
	if add.GetDiskId() != "" {
		return add, nil
	}
	r.mu.Lock()
	request := r.peerRequest()
	r.mu.Unlock()
	out, err := r.client.Replica(Member{ID: add.GetId(), Address: add.GetAddress()}).Peer(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "ask the new member %s for its disk; start it first", add.GetId())
	}
	if out.GetSelf().GetId() != add.GetId() {
		return nil, errors.Errorf("the process at %s is %s; correct the id or the address", add.GetAddress(), out.GetSelf().GetId())
	}
	return &agreementpb.Member{Id: add.GetId(), DiskId: out.GetSelf().GetDiskId(), Address: add.GetAddress()}, nil
}

// checkSwap refuses a change after which the new member could not copy the state, because too few of the
// remaining members hold theirs. It must be called with r.mu held.
func (r *Replica) checkSwap(removeID string, add *agreementpb.Member) error {
	if r.state != Voting {
		return errors.Errorf("the replica is %s; ask a voting one", r.state)
	}
	g := r.store.group
	if removeID == "" && findMember(g, add.GetId()) == nil {
		return r.checkGrowth()
	}
	if findMember(g, removeID) == nil {
		return errors.Errorf("the group has no member %s; name one of its members", removeID)
	}
	if known := findMember(g, add.GetId()); known != nil && add.GetId() != removeID {
		return errors.Errorf("%s is a member already; add another replica", add.GetId())
	}
	if findMember(g, add.GetId()).GetDiskId() == add.GetDiskId() {
		// Only the address changes, so no state has to be copied.
		return nil
	}
	if voting, need := r.countVoting(removeID), majority(len(g.GetMembers())); voting < need {
		return errors.Errorf("%d of the members that stay vote and %d must; wait until the others vote", voting, need)
	}
	return nil
}

// checkGrowth refuses growth unless a majority of the larger group votes already, because a new member
// counts towards the majority before it votes. It must be called with r.mu held.
func (r *Replica) checkGrowth() error {
	if voting, need := r.countVoting(""), majority(len(r.store.group.GetMembers())+1); voting < need {
		return errors.Errorf("%d members vote and %d must before the group grows; wait until the others vote", voting, need)
	}
	return nil
}

func nextGroup(current *agreementpb.Group, removeID string, add *agreementpb.Member) *agreementpb.Group {
	next := &agreementpb.Group{Epoch: current.GetEpoch() + 1, Previous: current.GetMembers()}
	for _, m := range current.GetMembers() {
		if m.GetId() == removeID {
			joined := next.Epoch
			if m.GetId() == add.GetId() && m.GetDiskId() == add.GetDiskId() {
				joined = m.GetJoined()
			}
			m = &agreementpb.Member{Id: add.GetId(), DiskId: add.GetDiskId(), Address: add.GetAddress(), Joined: joined}
		}
		next.Members = append(next.Members, m)
	}
	if removeID == "" {
		next.Members = append(next.Members, &agreementpb.Member{
			Id: add.GetId(), DiskId: add.GetDiskId(), Address: add.GetAddress(), Joined: next.Epoch,
		})
	}
	return next
}

func (r *Replica) decideGroup(ctx context.Context, next *agreementpb.Group) (*agreementpb.Group, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := r.groupProposer(&agreementpb.Group{Epoch: next.GetEpoch() - 1, Members: next.GetPrevious()})
	decided, err := p.Propose(ctx, groupPrefix, next.GetEpoch(), value)
	if err != nil {
		return nil, err
	}
	r.storeGroupDecision(next.GetEpoch(), decided)
	if string(decided) != string(value) {
		return nil, errors.New("another change of the group was decided first; look at the group and ask again")
	}
	return next, nil
}
