package storage

import (
	"math/rand/v2"
	"strings"
)

// nameChange is a file that was created, or a file or folder that was renamed or removed.
type nameChange struct {
	// from is empty for a created file, to for a removed one.
	from, to string
	created  *memNode
}

func (c nameChange) isBelow(folder string) bool {
	return (c.from == "" || strings.HasPrefix(c.from, folder+"/")) && (c.to == "" || strings.HasPrefix(c.to, folder+"/"))
}

// apply makes the change. It has no effect if an earlier change that it needs was lost.
func (c nameChange) apply(files map[string]*memNode) {
	if c.created != nil {
		files[c.to] = c.created
		return
	}
	for _, name := range sortedNames(files) {
		rest, inside := strings.CutPrefix(name, c.from)
		if !inside || (rest != "" && rest[0] != '/') {
			continue
		}
		if c.to != "" {
			files[c.to+rest] = files[name]
		}
		delete(files, name)
	}
}

// Kill ends the process: operations on files that were open fail from then on. What was written stays, synced or not,
// as in the page cache of an operating system that goes on.
func (m *MemFS) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
}

// LosePower is a stricter Crash. Each write since the last sync of its file is present, missing or torn. Each file that
// was created, renamed or removed since the last sync of its folder keeps that change or loses it, independently of the
// others; a new file keeps its name once it has been synced itself. At some losses of power, all of that is gone.
func (m *MemFS) LosePower(random *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	allGone := random.IntN(4) == 0
	keeps := func() bool { return !allGone && random.IntN(2) == 0 }
	names := copyFiles(m.durableFiles)
	for _, c := range m.unsyncedNames {
		if (c.created != nil && c.created.everSynced) || keeps() {
			c.apply(names)
		}
	}
	m.files = map[string]*memNode{}
	for _, name := range sortedNames(names) {
		content := names[name].afterPowerLoss(random, keeps)
		m.files[name] = &memNode{data: content, synced: append([]byte(nil), content...), everSynced: true}
	}
	m.durableFiles = copyFiles(m.files)
	m.unsyncedNames = nil
}

// afterPowerLoss returns the synced content and the later writes that keeps selects, some of them torn.
func (n *memNode) afterPowerLoss(random *rand.Rand, keeps func() bool) []byte {
	content := append([]byte(nil), n.synced...)
	if n.truncated != nil && !keeps() {
		content = append(content, n.truncated.synced...)
	}
	for _, w := range n.unsynced {
		if !keeps() {
			continue
		}
		start, end := w[0], w[1]
		if random.IntN(2) == 0 {
			end = start + random.IntN(end-start+1)
		}
		if missing := end - len(content); missing > 0 {
			content = append(content, make([]byte, missing)...)
		}
		copy(content[start:end], n.data[start:end])
	}
	return content
}

func (n *memNode) write(b []byte) {
	n.unsynced = append(n.unsynced, [2]int{len(n.data), len(n.data) + len(b)})
	n.data = append(n.data, b...)
}

func (n *memNode) markSynced() {
	n.synced = append([]byte(nil), n.data...)
	n.unsynced, n.truncated, n.everSynced = nil, nil, true
}
