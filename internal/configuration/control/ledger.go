package control

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// requestRetention is how long a request id is remembered, by the wall times in the log.
	requestRetention = 24 * time.Hour
	// requestRevisions is for how many revisions a request id is remembered.
	requestRevisions = 10_000
	// keptDocuments is how many of the newest documents are kept to validate resends.
	keptDocuments = 32
	// keptDocumentBytes bounds the changes between them in bytes, since each of them can
	// replace the whole document.
	keptDocumentBytes = 16 << 20
	// keptEntries is how many of the newest entries are kept for the history.
	keptEntries = 256
	// keptEntryBytes bounds these entries in bytes.
	keptEntryBytes = 1 << 20
)

// ledger is the state that follows from the log. It is a pure state machine: equal entries
// give equal ledgers on every replica. It is not safe for concurrent use.
type ledger struct {
	// documents are the newest ones with consecutive revisions, oldest first; never empty.
	documents window[*configpb.Document]
	// requests by id, and the same in the order of revisions.
	requests map[string]*configpb.AppliedRequest
	order    []*configpb.AppliedRequest
	// recent are the newest entries with consecutive revisions, oldest first.
	recent window[*configpb.Entry]
}

// window keeps the newest items within a number and a sum of sizes.
type window[T any] struct {
	items []T
	sizes []int
	bytes int
}

// add appends an item and drops the oldest ones beyond the bounds, but never all.
func (w *window[T]) add(item T, size, most, mostBytes int) {
	w.items = append(w.items, item)
	w.sizes = append(w.sizes, size)
	w.bytes += size
	for len(w.items) > 1 && (len(w.items) > most || w.bytes > mostBytes) {
		var none T
		w.items[0] = none
		w.bytes -= w.sizes[0]
		w.items, w.sizes = w.items[1:], w.sizes[1:]
	}
}

func newLedger() *ledger {
	return ledgerOf(configuration.Empty())
}

func ledgerOf(d *configpb.Document) *ledger {
	l := &ledger{requests: map[string]*configpb.AppliedRequest{}}
	l.documents.add(d, 0, keptDocuments, keptDocumentBytes)
	return l
}

// restore builds the ledger of a log snapshot. An empty one is the ledger before the first entry.
func restore(data []byte) (*ledger, error) {
	snapshot := &configpb.LogSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, errors.Wrap(err, "decode the snapshot of the configuration log; replace this control replica")
	}
	l := newLedger()
	if snapshot.GetDocument() != nil {
		l = ledgerOf(snapshot.GetDocument())
	}
	for _, request := range snapshot.GetRequests() {
		l.admit(request)
	}
	for _, e := range snapshot.GetRecent() {
		l.recent.add(e, proto.Size(e), keptEntries, keptEntryBytes)
	}
	return l, nil
}

// document returns the newest document.
func (l *ledger) document() *configpb.Document {
	return l.documents.items[len(l.documents.items)-1]
}

// revision returns the newest revision.
func (l *ledger) revision() uint64 {
	return l.document().GetRevision()
}

// oldest returns the oldest document that is kept.
func (l *ledger) oldest() *configpb.Document {
	return l.documents.items[0]
}

// at returns the document of a revision; ok is false if it is not kept.
func (l *ledger) at(revision uint64) (d *configpb.Document, ok bool) {
	first := l.oldest().GetRevision()
	if revision < first || revision > l.revision() {
		return nil, false
	}
	return l.documents.items[revision-first], true
}

// apply adds the next entry.
func (l *ledger) apply(e *configpb.Entry) error {
	rejection := configuration.Validate(l.document(), e.GetChange())
	invariant.Check(rejection == nil, "configuration.entry-valid", "revision %d: %v", e.GetRevision(), rejection)
	_, repeated := l.requests[e.GetRequestId()]
	invariant.Check(!repeated, "configuration.request-accepted-once", "request %s again at revision %d", e.GetRequestId(), e.GetRevision())
	next, err := configuration.Apply(l.document(), e)
	if err != nil {
		return err
	}
	size := proto.Size(e)
	l.documents.add(next, size, keptDocuments, keptDocumentBytes)
	l.recent.add(e, size, keptEntries, keptEntryBytes)
	l.admit(&configpb.AppliedRequest{
		RequestId: e.GetRequestId(),
		Revision:  e.GetRevision(),
		TimeMs:    e.GetTimeMs(),
		Digest:    digest(e.GetChange()),
	})
	return nil
}

// admit remembers a request and forgets those past the retention. Times come from the log,
// so that all replicas forget the same requests.
func (l *ledger) admit(r *configpb.AppliedRequest) {
	l.requests[r.GetRequestId()] = r
	l.order = append(l.order, r)
	for len(l.order) > 1 && expired(l.order[0], r) {
		if l.requests[l.order[0].GetRequestId()] == l.order[0] {
			delete(l.requests, l.order[0].GetRequestId())
		}
		l.order[0] = nil
		l.order = l.order[1:]
	}
}

func expired(old, newest *configpb.AppliedRequest) bool {
	if newest.GetRevision()-old.GetRevision() >= requestRevisions {
		return true
	}
	return newest.GetTimeMs()-old.GetTimeMs() >= requestRetention.Milliseconds()
}

// verdict answers a request whose id is in the table; ok is false if it is not.
func (l *ledger) verdict(id string, c *configpb.Change) (reply *configpb.ApplyReply, ok bool) {
	known, ok := l.requests[id]
	if !ok {
		return nil, false
	}
	if known.GetDigest() != digest(c) {
		return reusedID(), true
	}
	return accepted(known.GetRevision()), true
}

// snapshot returns the log snapshot at the oldest kept document, and the first revision
// that it does not cover.
func (l *ledger) snapshot() (floor uint64, data []byte, err error) {
	oldest := l.oldest()
	snapshot := &configpb.LogSnapshot{Document: oldest}
	for _, r := range l.order {
		if r.GetRevision() <= oldest.GetRevision() {
			snapshot.Requests = append(snapshot.Requests, r)
		}
	}
	for _, e := range l.recent.items {
		if e.GetRevision() <= oldest.GetRevision() {
			snapshot.Recent = append(snapshot.Recent, e)
		}
	}
	data, err = proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return oldest.GetRevision() + 1, data, errors.Wrap(err, "encode the snapshot of the configuration log; report this as a defect")
}

func digest(c *configpb.Change) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	invariant.Check(err == nil, "configuration.change-encodes", "%v", err)
	return xxhash.Sum64(data)
}
