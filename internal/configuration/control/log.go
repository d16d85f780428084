package control

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Prefix is the chain of registers that holds the configuration.
const Prefix = "config"

const logPrefix = "configuration log"

const (
	// readInterval is the longest time between two reads of the chain.
	readInterval = 250 * time.Millisecond
	// readTimeout bounds one read of the chain.
	readTimeout = time.Second
	// proposeTimeout bounds one proposal.
	proposeTimeout = 3 * time.Second
	// defaultCompactEvery is how many registers accumulate before they are replaced by a snapshot.
	defaultCompactEvery = 1024
	// compactBytes is how many bytes of registers accumulate before they are replaced earlier.
	compactBytes = 32 << 20
	// confirmTimeout bounds the reading before a fetch is answered. It is shorter than the
	// patience of a starting node, which counts the unconfirmed answers of a lost majority.
	confirmTimeout = 500 * time.Millisecond
)

// Compactor replaces the registers of a chain below the floor by a snapshot at this replica.
type Compactor interface {
	Compact(prefix string, floor uint64, snapshot []byte) error
}

// Group changes the group of control replicas.
type Group interface {
	// Replace swaps a member for a new one and returns the epoch of the new group.
	Replace(ctx context.Context, removeID, addID, addAddress string) (epoch uint64, err error)
	// State returns the state of this replica: voting, learning or stopped.
	State() string
}

// Fleet tells which host has which revision in force, as gossiped.
type Fleet interface {
	Statuses() []*configpb.HostStatus
}

// Capacity tells the announced capacity of services.
type Capacity interface {
	// AnnouncedSlots returns the sum of the slots of all announced backend servers of the
	// service; known is false while this process has no view of the service.
	AnnouncedSlots(service string) (slots uint64, known bool)
}

// Options are the parts that a Log works with.
type Options struct {
	Proposer agreement.Proposer
	// Compactor may be nil; then the log is never compacted.
	Compactor Compactor
	// Group may be nil; then control replicas cannot be replaced.
	Group Group
	// Fleet may be nil; then a second change of hosts is not held back.
	Fleet Fleet
	// Capacity may be nil; then there are no warnings.
	Capacity Capacity
	// CompactEvery is how many registers accumulate before they are replaced by a snapshot; 0 means 1,024.
	CompactEvery uint64
	// Logger may be nil.
	Logger *log.Logger
}

// Log follows the chain of configuration registers and serves operators and the feed. It
// is safe for concurrent use.
type Log struct {
	options Options
	tail    *feed.Tail
	wake    chan struct{}
	// proposing serialises the proposals of this replica, so that they do not compete.
	proposing chan struct{}
	reads     reads

	mu      sync.Mutex
	ledger  *ledger
	floor   uint64
	settled settlement
	// bytes of the values that were applied since the last compaction.
	bytes int
}

// New returns a log that knows nothing until Run or the first request reads the chain.
func New(o Options) *Log {
	if o.CompactEvery == 0 {
		o.CompactEvery = defaultCompactEvery
	}
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	o.Logger = o.Logger.WithPrefix(logPrefix)
	return &Log{
		options:   o,
		tail:      feed.NewTail(),
		wake:      make(chan struct{}, 1),
		proposing: make(chan struct{}, 1),
		ledger:    newLedger(),
		floor:     1,
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
		l.watchHosts()
		select {
		case <-ticker.C:
		case <-l.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// Notify tells the log that this replica learned a decision, so that it reads the chain at once.
func (l *Log) Notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Revision returns the newest revision that this replica knows.
func (l *Log) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.revision()
}

// Document returns the newest document that this replica knows. It must not be modified.
func (l *Log) Document() *configpb.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.document()
}

// catchUp brings the log up to date. After it returns nil, the log is at least as new as
// every change that was accepted before the call.
func (l *Log) catchUp(ctx context.Context) error {
	undecided, err := l.readOn(ctx)
	if err == nil && undecided {
		// The open register may hold a change that was accepted: too few of its voters answer.
		return errors.WithMessage(agreement.ErrUndecided, "read the configuration log")
	}
	return err
}

// readOn applies what a majority knows to be decided, and tells whether the next register has
// votes without a known decision.
func (l *Log) readOn(ctx context.Context) (undecided bool, err error) {
	return l.reads.wait(ctx, l.read)
}

func (l *Log) read(ctx context.Context) (undecided bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		before := l.Revision()
		chain, err := l.options.Proposer.Read(ctx, Prefix, before+1)
		if err != nil {
			return false, errors.WithMessage(err, "read the configuration log")
		}
		if err := l.absorb(chain); err != nil {
			l.options.Logger.Error("cannot apply the configuration log", "err", logging.Err(err))
			return false, err
		}
		// A proposer may answer with a part of a long chain; the read that adds nothing is the last.
		if l.Revision() == before {
			return chain.Undecided, nil
		}
	}
}

func (l *Log) absorb(chain agreement.Chain) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if chain.Floor > l.ledger.revision()+1 {
		if err := l.jump(chain); err != nil {
			return err
		}
	}
	for _, register := range chain.Decided {
		if register.Index <= l.ledger.revision() {
			continue
		}
		if err := l.applyValue(register.Index, register.Value); err != nil {
			return err
		}
	}
	return nil
}

// jump replaces the ledger by the snapshot of a chain that was compacted past it.
func (l *Log) jump(chain agreement.Chain) error {
	restored, err := restore(chain.Snapshot)
	if err != nil {
		return err
	}
	if !invariant.Check(restored.revision()+1 == chain.Floor, "configuration.snapshot-meets-floor", "snapshot of revision %d below floor %d", restored.revision(), chain.Floor) {
		return errors.New("the snapshot of the configuration log does not reach its floor; replace this control replica")
	}
	l.ledger = restored
	l.floor = chain.Floor
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
	if err := l.ledger.apply(entry); err != nil {
		return errors.WithMessagef(err, "apply revision %d", index)
	}
	l.bytes += len(value)
	l.tail.Publish(l.ledger.document(), entry)
	return nil
}

// compact replaces old registers by a snapshot when enough have accumulated.
func (l *Log) compact() {
	if l.options.Compactor == nil {
		return
	}
	floor, snapshot, due, err := l.dueSnapshot()
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
	l.bytes = 0
}

func (l *Log) dueSnapshot() (floor uint64, data []byte, due bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.ledger.oldest().GetRevision() + 1
	if next < l.floor+l.options.CompactEvery && (l.bytes < compactBytes || next <= l.floor) {
		return 0, nil, false, nil
	}
	floor, data, err = l.ledger.snapshot()
	return floor, data, true, err
}
