package agreement

import (
	"context"
	"sort"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// copyPageBytes is the size at which a page of a copy ends. Both sides hold a page several times, encoded and
	// decoded, and a connection keeps a buffer as large as the largest message that it received.
	copyPageBytes = 1 << 20
	// copyPageRegisters bounds the registers of a page.
	copyPageRegisters = 4096
	// copyOrderLifetime is how long the order of the chains is kept after the last page that was read.
	copyOrderLifetime = 10 * time.Second
)

// copyOrder is the order in which learners of one epoch copy the chains. A chain that is created after the
// group changed is not needed, so all learners of the epoch can share one order.
type copyOrder struct {
	epoch    uint64
	prefixes []string
	usedAt   time.Time
}

// Copy returns a page of the state to a learner. Only a replica that holds its full state in a verified folder
// and has reached the learner's epoch serves it. The server keeps nothing for a learner but the order of the chains, so
// a page can be read again and a copy can be resumed at any page.
func (r *Replica) Copy(_ context.Context, in *agreementpb.CopyRequest) (*agreementpb.CopyReply, error) {
	r.mu.Lock()
	pending := r.newReply()
	switch {
	case in.GetHeader().GetEpoch() != r.store.group.GetEpoch():
		pending.header.Refusal = refusalWrongEpoch
		pending.header.Group = r.store.group
		r.wakeRun()
	case !r.folderVerified || r.store.readyEpoch == 0:
		pending.header.Refusal = refusalNotVoting
	}
	if pending.header.Refusal != "" {
		r.mu.Unlock()
		return &agreementpb.CopyReply{Header: r.finishReply(pending)}, nil
	}
	page := &copyPage{request: in, reply: &agreementpb.CopyReply{}}
	page.fill(r.copyOrderOf(in.GetHeader().GetEpoch()), r.store)
	pending.waitSequence = r.log.Last()
	r.mu.Unlock()
	out := page.reply
	out.Header = r.finishReply(pending)
	if out.Header.GetRefusal() != "" {
		return &agreementpb.CopyReply{Header: out.Header}, nil
	}
	return out, nil
}

// copyOrderOf returns the sorted prefixes of the chains that existed when the first learner of the epoch asked.
// It must be called with r.mu held.
func (r *Replica) copyOrderOf(epoch uint64) []string {
	if r.copyOrder == nil || r.copyOrder.epoch != epoch {
		r.copyOrder = &copyOrder{epoch: epoch, prefixes: r.store.prefixes()}
	}
	r.copyOrder.usedAt = r.now()
	return r.copyOrder.prefixes
}

// dropCopyOrder forgets the order of the chains once no learner reads them any more. It must be called with
// r.mu held.
func (r *Replica) dropCopyOrder() {
	if r.copyOrder != nil && r.now().Sub(r.copyOrder.usedAt) >= copyOrderLifetime {
		r.copyOrder = nil
	}
}

// copyPage fills one reply to a CopyRequest.
type copyPage struct {
	request   *agreementpb.CopyRequest
	reply     *agreementpb.CopyReply
	bytes     int
	registers int
}

// fill adds chains in the given order, from the position in the request on, until the page is full.
func (p *copyPage) fill(order []string, s *store) {
	after, from := p.request.GetAfterKey(), p.request.GetFromIndex()
	at := sort.SearchStrings(order, after)
	if from == 0 && at < len(order) && order[at] == after {
		at++
	}
	for ; at < len(order) && !p.full(); at++ {
		if order[at] != after {
			from = 0
		}
		p.reply.NextIndex = p.addChain(order[at], s.chains[order[at]], from)
	}
	p.reply.Last = at == len(order) && p.reply.NextIndex == 0
}

func (p *copyPage) full() bool {
	return p.bytes >= copyPageBytes || p.registers >= copyPageRegisters
}

// addChain adds the registers from the index on. It returns the index at which the next page continues, or 0 if the
// page holds the rest of the chain. A learner that does not know partial chains gets the whole chain.
func (p *copyPage) addChain(prefix string, c *chain, from uint64) (next uint64) {
	// Each page names its last chain, from which the next one continues, even if that chain was dropped in
	// the meantime.
	m := &agreementpb.ChainSnapshot{Prefix: prefix}
	p.reply.Snapshots = append(p.reply.Snapshots, m)
	if c == nil {
		return 0
	}
	if c.floor > from {
		// The chain begins here, or was compacted past the previous page.
		p.addSnapshot(m, c)
	}
	at, _ := c.position(from)
	for _, state := range c.registers[at:] {
		if p.request.GetPartialChains() && p.full() {
			return state.index
		}
		p.addRegister(prefix, *state)
	}
	return 0
}

func (p *copyPage) addSnapshot(m *agreementpb.ChainSnapshot, c *chain) {
	m.Floor = c.floor
	if p.request.GetOmitDecided() {
		m.SnapshotOmitted = true
		return
	}
	m.Snapshot = c.snapshot
	p.bytes += len(c.snapshot)
}

func (p *copyPage) addRegister(prefix string, state register) {
	m := state.message(prefix)
	if state.decided && p.request.GetOmitDecided() {
		m.Value, m.ValueOmitted = nil, true
	}
	p.reply.Registers = append(p.reply.Registers, m)
	p.bytes += len(m.GetValue()) + len(prefix)
	p.registers++
}
