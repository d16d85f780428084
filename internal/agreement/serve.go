package agreement

import (
	"context"
	"math"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// MaxValueBytes bounds the value of one register.
	MaxValueBytes = 8 << 20
	// maxReadBytes and maxReadRegisters bound one reply to a Read, which a proposer gets from all members at once.
	maxReadBytes     = 1 << 20
	maxReadRegisters = 4096
)

// pendingReply is a reply header together with the journal entry that must be durable before it is sent.
// A handler prepares it under the lock and waits after releasing the lock.
type pendingReply struct {
	header       *agreementpb.ReplyHeader
	journal      *storage.Log
	waitSequence uint64
}

// admitRequest refuses requests of another epoch, and all requests while the replica does not vote.
// It must be called with r.mu held.
func (r *Replica) admitRequest(h *agreementpb.Header) (pendingReply, bool) {
	for _, s := range h.GetSeen() {
		r.store.recordSeen(s)
	}
	pending := r.newReply()
	group := r.store.group
	if h.GetEpoch() != group.GetEpoch() {
		pending.header.Refusal = refusalWrongEpoch
		pending.header.Group = group
	}
	if h.GetEpoch() > group.GetEpoch() {
		r.wakeRun()
	}
	switch r.state {
	case Voting:
	case Stopped:
		pending.header.Refusal = refusalStopped
	default:
		pending.header.Refusal = refusalNotVoting
		// A proposer whose FirstGroup lists hosts outside the group learns the group from them.
		pending.header.Group = r.newestGroup()
	}
	return pending, pending.header.Refusal == ""
}

func (r *Replica) newReply() pendingReply {
	return pendingReply{
		header: &agreementpb.ReplyHeader{
			Epoch:    r.store.group.GetEpoch(),
			Sequence: &agreementpb.Sequence{Id: r.cfg.ID, DiskId: r.disk},
		},
		journal:      r.log,
		waitSequence: r.groupSequence,
	}
}

// finishReply waits until the state that the reply reports is durable. It must be called without r.mu held.
func (r *Replica) finishReply(pending pendingReply) *agreementpb.ReplyHeader {
	if r.stopOnJournalError(pending.journal, pending.journal.Sync(pending.waitSequence)) {
		pending.header.Refusal = refusalStopped
		pending.header.Group = nil
	}
	pending.header.Sequence.Sequence = pending.journal.Durable()
	return pending.header
}

// registerReply waits for the journal and returns the register only if the sync succeeded.
func (r *Replica) registerReply(pending pendingReply, ok bool, prefix string, state register) *agreementpb.RegisterReply {
	if !state.decided {
		pending.waitSequence = max(pending.waitSequence, state.sequence)
	}
	header := r.finishReply(pending)
	if header.GetRefusal() != "" {
		return &agreementpb.RegisterReply{Header: header}
	}
	return &agreementpb.RegisterReply{Header: header, Ok: ok, Register: state.message(prefix)}
}

// lookUpRegister returns a register; it refuses compacted ones. It must be called with r.mu held.
func (r *Replica) lookUpRegister(pending *pendingReply, prefix string, index uint64) (register, bool) {
	if index < r.store.floor(prefix) {
		pending.header.Refusal = refusalCompacted
		return register{}, false
	}
	return r.store.get(prefix, index), true
}

// Prepare promises a ballot.
func (r *Replica) Prepare(_ context.Context, in *agreementpb.PrepareRequest) (*agreementpb.RegisterReply, error) {
	prefix, index, err := parseKey(in.GetKey())
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	pending, admitted := r.admitRequest(in.GetHeader())
	state, found := register{}, false
	if admitted {
		state, found = r.lookUpRegister(&pending, prefix, index)
	}
	if !found {
		r.mu.Unlock()
		return &agreementpb.RegisterReply{Header: r.finishReply(pending)}, nil
	}
	next, ok := state.prepare(ballotOf(in.GetBallot()))
	if ok {
		invariant.Check(!next.promised.less(state.promised), "agreement.promise-rises", "promise of %s fell", in.GetKey())
		next = r.saveRegister(prefix, next)
	}
	r.mu.Unlock()
	return r.registerReply(pending, ok, prefix, next), nil
}

// Accept votes for a value in a ballot.
func (r *Replica) Accept(_ context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	prefix, index, err := parseKey(in.GetKey())
	if err != nil {
		return nil, err
	}
	if len(in.GetValue()) > MaxValueBytes {
		return nil, errors.Errorf("value of %d bytes exceeds %d; store a smaller value", len(in.GetValue()), MaxValueBytes)
	}
	r.mu.Lock()
	pending, admitted := r.admitRequest(in.GetHeader())
	state, found := register{}, false
	if admitted {
		state, found = r.lookUpRegister(&pending, prefix, index)
	}
	if !found {
		r.mu.Unlock()
		return &agreementpb.RegisterReply{Header: r.finishReply(pending)}, nil
	}
	next, ok, changed := state.accept(ballotOf(in.GetBallot()), in.GetValue())
	if changed {
		next = r.saveRegister(prefix, next)
	}
	r.mu.Unlock()
	out := r.registerReply(pending, ok, prefix, next)
	if out.GetOk() {
		// The proposer knows the value that it sent.
		out.Register.Value = nil
	}
	return out, nil
}

// saveRegister journals and stores the register. It must be called with r.mu held.
func (r *Replica) saveRegister(prefix string, state register) register {
	state.sequence = r.appendEntries(entryRegister(prefix, state))
	r.store.put(prefix, state)
	return state
}

// AcceptCompressed is Accept with a compressed value.
func (r *Replica) AcceptCompressed(ctx context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	value, err := decompress(in.GetCompressedValue())
	if err != nil {
		return nil, err
	}
	return r.Accept(ctx, &agreementpb.AcceptRequest{Header: in.GetHeader(), Key: in.GetKey(), Ballot: in.GetBallot(), Value: value})
}

// Decide stores decided values. A register without a value confirms the value that this replica
// accepted in the given ballot, and counts only in the epoch of that vote.
func (r *Replica) Decide(_ context.Context, in *agreementpb.DecideRequest) (*agreementpb.DecideReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range in.GetHeader().GetSeen() {
		r.store.recordSeen(s)
	}
	pending := r.newReply()
	pending.header.Sequence.Sequence = r.log.Durable()
	if r.state != Voting && r.state != Learning {
		pending.header.Refusal = refusalNotVoting
		return &agreementpb.DecideReply{Header: pending.header}, nil
	}
	sameEpoch := in.GetHeader().GetEpoch() == r.store.group.GetEpoch()
	for _, m := range in.GetRegisters() {
		if err := r.learnDecision(m, sameEpoch); err != nil {
			return nil, err
		}
	}
	return &agreementpb.DecideReply{Header: pending.header}, nil
}

// learnDecision stores one announced decision. It ignores compacted registers, and a decision without a
// value that does not match the vote of this replica. It must be called with r.mu held.
func (r *Replica) learnDecision(m *agreementpb.Register, sameEpoch bool) error {
	prefix, index, err := parseKey(m.GetKey())
	if err != nil {
		return err
	}
	if !m.GetDecided() || index < r.store.floor(prefix) {
		return nil
	}
	state := r.store.get(prefix, index)
	value := m.GetValue()
	if !m.GetHasAccepted() {
		if !sameEpoch || !state.hasAccepted || state.accepted != ballotOf(m.GetAccepted()) {
			return nil
		}
		value = state.value
	}
	r.storeDecision(prefix, state, value)
	return nil
}

// storeDecision stores a decision and notifies the watchers. It must be called with r.mu held.
func (r *Replica) storeDecision(prefix string, state register, value []byte) {
	next, same := state.decide(value)
	if !invariant.Check(same, "agreement.decided-once", "register %s/%d was decided twice", prefix, state.index) || state.decided {
		return
	}
	if state.hasAccepted && string(state.value) == string(value) {
		r.appendEntries(entryDecided(registerKey(prefix, state.index)))
	} else {
		r.appendEntries(entryRegister(prefix, next))
	}
	// A decision may be reported before it is durable here, since a majority holds it.
	r.store.put(prefix, next)
	r.watchers.notify(prefix, next.index, next.value)
	if prefix == groupPrefix {
		r.adoptEncodedGroup(next.index, next.value)
	}
}

// Read returns the registers of a chain from an index on.
func (r *Replica) Read(_ context.Context, in *agreementpb.ReadRequest) (*agreementpb.ReadReply, error) {
	r.mu.Lock()
	pending, admitted := r.admitRequest(in.GetHeader())
	if !admitted {
		r.mu.Unlock()
		return &agreementpb.ReadReply{Header: r.finishReply(pending)}, nil
	}
	limit := int(in.GetLimit())
	if limit == 0 || limit > maxReadRegisters {
		limit = maxReadRegisters
	}
	out := &agreementpb.ReadReply{}
	for _, state := range r.pageRegisters(in, limit, out) {
		if !state.decided {
			pending.waitSequence = max(pending.waitSequence, state.sequence)
		}
		m := state.message(in.GetPrefix())
		if state.decided && in.GetOmitDecided() {
			m.Value, m.ValueOmitted = nil, true
		}
		out.Registers = append(out.Registers, m)
	}
	r.mu.Unlock()
	out.Header = r.finishReply(pending)
	if out.Header.GetRefusal() != "" {
		return &agreementpb.ReadReply{Header: out.Header}, nil
	}
	return out, nil
}

// pageRegisters returns the registers of one page and sets floor, snapshot and more in the reply.
// It must be called with r.mu held.
func (r *Replica) pageRegisters(in *agreementpb.ReadRequest, limit int, out *agreementpb.ReadReply) []*register {
	c := r.store.chains[in.GetPrefix()]
	if c == nil {
		return nil
	}
	out.Floor = c.floor
	switch {
	case in.GetFrom() >= c.floor:
	case in.GetOmitDecided():
		out.SnapshotOmitted = true
	default:
		out.Snapshot = c.snapshot
	}
	at, _ := c.position(in.GetFrom())
	end, size := at, 0
	for end < len(c.registers) && end-at < limit && size < maxReadBytes {
		if !c.registers[end].decided || !in.GetOmitDecided() {
			size += len(c.registers[end].value)
		}
		end++
	}
	out.More = end < len(c.registers)
	return c.registers[at:end:end]
}

// Peer exchanges durable journal sequences and states with another replica.
func (r *Replica) Peer(_ context.Context, in *agreementpb.PeerRequest) (*agreementpb.PeerReply, error) {
	r.mu.Lock()
	for _, s := range in.GetHeader().GetSeen() {
		r.store.recordSeen(s)
	}
	r.store.recordSeen(in.GetSequence())
	if in.GetHeader().GetEpoch() > r.store.group.GetEpoch() {
		r.wakeRun()
	}
	pending := r.newReply()
	self := in.GetSelf()
	out := &agreementpb.PeerReply{
		Group:        r.newestGroup(),
		SeenSequence: r.store.seen[diskKey{self.GetId(), self.GetDiskId()}],
		State:        string(r.state),
		Self:         r.selfMember(),
		SeenAny:      len(r.store.seen) > 0,
	}
	r.mu.Unlock()
	out.Header = r.finishReply(pending)
	if out.Header.GetRefusal() != "" {
		// The journal failed while the reply waited, so the state above is out of date. The group may be
		// reported though it may not be durable here, because it was decided.
		out.State = string(Stopped)
	}
	return out, nil
}

// selfMember must be called with r.mu held.
func (r *Replica) selfMember() *agreementpb.Member {
	return &agreementpb.Member{Id: r.cfg.ID, DiskId: r.disk, Address: r.cfg.Address}
}

// neverDurable is a sequence that no journal reaches, so a sync up to it fails.
const neverDurable = math.MaxUint64
