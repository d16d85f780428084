package attach

import (
	"path"
	"slices"
	"strconv"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// departureRewriteBytes is the size from which a journal is replaced by one with the departures that are kept. A departure
// takes about 50 bytes.
const departureRewriteBytes = 256 << 10

// DepartureFolder is where a control host keeps departures over restarts.
type DepartureFolder struct {
	FS   storage.FS
	Path string
	// DiskLost states that the files of the host are gone, although it may have confirmed departures before. The host then
	// counts towards no majority until it has learned the departures from others.
	DiskLost bool
}

// departureFile keeps departures in a journal on disk. Only one goroutine may use it at a time.
//
// The departures that are kept are few. So a journal that has grown, or that failed, is replaced by a new one in a folder
// of its own, whose first write has all of them: the newest journal with an entry is complete. After a failed sync the
// kernel may have dropped data of the former journal, which is therefore not used again.
type departureFile struct {
	folder DepartureFolder
	logger *log.Logger
	// generation is the number of the newest journal, which names its folder.
	generation uint64
	// journal is nil after a failure.
	journal *storage.Log
}

// openDepartureFile returns the file and the entries that it holds. If they are damaged, the disk counts as lost. The
// loss of a disk is noted in the file, so that it is known until the file is complete. Errors are failures of the file
// system.
func openDepartureFile(folder DepartureFolder, logger *log.Logger) (*departureFile, []*fleetpb.DepartureRecord, error) {
	f := &departureFile{folder: folder, logger: logger}
	records, err := f.openNewest()
	if errors.Is(err, storage.ErrDamaged) {
		logger.Error("the file of departures is damaged; departures are learned from other control hosts", "folder", folder.Path, "err", logging.Err(err))
		records, err = nil, nil
		f.folder.DiskLost = true
	}
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the file of departures; check the disk and the folder's permissions")
	}
	for _, r := range records {
		f.folder.DiskLost = r.GetDiskLost() || f.folder.DiskLost && !r.GetComplete()
	}
	if len(records) == 0 && f.folder.DiskLost {
		if err := f.replace([]*fleetpb.DepartureRecord{{DiskLost: true}}); err != nil {
			logger.Error("could not write the file of departures; trying again", "folder", folder.Path, "err", logging.Err(err))
		}
	}
	return f, records, nil
}

// openNewest opens the newest journal that has an entry. It leaves the file failed, to be replaced, if there is none, if
// what was read could not be synced, or if a former process left more than one journal: its disk may have failed.
func (f *departureFile) openNewest() (records []*fleetpb.DepartureRecord, err error) {
	generations, err := f.generations()
	if err != nil || len(generations) == 0 {
		return nil, err
	}
	f.generation = generations[len(generations)-1]
	for _, g := range slices.Backward(generations) {
		journal, err := storage.Open(f.config(g), func(entry []byte, _ bool) error {
			r := &fleetpb.DepartureRecord{}
			if err := proto.Unmarshal(entry, r); err != nil {
				return errors.Wrap(storage.ErrDamaged, err.Error())
			}
			records = append(records, r)
			return nil
		})
		if err != nil {
			return nil, err
		}
		if len(records) == 0 || len(generations) > 1 || journal.Err() != nil {
			err = journal.Close()
		} else {
			f.journal = journal
		}
		if len(records) > 0 || err != nil {
			return records, err
		}
	}
	return nil, nil
}

// generations lists the numbers of the journals in ascending order.
func (f *departureFile) generations() (numbers []uint64, err error) {
	names, err := f.folder.FS.List(f.folder.Path)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if n, err := strconv.ParseUint(name, 10, 64); err == nil {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (f *departureFile) config(generation uint64) storage.Config {
	return storage.Config{FS: f.folder.FS, Folder: path.Join(f.folder.Path, strconv.FormatUint(generation, 10))}
}

// failed reports whether the file takes no entries until it is replaced.
func (f *departureFile) failed() bool {
	return f.journal == nil
}

// isLarge reports whether most entries of the file are likely to be outdated.
func (f *departureFile) isLarge() bool {
	return !f.failed() && f.journal.BytesSinceSnapshot() > departureRewriteBytes
}

// append adds entries and returns once they are durable.
func (f *departureFile) append(records []*fleetpb.DepartureRecord) error {
	err := appendSynced(f.journal, records)
	if err != nil {
		f.close()
	}
	return err
}

// replace replaces the content of the file by the entries and returns once they are durable.
func (f *departureFile) replace(records []*fleetpb.DepartureRecord) error {
	f.close()
	f.generation++
	journal, err := storage.Open(f.config(f.generation), func([]byte, bool) error { return nil })
	if err != nil {
		return err
	}
	if err := f.fill(journal, records); err != nil {
		_ = journal.Close()
		return err
	}
	f.journal = journal
	f.removeFormer()
	return nil
}

func (f *departureFile) fill(journal *storage.Log, records []*fleetpb.DepartureRecord) error {
	if journal.Last() > 0 {
		return errors.Errorf("the folder of journal %d is in use", f.generation)
	}
	if err := appendSynced(journal, records); err != nil {
		return err
	}
	if err := f.folder.FS.SyncFolder(f.folder.Path); err != nil {
		return err
	}
	return f.folder.FS.SyncFolder(path.Dir(f.folder.Path))
}

// removeFormer removes the former journals. What can't be removed now is removed with the next one.
func (f *departureFile) removeFormer() {
	generations, err := f.generations()
	if err != nil {
		return
	}
	for _, g := range generations {
		if g >= f.generation {
			continue
		}
		former := f.config(g).Folder
		names, _ := f.folder.FS.List(former)
		for _, name := range names {
			_ = f.folder.FS.Remove(path.Join(former, name))
		}
		_ = f.folder.FS.Remove(former)
	}
}

func (f *departureFile) close() {
	if f.journal != nil {
		// What could not be written is written again when the file is replaced.
		_ = f.journal.Close()
		f.journal = nil
	}
}

// appendSynced appends entries to the journal and returns once they are durable.
func appendSynced(journal *storage.Log, records []*fleetpb.DepartureRecord) error {
	entries := make([][]byte, 0, len(records))
	for _, r := range records {
		entry, err := proto.Marshal(r)
		if err != nil {
			return errors.Wrap(err, "encode a departure")
		}
		entries = append(entries, entry)
	}
	sequence, err := journal.Append(entries...)
	if err != nil {
		return err
	}
	return journal.Sync(sequence)
}
