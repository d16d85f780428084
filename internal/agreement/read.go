package agreement

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

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
		next, more = p.follow(ctx, page, next, &out)
		if !more {
			return out, nil
		}
	}
}

// chainPage is what a majority answered about one stretch of a chain.
type chainPage struct {
	q        quorum
	prefix   string
	floor    uint64
	snapshot []byte
	replies  []map[uint64]register
	// end is the first index that some reply does not cover; 0 if all replies are whole.
	end uint64
}

// readPage repeats the read until a majority of one epoch answered.
func (p *proposer) readPage(ctx context.Context, prefix string, from uint64) (chainPage, error) {
	pause := backoff{}
	for {
		q := p.quorum()
		if q.epoch == 0 {
			(&operation{p: p}).findGroup(ctx, q)
			q = p.quorum()
		}
		page, ok := p.readOnce(ctx, q, prefix, from)
		if ok {
			return page, nil
		}
		changed := p.quorum().epoch != q.epoch
		if ctx.Err() != nil || (!changed && !pause.wait(ctx)) {
			return chainPage{}, errors.WithStack(ErrNoQuorum)
		}
	}
}

func (p *proposer) readOnce(ctx context.Context, q quorum, prefix string, from uint64) (chainPage, bool) {
	answers := broadcast(ctx, p, q, func(ctx context.Context, c agreementpb.DRPCReplicaServer) (*agreementpb.ReadReply, error) {
		return c.Read(ctx, &agreementpb.ReadRequest{Header: p.header(q), Prefix: prefix, From: from})
	})
	page := chainPage{q: q, prefix: prefix}
	for waiting := len(q.members); len(page.replies)+waiting >= q.majority(); waiting-- {
		if len(page.replies) >= q.majority() {
			return page, q.epoch != 0
		}
		select {
		case <-ctx.Done():
			return page, false
		case a := <-answers:
			h := a.reply.GetHeader()
			if a.err == nil && h.GetRefusal() == "" && h.GetEpoch() == q.epoch {
				page.add(a.reply, from)
			}
		}
	}
	return page, false
}

func (c *chainPage) add(reply *agreementpb.ReadReply, from uint64) {
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
	if reply.GetMore() && (c.end == 0 || last+1 < c.end) {
		c.end = last + 1
	}
	c.replies = append(c.replies, states)
}

// follow appends the decided registers of the page to the chain. It returns the index from which a
// further page must be read, if more is true.
func (p *proposer) follow(ctx context.Context, page chainPage, next uint64, out *Chain) (index uint64, more bool) {
	for ; page.end == 0 || next < page.end; next++ {
		states := page.states(next)
		if len(states) == 0 {
			return next, false
		}
		value, ok := decidedBy(len(page.q.members), states)
		if ok && !states[0].decided {
			p.announcer.announce(page.q, registerKey(page.prefix, next), value, nil, ballot{})
		}
		if !ok {
			value, ok = p.complete(ctx, registerKey(page.prefix, next))
		}
		if !ok {
			out.Undecided = true
			return next, false
		}
		out.Decided = append(out.Decided, Register{Index: next, Value: value})
	}
	return next, true
}

// states returns the states with votes of the register. The first is a decided one if there is one.
func (c *chainPage) states(index uint64) []register {
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

// complete decides a register with votes if one of them may have been decided.
func (p *proposer) complete(ctx context.Context, key string) ([]byte, bool) {
	o := &operation{p: p, key: key, round: 1}
	value, err := o.run(ctx)
	return value, err == nil
}
