package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// MaxWait bounds how long one fetch is held.
	MaxWait = 30 * time.Second
	// maxRetainedEntries bounds the number of retained entries.
	maxRetainedEntries = 1024
	// smallDifferenceBytes is the size up to which entries are sent even if the difference or the document is
	// smaller, since they take less work to apply.
	smallDifferenceBytes = 4 << 10
	// RetainedBases is how many former documents a control replica keeps for differences. A host that polls twice
	// a second lacks fewer revisions.
	RetainedBases = 32
	// maxBaseBytes bounds the encoded size of the former documents, which take a few times as much memory when an
	// operator sends whole documents.
	maxBaseBytes = 4 << 20
)

// Tail holds the newest document, the newest entries and former documents. It is safe for concurrent use.
type Tail struct {
	mu       sync.Mutex
	document *configpb.Document
	// documentBytes is the encoded size of the document.
	documentBytes int
	// entries have consecutive revisions and end with that of the document. They may be empty.
	// sizes holds their encoded sizes, and retainedBytes the sum of these.
	entries       []*configpb.Entry
	sizes         []int
	retainedBytes int
	// bases holds up to maxBases former documents, oldest first, from which differences are computed. baseSizes holds
	// their encoded sizes, and baseBytes the sum of these. differences holds the differences to the newest document,
	// by the revision of the base.
	maxBases    int
	bases       []*configpb.Document
	baseSizes   []int
	baseBytes   int
	differences map[uint64]*configpb.Difference
	changed     chan struct{}
}

// NewTail returns a tail without a document. It replies with differences from up to maxBases former documents.
func NewTail(maxBases int) *Tail {
	return &Tail{maxBases: maxBases, changed: make(chan struct{})}
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

// Publish sets the newest document. The entry is the one that produced it, or nil if the
// document was received as a whole. The feed omits the operator's text of a document, which can be larger than all
// the rest. A document that is not newer is ignored and reported as a violated invariant.
func (t *Tail) Publish(d *configpb.Document, e *configpb.Entry) {
	d = configuration.WithoutSource(d)
	if e != nil {
		e = configuration.EntryWithoutSource(e)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !invariant.Check(d.GetRevision() > t.document.GetRevision(), "configuration.feed-rises", "revision %d after %d", d.GetRevision(), t.document.GetRevision()) {
		return
	}
	size := proto.Size(d)
	t.retain(d, e, size)
	t.retainBase()
	t.document, t.documentBytes = d, size
	close(t.changed)
	t.changed = make(chan struct{})
}

// retain keeps the entry if it follows the retained ones. Entries that take more than the document are of no use, since
// the document is sent in their place.
func (t *Tail) retain(d *configpb.Document, e *configpb.Entry, documentBytes int) {
	if e == nil || d.GetRevision() != t.document.GetRevision()+1 {
		t.entries, t.sizes, t.retainedBytes = nil, nil, 0
	}
	if e == nil {
		return
	}
	size := proto.Size(e)
	t.entries = append(t.entries, e)
	t.sizes = append(t.sizes, size)
	t.retainedBytes += size
	drop := 0
	maxBytes := max(documentBytes, smallDifferenceBytes)
	for len(t.entries)-drop > maxRetainedEntries || t.retainedBytes > maxBytes && drop < len(t.entries) {
		t.retainedBytes -= t.sizes[drop]
		t.entries[drop] = nil
		drop++
	}
	t.entries, t.sizes = t.entries[drop:], t.sizes[drop:]
}

// retainBase keeps the document that is about to be replaced. Documents share what has not changed.
func (t *Tail) retainBase() {
	t.differences = nil
	if t.maxBases == 0 || t.document == nil {
		return
	}
	t.bases = append(t.bases, t.document)
	t.baseSizes = append(t.baseSizes, t.documentBytes)
	t.baseBytes += t.documentBytes
	for len(t.bases) > t.maxBases || t.baseBytes > maxBaseBytes && len(t.bases) > 1 {
		t.baseBytes -= t.baseSizes[0]
		t.bases, t.baseSizes = slices.Delete(t.bases, 0, 1), slices.Delete(t.baseSizes, 0, 1)
	}
}

// Recent returns at most limit of the retained entries, newest first.
func (t *Tail) Recent(limit int) []*configpb.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []*configpb.Entry
	for i := len(t.entries) - 1; i >= 0 && len(recent) < limit; i-- {
		recent = append(recent, t.entries[i])
	}
	return recent
}

// Fetch returns what is newer than the requested revision, and waits for it if the request has
// a wait. It never fails; when the context ends it returns what is available.
func (t *Tail) Fetch(ctx context.Context, r *configpb.FetchRequest) *configpb.FetchReply {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, MaxWait)
	if wait > 0 {
		t.waitForNewer(ctx, r.GetRevision(), wait)
	}
	return t.replySince(r)
}

// waitForNewer returns when a newer revision is published, the wait is over, or the context ends.
func (t *Tail) waitForNewer(ctx context.Context, revision uint64, wait time.Duration) {
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

func (t *Tail) replySince(r *configpb.FetchRequest) *configpb.FetchReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.document.GetRevision()
	reply := &configpb.FetchReply{Revision: newest}
	if r.GetRevision() >= newest {
		return reply
	}
	if r.GetBrief() {
		reply.OmittedBytes = int64(t.documentBytes)
		return reply
	}
	if size := t.selectContents(r, reply); r.GetMaxBytes() > 0 && int64(size) > r.GetMaxBytes() {
		return &configpb.FetchReply{Revision: newest, OmittedBytes: int64(size)}
	}
	return reply
}

// selectContents sets the entries, the difference or the document in the reply and returns the size.
func (t *Tail) selectContents(r *configpb.FetchRequest, reply *configpb.FetchReply) int {
	first, entryBytes, retained := t.firstMissing(t.document.GetRevision() - r.GetRevision())
	smallest := t.documentBytes
	if retained {
		smallest = min(smallest, entryBytes)
	}
	if r.GetAcceptsDifference() && (!retained || entryBytes > smallDifferenceBytes) {
		if difference := t.differenceFrom(r.GetRevision()); difference != nil && proto.Size(difference) < smallest {
			reply.Difference = difference
			return proto.Size(difference)
		}
	}
	if retained && entryBytes <= max(t.documentBytes, smallDifferenceBytes) {
		reply.Entries = append(reply.Entries, t.entries[first:]...)
		return entryBytes
	}
	reply.Document = t.document
	return t.documentBytes
}

// differenceFrom returns the difference between a former document and the newest one, or nil if the former one is
// not retained.
func (t *Tail) differenceFrom(revision uint64) *configpb.Difference {
	if d, ok := t.differences[revision]; ok {
		return d
	}
	at := slices.IndexFunc(t.bases, func(d *configpb.Document) bool { return d.GetRevision() == revision })
	if at < 0 {
		return nil
	}
	if t.differences == nil {
		t.differences = map[uint64]*configpb.Difference{}
	}
	d := configuration.Diff(t.bases[at], t.document)
	t.differences[revision] = d
	return d
}

// firstMissing returns the index of the first entry that a process lacks, given the number of entries that it
// lacks, and the size of these entries. retained is false if one of them is not retained.
func (t *Tail) firstMissing(missing uint64) (first, bytes int, retained bool) {
	if missing > uint64(len(t.entries)) {
		return 0, 0, false
	}
	first = len(t.entries) - int(missing)
	for _, size := range t.sizes[first:] {
		bytes += size
	}
	return first, bytes, true
}
