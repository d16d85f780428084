package storage

import (
	"crypto/rand"
	"fmt"
	"path"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

const (
	// DefaultSegmentBytes is the size at which a new segment is started.
	DefaultSegmentBytes = 16 << 20
	// MaxEntryBytes bounds one entry.
	MaxEntryBytes = MaxFrameBytes / 2
	segmentSuffix = ".segment"
	// maxPendingBytes bounds the frame of entries that wait for a sync. Append waits for a sync if an entry
	// would make the frame larger. The margin of 1 KiB is for the length that precedes the entry.
	maxPendingBytes = MaxFrameBytes - 1<<10
)

// ErrStopped means that a write or sync has failed. The kernel may have dropped the data that was not
// synced, so the log writes nothing more until the process is restarted.
var ErrStopped = errors.New("a write to the disk failed; check the disk and restart the process")

// ErrDiskFull means that the disk had no room for a write. Nothing that was confirmed is lost. The log writes
// nothing more; Open continues with what is durable once there is room, without a restart of the process.
var ErrDiskFull = errors.New("the disk is full; free some space")

// roomBytes is the room that a disk must have for a log to continue.
const roomBytes = 1 << 20

// CheckRoom returns nil if the disk of the folder has room for further entries. Errors are failures of the file
// system.
func CheckRoom(fs FS, folder string) error {
	name := path.Join(folder, "room")
	f, err := createDurable(fs, name, make([]byte, roomBytes))
	if err == nil {
		err = f.Close()
	}
	if removeErr := fs.Remove(name); err == nil {
		err = removeErr
	}
	return errors.Wrap(err, "check the room on the disk")
}

// syncError is the failure of a sync. It hides its cause: whatever that was, the kernel may have dropped data.
type syncError struct {
	text string
}

func (e *syncError) Error() string { return e.text }

func syncFile(f File) error {
	if err := f.Sync(); err != nil {
		return &syncError{err.Error()}
	}
	return nil
}

// Config configures a Log.
type Config struct {
	FS     FS
	Folder string
	// SegmentBytes is the size at which a new segment is started; 0 means DefaultSegmentBytes.
	SegmentBytes int64
}

// Log is a journal in append-only segments with snapshots. It is safe for concurrent use.
// Entries are numbered from 1.
type Log struct {
	fs           FS
	folder       string
	segmentBytes int64

	mu         sync.Mutex
	commitDone *sync.Cond
	// pending is the frame with the entries that the next sync will write.
	pending      []byte
	pendingFirst uint64
	// appended and durable are the sequences of the last appended and of the last durable entry.
	appended           uint64
	durable            uint64
	syncing            bool
	failure            error
	closed             bool
	bytesSinceSnapshot int64
	// snapshotBytes is the size of the newest snapshot.
	snapshotBytes int64

	// The fields below belong to the goroutine that has set syncing; mu protects them while it is not set.
	segment     File
	segmentSize int64
	salt        [saltSize]byte
	// needsNewSegment is set if a new segment must be started before the next frame is written.
	needsNewSegment bool
}

// Open reads the folder and calls replay with the entries of the newest snapshot (snapshot true)
// and with the journal entries that follow it, in order. It creates the folder if it is missing and
// truncates a torn frame at the end. The error is ErrDamaged if synced data is damaged or missing.
// If the replayed files cannot be synced, the log is stopped; see Err.
func Open(cfg Config, replay func(entry []byte, snapshot bool) error) (*Log, error) {
	l := &Log{fs: cfg.FS, folder: cfg.Folder, segmentBytes: cfg.SegmentBytes, needsNewSegment: true}
	l.commitDone = sync.NewCond(&l.mu)
	if l.segmentBytes <= 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	if err := l.fs.MkdirAll(l.folder); err != nil {
		return nil, errors.Wrap(err, "create the data folder")
	}
	if err := l.recoverFolder(replay); err != nil {
		return nil, err
	}
	l.pendingFirst = l.appended + 1
	return l, nil
}

// Append adds entries to the next sync and returns the sequence of the last one. The entries are
// durable only once Sync has returned nil for that sequence. They are stored in the order of the calls.
func (l *Log) Append(entries ...[]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.appended, l.failure
	}
	for _, entry := range entries {
		if len(entry) > MaxEntryBytes {
			return l.appended, errors.Errorf("entry of %d bytes exceeds the limit of %d; store a smaller value", len(entry), MaxEntryBytes)
		}
	}
	for _, entry := range entries {
		for len(l.pending) > 0 && len(l.pending)+len(entry) > maxPendingBytes {
			if err := l.commit(); err != nil {
				return l.appended, err
			}
		}
		if len(l.pending) == 0 {
			l.pending = appendFrameHeader(l.pending)
			l.pendingFirst = l.appended + 1
		}
		l.pending = appendEntry(l.pending, entry)
		l.appended++
	}
	return l.appended, nil
}

// Sync returns nil once the entry with this sequence and all entries before it are durable. Calls made
// while a sync is running share the next one. After a failure every call returns ErrStopped or
// ErrDiskFull, except for entries that were already durable.
func (l *Log) Sync(sequence uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.durable < sequence {
		if l.failure != nil {
			return l.failure
		}
		if sequence > l.appended {
			return errors.Errorf("journal entry %d has not been appended; the last one is %d", sequence, l.appended)
		}
		if err := l.commit(); err != nil {
			return err
		}
	}
	return nil
}

// commit writes and syncs the pending entries. It must be called with l.mu held, and releases it while
// it writes. If another commit is running, it only waits for that one.
func (l *Log) commit() error {
	if l.syncing {
		l.commitDone.Wait()
		return l.failure
	}
	if l.closed {
		return errors.WithStack(ErrStopped)
	}
	if len(l.pending) == 0 {
		return nil
	}
	frame, first, last := l.pending, l.pendingFirst, l.appended
	l.pending = nil
	l.syncing = true
	l.mu.Unlock()
	err := l.writeFrame(frame, first)
	l.mu.Lock()
	l.syncing = false
	if err != nil {
		l.failure = errors.Wrap(ErrStopped, err.Error())
		if errors.Is(err, syscall.ENOSPC) {
			l.failure = errors.Wrap(ErrDiskFull, err.Error())
		}
	} else {
		invariant.Check(first == l.durable+1, "storage.sequence", "frame starts at %d after %d", first, l.durable)
		l.durable = last
		l.bytesSinceSnapshot += int64(len(frame))
	}
	l.commitDone.Broadcast()
	return l.failure
}

// writeFrame writes and syncs one frame. It must be called without l.mu, after the caller has set
// syncing.
func (l *Log) writeFrame(frame []byte, first uint64) error {
	if l.needsNewSegment || l.segmentSize >= l.segmentBytes {
		if err := l.startSegment(first); err != nil {
			return err
		}
	}
	fillFrameHeader(frame, l.salt, first)
	if _, err := l.segment.Write(frame); err != nil {
		return err
	}
	l.segmentSize += int64(len(frame))
	return syncFile(l.segment)
}

// startSegment closes the open segment and creates a durable new one, whose first entry is first.
func (l *Log) startSegment(first uint64) error {
	if l.segment != nil {
		if err := l.segment.Close(); err != nil {
			return err
		}
		l.segment = nil
	}
	h := fileHeader{magic: segmentMagic, base: first - 1}
	if _, err := rand.Read(h.salt[:]); err != nil {
		return err
	}
	f, err := createDurable(l.fs, path.Join(l.folder, segmentName(first)), h.encode())
	if err != nil {
		return err
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		_ = f.Close()
		return err
	}
	l.segment, l.segmentSize, l.salt, l.needsNewSegment = f, fileHeaderSize, h.salt, false
	return nil
}

// createDurable creates a file, writes and syncs its content and leaves it open.
func createDurable(fs FS, name string, content []byte) (File, error) {
	f, err := fs.Create(name)
	if err != nil {
		return nil, err
	}
	if _, err := f.Write(content); err != nil {
		_ = f.Close()
		return nil, err
	}
	if err := syncFile(f); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// Durable returns the sequence of the last durable entry.
func (l *Log) Durable() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durable
}

// Last returns the sequence of the last appended entry.
func (l *Log) Last() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appended
}

// BytesSinceSnapshot returns the number of journal bytes that a restart would replay.
func (l *Log) BytesSinceSnapshot() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesSinceSnapshot
}

// SnapshotBytes returns the size of the newest snapshot, or 0 if there is none.
func (l *Log) SnapshotBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshotBytes
}

// Err returns the error that stopped the log, or nil.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// Close waits for a running sync and closes the open segment. Entries that have not been synced are
// lost.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.syncing {
		l.commitDone.Wait()
	}
	if l.closed {
		return nil
	}
	l.closed = true
	if l.failure == nil {
		l.failure = errors.WithStack(ErrStopped)
	}
	if l.segment == nil {
		return nil
	}
	return errors.WithStack(l.segment.Close())
}

func segmentName(first uint64) string {
	return fmt.Sprintf("%020d%s", first, segmentSuffix)
}

// parseSequence returns the number in a file name with the given suffix.
func parseSequence(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}
