package agreement

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// copyTimeout bounds the transfer of one page of a copy. A lost message delays the repair by this much,
	// and a second disk must not be lost before the repair is complete.
	copyTimeout = 3 * time.Second
	// copyPageAttempts is how often a page is requested before the copy of that member fails.
	copyPageAttempts = 3
	// copyRetryPause is the pause before a page is requested again.
	copyRetryPause = 50 * time.Millisecond
	// maxValuePages bounds the pages with values that a learner reads at the same time.
	maxValuePages = 3
	// valueTurnWait is how long the copy of a member waits for another one to store the values that both lack. It then
	// reads them itself, since the other member may be silent.
	valueTurnWait = 300 * time.Millisecond
)

// errGroupChanged ends a copy for a group that is no longer the newest one.
var errGroupChanged = errors.New("the group changed during the copy; it begins again")

// startLearning copies the state in the background unless a copy is running. It must be called with r.mu
// held.
func (r *Replica) startLearning(ctx context.Context) {
	if r.learnerRunning {
		return
	}
	r.learnerRunning = true
	l := newLearner(r, r.store.group)
	r.background.Go(func() {
		err := l.learnState(ctx)
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

// learner copies the state of the previous epoch into the store of a replica that lacks it. Decided registers and
// snapshots are final, so they are stored as soon as one member has sent them; only the votes without a decision are held
// until a majority has been read. So the memory of a copy does not depend on the number of members. A copy that begins
// again, also after a restart, does not read the decided values that are stored already.
type learner struct {
	replica *Replica
	group   *agreementpb.Group
	// valueTurn is held by the copy that reads values, so that the others need not read the same ones. valuePages limits
	// the pages with values in memory when copies do not wait for their turn.
	valueTurn, valuePages *semaphore.Weighted

	mu    sync.Mutex
	votes *undecidedVotes
}

func newLearner(r *Replica, group *agreementpb.Group) *learner {
	return &learner{
		replica: r, group: group, votes: newUndecidedVotes(),
		valueTurn: semaphore.NewWeighted(1), valuePages: semaphore.NewWeighted(maxValuePages),
	}
}

// learnState copies the state from a majority of the members of the previous epoch, merges it, makes it
// durable and lets the replica vote.
func (l *learner) learnState(ctx context.Context) error {
	started := l.replica.now()
	sources := l.copyFromMajority(ctx)
	previous := len(l.group.GetPrevious())
	if need := majority(previous); len(sources) < need {
		return errors.Errorf("%d of %d members of the epoch before gave their state, %d are needed; bring them back or restore their disks",
			len(sources), previous, need)
	}
	if err := l.replica.installVotes(l.group, l.votes.merge(previous, sources)); err != nil {
		return err
	}
	if err := l.replica.finishLearning(l.group); err != nil {
		return err
	}
	l.replica.logger.Info("the replica has copied the state and now votes", "id", l.replica.cfg.ID, "epoch", l.group.GetEpoch(),
		"members", len(sources), "took", l.replica.now().Sub(started))
	return nil
}

// copyFromMajority asks all members of the previous epoch concurrently. It returns the members whose state was
// read completely, once they are a majority or all have responded.
func (l *learner) copyFromMajority(ctx context.Context) (sources []string) {
	ctx, cancel := context.WithCancel(ctx)
	previous := l.group.GetPrevious()
	results := make(chan string, len(previous))
	asked := 0
	var copies sync.WaitGroup
	// The votes must not change any more once they are merged.
	defer copies.Wait()
	defer cancel()
	for _, m := range previous {
		if m.GetId() == l.replica.cfg.ID && m.GetDiskId() == l.replica.disk {
			continue
		}
		asked++
		copies.Go(func() {
			if err := l.copyFrom(ctx, m); err != nil {
				if ctx.Err() == nil {
					l.replica.logger.Debug("the state of a member could not be copied", "member", m.GetId(), "err", logging.Err(err))
				}
				results <- ""
				return
			}
			results <- m.GetId()
		})
	}
	for range asked {
		if id := <-results; id != "" {
			sources = append(sources, id)
		}
		if len(sources) >= majority(len(previous)) {
			break
		}
	}
	return sources
}

// copyPosition is the place in a member's chains after which the next page begins.
type copyPosition struct {
	afterKey  string
	fromIndex uint64
}

// copyFrom reads all pages of one member. Each page is first read without decided values, and with them only if
// it begins with one that is not stored here yet.
func (l *learner) copyFrom(ctx context.Context, m *agreementpb.Member) error {
	for at := (copyPosition{}); ; {
		page, err := l.fetchPage(ctx, m, at, true)
		if err != nil {
			return err
		}
		if held := l.replica.heldPart(page); held != nil {
			page, err = held, l.storePage(m, held)
		} else {
			page, err = l.storeValuePage(ctx, m, at)
		}
		if err != nil {
			return err
		}
		if page.GetLast() {
			return nil
		}
		at = copyPosition{page.GetSnapshots()[len(page.GetSnapshots())-1].GetPrefix(), page.GetNextIndex()}
	}
}

// storeValuePage stores the page with its values and returns it. If another copy has stored some of the values in
// the meantime, it returns the part of the page without values that is held.
func (l *learner) storeValuePage(ctx context.Context, m *agreementpb.Member, at copyPosition) (*agreementpb.CopyReply, error) {
	waited, release, err := l.awaitValueTurn(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	if waited {
		page, err := l.fetchPage(ctx, m, at, true)
		if err != nil {
			return nil, err
		}
		if held := l.replica.heldPart(page); held != nil {
			return held, l.storePage(m, held)
		}
	}
	page, err := l.fetchPage(ctx, m, at, false)
	if err != nil {
		return nil, err
	}
	return page, l.storePage(m, page)
}

// awaitValueTurn returns when the caller may read a page with values. waited reports whether another copy read one
// in the meantime.
func (l *learner) awaitValueTurn(ctx context.Context) (waited bool, release func(), err error) {
	waited = !l.valueTurn.TryAcquire(1)
	hasTurn := !waited
	if waited {
		turnCtx, cancel := context.WithTimeout(ctx, valueTurnWait)
		hasTurn = l.valueTurn.Acquire(turnCtx, 1) == nil
		cancel()
	}
	if err := l.valuePages.Acquire(ctx, 1); err != nil {
		if hasTurn {
			l.valueTurn.Release(1)
		}
		return waited, nil, errors.WithStack(err)
	}
	return waited, func() {
		l.valuePages.Release(1)
		if hasTurn {
			l.valueTurn.Release(1)
		}
	}, nil
}

// fetchPage reads one page of a member, and repeats a request that failed. The member's disk must be the one listed in
// the previous epoch.
func (l *learner) fetchPage(ctx context.Context, m *agreementpb.Member, at copyPosition, omitDecided bool) (*agreementpb.CopyReply, error) {
	client := l.replica.client.Replica(Member{ID: m.GetId(), Address: m.GetAddress()})
	request := &agreementpb.CopyRequest{
		Header:   &agreementpb.Header{Epoch: l.group.GetEpoch(), From: l.replica.cfg.ID},
		AfterKey: at.afterKey, FromIndex: at.fromIndex, PartialChains: true, OmitDecided: omitDecided,
	}
	for attempt := 1; ; attempt++ {
		page, err := callCopy(ctx, client, request)
		if err == nil {
			return page, l.checkPage(m, at, page)
		}
		if attempt >= copyPageAttempts || !sleep(ctx, copyRetryPause) {
			return nil, err
		}
	}
}

func callCopy(ctx context.Context, client agreementpb.DRPCReplicaServer, request *agreementpb.CopyRequest) (*agreementpb.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return client.Copy(ctx, request)
}

// sleep reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *learner) checkPage(m *agreementpb.Member, at copyPosition, page *agreementpb.CopyReply) error {
	h := page.GetHeader()
	switch {
	case h.GetRefusal() != "" || h.GetEpoch() != l.group.GetEpoch():
		return errors.Errorf("member %s refused to copy its state: %s in epoch %d", m.GetId(), h.GetRefusal(), h.GetEpoch())
	case h.GetSequence().GetDiskId() != m.GetDiskId():
		return errors.Errorf("member %s has another disk than the group lists", m.GetId())
	case page.GetLast():
		return nil
	case len(page.GetSnapshots()) == 0:
		return errors.Errorf("member %s sent an empty page of its state", m.GetId())
	}
	last := page.GetSnapshots()[len(page.GetSnapshots())-1].GetPrefix()
	if last < at.afterKey || last == at.afterKey && page.GetNextIndex() <= at.fromIndex && page.GetNextIndex() != 0 {
		return errors.Errorf("member %s sent a page of its state again", m.GetId())
	}
	return nil
}

// storePage makes the decided registers and the snapshots of the page durable and keeps the votes of the member for
// the merge.
func (l *learner) storePage(m *agreementpb.Member, page *agreementpb.CopyReply) error {
	undecided, err := l.replica.installDecided(l.group, page)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.votes.add(m.GetId(), undecided)
	l.votes.removeDecided(page.GetRegisters())
	return nil
}

// heldPart returns the page up to the first decided value or snapshot that it omits and that this replica does not
// hold; nil if the page begins with it.
func (r *Replica) heldPart(page *agreementpb.CopyReply) *agreementpb.CopyReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	chains, registers := page.GetSnapshots(), page.GetRegisters()
	held := 0
	for i, s := range chains {
		if s.GetSnapshotOmitted() && s.GetFloor() > r.store.floor(s.GetPrefix()) {
			if i == 0 {
				return nil
			}
			return &agreementpb.CopyReply{Header: page.GetHeader(), Snapshots: chains[:i], Registers: registers[:held]}
		}
		for ; held < len(registers); held++ {
			prefix, index, err := parseKey(registers[held].GetKey())
			if err != nil || prefix != s.GetPrefix() {
				break
			}
			if !registers[held].GetValueOmitted() || r.store.hasDecided(prefix, index) {
				continue
			}
			if i == 0 && held == 0 {
				return nil
			}
			return &agreementpb.CopyReply{Header: page.GetHeader(), Snapshots: chains[:i+1], Registers: registers[:held], NextIndex: index}
		}
	}
	return page
}

// installDecided journals the snapshots and the decided registers of a page that this replica lacks, waits until they
// are durable and returns the other registers.
func (r *Replica) installDecided(group *agreementpb.Group, page *agreementpb.CopyReply) (undecided []keyedRegister, err error) {
	r.mu.Lock()
	if r.store.group.GetEpoch() != group.GetEpoch() || r.state != Learning {
		r.mu.Unlock()
		return nil, errors.WithStack(errGroupChanged)
	}
	wait := uint64(0)
	for _, s := range page.GetSnapshots() {
		if s.GetFloor() > r.store.floor(s.GetPrefix()) && !s.GetSnapshotOmitted() {
			wait = r.installSnapshot(s)
		}
	}
	for _, m := range page.GetRegisters() {
		prefix, index, parseErr := parseKey(m.GetKey())
		switch {
		case parseErr != nil:
			err = parseErr
		case r.store.hasDecided(prefix, index):
		case m.GetDecided() && m.GetValueOmitted():
			err = errors.Errorf("the page lacks the value of register %s, which is not stored here", m.GetKey())
		case m.GetDecided():
			wait = r.installRegister(prefix, registerOf(index, m))
		default:
			undecided = append(undecided, keyedRegister{registerKey(prefix, index), prefix, registerOf(index, m)})
		}
	}
	journal := r.log
	r.mu.Unlock()
	if syncErr := journal.Sync(wait); syncErr != nil {
		r.stopOnJournalError(journal, syncErr)
		return nil, syncErr
	}
	return undecided, err
}

// installSnapshot must be called with r.mu held.
func (r *Replica) installSnapshot(s *agreementpb.ChainSnapshot) (sequence uint64) {
	r.store.compact(s.GetPrefix(), s.GetFloor(), s.GetSnapshot())
	return r.appendEntries(entryCompacted(s.GetPrefix(), s.GetFloor(), s.GetSnapshot()))
}

// installRegister must be called with r.mu held.
func (r *Replica) installRegister(prefix string, state register) (sequence uint64) {
	state = r.saveRegister(prefix, state)
	if state.decided {
		r.watchers.notify(prefix, state.index, state.value)
	}
	return state.sequence
}

// installVotes journals the merged votes and waits until they are durable. A page at a time bounds the memory of the
// journal's buffers.
func (r *Replica) installVotes(group *agreementpb.Group, merged []keyedRegister) error {
	for len(merged) > 0 {
		n, size := 0, 0
		for n < len(merged) && size < copyPageBytes {
			size += len(merged[n].state.value) + len(merged[n].key)
			n++
		}
		if err := r.installVotesPage(group, merged[:n]); err != nil {
			return err
		}
		merged = merged[n:]
	}
	return nil
}

func (r *Replica) installVotesPage(group *agreementpb.Group, merged []keyedRegister) error {
	r.mu.Lock()
	if r.store.group.GetEpoch() != group.GetEpoch() || r.state != Learning {
		r.mu.Unlock()
		return errors.WithStack(errGroupChanged)
	}
	wait := uint64(0)
	for _, m := range merged {
		if !r.store.hasDecided(m.prefix, m.state.index) {
			wait = r.installRegister(m.prefix, m.state)
		}
	}
	journal := r.log
	r.mu.Unlock()
	err := journal.Sync(wait)
	r.stopOnJournalError(journal, err)
	return err
}

func (r *Replica) finishLearning(group *agreementpb.Group) error {
	r.mu.Lock()
	if r.store.group.GetEpoch() != group.GetEpoch() || r.state != Learning {
		r.mu.Unlock()
		return errors.WithStack(errGroupChanged)
	}
	// The store changes together with the journal, since a snapshot of the store replaces the entries before it. Replies
	// wait until the entry is durable.
	joined := findMember(group, r.cfg.ID).GetJoined()
	r.store.readyEpoch = joined
	wait := r.appendEntries(entryReady(joined))
	r.groupSequence = wait
	journal := r.log
	r.mu.Unlock()
	err := journal.Sync(wait)
	if r.stopOnJournalError(journal, err) {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.store.group.GetEpoch() != group.GetEpoch() || (r.state != Learning && r.state != Voting) {
		return errors.WithStack(errGroupChanged)
	}
	r.folderVerified = true
	r.setStateLocked(Voting, "")
	return nil
}
