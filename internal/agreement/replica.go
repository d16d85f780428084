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

// State determines how a replica handles requests.
type State string

// The states of a replica.
const (
	// Blank replicas have an empty folder and are not in a group yet.
	Blank State = "blank"
	// Checking replicas ask their peers whether their folder is the newest one.
	Checking State = "checking"
	// Learning replicas copy the state from a majority of the members of the previous epoch.
	Learning State = "learning"
	// Voting replicas serve proposers.
	Voting State = "voting"
	// Stopped replicas refuse proposers until the process is restarted or they are swapped in again.
	Stopped State = "stopped"
)

// Reasons for a refusal, as sent in reply headers.
const (
	refusalWrongEpoch = "wrong-epoch"
	refusalNotVoting  = "not-voting"
	refusalStopped    = "stopped"
	refusalCompacted  = "compacted"
)

const (
	// ExchangeInterval is the time between two exchanges of journal sequences with each peer in a group of up to five
	// members, and of a replica that does not vote.
	ExchangeInterval = 200 * time.Millisecond
	// peerTimeout bounds one exchange.
	peerTimeout = time.Second
	// responseLifetime is how long the response of a peer counts as its current state.
	responseLifetime = 2 * time.Second
	// swapInterval is the minimum time between two requests of a replica to be swapped in.
	swapInterval = time.Second
	// roomCheckInterval is the time between two checks whether a full disk has room again.
	roomCheckInterval = time.Second
	// maxCompactionInterval is the longest time between two compactions while the journal has new entries.
	maxCompactionInterval = time.Hour
	// snapshotSegments is the growth of the journal, in segments, before which no snapshot is due unless
	// maxCompactionInterval has passed.
	snapshotSegments = 4
	diskFolder       = "disk"
	asideFolder      = "aside"
	identityFile     = "identity"
	logPrefix        = "agreement"
)

// ReplicaConfig configures a replica.
type ReplicaConfig struct {
	// ID is the unique name of the replica; Address is the ip:port at which its peers reach it.
	ID      string
	Address string
	FS      storage.FS
	// Folder holds the replica's files; nothing else may write there.
	Folder string
	// FirstGroup lists the members that form the first group, or any members of a later group.
	FirstGroup []Member
	Client     Client
	// Join is set if the first group has been formed already: a replica with an empty folder then never
	// forms it again.
	Join bool
	// Discover lists further processes that may know the group, for fleets that find their hosts by
	// discovery instead of a configured list; nil means none.
	Discover func() []Member
	// Logger may be nil.
	Logger *log.Logger
	// Now returns the time for intervals; nil means time.Now.
	Now func() time.Time
	// SegmentBytes is the size of a journal segment; 0 means storage.DefaultSegmentBytes.
	SegmentBytes int64
	// Retain reports at compaction whether a chain is kept, given its last register that has a value.
	// False drops the whole chain; nil keeps everything. It is not called for compacted chains and
	// the chain of groups. It must not block or call the replica.
	Retain func(key string, value []byte, decided bool) bool
}

// Status describes a replica to operators.
type Status struct {
	State  State
	Reason string
	ID     string
	DiskID string
	// Epoch and Members describe the group that the replica knows; 0 and none before the first group.
	Epoch   uint64
	Members []Member
	// FoldersSetAside counts the folders that this process set aside because they were damaged, outdated or
	// replaced.
	FoldersSetAside int
	// Sequence is the last durable journal entry.
	Sequence uint64
	// Registers counts the registers in memory; JournalBytes is the size of the journal since the last
	// snapshot, which a restart replays.
	Registers    int
	JournalBytes int64
}

// Replica stores registers and serves proposers. It implements agreementpb.DRPCReplicaServer.
type Replica struct {
	cfg    ReplicaConfig
	client Client
	logger *log.Logger
	now    func() time.Time
	wake   chan struct{}
	// background counts the goroutines started by Run.
	background sync.WaitGroup
	watchers   watchers

	mu    sync.Mutex
	store *store
	log   *storage.Log
	disk  string
	// foldersSetAside counts the folders that were set aside.
	foldersSetAside int
	state           State
	reason          string
	// folderVerified is set while the folder is known to be intact and complete.
	folderVerified bool
	// openedSequence is the last sequence of the journal when the folder was opened.
	openedSequence uint64
	// groupSequence is the journal entry of the group; it must be durable before any reply in its epoch.
	groupSequence uint64
	peerResponses map[string]peerResponse
	// exchanging is set for peers with an exchange in flight.
	exchanging      map[string]bool
	swapRequestedAt time.Time
	// unfinishedSince is since when a change of the group has the vote of this replica and no decision.
	unfinishedSince time.Time
	learnerRunning  bool
	compacting      bool
	compactedAt     time.Time
	// journaledSeen holds the peers' sequences that this process has written to the journal.
	journaledSeen   map[diskKey]uint64
	seenJournaledAt time.Time
	// roomCheckedAt is when the room on a full disk was last checked.
	roomCheckedAt time.Time
	// appendedSinceSeen is set if entries were appended since the peers' sequences were last journaled.
	appendedSinceSeen bool
	// copyOrder is the order of the chains while learners copy them; nil if none does.
	copyOrder *copyOrder
}

// NewReplica opens the folder. A damaged folder is set aside and the replica starts with an empty one.
// The replica refuses all proposers until Run is called. Errors are failures of the file system.
func NewReplica(cfg ReplicaConfig) (*Replica, error) {
	if cfg.Logger == nil {
		cfg.Logger = logging.Discard()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	r := &Replica{
		cfg:           cfg,
		logger:        cfg.Logger.WithPrefix(logPrefix),
		now:           cfg.Now,
		wake:          make(chan struct{}, 1),
		peerResponses: map[string]peerResponse{},
		exchanging:    map[string]bool{},
		journaledSeen: map[diskKey]uint64{},
		state:         Stopped,
		reason:        "not started",
	}
	r.compactedAt = r.now()
	r.client = NewLocalClient(cfg.ID, r, cfg.Client)
	if err := r.openOrReset(); err != nil {
		return nil, err
	}
	return r, nil
}

// openOrReset opens the folder. If the folder is damaged, it is set aside and replaced by an empty one.
func (r *Replica) openOrReset() error {
	err := r.openFolder()
	if !errors.Is(err, storage.ErrDamaged) {
		return err
	}
	r.logger.Error("the data folder is damaged; the replica starts with an empty one", "folder", r.cfg.Folder, "err", logging.Err(err))
	return r.resetFolder("the data folder was damaged: " + err.Error())
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
	r.openedSequence = journal.Last()
	r.folderVerified = false
	r.groupSequence = 0
	return nil
}

// openIdentity returns the disk id. It writes a new one into a folder without a journal.
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

// resetFolder sets the folder aside and opens an empty one with a new disk id.
func (r *Replica) resetFolder(reason string) error {
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
	r.foldersSetAside++
	r.state, r.reason = Blank, reason
	r.logger.Warn("the replica starts with an empty folder and a new disk id", "reason", reason, "kept", aside, "disk", r.disk)
	return nil
}

// OpenedEmpty reports whether the folder held no journal when the replica was created: at the first start of a fleet, for
// a new member, and after the loss of the disk.
func (r *Replica) OpenedEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.openedSequence == 0
}

// Status returns the current state.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{
		State:           r.state,
		Reason:          r.reason,
		ID:              r.cfg.ID,
		DiskID:          r.disk,
		Epoch:           r.store.group.GetEpoch(),
		FoldersSetAside: r.foldersSetAside,
		Sequence:        r.log.Durable(),
		Registers:       r.store.registers,
		JournalBytes:    r.log.BytesSinceSnapshot(),
	}
	for _, m := range r.store.group.GetMembers() {
		s.Members = append(s.Members, Member{ID: m.GetId(), Address: m.GetAddress()})
	}
	return s
}

// DecidedValue implements Stored.
func (r *Replica) DecidedValue(prefix string, index uint64) (value []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.store.get(prefix, index)
	return state.value, state.decided
}

// ChainSnapshot implements Stored.
func (r *Replica) ChainSnapshot(prefix string) (floor uint64, snapshot []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.store.chains[prefix]
	if c == nil {
		return 0, nil
	}
	return c.floor, c.snapshot
}

// Group returns the newest group that this replica or one of its peers knows; nil if none does. It must
// not be modified.
func (r *Replica) Group() *agreementpb.Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestGroup()
}

// Run exchanges state with the peers, copies state if needed and compacts, until the context ends. Then
// it closes the files; the replica cannot be used afterwards.
func (r *Replica) Run(ctx context.Context) error {
	r.setInitialState()
	ticker := time.NewTicker(ExchangeInterval)
	defer ticker.Stop()
	r.background.Go(func() { r.watchers.run(ctx) })
	for ctx.Err() == nil {
		r.resumeAfterFullDisk()
		r.exchangeWithPeers(ctx)
		r.actOnSurvey(ctx)
		r.completeUnfinishedChange(ctx)
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

func (r *Replica) setInitialState() {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.log.Err() != nil:
		r.stopVoting(r.log.Err().Error())
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
	r.setStateLocked(s, reason)
}

// setStateLocked must be called with r.mu held.
func (r *Replica) setStateLocked(s State, reason string) {
	if r.state == s && r.reason == reason {
		return
	}
	if r.state != s {
		r.logger.Info("the replica changed its state", "id", r.cfg.ID, "state", s, "reason", reason, "epoch", r.store.group.GetEpoch())
	}
	r.state, r.reason = s, reason
}

// stopVoting stops the replica, which then serves neither proposers nor learners. It must be called with
// r.mu held.
func (r *Replica) stopVoting(reason string) {
	r.folderVerified = false
	r.setStateLocked(Stopped, reason)
}

// wakeRun makes Run exchange state with the peers and act on their responses immediately.
func (r *Replica) wakeRun() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// flush syncs journal entries that no reply waits for, and starts a compaction if one is due.
func (r *Replica) flush() {
	r.mu.Lock()
	r.journalSeen()
	r.dropCopyOrder()
	journal := r.log
	r.mu.Unlock()
	r.stopOnJournalError(journal, journal.Sync(journal.Last()))
	r.compactIfDue()
}

// stopOnJournalError stops the replica if err is set, and reports whether it is.
func (r *Replica) stopOnJournalError(journal *storage.Log, err error) bool {
	if err == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log != journal || r.state == Stopped {
		return true
	}
	if errors.Is(err, storage.ErrDiskFull) {
		r.logger.Error("the disk is full; the replica stops voting until there is room", "err", logging.Err(err))
	} else {
		r.logger.Error("the journal failed; the replica stops voting until the process is restarted", "err", logging.Err(err))
	}
	r.stopVoting(err.Error())
	return true
}

// resumeAfterFullDisk opens the folder again, as a restart would, once a full disk has room. Entries that were not
// written have not been confirmed to anybody. The peers check the folder before the replica votes.
func (r *Replica) resumeAfterFullDisk() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Stopped || r.compacting || !errors.Is(r.log.Err(), storage.ErrDiskFull) || r.now().Sub(r.roomCheckedAt) < roomCheckInterval {
		return
	}
	r.roomCheckedAt = r.now()
	if err := storage.CheckRoom(r.cfg.FS, r.cfg.Folder); err != nil {
		r.logger.Debug("the disk has no room yet", "err", logging.Err(err))
		return
	}
	if err := r.log.Close(); err != nil {
		r.logger.Warn("the former journal could not be closed", "err", logging.Err(err))
	}
	if err := r.openOrReset(); err != nil {
		r.logger.Error("the data folder could not be opened again; restart the process", "err", logging.Err(err))
		r.stopVoting(err.Error())
		return
	}
	r.peerResponses = map[string]peerResponse{}
	r.journaledSeen = map[diskKey]uint64{}
	r.appendedSinceSeen = false
	if r.store.group == nil {
		r.setStateLocked(Blank, r.reason)
		return
	}
	r.setStateLocked(Checking, "waiting for a majority of the group to confirm the folder")
}

// appendEntries appends entries to the journal without waiting for a sync and returns the last sequence.
// On failure it returns neverDurable, so that no reply reports the change. It must be called with r.mu held.
func (r *Replica) appendEntries(entries ...*agreementpb.JournalEntry) uint64 {
	encoded := make([][]byte, 0, len(entries))
	for _, e := range entries {
		b, err := proto.Marshal(e)
		if err != nil {
			r.stopVoting(err.Error())
			return neverDurable
		}
		encoded = append(encoded, b)
	}
	sequence, err := r.log.Append(encoded...)
	if err != nil {
		r.stopVoting(err.Error())
		return neverDurable
	}
	r.appendedSinceSeen = true
	return sequence
}
