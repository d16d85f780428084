package storage

import (
	"io/fs"
	"path"
	"strings"

	"github.com/pkg/errors"
)

// recoverFolder replays the newest snapshot and the segments, and truncates a torn frame at the end.
func (l *Log) recoverFolder(replay func(entry []byte, snapshot bool) error) error {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return errors.Wrap(err, "list the data folder")
	}
	if err := l.removeTemporary(names); err != nil {
		return err
	}
	snapshots := parseSequences(names, snapshotSuffix)
	snapshotSequence := uint64(0)
	if len(snapshots) > 0 {
		snapshotSequence = snapshots[len(snapshots)-1]
		if err := l.replaySnapshot(snapshotSequence, replay); err != nil {
			return err
		}
	}
	l.appended = snapshotSequence
	segments := parseSequences(names, segmentSuffix)
	for i, first := range segments {
		if err := l.replaySegment(first, snapshotSequence, i == len(segments)-1, replay); err != nil {
			return errors.Wrapf(err, "segment %s", segmentName(first))
		}
	}
	if err := l.syncRecovered(names); err != nil {
		// The process starts and can say so; nothing that was replayed may be reported.
		l.failure = errors.Wrap(ErrStopped, err.Error())
		return nil
	}
	l.durable = l.appended
	return nil
}

// syncRecovered makes durable what the replay has read. A process that was killed may have left a frame in the newest
// segment, or a renamed snapshot, that it had not synced; a later loss of power would take it away. Older segments were
// synced before the next one was started.
func (l *Log) syncRecovered(names []string) error {
	if len(names) == 0 {
		return nil
	}
	if segments := parseSequences(names, segmentSuffix); len(segments) > 0 {
		err := l.syncSegment(segmentName(segments[len(segments)-1]))
		// A segment without a complete header was removed by the replay.
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return l.fs.SyncFolder(l.folder)
}

func (l *Log) syncSegment(name string) error {
	f, err := l.fs.Append(path.Join(l.folder, name))
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// removeTemporary removes the files of snapshots that a crash interrupted.
func (l *Log) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := l.fs.Remove(path.Join(l.folder, name)); err != nil {
			return errors.Wrap(err, "remove an unfinished snapshot")
		}
	}
	return nil
}

func (l *Log) replaySnapshot(sequence uint64, replay func([]byte, bool) error) error {
	content, err := l.fs.ReadFile(path.Join(l.folder, snapshotName(sequence)))
	if err != nil {
		return errors.Wrap(err, "read the snapshot")
	}
	l.snapshotBytes = int64(len(content))
	complete := false
	_, _, err = readFile(content, snapshotMagic, func(_ uint64, entry []byte) error {
		if complete {
			return errors.Wrap(ErrDamaged, "entries after the end of the snapshot")
		}
		if string(entry) == string(snapshotEnd) {
			complete = true
			return nil
		}
		return replay(entry, true)
	})
	if errors.Is(err, errTorn) || (err == nil && !complete) {
		return errors.Wrap(ErrDamaged, "the snapshot is incomplete")
	}
	return err
}

// replaySegment replays the segment's entries after snapshotSequence.
func (l *Log) replaySegment(first, snapshotSequence uint64, newest bool, replay func([]byte, bool) error) error {
	name := path.Join(l.folder, segmentName(first))
	content, err := l.fs.ReadFile(name)
	if err != nil {
		return err
	}
	h, headerErr := decodeFileHeader(content, segmentMagic)
	if newest && headerErr != nil && len(content) <= fileHeaderSize {
		// The process crashed while it created the segment, before any entry in it was synced. It may have written over
		// the header of an empty segment of that name, so that a torn write left parts of both.
		return l.fs.Remove(name)
	}
	if headerErr == nil && (h.base+1 != first || h.base > l.appended) {
		return errors.Wrapf(ErrDamaged, "segment starts after entry %d, but the entry before it is %d", h.base, l.appended)
	}
	last, size, err := readFile(content, segmentMagic, func(sequence uint64, entry []byte) error {
		if sequence <= snapshotSequence {
			return nil
		}
		return replay(entry, false)
	})
	if errors.Is(err, errTorn) && newest {
		err = l.fs.Truncate(name, size)
	}
	if errors.Is(err, errTorn) {
		return errors.Wrap(ErrDamaged, "the segment ends with an incomplete frame and is not the newest")
	}
	if err != nil {
		return err
	}
	l.appended = max(l.appended, last)
	l.bytesSinceSnapshot += size
	return nil
}
