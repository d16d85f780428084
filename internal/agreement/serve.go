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
	// readBytes and readRegisters bound one reply to a read.
	readBytes     = 4 << 20
	readRegisters = 4096
)

// reply is what a handler leaves for after the lock: the journal entry to wait for.
type reply struct {
	header  *agreementpb.ReplyHeader
	journal *storage.Log
	wait    uint64
}

// begin is called with the lock held. It refuses requests of another epoch and all requests while
// the replica does not vote.
func (r *Replica) begin(h *agreementpb.Header) (reply, bool) {
	for _, s := range h.GetSeen() {
		r.store.see(s)
	}
	p := r.newReply()
	group := r.store.group
	if h.GetEpoch() != group.GetEpoch() {
		p.header.Refusal = refusalWrongEpoch
		p.header.Group = group
	}
	if h.GetEpoch() > group.GetEpoch() {
		r.poke()
	}
	switch r.state {
	case Voting:
	case Stopped:
		p.header.Refusal = refusalStopped
	default:
		p.header.Refusal = refusalNotVoting
		// A proposer that began at hosts outside the group finds it through them.
		p.header.Group = r.newestGroup()
	}
	return p, p.header.Refusal == ""
}

func (r *Replica) newReply() reply {
	return reply{
		header: &agreementpb.ReplyHeader{
			Epoch:    r.store.group.GetEpoch(),
			Sequence: &agreementpb.Sequence{Id: r.cfg.ID, DiskId: r.disk},
		},
		journal: r.log,
		wait:    r.groupSequence,
	}
}

// finish waits without the lock until what the reply tells is durable.
func (r *Replica) finish(p reply) *agreementpb.ReplyHeader {
	if r.failed(p.journal, p.journal.Sync(p.wait)) {
		p.header.Refusal = refusalStopped
		p.header.Group = nil
	}
	p.header.Sequence.Sequence = p.journal.Durable()
	return p.header
}

// registerReply waits for the journal and shows the register only if that worked.
func (r *Replica) registerReply(p reply, ok bool, prefix string, state register) *agreementpb.RegisterReply {
	if !state.decided {
		p.wait = max(p.wait, state.sequence)
	}
	header := r.finish(p)
	if header.GetRefusal() != "" {
		return &agreementpb.RegisterReply{Header: header}
	}
	return &agreementpb.RegisterReply{Header: header, Ok: ok, Register: state.message(prefix)}
}

// locate is called with the lock held. It refuses registers that were compacted.
func (r *Replica) locate(p *reply, prefix string, index uint64) (register, bool) {
	if index < r.store.floor(prefix) {
		p.header.Refusal = refusalCompacted
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
	p, admitted := r.begin(in.GetHeader())
	state, found := register{}, false
	if admitted {
		state, found = r.locate(&p, prefix, index)
	}
	if !found {
		r.mu.Unlock()
		return &agreementpb.RegisterReply{Header: r.finish(p)}, nil
	}
	next, ok := state.prepare(ballotOf(in.GetBallot()))
	if ok {
		invariant.Check(!next.promised.less(state.promised), "agreement.promise-rises", "promise of %s fell", in.GetKey())
		next = r.save(prefix, next)
	}
	r.mu.Unlock()
	return r.registerReply(p, ok, prefix, next), nil
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
	p, admitted := r.begin(in.GetHeader())
	state, found := register{}, false
	if admitted {
		state, found = r.locate(&p, prefix, index)
	}
	if !found {
		r.mu.Unlock()
		return &agreementpb.RegisterReply{Header: r.finish(p)}, nil
	}
	next, ok, changed := state.accept(ballotOf(in.GetBallot()), in.GetValue())
	if changed {
		next = r.save(prefix, next)
	}
	r.mu.Unlock()
	out := r.registerReply(p, ok, prefix, next)
	if out.GetOk() {
		// The proposer knows the value that it sent.
		out.Register.Value = nil
	}
	return out, nil
}

// save journals the register and stores it. It is called with the lock held.
func (r *Replica) save(prefix string, state register) register {
	state.sequence = r.append(entryRegister(prefix, state))
	r.store.put(prefix, state)
	return state
}

// Decide stores values that were decided. A register without a value confirms what this replica
// accepted in the given ballot, and counts only in the epoch in which that was.
func (r *Replica) Decide(_ context.Context, in *agreementpb.DecideRequest) (*agreementpb.DecideReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range in.GetHeader().GetSeen() {
		r.store.see(s)
	}
	p := r.newReply()
	p.header.Sequence.Sequence = r.log.Durable()
	if r.state != Voting && r.state != Learning {
		p.header.Refusal = refusalNotVoting
		return &agreementpb.DecideReply{Header: p.header}, nil
	}
	sameEpoch := in.GetHeader().GetEpoch() == r.store.group.GetEpoch()
	for _, m := range in.GetRegisters() {
		if err := r.learn(m, sameEpoch); err != nil {
			return nil, err
		}
	}
	return &agreementpb.DecideReply{Header: p.header}, nil
}

// learn is called with the lock held.
func (r *Replica) learn(m *agreementpb.Register, sameEpoch bool) error {
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
	r.decided(prefix, state, value)
	return nil
}

// decided stores a decision and tells the watchers. It is called with the lock held.
func (r *Replica) decided(prefix string, state register, value []byte) {
	next, same := state.decide(value)
	if !invariant.Check(same, "agreement.decided-once", "register %s/%d was decided twice", prefix, state.index) || state.decided {
		return
	}
	if state.hasAccepted && string(state.value) == string(value) {
		r.append(entryDecided(registerKey(prefix, state.index)))
	} else {
		r.append(entryRegister(prefix, next))
	}
	// A decision may be shown before it is durable, since a majority holds it.
	r.store.put(prefix, next)
	r.watchers.notify(prefix, next.index, next.value)
	if prefix == groupPrefix {
		r.adoptEncoded(next.index, next.value)
	}
}

// Read returns the registers of a chain from an index on.
func (r *Replica) Read(_ context.Context, in *agreementpb.ReadRequest) (*agreementpb.ReadReply, error) {
	r.mu.Lock()
	p, admitted := r.begin(in.GetHeader())
	if !admitted {
		r.mu.Unlock()
		return &agreementpb.ReadReply{Header: r.finish(p)}, nil
	}
	limit := int(in.GetLimit())
	if limit == 0 || limit > readRegisters {
		limit = readRegisters
	}
	out := &agreementpb.ReadReply{}
	for _, state := range r.page(in.GetPrefix(), in.GetFrom(), limit, out) {
		if !state.decided {
			p.wait = max(p.wait, state.sequence)
		}
		out.Registers = append(out.Registers, state.message(in.GetPrefix()))
	}
	r.mu.Unlock()
	out.Header = r.finish(p)
	if out.Header.GetRefusal() != "" {
		return &agreementpb.ReadReply{Header: out.Header}, nil
	}
	return out, nil
}

// page is called with the lock held. It sets floor, snapshot and more in the reply.
func (r *Replica) page(prefix string, from uint64, limit int, out *agreementpb.ReadReply) []*register {
	c := r.store.chains[prefix]
	if c == nil {
		return nil
	}
	out.Floor = c.floor
	if from < c.floor {
		out.Snapshot = c.snapshot
	}
	at, _ := c.position(from)
	end, size := at, 0
	for end < len(c.registers) && end-at < limit && size < readBytes {
		size += len(c.registers[end].value)
		end++
	}
	out.More = end < len(c.registers)
	return c.registers[at:end:end]
}

// Peer exchanges durable sequences and states with another replica.
func (r *Replica) Peer(_ context.Context, in *agreementpb.PeerRequest) (*agreementpb.PeerReply, error) {
	r.mu.Lock()
	for _, s := range in.GetHeader().GetSeen() {
		r.store.see(s)
	}
	r.store.see(in.GetSequence())
	if in.GetHeader().GetEpoch() > r.store.group.GetEpoch() {
		r.poke()
	}
	p := r.newReply()
	self := in.GetSelf()
	out := &agreementpb.PeerReply{
		Group:        r.newestGroup(),
		SeenSequence: r.store.seen[diskKey{self.GetId(), self.GetDiskId()}],
		State:        string(r.state),
		Self:         r.self(),
		SeenAny:      len(r.store.seen) > 0,
	}
	r.mu.Unlock()
	out.Header = r.finish(p)
	if out.Header.GetRefusal() != "" {
		// The group may not be durable here, but it was decided; the state is out of date.
		out.State = string(Stopped)
	}
	return out, nil
}

// self is called with the lock held.
func (r *Replica) self() *agreementpb.Member {
	return &agreementpb.Member{Id: r.cfg.ID, DiskId: r.disk, Address: r.cfg.Address}
}

// neverDurable is a sequence that no journal reaches.
const neverDurable = math.MaxUint64
