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
	// requestRetention is how long a request id is kept, measured by the wall-clock times in the log.
	requestRetention = 24 * time.Hour
	// requestRetentionRevisions is the number of revisions for which a request id is kept.
	requestRetentionRevisions = 10_000
	// retainedDocuments is the number of newest documents kept to validate resends.
	retainedDocuments = 32
	// retainedDocumentBytes bounds the total size of the changes between these documents, since each
	// change can replace the whole document.
	retainedDocumentBytes = 4 << 20
	// retainedEntries is the number of newest entries kept for the history.
	retainedEntries = 256
	// retainedEntryBytes bounds the total size of these entries.
	retainedEntryBytes = 1 << 20
)

// stateMachine is the state derived from the log. It is deterministic: the same entries give the
// same state on every replica. It is not safe for concurrent use.
type stateMachine struct {
	// documents holds the newest documents, with consecutive revisions, oldest first; never empty.
	documents window[*configpb.Document]
	// requests is keyed by request id; requestsByRevision holds the same requests, oldest first.
	requests           map[string]*configpb.AppliedRequest
	requestsByRevision []*configpb.AppliedRequest
	// recent holds the newest entries, with consecutive revisions, oldest first.
	recent window[*configpb.Entry]
}

// window keeps the newest items up to a maximum number and a maximum total size.
type window[T any] struct {
	items []T
	sizes []int
	bytes int
}

// add appends an item and drops the oldest ones beyond the limits, but always keeps the newest.
func (w *window[T]) add(item T, size, maxItems, maxBytes int) {
	w.items = append(w.items, item)
	w.sizes = append(w.sizes, size)
	w.bytes += size
	for len(w.items) > 1 && (len(w.items) > maxItems || w.bytes > maxBytes) {
		var zero T
		w.items[0] = zero
		w.bytes -= w.sizes[0]
		w.items, w.sizes = w.items[1:], w.sizes[1:]
	}
}

func newStateMachine() *stateMachine {
	return stateMachineOf(configuration.Empty())
}

func stateMachineOf(d *configpb.Document) *stateMachine {
	l := &stateMachine{requests: map[string]*configpb.AppliedRequest{}}
	l.documents.add(d, 0, retainedDocuments, retainedDocumentBytes)
	return l
}

// restoreStateMachine decodes a log snapshot. Empty data gives the state before the first entry.
func restoreStateMachine(data []byte) (*stateMachine, error) {
	snapshot := &configpb.LogSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, errors.Wrap(err, "decode the snapshot of the configuration log; replace this control replica")
	}
	l := newStateMachine()
	if snapshot.GetDocument() != nil {
		l = stateMachineOf(snapshot.GetDocument())
	}
	for _, request := range snapshot.GetRequests() {
		l.recordRequest(request)
	}
	for _, e := range snapshot.GetRecent() {
		l.recent.add(e, proto.Size(e), retainedEntries, retainedEntryBytes)
	}
	return l, nil
}

// document returns the newest document.
func (l *stateMachine) document() *configpb.Document {
	return l.documents.items[len(l.documents.items)-1]
}

// revision returns the newest revision.
func (l *stateMachine) revision() uint64 {
	return l.document().GetRevision()
}

// oldest returns the oldest retained document.
func (l *stateMachine) oldest() *configpb.Document {
	return l.documents.items[0]
}

// documentAt returns the document at a revision; ok is false if it is not retained.
func (l *stateMachine) documentAt(revision uint64) (d *configpb.Document, ok bool) {
	first := l.oldest().GetRevision()
	if revision < first || revision > l.revision() {
		return nil, false
	}
	return l.documents.items[revision-first], true
}

// apply adds the next entry.
func (l *stateMachine) apply(e *configpb.Entry) error {
	rejection := configuration.Validate(l.document(), e.GetChange())
	invariant.Check(rejection == nil, "configuration.entry-valid", "revision %d: %v", e.GetRevision(), rejection)
	_, repeated := l.requests[e.GetRequestId()]
	invariant.Check(!repeated, "configuration.request-accepted-once", "request %s again at revision %d", e.GetRequestId(), e.GetRevision())
	next, err := configuration.Apply(l.document(), e)
	if err != nil {
		return err
	}
	size := proto.Size(e)
	l.documents.add(next, size, retainedDocuments, retainedDocumentBytes)
	l.recent.add(e, size, retainedEntries, retainedEntryBytes)
	l.recordRequest(&configpb.AppliedRequest{
		RequestId: e.GetRequestId(),
		Revision:  e.GetRevision(),
		TimeMs:    e.GetTimeMs(),
		Digest:    changeDigest(e.GetChange()),
	})
	return nil
}

// recordRequest stores a request and removes those past the retention. The times come from the
// log, so that all replicas remove the same requests.
func (l *stateMachine) recordRequest(r *configpb.AppliedRequest) {
	l.requests[r.GetRequestId()] = r
	l.requestsByRevision = append(l.requestsByRevision, r)
	for len(l.requestsByRevision) > 1 && expired(l.requestsByRevision[0], r) {
		if l.requests[l.requestsByRevision[0].GetRequestId()] == l.requestsByRevision[0] {
			delete(l.requests, l.requestsByRevision[0].GetRequestId())
		}
		l.requestsByRevision[0] = nil
		l.requestsByRevision = l.requestsByRevision[1:]
	}
}

func expired(old, newest *configpb.AppliedRequest) bool {
	if newest.GetRevision()-old.GetRevision() >= requestRetentionRevisions {
		return true
	}
	return newest.GetTimeMs()-old.GetTimeMs() >= requestRetention.Milliseconds()
}

// recordedReply returns the reply to a request whose id is in the table; ok is false if it is not.
func (l *stateMachine) recordedReply(id string, c *configpb.Change) (reply *configpb.ApplyReply, ok bool) {
	known, ok := l.requests[id]
	if !ok {
		return nil, false
	}
	if known.GetDigest() != changeDigest(c) {
		return reusedID(), true
	}
	return accepted(known.GetRevision()), true
}

// snapshot returns the log snapshot at the oldest retained document, and the first revision
// that it does not cover.
func (l *stateMachine) snapshot() (floor uint64, data []byte, err error) {
	oldest := l.oldest()
	snapshot := &configpb.LogSnapshot{Document: oldest}
	for _, r := range l.requestsByRevision {
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

func changeDigest(c *configpb.Change) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	invariant.Check(err == nil, "configuration.change-encodes", "%v", err)
	return xxhash.Sum64(data)
}
