package agreement

import (
	"context"
	"path"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// State tells what a replica does with requests.
type State string

// The states of a replica.
const (
	// Blank replicas have an empty folder and belong to no group yet.
	Blank State = "blank"
	// Checking replicas ask their peers whether their folder is the newest one.
	Checking State = "checking"
	// Learning replicas copy the state from a majority of the members of the epoch before.
	Learning State = "learning"
	// Voting replicas answer proposers.
	Voting State = "voting"
	// Stopped replicas answer no proposer until the process is restarted or they are swapped in again.
	Stopped State = "stopped"
)

// Refusals in the headers of replies.
const (
	refusalWrongEpoch = "wrong-epoch"
	refusalNotVoting  = "not-voting"
	refusalStopped    = "stopped"
	refusalCompacted  = "compacted"
)

const (
	// ExchangeInterval is the time between two exchanges of sequences with each peer.
	ExchangeInterval = 200 * time.Millisecond
	// peerTimeout bounds one exchange.
	peerTimeout = time.Second
	// answerLifetime is how long an answer of a peer is taken for its present state.
	answerLifetime = 2 * time.Second
	// swapInterval is the least time between two requests of a replica to be swapped in.
	swapInterval = time.Second
	// retainInterval is the longest time between two compactions while the journal has new entries.
	retainInterval = time.Hour
	// compactSegments is how many segments of journal cause a snapshot.
	compactSegments = 4
	diskFolder      = "disk"
	asideFolder     = "aside"
	identityFile    = "identity"
	logPrefix       = "agreement"
)

// ReplicaConfig configures a replica.
type ReplicaConfig struct {
	// ID is the replica's unique name; Address is the ip:port at which its peers reach it.
	ID      string
	Address string
	FS      storage.FS
	// Folder holds the replica's files; nothing else may write there.
	Folder string
	// FirstGroup lists the members that form the first group, or any members of a later one.
	FirstGroup []Member
	Client     Client
	// Join is set if the first group was formed before: an empty folder then never forms it again.
	Join bool
	// Discover lists further processes that may know the group, as fleets without a list of hosts
	// find them; nil means none.
	Discover func() []Member
	// Logger may be nil.
	Logger *log.Logger
	// Now returns the time for intervals; nil means time.Now.
	Now func() time.Time
	// SegmentBytes is the size of a journal segment; 0 means storage.DefaultSegmentBytes.
	SegmentBytes int64
	// Retain tells at compaction whether a chain is kept, from its last register that has a value.
	// False drops the whole chain. Nil keeps everything. It is not asked for compacted chains and
	// the chain of groups. It must not block or call the replica.
	Retain func(key string, value []byte, decided bool) bool
}

// Status describes a replica to operators.
type Status struct {
	State  State
	Reason string
	ID     string
	DiskID string
	// Epoch and Members are the group that the replica knows; 0 and none before the first one.
	Epoch   uint64
	Members []Member
	// PutAside counts the folders that this process found damaged, outdated or replaced.
	PutAside int
	// Sequence is the last durable journal entry.
	Sequence uint64
	// Registers counts the registers in memory; JournalBytes is what a restart would replay.
	Registers    int
	JournalBytes int64
}

// Replica keeps registers and answers proposers. It implements agreementpb.DRPCReplicaServer.
type Replica struct {
	cfg    ReplicaConfig
	client Client
	logger *log.Logger
	now    func() time.Time
	wake   chan struct{}
	// background counts the goroutines of Run.
	background sync.WaitGroup
	watchers   watchers

	mu    sync.Mutex
	store *store
	log   *storage.Log
	disk  string
	// putAside counts the folders that were given up.
	putAside int
	state    State
	reason   string
	// verified is set while the folder is known to be intact and complete.
	verified bool
	// opened is the journal's last sequence when the folder was opened.
	opened uint64
	// groupSequence must be durable before anything is answered in the group's epoch.
	groupSequence uint64
	answers       map[string]peerAnswer
	asking        map[string]bool
	swapAt        time.Time
	learning      bool
	compacting    bool
	compactedAt   time.Time
	seenSaved     map[diskKey]uint64
	seenSavedAt   time.Time
	unsavedSeen   bool
	copyOrder     map[string][]string
}

// NewReplica opens the folder. A damaged folder is put aside and the replica begins with an empty
// one. The replica answers nothing before Run is called. Errors are failures of the file system.
func NewReplica(cfg ReplicaConfig) (*Replica, error) {
	if cfg.Logger == nil {
		cfg.Logger = logging.Discard()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	r := &Replica{
		cfg:       cfg,
		logger:    cfg.Logger.WithPrefix(logPrefix),
		now:       cfg.Now,
		wake:      make(chan struct{}, 1),
		answers:   map[string]peerAnswer{},
		asking:    map[string]bool{},
		copyOrder: map[string][]string{},
		seenSaved: map[diskKey]uint64{},
		state:     Stopped,
		reason:    "not started",
	}
	r.compactedAt = r.now()
	r.client = NewLocalClient(cfg.ID, r, cfg.Client)
	if err := r.open(); err != nil {
		return nil, err
	}
	return r, nil
}

// open reads the folder, or puts it aside and begins a new one if it is damaged.
func (r *Replica) open() error {
	err := r.openFolder()
	if !errors.Is(err, storage.ErrDamaged) {
		return err
	}
	r.logger.Error("the data folder is damaged; the replica begins with an empty one", "folder", r.cfg.Folder, "err", logging.Err(err))
	return r.beginAnew("the data folder was damaged: " + err.Error())
}

func (r *Replica) openFolder() error {
	folder := path.Join(r.cfg.Folder, diskFolder)
	if err := r.cfg.FS.MkdirAll(folder); err != nil {
		return errors.Wrap(err, "create the data folder")
	}
	disk, err := r.openIdentity(folder)
	if err != nil {
		return err
	}
	s := newStore()
	journal, err := storage.Open(storage.Config{FS: r.cfg.FS, Folder: folder, SegmentBytes: r.cfg.SegmentBytes},
		func(entry []byte, _ bool) error { return s.apply(entry) })
	if err != nil {
		return err
	}
	r.disk, r.store, r.log = disk, s, journal
	r.opened = journal.Last()
	r.verified = false
	r.groupSequence = 0
	return nil
}

// openIdentity returns the disk id, and writes a new one into a folder without journal.
func (r *Replica) openIdentity(folder string) (string, error) {
	name := path.Join(folder, identityFile)
	names, err := r.cfg.FS.List(folder)
	if err != nil {
		return "", errors.Wrap(err, "list the data folder")
	}
	content, err := r.cfg.FS.ReadFile(name)
	if err == nil {
		if id, parseErr := uuid.ParseBytes(content); parseErr == nil {
			return id.String(), nil
		}
	}
	for _, other := range names {
		if other != identityFile && other != identityFile+temporarySuffix {
			return "", errors.Wrap(storage.ErrDamaged, "the identity file is missing or damaged")
		}
	}
	return r.writeIdentity(folder, name)
}

const temporarySuffix = ".new"

func (r *Replica) writeIdentity(folder, name string) (string, error) {
	id := uuid.NewString()
	f, err := r.cfg.FS.Create(name + temporarySuffix)
	if err != nil {
		return "", errors.Wrap(err, "create the identity file")
	}
	_, err = f.Write([]byte(id))
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return "", errors.Wrap(err, "write the identity file")
	}
	if err := r.cfg.FS.Rename(name+temporarySuffix, name); err != nil {
		return "", errors.Wrap(err, "name the identity file")
	}
	if err := r.cfg.FS.SyncFolder(folder); err != nil {
		return "", errors.Wrap(err, "sync the data folder")
	}
	return id, errors.Wrap(r.cfg.FS.SyncFolder(r.cfg.Folder), "sync the data folder")
}

// beginAnew puts the folder aside and opens an empty one with a new disk id.
func (r *Replica) beginAnew(reason string) error {
	aside := path.Join(r.cfg.Folder, asideFolder+"-"+r.now().UTC().Format("20060102T150405")+"-"+uuid.NewString()[:8])
	if err := r.cfg.FS.Rename(path.Join(r.cfg.Folder, diskFolder), aside); err != nil {
		return errors.Wrap(err, "put the data folder aside")
	}
	if err := r.cfg.FS.SyncFolder(r.cfg.Folder); err != nil {
		return errors.Wrap(err, "sync the data folder")
	}
	if err := r.openFolder(); err != nil {
		return err
	}
	r.putAside++
	r.state, r.reason = Blank, reason
	r.logger.Warn("the replica begins with an empty folder and a new disk id", "reason", reason, "kept", aside, "disk", r.disk)
	return nil
}

// Status returns the present state.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{
		State:        r.state,
		Reason:       r.reason,
		ID:           r.cfg.ID,
		DiskID:       r.disk,
		Epoch:        r.store.group.GetEpoch(),
		PutAside:     r.putAside,
		Sequence:     r.log.Durable(),
		Registers:    r.store.registers,
		JournalBytes: r.log.BytesSinceSnapshot(),
	}
	for _, m := range r.store.group.GetMembers() {
		s.Members = append(s.Members, Member{ID: m.GetId(), Address: m.GetAddress()})
	}
	return s
}

// Group returns the newest group that this replica or one of its peers knows; nil if none does. It must
// not be modified.
func (r *Replica) Group() *agreementpb.Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestGroup()
}

// newestGroup is called with the lock held.
func (r *Replica) newestGroup() *agreementpb.Group {
	newest := r.store.group
	for _, a := range r.answers {
		if a.reply.GetGroup().GetEpoch() > newest.GetEpoch() {
			newest = a.reply.GetGroup()
		}
	}
	return newest
}

// Run exchanges state with the peers, learns and compacts until the context ends. Then it closes
// the files; the replica cannot be used any more.
func (r *Replica) Run(ctx context.Context) error {
	r.start()
	ticker := time.NewTicker(ExchangeInterval)
	defer ticker.Stop()
	r.background.Go(func() { r.watchers.run(ctx) })
	for ctx.Err() == nil {
		r.exchange(ctx)
		r.step(ctx)
		r.flush()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-r.wake:
		}
	}
	r.setState(Stopped, "the process is shutting down")
	r.background.Wait()
	r.mu.Lock()
	journal := r.log
	r.mu.Unlock()
	return journal.Close()
}

func (r *Replica) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.log.Err() != nil:
		r.stop(r.log.Err().Error())
	case r.store.group == nil:
		r.state = Blank
		if r.reason == "not started" {
			r.reason = "waiting for the other members of the first group"
		}
	default:
		r.state, r.reason = Checking, "waiting for a majority of the group to confirm the folder"
	}
}

func (r *Replica) setState(s State, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.become(s, reason)
}

// become is called with the lock held.
func (r *Replica) become(s State, reason string) {
	if r.state == s && r.reason == reason {
		return
	}
	if r.state != s {
		r.logger.Info("the replica changed its state", "id", r.cfg.ID, "state", s, "reason", reason, "epoch", r.store.group.GetEpoch())
	}
	r.state, r.reason = s, reason
}

// stop is called with the lock held.
func (r *Replica) stop(reason string) {
	r.verified = false
	r.become(Stopped, reason)
}

// poke makes Run look at the peers' answers at once.
func (r *Replica) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// flush makes entries durable that nobody waits for, and starts a compaction if one is due.
func (r *Replica) flush() {
	r.mu.Lock()
	r.saveSeen()
	journal := r.log
	r.mu.Unlock()
	r.failed(journal, journal.Sync(journal.Last()))
	r.compactIfDue()
}

// failed stops the replica if its journal failed, and reports whether it did.
func (r *Replica) failed(journal *storage.Log, err error) bool {
	if err == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == journal && r.state != Stopped {
		r.logger.Error("the journal failed; the replica stops voting until the process is restarted", "err", logging.Err(err))
		r.stop(err.Error())
	}
	return true
}

// append adds entries to the journal. It is called with the lock held and does not wait for a sync.
// The result is neverDurable if that failed, so that nobody is told of the change.
func (r *Replica) append(entries ...*agreementpb.JournalEntry) uint64 {
	encoded := make([][]byte, 0, len(entries))
	for _, e := range entries {
		b, err := proto.Marshal(e)
		if err != nil {
			r.stop(err.Error())
			return neverDurable
		}
		encoded = append(encoded, b)
	}
	sequence, err := r.log.Append(encoded...)
	if err != nil {
		r.stop(err.Error())
		return neverDurable
	}
	r.unsavedSeen = true
	return sequence
}
