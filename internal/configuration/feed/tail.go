package feed

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// MaxWait bounds how long one fetch is held.
	MaxWait = 30 * time.Second
	// maxEntries bounds how many entries are remembered.
	maxEntries = 1024
	// maxEntryBytes bounds the remembered entries in bytes, since one entry can replace a whole document.
	maxEntryBytes = 8 << 20
	// differenceBytes is up to how many bytes of entries are sent although the document is smaller.
	differenceBytes = 4 << 10
)

// Tail is the newest document with the newest entries. It is safe for concurrent use.
type Tail struct {
	mu       sync.Mutex
	document *configpb.Document
	// documentBytes is the encoded size of the document.
	documentBytes int
	// entries end with the entry of the document's revision, if there are any.
	entries []*configpb.Entry
	sizes   []int
	bytes   int
	changed chan struct{}
}

// NewTail returns a tail without a document.
func NewTail() *Tail {
	return &Tail{changed: make(chan struct{})}
}

// Revision returns the newest revision, or 0 before the first.
func (t *Tail) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.document.GetRevision()
}

// Document returns the newest document, or nil before the first. It must not be modified.
func (t *Tail) Document() *configpb.Document {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.document
}

// Changed returns a channel that is closed at the next publication.
func (t *Tail) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Publish sets the newest document. The entry is the one that led to it, or nil if the
// document was received as a whole. Documents that are not newer are ignored.
func (t *Tail) Publish(d *configpb.Document, e *configpb.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !invariant.Check(d.GetRevision() > t.document.GetRevision(), "configuration.feed-rises", "revision %d after %d", d.GetRevision(), t.document.GetRevision()) {
		return
	}
	t.remember(d, e)
	t.document, t.documentBytes = d, proto.Size(d)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Tail) remember(d *configpb.Document, e *configpb.Entry) {
	if e == nil || d.GetRevision() != t.document.GetRevision()+1 {
		t.entries, t.sizes, t.bytes = nil, nil, 0
	}
	if e == nil {
		return
	}
	size := proto.Size(e)
	t.entries = append(t.entries, e)
	t.sizes = append(t.sizes, size)
	t.bytes += size
	drop := 0
	for len(t.entries)-drop > maxEntries || t.bytes > maxEntryBytes && drop < len(t.entries) {
		t.bytes -= t.sizes[drop]
		t.entries[drop] = nil
		drop++
	}
	t.entries, t.sizes = t.entries[drop:], t.sizes[drop:]
}

// Recent returns at most limit of the remembered entries, newest first.
func (t *Tail) Recent(limit int) []*configpb.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []*configpb.Entry
	for i := len(t.entries) - 1; i >= 0 && len(recent) < limit; i-- {
		recent = append(recent, t.entries[i])
	}
	return recent
}

// Fetch answers with what is newer than the asked revision, and waits for it if asked to.
// It never fails; when the context ends it answers with what there is.
func (t *Tail) Fetch(ctx context.Context, r *configpb.FetchRequest) *configpb.FetchReply {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, MaxWait)
	if wait > 0 {
		t.await(ctx, r.GetRevision(), wait)
	}
	return t.since(r)
}

// await returns when there is something newer, the wait is over, or the context ends.
func (t *Tail) await(ctx context.Context, revision uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := t.Changed()
		if t.Revision() > revision {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (t *Tail) since(r *configpb.FetchRequest) *configpb.FetchReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.document.GetRevision()
	reply := &configpb.FetchReply{Revision: newest}
	if r.GetRevision() >= newest || r.GetBrief() {
		return reply
	}
	if first, ok := t.difference(newest - r.GetRevision()); ok {
		reply.Entries = append(reply.Entries, t.entries[first:]...)
		return reply
	}
	reply.Document = t.document
	return reply
}

// difference returns the first of the newest entries, as many as are missing. ok is false if they are not
// remembered, or if the document is smaller: each of them can hold a whole document.
func (t *Tail) difference(missing uint64) (first int, ok bool) {
	if missing > uint64(len(t.entries)) {
		return 0, false
	}
	first = len(t.entries) - int(missing)
	bytes := 0
	for _, size := range t.sizes[first:] {
		bytes += size
	}
	return first, bytes <= max(t.documentBytes, differenceBytes)
}
