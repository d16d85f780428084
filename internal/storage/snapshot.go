package storage

import (
	"crypto/rand"
	"path"

	"github.com/pkg/errors"
)

const (
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".tmp"
	// snapshotFrameBytes is the approximate size of one frame of a snapshot.
	snapshotFrameBytes = 1 << 20
)

// snapshotEnd is the content of the last entry of a complete snapshot.
var snapshotEnd = []byte("end of snapshot")

// WriteSnapshot replaces the journal up to and including the sequence by the entries that fill passes to
// emit. It first makes the journal durable up to that sequence. Journal entries after it are kept.
// Only one call may run at a time; appends and syncs may run concurrently.
func (l *Log) WriteSnapshot(sequence uint64, fill func(emit func(entry []byte) error) error) error {
	if err := l.Sync(sequence); err != nil {
		return err
	}
	name := path.Join(l.folder, snapshotName(sequence))
	size, err := l.writeSnapshotFile(name+temporarySuffix, fill)
	if err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	if err := l.fs.Rename(name+temporarySuffix, name); err != nil {
		return errors.Wrap(err, "rename a snapshot")
	}
	if err := l.fs.SyncFolder(l.folder); err != nil {
		return errors.Wrap(err, "sync the data folder")
	}
	l.mu.Lock()
	l.bytesSinceSnapshot, l.snapshotBytes = 0, size
	l.mu.Unlock()
	return l.removeObsolete(sequence)
}

func (l *Log) writeSnapshotFile(name string, fill func(func([]byte) error) error) (size int64, err error) {
	h := fileHeader{magic: snapshotMagic}
	if _, err := rand.Read(h.salt[:]); err != nil {
		return 0, err
	}
	f, err := l.fs.Create(name)
	if err != nil {
		return 0, err
	}
	w := &snapshotWriter{file: f, salt: h.salt}
	err = w.writeAll(h, fill)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return w.size, err
}

type snapshotWriter struct {
	file  File
	salt  [saltSize]byte
	frame []byte
	first uint64
	count uint64
	size  int64
}

func (w *snapshotWriter) writeAll(h fileHeader, fill func(func([]byte) error) error) error {
	n, err := w.file.Write(h.encode())
	w.size += int64(n)
	if err != nil {
		return err
	}
	if err := fill(w.emit); err != nil {
		return err
	}
	if err := w.emit(snapshotEnd); err != nil {
		return err
	}
	if err := w.flush(); err != nil {
		return err
	}
	return w.file.Sync()
}

func (w *snapshotWriter) emit(entry []byte) error {
	if len(w.frame) == 0 {
		w.frame = appendFrameHeader(w.frame)
		w.first = w.count + 1
	}
	w.frame = appendEntry(w.frame, entry)
	w.count++
	if len(w.frame) < snapshotFrameBytes {
		return nil
	}
	return w.flush()
}

func (w *snapshotWriter) flush() error {
	if len(w.frame) == 0 {
		return nil
	}
	fillFrameHeader(w.frame, w.salt, w.first)
	n, err := w.file.Write(w.frame)
	w.size += int64(n)
	w.frame = w.frame[:0]
	return err
}

// removeObsolete removes the snapshots before the sequence and the segments that contain only entries
// up to and including it, except the newest segment.
func (l *Log) removeObsolete(sequence uint64) error {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return err
	}
	segments := parseSequences(names, segmentSuffix)
	for i, first := range segments {
		if i+1 >= len(segments) || segments[i+1] > sequence+1 {
			break
		}
		if err := l.fs.Remove(path.Join(l.folder, segmentName(first))); err != nil {
			return errors.Wrap(err, "remove an old segment")
		}
	}
	for _, snapshot := range parseSequences(names, snapshotSuffix) {
		if snapshot >= sequence {
			continue
		}
		if err := l.fs.Remove(path.Join(l.folder, snapshotName(snapshot))); err != nil {
			return errors.Wrap(err, "remove an old snapshot")
		}
	}
	return nil
}

func snapshotName(sequence uint64) string {
	return segmentName(sequence)[:20] + snapshotSuffix
}

// parseSequences returns the sequences in the file names with the suffix, in the order of the names.
func parseSequences(names []string, suffix string) []uint64 {
	var out []uint64
	for _, name := range names {
		if n, ok := parseSequence(name, suffix); ok {
			out = append(out, n)
		}
	}
	return out
}
