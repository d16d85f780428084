package storage_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/storage"
)

// dyingFS is the file system as a process sees it that dies at one of its operations: that one and all later ones fail
// and have no effect.
type dyingFS struct {
	storage.FS
	// operations is how many operations are left; negative means that the process does not die.
	operations *int
}

func (d dyingFS) alive() error {
	if *d.operations == 0 {
		return errors.WithStack(storage.ErrInjected)
	}
	*d.operations--
	return nil
}

func (d dyingFS) Create(path string) (storage.File, error) {
	return d.open(path, d.FS.Create)
}

func (d dyingFS) Append(path string) (storage.File, error) {
	return d.open(path, d.FS.Append)
}

func (d dyingFS) open(path string, open func(string) (storage.File, error)) (storage.File, error) {
	if err := d.alive(); err != nil {
		return nil, err
	}
	f, err := open(path)
	return dyingFile{f, d}, err
}

func (d dyingFS) Rename(from, to string) error {
	if err := d.alive(); err != nil {
		return err
	}
	return d.FS.Rename(from, to)
}

func (d dyingFS) Remove(path string) error {
	if err := d.alive(); err != nil {
		return err
	}
	return d.FS.Remove(path)
}

func (d dyingFS) Truncate(path string, size int64) error {
	if err := d.alive(); err != nil {
		return err
	}
	return d.FS.Truncate(path, size)
}

func (d dyingFS) SyncFolder(folder string) error {
	if err := d.alive(); err != nil {
		return err
	}
	return d.FS.SyncFolder(folder)
}

type dyingFile struct {
	storage.File
	fs dyingFS
}

func (f dyingFile) Write(b []byte) (int, error) {
	if err := f.fs.alive(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f dyingFile) Sync() error {
	if err := f.fs.alive(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Guards against an entry that a restart replays, and that is lost when the power is lost later: the process was killed
// after it had written the entry and before the sync had ended.
func TestReplayedEntriesAreDurable(t *testing.T) {
	g := NewWithT(t)
	fs := storage.NewMemFS()
	operations := -1
	l, _, err := openLog(dyingFS{fs, &operations}, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	appendAndSync(g, l, "first")
	sequence, err := l.Append([]byte("second"))
	g.Expect(err).NotTo(HaveOccurred())
	operations = 1 // The write of the frame; the sync does not happen.
	g.Expect(l.Sync(sequence)).NotTo(Succeed())
	fs.Kill()
	l, replayed, err := openLog(fs, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(Equal([]string{"first", "second"}))
	g.Expect(l.Durable()).To(BeEquivalentTo(2))
	appendAndSync(g, l, "third")
	fs.Crash(nil)
	_, replayed, err = openLog(fs, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(Equal([]string{"first", "second", "third"}))
}

// Guards against a host that does not start, or that reports entries as durable, while its disk fails.
func TestStartOnAFailingDisk(t *testing.T) {
	g := NewWithT(t)
	fs := storage.NewMemFS()
	l, _, err := openLog(fs, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	appendAndSync(g, l, "first")
	g.Expect(l.Close()).To(Succeed())
	fs.FailSyncs(true)
	l, replayed, err := openLog(fs, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(Equal([]string{"first"}))
	g.Expect(l.Err()).To(MatchError(storage.ErrStopped))
	g.Expect(l.Durable()).To(BeZero())
	g.Expect(l.Sync(1)).To(MatchError(storage.ErrStopped))
	fs.FailSyncs(false)
	l, _, err = openLog(fs, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Durable()).To(BeEquivalentTo(1))
}

// Guards against a folder that counts as damaged because the newest segment, which has no entry yet, was created again
// over an empty one of its name: the torn header has parts of both.
func TestTornHeaderOfAnEmptySegment(t *testing.T) {
	g := NewWithT(t)
	fs := storage.NewMemFS()
	operations := -1
	l, _, err := openLog(dyingFS{fs, &operations}, folder, 1)
	g.Expect(err).NotTo(HaveOccurred())
	appendAndSync(g, l, "first")
	sequence, err := l.Append([]byte("second"))
	g.Expect(err).NotTo(HaveOccurred())
	operations = 4 // The second segment is created, its header written and synced, and its folder synced.
	g.Expect(l.Sync(sequence)).NotTo(Succeed())
	names, err := fs.List(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).To(HaveLen(2))
	g.Expect(fs.Damage(folder+"/"+names[1], 20)).To(Succeed())
	l, replayed, err := openLog(fs, folder, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(Equal([]string{"first"}))
	appendAndSync(g, l, "second")
	fs.Crash(nil)
	_, replayed, err = openLog(fs, folder, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(Equal([]string{"first", "second"}))
}

// powerRun is a log whose process dies again and again, at any operation on its files.
type powerRun struct {
	g          *WithT
	fs         *storage.MemFS
	random     *rand.Rand
	operations int
	log        *storage.Log
	// entries are all appended entries; the first ones, as many as durable says, must survive.
	entries []string
	durable int
}

// Guards against durable entries that are lost, or a folder that counts as damaged, after the process was killed or the
// power was lost at any operation, also while the folder is opened. Unsynced writes and names are kept or lost one by one.
func TestDeathAtEachOperation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &powerRun{g: NewWithT(t), fs: storage.NewMemFS(), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		for range rapid.IntRange(1, 8).Draw(t, "lives") {
			r.live()
			if r.random.IntN(3) == 0 {
				r.fs.Kill()
			} else {
				r.fs.LosePower(r.random)
			}
		}
		r.operations = -1
		r.g.Expect(r.open()).To(Succeed())
	})
}

// live opens the log and works with it until the process dies.
func (r *powerRun) live() {
	r.operations = r.random.IntN(60)
	for err := r.open(); err == nil; {
		switch r.random.IntN(6) {
		case 0:
			err = r.writeSnapshot()
		default:
			err = r.append()
		}
	}
}

func (r *powerRun) open() error {
	l, replayed, err := openLog(dyingFS{r.fs, &r.operations}, folder, 300)
	if r.operations == 0 && err != nil {
		r.g.Expect(err).To(MatchError(storage.ErrInjected))
		return err
	}
	r.g.Expect(err).NotTo(HaveOccurred())
	for i := range replayed {
		replayed[i] = strings.TrimPrefix(replayed[i], "s:")
	}
	r.g.Expect(len(replayed)).To(BeNumerically(">=", r.durable))
	r.g.Expect(replayed).To(Equal(append([]string(nil), r.entries[:len(replayed)]...)))
	r.log, r.entries = l, r.entries[:len(replayed)]
	if l.Err() == nil {
		r.g.Expect(l.Durable()).To(BeEquivalentTo(len(replayed)))
		r.durable = len(replayed)
	}
	return l.Err()
}

func (r *powerRun) append() error {
	sequence := uint64(0)
	for range 1 + r.random.IntN(3) {
		entry := fmt.Sprintf("%d %s", r.random.Int(), strings.Repeat("x", r.random.IntN(200)))
		r.entries = append(r.entries, entry)
		var err error
		if sequence, err = r.log.Append([]byte(entry)); err != nil {
			return err
		}
	}
	err := r.log.Sync(sequence)
	if err == nil {
		r.durable = len(r.entries)
	}
	return err
}

func (r *powerRun) writeSnapshot() error {
	return r.log.WriteSnapshot(r.log.Last(), func(emit func([]byte) error) error {
		for _, e := range r.entries {
			if err := emit([]byte(e)); err != nil {
				return err
			}
		}
		return nil
	})
}
