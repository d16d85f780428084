package store

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const logPrefix = "configuration"

// maxAdvanceEntries is the number of entries up to which the snapshot is advanced entry by entry; for
// more entries, compiling the resulting document once is cheaper.
const maxAdvanceEntries = 8

// Options configures a Store.
type Options struct {
	// ID and DataCentre identify this node in the status that its fetches contain.
	ID, DataCentre string
	// Address is the fleet address at which other hosts reach this node.
	Address string
	// Control lists the fleet addresses of the control replicas in the settings. Hosts with a
	// control role in the document are queried as well.
	Control []string
	// Discover lists further control replicas that were discovered since the start; nil means none.
	Discover func() []string
	// Peers lists the fleet addresses of nodes to query during startup.
	Peers []string
	// Client sends fetches to other processes.
	Client feed.Client
	// Folder is where the document is stored, such as the data folder's "configuration"; if empty, nothing
	// is stored.
	Folder string
	// Metrics may be nil.
	Metrics *Metrics
	// Logger may be nil.
	Logger *log.Logger
}

// Store keeps the revision in force at a node. It is safe for concurrent use.
type Store struct {
	options Options
	file    documentFile
	holder  configuration.Holder
	tail    *feed.Tail
	hints   *hintQueue
	// ahead holds the processes that have newer revisions with large contents.
	ahead     *hintQueue
	transfers transfers
	currency  currency
	// ready is set once the newest revision is known.
	ready atomic.Bool

	// writeMu serialises writes to file, holder and tail.
	writeMu sync.Mutex
	// startup is nil once the newest revision is known; guarded by writeMu.
	startup *startupState
}

var (
	_ route.Source            = (*Store)(nil)
	_ configpb.DRPCFeedServer = (*Store)(nil)
)

// New returns a store with nothing in force. Run starts it.
func New(o Options) *Store {
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	o.Logger = o.Logger.WithPrefix(logPrefix)
	return &Store{
		options: o,
		file:    documentFile{folder: o.Folder},
		tail:    feed.NewTail(0),
		hints:   newHintQueue(),
		ahead:   newHintQueue(),
	}
}

// Run determines the newest revision and then applies newer ones until the context ends.
func (s *Store) Run(ctx context.Context) error {
	if err := s.runStartup(ctx); err != nil {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.poll(ctx) })
	group.Go(func() error { return s.followHints(ctx) })
	group.Go(func() error { return s.transferNewer(ctx) })
	return group.Wait()
}

// Ready reports whether startup is complete and a document is in force.
func (s *Store) Ready() bool {
	return s.ready.Load() && s.holder.Snapshot() != nil
}

// Current returns the snapshot in force for the request path, or nil before the first.
func (s *Store) Current() route.Snapshot { return s.holder.Current() }

// Snapshot returns the snapshot in force with its whole document, or nil before the first.
func (s *Store) Snapshot() *configuration.Snapshot { return s.holder.Snapshot() }

// Revision returns the revision in force, or 0 before the first.
func (s *Store) Revision() uint64 {
	if snapshot := s.holder.Snapshot(); snapshot != nil {
		return snapshot.Revision()
	}
	return 0
}

// Changed returns a channel that is closed when the next revision is in force.
func (s *Store) Changed() <-chan struct{} { return s.tail.Changed() }

// Fetch serves the feed to peers. The error is always nil.
func (s *Store) Fetch(ctx context.Context, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	return s.tail.Fetch(ctx, r), nil
}

// Hint reports that the peer at the fleet address has the revision in force. It never blocks.
func (s *Store) Hint(address string, revision uint64) {
	if revision > s.Revision() {
		s.hints.add(hint{address: address, revision: revision})
	}
}

// applyReply applies what a reply has that is newer than the revision in force.
func (s *Store) applyReply(reply *configpb.FetchReply) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	switch {
	case reply.GetDocument() != nil:
		return s.applyDocument(reply.GetDocument())
	case reply.GetDifference() != nil:
		return s.applyDifference(reply.GetDifference())
	default:
		return s.applyEntries(reply.GetEntries())
	}
}

// applyDifference ignores a difference that another reply has made unnecessary.
func (s *Store) applyDifference(d *configpb.Difference) error {
	if d.GetChanged().GetRevision() <= s.Revision() {
		return nil
	}
	next, err := configuration.Patch(s.document(), d)
	if err != nil {
		return err
	}
	return s.applyDocument(next)
}

func (s *Store) applyDocument(d *configpb.Document) error {
	if d.GetRevision() <= s.Revision() {
		return nil
	}
	s.putInForce(configuration.Compile(d))
	s.tail.Publish(d, nil)
	return nil
}

func (s *Store) applyEntries(entries []*configpb.Entry) error {
	documents, applied, err := replay(s.document(), entries)
	if len(documents) == 0 {
		return err
	}
	s.putInForce(s.compile(documents, applied))
	for i, d := range documents {
		s.tail.Publish(d, applied[i])
	}
	return err
}

// document returns the document in force, or the empty one.
func (s *Store) document() *configpb.Document {
	if snapshot := s.holder.Snapshot(); snapshot != nil {
		return snapshot.Document()
	}
	return configuration.Empty()
}

// replay applies the entries that are newer than the document, and returns them with the documents that
// result. With an error it returns those before the failed entry.
func replay(d *configpb.Document, entries []*configpb.Entry) (documents []*configpb.Document, applied []*configpb.Entry, err error) {
	for _, e := range entries {
		if e.GetRevision() <= d.GetRevision() {
			continue
		}
		next, err := configuration.Apply(d, e)
		if err != nil {
			return documents, applied, err
		}
		d = next
		documents = append(documents, d)
		applied = append(applied, e)
	}
	return documents, applied, nil
}

func (s *Store) compile(documents []*configpb.Document, entries []*configpb.Entry) *configuration.Snapshot {
	snapshot := s.holder.Snapshot()
	if snapshot == nil || len(documents) > maxAdvanceEntries {
		return configuration.Compile(documents[len(documents)-1])
	}
	for i, d := range documents {
		snapshot = snapshot.Advance(d, entries[i].GetChange())
	}
	return snapshot
}

// putInForce stores the document and puts its snapshot in force, even if storing fails.
func (s *Store) putInForce(snapshot *configuration.Snapshot) {
	if err := s.file.save(snapshot.Document()); err != nil {
		s.options.Logger.Error("could not store the configuration", "revision", snapshot.Revision(), "err", logging.Err(err))
		if err := s.file.remove(); err != nil {
			s.options.Logger.Error("could not remove the outdated stored configuration", "err", logging.Err(err))
		}
	}
	s.holder.Set(snapshot)
	s.currency.advance(snapshot.Revision())
	s.options.Logger.Info("configuration in force", "revision", snapshot.Revision())
}
