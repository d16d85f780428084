package agreement

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// maxChainBytes is the size of the values at which a Read ends, so that the caller can apply them before it reads
// on. A chain in a single page is returned whole.
const maxChainBytes = 4 << 20

// Read implements Proposer.
func (p *proposer) Read(ctx context.Context, prefix string, from uint64) (Chain, error) {
	if _, _, err := parseKey(registerKey(prefix, max(from, 1))); err != nil {
		return Chain{}, err
	}
	ctx, cancel := withDefaultDeadline(ctx)
	defer cancel()
	out := Chain{Floor: 1}
	next := max(from, 1)
	for omitDecided := p.cfg.Stored != nil; ; {
		page, err := p.readPage(ctx, prefix, next, omitDecided)
		if err != nil {
			return Chain{}, err
		}
		if !p.completePage(ctx, &page, next) {
			// The members that hold the values do not respond to a request for them alone.
			omitDecided = false
			continue
		}
		if page.floor > next {
			out = Chain{Floor: page.floor, Snapshot: page.snapshot}
			next = page.floor
		}
		out.Floor = max(out.Floor, page.floor)
		more := false
		next, more = p.appendDecided(ctx, page, next, &out)
		if !more {
			return out, nil
		}
		if out.size() >= maxChainBytes {
			out.More = true
			return out, nil
		}
	}
}

// size returns the size of the values in bytes.
func (c Chain) size() int {
	size := 0
	for _, r := range c.Decided {
		size += len(r.Value)
	}
	return size
}

// chainPage holds the replies of a majority to a read of one range of a chain.
type chainPage struct {
	voters   voterSet
	prefix   string
	floor    uint64
	snapshot []byte
	replies  []map[uint64]register
	// values holds the values of decided registers that the replies omit or have. snapshotOmitted is set while only
	// the floor is known.
	values          map[uint64][]byte
	snapshotOmitted bool
	// sources are the members that replied.
	sources []Member
	// endIndex is the first index that some reply does not cover; 0 if every reply reaches the chain's end.
	endIndex uint64
}

// readPage repeats the read until a majority of one epoch has replied.
func (p *proposer) readPage(ctx context.Context, prefix string, from uint64, omitDecided bool) (chainPage, error) {
	pause := backoff{}
	for {
		voters := p.voterSet()
		if voters.epoch == 0 {
			(&operation{p: p}).findGroup(ctx, voters)
			voters = p.voterSet()
		}
		page, ok := p.readOnce(ctx, voters, prefix, from, omitDecided)
		if ok {
			return page, nil
		}
		changed := p.voterSet().epoch != voters.epoch
		if ctx.Err() != nil || (!changed && !pause.wait(ctx)) {
			return chainPage{}, errors.WithStack(ErrNoQuorum)
		}
	}
}

func (p *proposer) readOnce(ctx context.Context, voters voterSet, prefix string, from uint64, omitDecided bool) (chainPage, bool) {
	responses := broadcast(ctx, p, voters, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.ReadReply, error) {
		return c.Read(ctx, &agreementpb.ReadRequest{
			Header: p.header(voters), Prefix: prefix, From: from, OmitDecided: omitDecided,
		})
	})
	page := chainPage{voters: voters, prefix: prefix, values: map[uint64][]byte{}}
	for waiting := len(voters.members); len(page.replies)+waiting >= voters.majority(); waiting-- {
		if len(page.replies) >= voters.majority() {
			return page, voters.epoch != 0
		}
		select {
		case <-ctx.Done():
			return page, false
		case resp := <-responses:
			h := resp.reply.GetHeader()
			if resp.err == nil && h.GetRefusal() == "" && h.GetEpoch() == voters.epoch {
				page.addReply(resp.reply, from)
				page.sources = append(page.sources, resp.member)
			}
		}
	}
	return page, false
}

func (c *chainPage) addReply(reply *agreementpb.ReadReply, from uint64) {
	if reply.GetFloor() > c.floor {
		c.floor, c.snapshot, c.snapshotOmitted = reply.GetFloor(), reply.GetSnapshot(), reply.GetSnapshotOmitted()
	}
	states := make(map[uint64]register, len(reply.GetRegisters()))
	last := from
	for _, m := range reply.GetRegisters() {
		_, index, err := parseKey(m.GetKey())
		if err != nil {
			continue
		}
		states[index] = registerOf(index, m)
		last = max(last, index)
		if m.GetDecided() && !m.GetValueOmitted() {
			c.values[index] = m.GetValue()
		}
	}
	if reply.GetMore() && (c.endIndex == 0 || last+1 < c.endIndex) {
		c.endIndex = last + 1
	}
	c.replies = append(c.replies, states)
}

// completePage adds the snapshot and the decided values that the replies omit, from the replica of this process or,
// if it lacks them, from one member. It reports false if some are not to be had. Values of more than one page of a member
// are left to the next Read.
func (p *proposer) completePage(ctx context.Context, page *chainPage, from uint64) bool {
	if page.snapshotOmitted && page.floor > from {
		floor, snapshot := p.cfg.Stored.ChainSnapshot(page.prefix)
		if floor != page.floor {
			return false
		}
		page.snapshot, page.snapshotOmitted = snapshot, false
	}
	size, fetched := 0, false
	for index := max(from, page.floor); page.endIndex == 0 || index < page.endIndex; index++ {
		states := page.votedStates(index)
		if len(states) == 0 {
			return true
		}
		if !states[0].decided {
			continue
		}
		value, known := page.values[index]
		if !known && p.cfg.Stored != nil {
			value, known = p.cfg.Stored.DecidedValue(page.prefix, index)
		}
		if !known && !fetched {
			fetched = true
			p.fetchValues(ctx, page, index)
			value, known = page.values[index]
		}
		if size += len(value); !known || size >= maxChainBytes {
			// The page ends before the first value that is missing, or behind the last one that one Read may have.
			if known {
				page.values[index] = value
				index++
			}
			page.endIndex = index
			return index > max(from, page.floor)
		}
		page.values[index] = value
	}
	return true
}

// fetchValues reads a page with values, from the index on, from the first member of the page that sends it.
func (p *proposer) fetchValues(ctx context.Context, page *chainPage, from uint64) {
	for _, m := range page.sources {
		if !p.reserveCall(m) {
			continue
		}
		reply, err := p.readValues(ctx, page, m, from)
		p.releaseCall(m)
		if err != nil || reply.GetHeader().GetRefusal() != "" {
			continue
		}
		found := false
		for _, r := range reply.GetRegisters() {
			_, index, err := parseKey(r.GetKey())
			if err == nil && r.GetDecided() {
				page.values[index] = r.GetValue()
				found = found || index == from
			}
		}
		if found {
			return
		}
	}
}

func (p *proposer) readValues(ctx context.Context, page *chainPage, m Member, from uint64) (*agreementpb.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.cfg.Client.Replica(m).Read(ctx, &agreementpb.ReadRequest{Header: p.header(page.voters), Prefix: page.prefix, From: from})
}

// appendDecided appends the decided registers of the page to the chain. If more is true, the next page must
// be read from the returned index.
func (p *proposer) appendDecided(ctx context.Context, page chainPage, next uint64, out *Chain) (index uint64, more bool) {
	for ; page.endIndex == 0 || next < page.endIndex; next++ {
		states := page.votedStates(next)
		if len(states) == 0 {
			return next, false
		}
		value, ok := decidedBy(len(page.voters.members), states)
		if states[0].decided {
			value = page.values[next]
		}
		if ok && !states[0].decided {
			p.announcer.announce(page.voters.epoch, page.voters.members,
				&agreementpb.Register{Key: registerKey(page.prefix, next), Decided: true, HasAccepted: true, Value: value})
		}
		if !ok {
			value, ok = p.completeRegister(ctx, registerKey(page.prefix, next))
		}
		if !ok {
			out.Undecided = true
			return next, false
		}
		out.Decided = append(out.Decided, Register{Index: next, Value: value})
	}
	return next, true
}

// votedStates returns the states of the register that have a vote, or a single decided state if there is one.
func (c *chainPage) votedStates(index uint64) []register {
	var states []register
	for _, reply := range c.replies {
		state, ok := reply[index]
		if ok && state.decided {
			return []register{state}
		}
		if ok && state.hasVote() {
			states = append(states, state)
		}
	}
	return states
}

// completeRegister decides a register with votes if one of the voted values may have been decided.
func (p *proposer) completeRegister(ctx context.Context, key string) ([]byte, bool) {
	o := &operation{p: p, key: key, nextRound: 1}
	value, err := o.run(ctx)
	return value, err == nil
}
