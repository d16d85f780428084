package storage

import (
	iofs "io/fs"
	"math/rand/v2"
	"path"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrInjected is the error of operations that a MemFS was told to fail.
var ErrInjected = errors.New("injected disk fault; switch the fault off")

// MemFS is a file system in memory. It serves the demo and tests: it forgets what was not synced
// when it crashes, and it can fail syncs, delay them, damage bytes and go back to an old copy.
// It is safe for concurrent use.
type MemFS struct {
	mu sync.Mutex
	// generation rises with each crash, so that handles from before it fail.
	generation int
	names      map[string]*memNode
	// durable holds the names that survive a crash.
	durable   map[string]*memNode
	failSyncs bool
	syncDelay time.Duration
	syncs     int
}

type memNode struct {
	data []byte
	// synced is the content that survives a crash.
	synced []byte
	// lost lists ranges that a failed sync dropped: later syncs do not write them.
	lost [][2]int
}

// NewMemFS returns an empty file system.
func NewMemFS() *MemFS {
	return &MemFS{names: map[string]*memNode{}, durable: map[string]*memNode{}}
}

// Crash forgets everything that was not synced. If torn is not nil, files keep a random part of
// their last bytes that were not synced. Open handles fail from then on.
func (m *MemFS) Crash(torn *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.names = map[string]*memNode{}
	for _, name := range sortedNames(m.durable) {
		node := m.durable[name]
		content := append([]byte(nil), node.synced...)
		if extra := len(node.data) - len(node.synced); torn != nil && extra > 0 {
			content = append(content, node.data[len(node.synced):len(node.synced)+torn.IntN(extra)]...)
		}
		m.names[name] = &memNode{data: content, synced: append([]byte(nil), content...)}
	}
	m.durable = copyNames(m.names)
}

// FailSyncs makes every sync fail, and lose the data that it should have written, until it is switched off.
func (m *MemFS) FailSyncs(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failSyncs = on
}

// DelaySyncs makes every sync of a file take at least d.
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
	node, ok := m.names[name]
	if !ok {
		return notExist(name)
	}
	if offset < 0 {
		offset += len(node.data)
	}
	if offset < 0 || offset >= len(node.data) {
		return errors.Errorf("offset %d is outside of the file %s", offset, name)
	}
	node.data[offset] ^= 0xff
	node.synced = append([]byte(nil), node.data...)
	return nil
}

// Copy returns a file system with the durable content of this one.
func (m *MemFS) Copy() *MemFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := NewMemFS()
	for name, node := range m.durable {
		content := append([]byte(nil), node.synced...)
		c.names[name] = &memNode{data: content, synced: append([]byte(nil), content...)}
	}
	c.durable = copyNames(c.names)
	return c
}

// MkdirAll does nothing: folders exist as parts of names.
func (m *MemFS) MkdirAll(string) error {
	return nil
}

// Create implements FS.
func (m *MemFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[name] = &memNode{}
	return &memFile{fs: m, node: m.names[name], generation: m.generation}, nil
}

// Append implements FS.
func (m *MemFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.names[name]
	if !ok {
		return nil, notExist(name)
	}
	return &memFile{fs: m, node: node, generation: m.generation}, nil
}

// ReadFile implements FS.
func (m *MemFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.names[name]
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
	for name, node := range m.names {
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
	for _, name := range sortedNames(m.names) {
		rest, inside := strings.CutPrefix(name, from)
		if !inside || (rest != "" && rest[0] != '/') {
			continue
		}
		m.names[to+rest] = m.names[name]
		delete(m.names, name)
		moved = true
	}
	if !moved {
		return notExist(from)
	}
	return nil
}

// Remove implements FS.
func (m *MemFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.names[name]; !ok {
		return notExist(name)
	}
	delete(m.names, name)
	return nil
}

// Truncate implements FS.
func (m *MemFS) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	node, ok := m.names[name]
	if !ok {
		return notExist(name)
	}
	node.data = node.data[:size]
	node.synced = append([]byte(nil), node.data...)
	return nil
}

// SyncFolder implements FS. It makes the names below the folder durable.
func (m *MemFS) SyncFolder(folder string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failSyncs {
		return errors.WithStack(ErrInjected)
	}
	for name := range m.durable {
		if path.Dir(name) == folder || strings.HasPrefix(name, folder+"/") {
			delete(m.durable, name)
		}
	}
	for name, node := range m.names {
		if strings.HasPrefix(name, folder+"/") {
			m.durable[name] = node
		}
	}
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
		return 0, errors.Wrap(ErrInjected, "the file was open at a crash")
	}
	f.node.data = append(f.node.data, b...)
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
		return errors.Wrap(ErrInjected, "the file was open at a crash")
	}
	f.fs.syncs++
	if f.fs.failSyncs {
		f.node.lost = append(f.node.lost, [2]int{len(f.node.synced), len(f.node.data)})
		return errors.WithStack(ErrInjected)
	}
	f.node.synced = append(f.node.synced, f.node.data[len(f.node.synced):]...)
	for _, r := range f.node.lost {
		clear(f.node.synced[r[0]:r[1]])
	}
	return nil
}

func (f *memFile) Close() error {
	return nil
}

func notExist(name string) error {
	return errors.WithStack(&iofs.PathError{Op: "open", Path: name, Err: iofs.ErrNotExist})
}

func copyNames(names map[string]*memNode) map[string]*memNode {
	c := make(map[string]*memNode, len(names))
	for name, node := range names {
		c[name] = node
	}
	return c
}

func sortedNames(names map[string]*memNode) []string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}
