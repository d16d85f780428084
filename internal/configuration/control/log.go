package control

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/bootclock"
	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Prefix names the chain of registers that holds the configuration.
const Prefix = "config"

const logPrefix = "configuration log"

const (
	// readInterval is the longest time between two reads of the chain.
	readInterval = 250 * time.Millisecond
	// readTimeout bounds one read of the chain.
	readTimeout = time.Second
	// proposeTimeout bounds one proposal.
	proposeTimeout = 3 * time.Second
	// defaultCompactEvery is the number of registers after which they are replaced by a snapshot.
	defaultCompactEvery = 1024
	// compactThresholdBytes is the smallest total size of the values at which the registers are replaced by a
	// snapshot even if there are fewer than CompactEvery. They are then at least compactSnapshots times as large as
	// the snapshot, so that the cost of snapshots stays proportional to the changes.
	compactThresholdBytes = 4 << 20
	compactSnapshots      = 2
	// confirmTimeout bounds the read that precedes the response to a fetch. It is shorter than the
	// timeout of a starting node's query, so that the node still receives the unconfirmed response
	// when there is no majority, and can count it.
	confirmTimeout = 500 * time.Millisecond
)

// Compactor replaces this replica's registers of a chain below the floor by a snapshot.
type Compactor interface {
	Compact(prefix string, floor uint64, snapshot []byte) error
}

// Group manages the membership of the group of control replicas.
type Group interface {
	// Replace removes one member, adds another and returns the epoch of the new group.
	Replace(ctx context.Context, removeID, addID, addAddress string) (epoch uint64, err error)
	// State returns the state of this replica: voting, learning or stopped.
	State() string
}

// Fleet reports which revision each host has in force, as learned from gossip.
type Fleet interface {
	Statuses() []*configpb.HostStatus
}

// Capacity reports the announced capacity of services.
type Capacity interface {
	// AnnouncedSlots returns the total number of slots of all announced backend servers of the
	// service; known is false while this process has no view of the service.
	AnnouncedSlots(service string) (slots uint64, known bool)
}

// Options holds the dependencies and settings of a Log.
type Options struct {
	Proposer agreement.Proposer
	// Compactor may be nil; then the log is never compacted.
	Compactor Compactor
	// Group may be nil; then control replicas cannot be replaced.
	Group Group
	// Fleet may be nil; then a change of hosts does not wait for the previous one.
	Fleet Fleet
	// Capacity may be nil; then there are no warnings.
	Capacity Capacity
	// CompactEvery is the number of registers after which they are replaced by a snapshot; 0 means 1,024.
	CompactEvery uint64
	// Logger may be nil.
	Logger *log.Logger
}

// Log follows the chain of configuration registers and serves the operator and feed RPCs. It
// is safe for concurrent use.
type Log struct {
	options Options
	tail    *feed.Tail
	wake    chan struct{}
	// proposeSem serialises the proposals of this replica, so that they do not compete for a register.
	proposeSem chan struct{}
	reads      readGroup

	mu           sync.Mutex
	state        *stateMachine
	floor        uint64
	hostsInForce inForceRecord
	// readAt is when the last complete read of the chain began, by bootclock, and readRevision the revision that it led
	// to: every change that was confirmed before readAt is in this revision or an earlier one. 0 before the first read.
	readAt       time.Duration
	readRevision uint64
	// bytes is the size of the values applied since the last compaction, and snapshotBytes the size of its snapshot.
	bytes, snapshotBytes int
}

// New returns an empty log. Run or the first request reads the chain.
func New(o Options) *Log {
	if o.CompactEvery == 0 {
		o.CompactEvery = defaultCompactEvery
	}
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	o.Logger = o.Logger.WithPrefix(logPrefix)
	return &Log{
		options:    o,
		tail:       feed.NewTail(feed.RetainedBases),
		wake:       make(chan struct{}, 1),
		proposeSem: make(chan struct{}, 1),
		state:      newStateMachine(),
		floor:      1,
	}
}

// Run follows the chain until the context ends.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		if err := l.catchUp(ctx); err != nil && ctx.Err() == nil {
			l.options.Logger.Debug("could not read the configuration log from a majority", "err", logging.Err(err))
		}
		l.compact()
		l.refreshHostsInForce()
		select {
		case <-ticker.C:
		case <-l.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// Notify reports that this replica learned a decision. The log then reads the chain immediately.
func (l *Log) Notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Revision returns the newest revision known to this replica.
func (l *Log) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.revision()
}

// Document returns the newest document known to this replica. It must not be modified.
func (l *Log) Document() *configpb.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.document()
}

// catchUp brings the log up to date. When it returns nil, the log includes every change that
// was accepted before the call.
func (l *Log) catchUp(ctx context.Context) error {
	began := bootclock.Now()
	undecided, err := l.readChain(ctx)
	if err == nil && !undecided {
		l.recordRead(began)
	}
	if err == nil && undecided {
		// The undecided register may hold an accepted change, since too few of its voters responded.
		return errors.WithMessage(agreement.ErrUndecided, "read the configuration log")
	}
	return err
}

// recordRead records a complete read of the chain that began at the given time.
func (l *Log) recordRead(began time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if began > l.readAt {
		l.readAt, l.readRevision = began, l.state.revision()
	}
}

// lastRead returns when the last complete read of the chain began, and the revision that it led to.
func (l *Log) lastRead() (began time.Duration, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt, l.readRevision
}

// readChain applies the registers that a majority reports as decided. undecided reports whether
// the next register has votes but no known decision.
func (l *Log) readChain(ctx context.Context) (undecided bool, err error) {
	return l.reads.awaitRead(ctx, l.readUntilCurrent)
}

func (l *Log) readUntilCurrent(ctx context.Context) (undecided bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		before := l.Revision()
		chain, err := l.options.Proposer.Read(ctx, Prefix, before+1)
		if err != nil {
			return false, errors.WithMessage(err, "read the configuration log")
		}
		if err := l.applyChain(chain); err != nil {
			l.options.Logger.Error("cannot apply the configuration log", "err", logging.Err(err))
			return false, err
		}
		// A proposer may return only part of a long chain, so read until nothing is added.
		if l.Revision() == before {
			return chain.Undecided, nil
		}
	}
}

func (l *Log) applyChain(chain agreement.Chain) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if chain.Floor > l.state.revision()+1 {
		if err := l.installSnapshot(chain); err != nil {
			return err
		}
	}
	for _, register := range chain.Decided {
		if register.Index <= l.state.revision() {
			continue
		}
		if err := l.applyValue(register.Index, register.Value); err != nil {
			return err
		}
	}
	return nil
}

// installSnapshot replaces the state by the snapshot of a chain that was compacted past it.
func (l *Log) installSnapshot(chain agreement.Chain) error {
	restored, err := restoreStateMachine(chain.Snapshot)
	if err != nil {
		return err
	}
	if !invariant.Check(restored.revision()+1 == chain.Floor, "configuration.snapshot-meets-floor", "snapshot of revision %d below floor %d", restored.revision(), chain.Floor) {
		return errors.New("the snapshot of the configuration log does not reach its floor; replace this control replica")
	}
	l.state = restored
	l.floor = chain.Floor
	l.bytes, l.snapshotBytes = 0, len(chain.Snapshot)
	l.tail.Publish(restored.document(), nil)
	return nil
}

func (l *Log) applyValue(index uint64, value []byte) error {
	entry := &configpb.Entry{}
	if err := proto.Unmarshal(value, entry); err != nil {
		return errors.Wrapf(err, "decode revision %d; upgrade this host", index)
	}
	if !invariant.Check(entry.GetRevision() == index, "configuration.entry-at-its-index", "revision %d in register %d", entry.GetRevision(), index) {
		return errors.Errorf("register %d holds revision %d; report this as a defect", index, entry.GetRevision())
	}
	if err := l.state.apply(entry); err != nil {
		return errors.WithMessagef(err, "apply revision %d", index)
	}
	l.bytes += len(value)
	l.tail.Publish(l.state.document(), entry)
	return nil
}

// compact replaces old registers by a snapshot when enough have accumulated.
func (l *Log) compact() {
	if l.options.Compactor == nil {
		return
	}
	floor, snapshot, due, err := l.snapshotIfDue()
	if !due {
		return
	}
	if err == nil {
		err = l.options.Compactor.Compact(Prefix, floor, snapshot)
	}
	if err != nil {
		l.options.Logger.Warn("could not compact the configuration log", "err", logging.Err(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = max(l.floor, floor)
	l.bytes, l.snapshotBytes = 0, len(snapshot)
}

func (l *Log) snapshotIfDue() (floor uint64, data []byte, due bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.state.oldest().GetRevision() + 1
	large := l.bytes >= max(compactThresholdBytes, compactSnapshots*l.snapshotBytes)
	if next < l.floor+l.options.CompactEvery && (!large || next <= l.floor) {
		return 0, nil, false, nil
	}
	floor, data, err = l.state.snapshot()
	return floor, data, true, err
}
