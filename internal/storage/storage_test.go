package storage_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/storage"
)

const folder = "data"

// openLog returns the log and the entries that it replayed. Snapshot entries get the prefix "s:".
func openLog(fs storage.FS, folder string, segmentBytes int64) (*storage.Log, []string, error) {
	var replayed []string
	l, err := storage.Open(storage.Config{FS: fs, Folder: folder, SegmentBytes: segmentBytes}, func(entry []byte, snapshot bool) error {
		text := string(entry)
		if snapshot {
			text = "s:" + text
		}
		replayed = append(replayed, text)
		return nil
	})
	return l, replayed, err
}

func appendAndSync(g *WithT, l *storage.Log, entries ...string) {
	for _, e := range entries {
		sequence, err := l.Append([]byte(e))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Sync(sequence)).To(Succeed())
	}
}

func fileSystems(t *testing.T) map[string]func() (storage.FS, string) {
	return map[string]func() (storage.FS, string){
		"memory": func() (storage.FS, string) { return storage.NewMemFS(), folder },
		"disk":   func() (storage.FS, string) { return storage.NewFS(), filepath.Join(t.TempDir(), folder) },
	}
}

// Guards against entries that are lost, duplicated or reordered by restarts, new segments or snapshots,
// on the real file system as well as on the simulated one.
func TestRestarts(t *testing.T) {
	for name, create := range fileSystems(t) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fs, folder := create()
			var want []string
			for run := range 4 {
				l, replayed, err := openLog(fs, folder, 200)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(replayed).To(Equal(want))
				for i := range 20 {
					entry := fmt.Sprintf("run %d entry %d", run, i)
					appendAndSync(g, l, entry)
					want = append(want, entry)
				}
				g.Expect(l.Close()).To(Succeed())
			}
			l, _, err := openLog(fs, folder, 200)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(l.WriteSnapshot(l.Last(), func(emit func([]byte) error) error { return emit([]byte("state")) })).To(Succeed())
			appendAndSync(g, l, "after")
			g.Expect(l.Close()).To(Succeed())
			l, replayed, err := openLog(fs, folder, 200)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(replayed).To(Equal([]string{"s:state", "after"}))
			g.Expect(l.Last()).To(BeEquivalentTo(81))
			g.Expect(l.Close()).To(Succeed())
			names, err := fs.List(folder)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(names)).To(BeNumerically("<=", 3), "%v", names)
		})
	}
}

// Guards against synced entries that a crash loses, torn writes that are replayed, and entries that are
// replayed out of order. Crashes happen at any step, also while a snapshot is being written.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		fs := storage.NewMemFS()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var all []string // All entries in order; the first ones, as many as durable says, must survive.
		durable := 0
		l, _, err := openLog(fs, folder, 300)
		g.Expect(err).NotTo(HaveOccurred())
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				entry := fmt.Sprintf("%d %s", random.Int(), rapid.StringN(0, 40, 200).Draw(t, "entry"))
				_, err := l.Append([]byte(entry))
				g.Expect(err).NotTo(HaveOccurred())
				all = append(all, entry)
			case 2:
				g.Expect(l.Sync(l.Last())).To(Succeed())
				durable = len(all)
			case 3:
				state := append([]string(nil), all...)
				fail := rapid.Bool().Draw(t, "crash in snapshot")
				err := l.WriteSnapshot(l.Last(), func(emit func([]byte) error) error {
					for i, e := range state {
						if fail && i == len(state)/2 {
							return storage.ErrInjected
						}
						if err := emit([]byte(e)); err != nil {
							return err
						}
					}
					return nil
				})
				if err != nil {
					g.Expect(err).To(MatchError(storage.ErrInjected))
				}
				durable = len(all)
			case 4:
				if rapid.Bool().Draw(t, "crash in sync") {
					_, err := l.Append([]byte("torn"))
					g.Expect(err).NotTo(HaveOccurred())
					all = append(all, "torn")
					fs.FailSyncs(true)
					g.Expect(l.Sync(l.Last())).NotTo(Succeed())
					fs.FailSyncs(false)
				}
				_ = l.Close()
				fs.Crash(random)
				var replayed []string
				l, replayed, err = openLog(fs, folder, 300)
				g.Expect(err).NotTo(HaveOccurred())
				for i := range replayed {
					if len(replayed[i]) > 2 && replayed[i][:2] == "s:" {
						replayed[i] = replayed[i][2:]
					}
				}
				g.Expect(len(replayed)).To(BeNumerically(">=", durable))
				g.Expect(replayed).To(Equal(append([]string(nil), all[:len(replayed)]...)))
				all = append([]string(nil), replayed...)
				durable = len(all)
				g.Expect(l.Last()).To(BeEquivalentTo(len(all)))
			}
		}
	})
}

// Guards against damage before the last frame that is mistaken for a torn frame, so that synced entries
// are lost silently. Damage of the last frame cannot be distinguished from a torn frame; only that frame
// is lost.
func TestDamage(t *testing.T) {
	g := NewWithT(t)
	fs := storage.NewMemFS()
	l, _, err := openLog(fs, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	appendAndSync(g, l, "first", "second", "third")
	g.Expect(l.Close()).To(Succeed())
	names, err := fs.List(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).To(HaveLen(1))
	content, err := fs.ReadFile(folder + "/" + names[0])
	g.Expect(err).NotTo(HaveOccurred())
	const lastFrame = 20 + 1 + len("third")
	for offset := range content {
		damaged := fs.Copy()
		g.Expect(damaged.Damage(folder+"/"+names[0], offset)).To(Succeed())
		_, replayed, err := openLog(damaged, folder, 0)
		if offset < len(content)-lastFrame {
			g.Expect(err).To(MatchError(storage.ErrDamaged), "offset %d", offset)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), "offset %d", offset)
		g.Expect(replayed).To(Equal([]string{"first", "second"}))
	}
}

// Guards against a missing segment or a damaged or truncated snapshot that is not detected.
func TestMissingFiles(t *testing.T) {
	g := NewWithT(t)
	fs := storage.NewMemFS()
	l, _, err := openLog(fs, folder, 1)
	g.Expect(err).NotTo(HaveOccurred())
	appendAndSync(g, l, "1", "2", "3")
	names, err := fs.List(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(names).To(HaveLen(3))
	missing := fs.Copy()
	g.Expect(missing.Remove(folder + "/" + names[1])).To(Succeed())
	_, _, err = openLog(missing, folder, 1)
	g.Expect(err).To(MatchError(storage.ErrDamaged))
	g.Expect(l.WriteSnapshot(3, func(emit func([]byte) error) error { return emit([]byte("state")) })).To(Succeed())
	names, err = fs.List(folder)
	g.Expect(err).NotTo(HaveOccurred())
	damaged := fs.Copy()
	g.Expect(damaged.Damage(folder+"/"+names[len(names)-1], -1)).To(Succeed())
	_, _, err = openLog(damaged, folder, 1)
	g.Expect(err).To(MatchError(storage.ErrDamaged))
	const headerOnly = 36
	g.Expect(damaged.Truncate(folder+"/"+names[len(names)-1], headerOnly)).To(Succeed())
	_, _, err = openLog(damaged, folder, 1)
	g.Expect(err).To(MatchError(storage.ErrDamaged))
}

// Guards against a log that accepts entries again after a failed sync although the data of that sync is
// lost.
func TestFailedSyncIsFinal(t *testing.T) {
	g := NewWithT(t)
	fs := storage.NewMemFS()
	l, _, err := openLog(fs, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	appendAndSync(g, l, "kept")
	fs.FailSyncs(true)
	sequence, err := l.Append([]byte("lost"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Sync(sequence)).To(MatchError(storage.ErrStopped))
	fs.FailSyncs(false)
	g.Expect(l.Sync(sequence)).To(MatchError(storage.ErrStopped))
	_, err = l.Append([]byte("later"))
	g.Expect(err).To(MatchError(storage.ErrStopped))
	g.Expect(l.Sync(1)).To(Succeed())
	fs.Crash(nil)
	_, replayed, err := openLog(fs, folder, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(Equal([]string{"kept"}))
}

// Guards against one sync per entry: entries appended during a sync must share the next one.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fs := storage.NewMemFS()
		l, _, err := openLog(fs, folder, 0)
		g.Expect(err).NotTo(HaveOccurred())
		appendAndSync(g, l, "first")
		fs.DelaySyncs(10 * time.Millisecond)
		before, start := fs.Syncs(), time.Now()
		var wait sync.WaitGroup
		for i := range 100 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Microsecond)
				sequence, err := l.Append([]byte(fmt.Sprint(i)))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(l.Sync(sequence)).To(Succeed())
			})
		}
		wait.Wait()
		g.Expect(fs.Syncs() - before).To(Equal(2))
		g.Expect(time.Since(start)).To(Equal(20 * time.Millisecond))
	})
}

// Guards against file contents that crash the reader, make it allocate without bound or make it accept
// an entry with a wrong checksum.
func FuzzSegment(f *testing.F) {
	fs := storage.NewMemFS()
	l, _, err := openLog(fs, folder, 0)
	if err != nil {
		f.Fatal(err)
	}
	for _, e := range []string{"first", "", "third"} {
		sequence, _ := l.Append([]byte(e))
		_ = l.Sync(sequence)
	}
	names, _ := fs.List(folder)
	content, _ := fs.ReadFile(folder + "/" + names[0])
	f.Add(content, uint16(0), byte(0))
	f.Add(content, uint16(40), byte(0xff))
	f.Add(content[:len(content)-3], uint16(0), byte(0))
	f.Fuzz(func(t *testing.T, content []byte, at uint16, flip byte) {
		g := NewWithT(t)
		if int(at) < len(content) {
			content[at] ^= flip
		}
		fs := storage.NewMemFS()
		file, _ := fs.Create(folder + "/" + names[0])
		_, _ = file.Write(content)
		_, replayed, err := openLog(fs, folder, 0)
		if err != nil {
			g.Expect(err).To(MatchError(storage.ErrDamaged))
			return
		}
		// Reading again, after the first read truncated a torn frame, must give the same entries.
		_, again, err := openLog(fs, folder, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(replayed))
	})
}
