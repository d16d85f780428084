package storage

import (
	iofs "io/fs"
	"math/rand/v2"
	"path"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrInjected is returned by operations that fail because of a fault injected into a MemFS.
var ErrInjected = errors.New("injected disk fault; switch the fault off")

// MemFS is a file system in memory for the demo and for tests. A simulated crash discards everything
// that was not synced. MemFS can also fail syncs, delay them, damage bytes and make a copy to return to
// later. It is safe for concurrent use.
type MemFS struct {
	mu sync.Mutex
	// generation is incremented by each crash, so that operations on files opened before it fail.
	generation int
	files      map[string]*memNode
	// durableFiles holds the files whose names survive a crash.
	durableFiles map[string]*memNode
	// unsyncedNames are the changes of names since the last sync of their folder, for LosePower.
	unsyncedNames []nameChange
	failSyncs     bool
	full          bool
	syncDelay     time.Duration
	syncs         int
}

type memNode struct {
	data []byte
	// synced is the content that survives a crash.
	synced []byte
	// dropped lists the ranges that a failed sync dropped. Later syncs leave zeros there.
	dropped [][2]int
	// unsynced lists the ranges written since the last sync, for LosePower.
	unsynced [][2]int
	// truncated is the file that was truncated when this one was created under its name; nil if there was none.
	truncated *memNode
	// everSynced is set once the file has been synced.
	everSynced bool
}

// NewMemFS returns an empty file system.
func NewMemFS() *MemFS {
	return &MemFS{files: map[string]*memNode{}, durableFiles: map[string]*memNode{}}
}

// Crash discards everything that was not synced. If torn is not nil, each file keeps a random part of
// the bytes appended since its last sync, so that writes can be torn. Operations on files that were
// open fail from then on.
func (m *MemFS) Crash(torn *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.files = map[string]*memNode{}
	for _, name := range sortedNames(m.durableFiles) {
		node := m.durableFiles[name]
		content := append([]byte(nil), node.synced...)
		if extra := len(node.data) - len(node.synced); torn != nil && extra > 0 {
			content = append(content, node.data[len(node.synced):len(node.synced)+torn.IntN(extra)]...)
		}
		m.files[name] = &memNode{data: content, synced: append([]byte(nil), content...)}
	}
	m.durableFiles = copyFiles(m.files)
	m.unsyncedNames = nil
}

// FailSyncs makes every sync fail while on is true. A failed sync loses the data that it should have
// written.
func (m *MemFS) FailSyncs(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failSyncs = on
}

// Fill makes every write fail after half of its bytes while on is true, as on a full disk.
func (m *MemFS) Fill(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = on
}

// DelaySyncs makes every later sync of a file take at least d.
func (m *MemFS) DelaySyncs(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncDelay = d
}

// Syncs returns how many syncs of files have run.
func (m *MemFS) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Damage inverts the byte at the offset of a file; a negative offset counts from the end.
func (m *MemFS) Damage(name string, offset int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.files[name]
	if !ok {
		return notExist(name)
	}
	if offset < 0 {
		offset += len(node.data)
	}
	if offset < 0 || offset >= len(node.data) {
		return errors.Errorf("offset %d is outside the file %s", offset, name)
	}
	node.data[offset] ^= 0xff
	node.markSynced()
	return nil
}

// Copy returns a new file system with the durable content of this one.
func (m *MemFS) Copy() *MemFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := NewMemFS()
	for name, node := range m.durableFiles {
		content := append([]byte(nil), node.synced...)
		c.files[name] = &memNode{data: content, synced: append([]byte(nil), content...)}
	}
	c.durableFiles = copyFiles(c.files)
	return c
}

// MkdirAll implements FS. It does nothing, since folders exist only as parts of file names.
func (m *MemFS) MkdirAll(string) error {
	return nil
}

// Create implements FS.
func (m *MemFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name] = &memNode{truncated: m.files[name]}
	m.unsyncedNames = append(m.unsyncedNames, nameChange{to: name, created: m.files[name]})
	return &memFile{fs: m, node: m.files[name], generation: m.generation}, nil
}

// Append implements FS.
func (m *MemFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.files[name]
	if !ok {
		return nil, notExist(name)
	}
	return &memFile{fs: m, node: node, generation: m.generation}, nil
}

// ReadFile implements FS.
func (m *MemFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.files[name]
	if !ok {
		return nil, notExist(name)
	}
	return append([]byte(nil), node.data...), nil
}

// List implements FS. It lists files and the folders that contain files.
func (m *MemFS) List(folder string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[string]*memNode{}
	for name, node := range m.files {
		if rest, ok := strings.CutPrefix(name, folder+"/"); ok {
			first, _, _ := strings.Cut(rest, "/")
			found[first] = node
		}
	}
	return sortedNames(found), nil
}

// Rename implements FS, for files and folders.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	moved := false
	for _, name := range sortedNames(m.files) {
		rest, inside := strings.CutPrefix(name, from)
		if !inside || (rest != "" && rest[0] != '/') {
			continue
		}
		m.files[to+rest] = m.files[name]
		delete(m.files, name)
		moved = true
	}
	if !moved {
		return notExist(from)
	}
	m.unsyncedNames = append(m.unsyncedNames, nameChange{from: from, to: to})
	return nil
}

// Remove implements FS.
func (m *MemFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.files[name]; !ok {
		return notExist(name)
	}
	delete(m.files, name)
	m.unsyncedNames = append(m.unsyncedNames, nameChange{from: name})
	return nil
}

// Truncate implements FS.
func (m *MemFS) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.files[name]
	if !ok {
		return notExist(name)
	}
	node.data = node.data[:size]
	node.markSynced()
	return nil
}

// SyncFolder implements FS. It makes the names below the folder durable.
func (m *MemFS) SyncFolder(folder string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failSyncs {
		return errors.WithStack(ErrInjected)
	}
	for name := range m.durableFiles {
		if path.Dir(name) == folder || strings.HasPrefix(name, folder+"/") {
			delete(m.durableFiles, name)
		}
	}
	for name, node := range m.files {
		if strings.HasPrefix(name, folder+"/") {
			m.durableFiles[name] = node
		}
	}
	m.unsyncedNames = slices.DeleteFunc(m.unsyncedNames, func(c nameChange) bool { return c.isBelow(folder) })
	return nil
}

type memFile struct {
	fs         *MemFS
	node       *memNode
	generation int
}

func (f *memFile) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.generation != f.fs.generation {
		return 0, errors.Wrap(ErrInjected, "the file was opened before a crash")
	}
	if f.fs.full {
		half := len(b) / 2
		f.node.write(b[:half])
		return half, errors.WithStack(syscall.ENOSPC)
	}
	f.node.write(b)
	return len(b), nil
}

func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	delay := f.fs.syncDelay
	f.fs.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.generation != f.fs.generation {
		return errors.Wrap(ErrInjected, "the file was opened before a crash")
	}
	f.fs.syncs++
	if f.fs.failSyncs {
		f.node.dropped = append(f.node.dropped, [2]int{len(f.node.synced), len(f.node.data)})
		return errors.WithStack(ErrInjected)
	}
	f.node.synced = append(f.node.synced, f.node.data[len(f.node.synced):]...)
	for _, r := range f.node.dropped {
		clear(f.node.synced[r[0]:r[1]])
	}
	f.node.unsynced, f.node.truncated, f.node.everSynced = nil, nil, true
	return nil
}

func (f *memFile) Close() error {
	return nil
}

func notExist(name string) error {
	return errors.WithStack(&iofs.PathError{Op: "open", Path: name, Err: iofs.ErrNotExist})
}

func copyFiles(files map[string]*memNode) map[string]*memNode {
	c := make(map[string]*memNode, len(files))
	for name, node := range files {
		c[name] = node
	}
	return c
}

func sortedNames(files map[string]*memNode) []string {
	sorted := make([]string, 0, len(files))
	for name := range files {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}
