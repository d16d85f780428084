package agreement

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// copyTimeout bounds the transfer of one page of a copy. A lost message delays the repair by this much,
	// and a second disk must not be lost before the repair is complete.
	copyTimeout = 3 * time.Second
	// copyPageBytes is the size at which a page of a copy ends; a page has at least one complete chain.
	copyPageBytes = 4 << 20
	// installBatch is how many entries a learner journals between two syncs.
	installBatch = 512
)

// Copy returns a page of the state to a learner, in complete chains. Only a replica that holds its full
// state in a verified folder and has reached the learner's epoch serves it.
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
	out := &agreementpb.CopyReply{}
	r.copyPage(in, out)
	pending.waitSequence = r.log.Last()
	r.mu.Unlock()
	out.Header = r.finishReply(pending)
	if out.Header.GetRefusal() != "" {
		return &agreementpb.CopyReply{Header: out.Header}, nil
	}
	return out, nil
}

// copyPage fills the page after in.AfterKey. The list of chains is fixed with the first page: a chain that
// is created later belongs to the new epoch and is not needed. It must be called with r.mu held.
func (r *Replica) copyPage(in *agreementpb.CopyRequest, out *agreementpb.CopyReply) {
	order, known := r.copyOrder[in.GetHeader().GetFrom()]
	if !known || in.GetAfterKey() == "" {
		order = make([]string, 0, len(r.store.chains))
		for prefix := range r.store.chains {
			order = append(order, prefix)
		}
		sort.Strings(order)
		r.copyOrder[in.GetHeader().GetFrom()] = order
	}
	at := sort.SearchStrings(order, in.GetAfterKey())
	if at < len(order) && order[at] == in.GetAfterKey() {
		at++
	}
	size := 0
	for ; at < len(order) && size < copyPageBytes; at++ {
		size += copyChain(order[at], r.store.chains[order[at]], out)
	}
	if at < len(order) {
		return
	}
	out.Last = true
	delete(r.copyOrder, in.GetHeader().GetFrom())
}

func copyChain(prefix string, c *chain, out *agreementpb.CopyReply) int {
	// Each page names its last chain, from which the next one continues, even if that chain was dropped in
	// the meantime.
	m := &agreementpb.ChainSnapshot{Prefix: prefix}
	out.Snapshots = append(out.Snapshots, m)
	if c == nil {
		return 0
	}
	m.Floor, m.Snapshot = c.floor, c.snapshot
	size := len(c.snapshot)
	for _, state := range c.registers {
		out.Registers = append(out.Registers, state.message(prefix))
		size += len(state.value) + len(prefix)
	}
	return size
}

// startLearning copies the state in the background unless a copy is running. It must be called with r.mu
// held.
func (r *Replica) startLearning(ctx context.Context) {
	if r.learnerRunning {
		return
	}
	r.learnerRunning = true
	group := r.store.group
	r.background.Go(func() {
		err := r.learnState(ctx, group)
		r.mu.Lock()
		r.learnerRunning = false
		if err != nil && r.state == Learning {
			r.setStateLocked(Learning, err.Error())
		}
		r.mu.Unlock()
		if err == nil {
			r.wakeRun()
		}
	})
}

// learnState copies the state from a majority of the members of the previous epoch, merges it, makes it
// durable and lets the replica vote.
func (r *Replica) learnState(ctx context.Context, group *agreementpb.Group) error {
	copies := r.collectCopies(ctx, group)
	need := majority(len(group.GetPrevious()))
	if len(copies) < need {
		return errors.Errorf("%d of %d members of the epoch before gave their state, %d are needed; bring them back or restore their disks",
			len(copies), len(group.GetPrevious()), need)
	}
	entries := mergeCopies(len(group.GetPrevious()), copies)
	for len(entries) > 0 {
		n := min(installBatch, len(entries))
		if err := r.installEntries(group, entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return r.finishLearning(group)
}

// collectCopies asks all members of the previous epoch concurrently and waits for a majority of them.
func (r *Replica) collectCopies(ctx context.Context, group *agreementpb.Group) []*replicaCopy {
	previous := group.GetPrevious()
	results := make(chan *replicaCopy, len(previous))
	asked := 0
	for _, m := range previous {
		if m.GetId() == r.cfg.ID && m.GetDiskId() == r.disk {
			continue
		}
		asked++
		go func() {
			c, err := r.copyFrom(ctx, group.GetEpoch(), m)
			if err != nil {
				r.logger.Debug("the state of a member could not be copied", "member", m.GetId(), "err", logging.Err(err))
			}
			results <- c
		}()
	}
	var copies []*replicaCopy
	for range asked {
		if c := <-results; c != nil {
			copies = append(copies, c)
		}
		if len(copies) >= majority(len(previous)) {
			break
		}
	}
	return copies
}

// copyFrom reads all pages of one member. Its disk must be the one listed in the previous epoch.
func (r *Replica) copyFrom(ctx context.Context, epoch uint64, m *agreementpb.Member) (*replicaCopy, error) {
	client := r.client.Replica(Member{ID: m.GetId(), Address: m.GetAddress()})
	c := newReplicaCopy()
	for after := ""; ; {
		page, err := r.fetchPage(ctx, client, epoch, after)
		if err != nil {
			return nil, err
		}
		h := page.GetHeader()
		if h.GetRefusal() != "" || h.GetEpoch() != epoch {
			return nil, errors.Errorf("member %s refused to copy its state: %s in epoch %d", m.GetId(), h.GetRefusal(), h.GetEpoch())
		}
		if h.GetSequence().GetDiskId() != m.GetDiskId() {
			return nil, errors.Errorf("member %s has another disk than the group lists", m.GetId())
		}
		if err := c.addPage(page); err != nil {
			return nil, err
		}
		if page.GetLast() {
			return c, nil
		}
		after = page.GetSnapshots()[len(page.GetSnapshots())-1].GetPrefix()
	}
}

func (r *Replica) fetchPage(ctx context.Context, client agreementpb.DRPCReplicaServer, epoch uint64, after string) (*agreementpb.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return client.Copy(ctx, &agreementpb.CopyRequest{
		Header:   &agreementpb.Header{Epoch: epoch, From: r.cfg.ID},
		AfterKey: after,
	})
}

// installEntries journals merged entries and waits until they are durable.
func (r *Replica) installEntries(group *agreementpb.Group, entries []mergedEntry) error {
	r.mu.Lock()
	if r.store.group.GetEpoch() != group.GetEpoch() || r.state != Learning {
		r.mu.Unlock()
		return errors.New("the group changed during the copy; it begins again")
	}
	wait := uint64(0)
	for _, e := range entries {
		wait = r.installEntry(e)
	}
	journal := r.log
	r.mu.Unlock()
	err := journal.Sync(wait)
	r.stopOnJournalError(journal, err)
	return err
}

// installEntry stores one merged entry and returns the sequence that must be durable for it. It must be
// called with r.mu held.
func (r *Replica) installEntry(e mergedEntry) uint64 {
	if e.floor > 0 {
		r.store.compact(e.prefix, e.floor, e.snapshot)
		return r.appendEntries(entryCompacted(e.prefix, e.floor, e.snapshot))
	}
	known := r.store.get(e.prefix, e.state.index)
	if known.decided || e.state.index < r.store.floor(e.prefix) {
		return r.log.Last()
	}
	state := r.saveRegister(e.prefix, e.state)
	if state.decided {
		r.watchers.notify(e.prefix, state.index, state.value)
	}
	return state.sequence
}

func (r *Replica) finishLearning(group *agreementpb.Group) error {
	r.mu.Lock()
	if r.store.group.GetEpoch() != group.GetEpoch() || r.state != Learning {
		r.mu.Unlock()
		return errors.New("the group changed during the copy; it begins again")
	}
	joined := findMember(group, r.cfg.ID).GetJoined()
	wait := r.appendEntries(entryReady(joined))
	journal := r.log
	r.mu.Unlock()
	err := journal.Sync(wait)
	if r.stopOnJournalError(journal, err) {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.store.group.GetEpoch() != group.GetEpoch() || r.state != Learning {
		return errors.New("the group changed during the copy; it begins again")
	}
	r.store.readyEpoch = joined
	r.folderVerified = true
	r.logger.Info("the replica has copied the state and now votes", "id", r.cfg.ID, "epoch", group.GetEpoch())
	r.setStateLocked(Voting, "")
	return nil
}
