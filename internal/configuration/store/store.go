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

// advanceLimit is up to how many entries the snapshot is built step by step; for more, one
// compilation of the result is cheaper.
const advanceLimit = 8

// Options set a Store.
type Options struct {
	// ID and DataCentre of this node, for the status that its fetches carry.
	ID, DataCentre string
	// Address is the fleet address of this node as others see it.
	Address string
	// Control lists the fleet addresses of the control replicas in the settings. Hosts of
	// the document with a control role are asked as well.
	Control []string
	// Discover lists further control replicas that became known since the start; nil means none.
	Discover func() []string
	// Peers lists fleet addresses of nodes to ask while no document is known.
	Peers []string
	// Client fetches from other processes.
	Client feed.Client
	// Folder stores the document, such as the data folder's "configuration"; empty stores nothing.
	Folder string
	// Logger may be nil.
	Logger *log.Logger
}

// Store keeps the revision in force at a node. It is safe for concurrent use.
type Store struct {
	options Options
	file    file
	holder  configuration.Holder
	tail    *feed.Tail
	hints   *hints
	// ready is set once the newest revision was learned.
	ready atomic.Bool

	// writing serialises the writers of file, holder and tail.
	writing sync.Mutex
	// starting is nil once the newest revision was learned; guarded by writing.
	starting *startup
}

var (
	_ route.Source            = (*Store)(nil)
	_ configpb.DRPCFeedServer = (*Store)(nil)
)

// New returns a store with nothing in force. Run makes it work.
func New(o Options) *Store {
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	o.Logger = o.Logger.WithPrefix(logPrefix)
	return &Store{
		options: o,
		file:    file{folder: o.Folder},
		tail:    feed.NewTail(),
		hints:   newHints(),
	}
}

// Run learns the newest revision and then follows it until the context ends.
func (s *Store) Run(ctx context.Context) error {
	if err := s.start(ctx); err != nil {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.poll(ctx) })
	group.Go(func() error { return s.follow(ctx) })
	return group.Wait()
}

// Ready tells whether the newest revision was learned and a document is in force.
func (s *Store) Ready() bool {
	return s.ready.Load() && s.holder.Snapshot() != nil
}

// Current returns the snapshot in force for the request path, or nil before the first.
func (s *Store) Current() route.Snapshot { return s.holder.Current() }

// Snapshot returns the snapshot in force with hosts and services, or nil before the first.
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

// Fetch serves the feed to peers. It has no errors.
func (s *Store) Fetch(ctx context.Context, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	return s.tail.Fetch(ctx, r), nil
}

// Hint tells that the peer at the fleet address has the revision in force. It never blocks.
func (s *Store) Hint(address string, revision uint64) {
	if revision > s.Revision() {
		s.hints.add(address, revision)
	}
}

// accept applies what a reply adds to the document in force.
func (s *Store) accept(reply *configpb.FetchReply) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if d := reply.GetDocument(); d != nil {
		return s.acceptDocument(d)
	}
	return s.acceptEntries(reply.GetEntries())
}

func (s *Store) acceptDocument(d *configpb.Document) error {
	if d.GetRevision() <= s.Revision() {
		return nil
	}
	s.enforce(configuration.Compile(d))
	s.tail.Publish(d, nil)
	return nil
}

func (s *Store) acceptEntries(entries []*configpb.Entry) error {
	documents, news, err := replay(s.document(), entries)
	if len(documents) == 0 {
		return err
	}
	s.enforce(s.compile(documents, news))
	for i, d := range documents {
		s.tail.Publish(d, news[i])
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

// replay applies the entries that are newer than the document and returns them with the
// documents that they lead to. With an error it returns those before the fault.
func replay(d *configpb.Document, entries []*configpb.Entry) (documents []*configpb.Document, news []*configpb.Entry, err error) {
	for _, e := range entries {
		if e.GetRevision() <= d.GetRevision() {
			continue
		}
		next, err := configuration.Apply(d, e)
		if err != nil {
			return documents, news, err
		}
		d = next
		documents = append(documents, d)
		news = append(news, e)
	}
	return documents, news, nil
}

func (s *Store) compile(documents []*configpb.Document, entries []*configpb.Entry) *configuration.Snapshot {
	snapshot := s.holder.Snapshot()
	if snapshot == nil || len(documents) > advanceLimit {
		return configuration.Compile(documents[len(documents)-1])
	}
	for i, d := range documents {
		snapshot = snapshot.Advance(d, entries[i].GetChange())
	}
	return snapshot
}

// enforce stores the document and puts its snapshot in force.
func (s *Store) enforce(snapshot *configuration.Snapshot) {
	if err := s.file.save(snapshot.Document()); err != nil {
		s.options.Logger.Error("could not store the configuration", "revision", snapshot.Revision(), "err", logging.Err(err))
		if err := s.file.remove(); err != nil {
			s.options.Logger.Error("an outdated configuration stays stored", "err", logging.Err(err))
		}
	}
	s.holder.Set(snapshot)
	s.options.Logger.Info("configuration in force", "revision", snapshot.Revision())
}
