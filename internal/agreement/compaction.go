package agreement

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// Compact replaces the registers of the chain below the floor by the snapshot. The caller must ensure
// that all of them are decided and that the snapshot holds the state that they add up to. Compact returns
// when the change is durable. A floor at or below the current one changes nothing.
func (r *Replica) Compact(prefix string, floor uint64, snapshot []byte) error {
	if len(snapshot) > storage.MaxEntryBytes/2 {
		return errors.Errorf("snapshot of %d bytes exceeds %d; keep a smaller state", len(snapshot), storage.MaxEntryBytes/2)
	}
	if prefix == groupPrefix {
		return errors.New("the chain of groups cannot be compacted; use another prefix")
	}
	r.mu.Lock()
	if state := r.state; state != Voting {
		r.mu.Unlock()
		return errors.Errorf("the replica is %s; compact once it votes", state)
	}
	if floor <= r.store.floor(prefix) {
		r.mu.Unlock()
		return nil
	}
	wait := r.appendEntries(entryCompacted(prefix, floor, snapshot))
	r.store.compact(prefix, floor, snapshot)
	journal := r.log
	r.mu.Unlock()
	err := journal.Sync(wait)
	r.stopOnJournalError(journal, err)
	return errors.Wrap(err, "compact a chain")
}

// compactIfDue starts a compaction in the background if the journal has grown enough or, while it has new
// entries, if maxCompactionInterval has passed.
func (r *Replica) compactIfDue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.log.BytesSinceSnapshot()
	segment := r.cfg.SegmentBytes
	if segment <= 0 {
		segment = storage.DefaultSegmentBytes
	}
	// Waiting until the journal is as large as the last snapshot keeps the cost of snapshots proportional
	// to the writes.
	threshold := max(snapshotSegments*segment, r.log.SnapshotBytes())
	due := size > threshold || (size > 0 && r.now().Sub(r.compactedAt) >= maxCompactionInterval)
	if !due || r.compacting || r.state == Stopped {
		return
	}
	r.compacting = true
	r.background.Go(r.writeSnapshot)
}

func (r *Replica) writeSnapshot() {
	r.dropExpired()
	r.mu.Lock()
	journal, sequence := r.log, r.log.Last()
	head := r.headEntries()
	views := r.store.view()
	r.mu.Unlock()
	err := journal.WriteSnapshot(sequence, func(emit func([]byte) error) error {
		return emitAll(head, views, emit)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compacting = false
	r.compactedAt = r.now()
	if err != nil {
		// The journal is complete without the snapshot, so the replica continues.
		r.logger.Warn("a snapshot could not be written; the journal grows until the next attempt", "err", logging.Err(err))
	}
}

// headEntries returns the snapshot entries that precede the chains. It must be called with r.mu held.
func (r *Replica) headEntries() []*agreementpb.JournalEntry {
	var head []*agreementpb.JournalEntry
	if r.store.group != nil {
		head = append(head, entryGroup(r.store.group))
	}
	if r.store.readyEpoch != 0 {
		head = append(head, entryReady(r.store.readyEpoch))
	}
	for key, sequence := range r.store.seen {
		head = append(head, entrySeen(key, sequence))
	}
	return head
}

func emitAll(head []*agreementpb.JournalEntry, views []chainView, emit func([]byte) error) error {
	for _, e := range head {
		if err := emitEntry(e, emit); err != nil {
			return err
		}
	}
	for _, v := range views {
		for _, e := range v.entries() {
			if err := emitEntry(e, emit); err != nil {
				return err
			}
		}
	}
	return nil
}

func emitEntry(e *agreementpb.JournalEntry, emit func([]byte) error) error {
	encoded, err := proto.Marshal(e)
	if err != nil {
		return errors.WithStack(err)
	}
	return emit(encoded)
}

// dropExpired drops the chains that Retain rejects. It calls Retain without holding r.mu and drops only
// chains that have not changed in the meantime.
func (r *Replica) dropExpired() {
	r.mu.Lock()
	if r.cfg.Retain == nil || r.state != Voting {
		r.mu.Unlock()
		return
	}
	views := r.store.view()
	r.mu.Unlock()
	for _, v := range views {
		if v.prefix != groupPrefix && v.chain.floor == 0 && !r.shouldRetain(v) {
			r.dropUnchanged(v)
		}
	}
}

func (r *Replica) dropUnchanged(v chainView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.store.chains[v.prefix]
	if c == nil || r.state != Voting || !slices.Equal(c.registers, v.chain.registers) {
		return
	}
	r.appendEntries(entryDropped(v.prefix))
	r.store.drop(v.prefix)
}

func (r *Replica) shouldRetain(v chainView) bool {
	for i := len(v.chain.registers) - 1; i >= 0; i-- {
		state := v.chain.registers[i]
		if state.hasAccepted {
			return r.cfg.Retain(registerKey(v.prefix, state.index), state.value, state.decided)
		}
	}
	return true
}
