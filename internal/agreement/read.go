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
	for {
		page, err := p.readPage(ctx, prefix, next)
		if err != nil {
			return Chain{}, err
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
	// endIndex is the first index that some reply does not cover; 0 if every reply reaches the chain's end.
	endIndex uint64
}

// readPage repeats the read until a majority of one epoch has replied.
func (p *proposer) readPage(ctx context.Context, prefix string, from uint64) (chainPage, error) {
	pause := backoff{}
	for {
		voters := p.voterSet()
		if voters.epoch == 0 {
			(&operation{p: p}).findGroup(ctx, voters)
			voters = p.voterSet()
		}
		page, ok := p.readOnce(ctx, voters, prefix, from)
		if ok {
			return page, nil
		}
		changed := p.voterSet().epoch != voters.epoch
		if ctx.Err() != nil || (!changed && !pause.wait(ctx)) {
			return chainPage{}, errors.WithStack(ErrNoQuorum)
		}
	}
}

func (p *proposer) readOnce(ctx context.Context, voters voterSet, prefix string, from uint64) (chainPage, bool) {
	responses := broadcast(ctx, p, voters, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.ReadReply, error) {
		return c.Read(ctx, &agreementpb.ReadRequest{Header: p.header(voters), Prefix: prefix, From: from})
	})
	page := chainPage{voters: voters, prefix: prefix}
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
			}
		}
	}
	return page, false
}

func (c *chainPage) addReply(reply *agreementpb.ReadReply, from uint64) {
	if reply.GetFloor() > c.floor {
		c.floor, c.snapshot = reply.GetFloor(), reply.GetSnapshot()
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
	}
	if reply.GetMore() && (c.endIndex == 0 || last+1 < c.endIndex) {
		c.endIndex = last + 1
	}
	c.replies = append(c.replies, states)
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
		if ok && !states[0].decided {
			p.announcer.announce(page.voters, registerKey(page.prefix, next), value, nil, ballot{})
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
