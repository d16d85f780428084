package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/bootclock"
	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// DefaultHistoryLimit is the number of entries that History returns if the request sets no limit.
	DefaultHistoryLimit = 20
	// maxRequestBytes bounds one request, since a register holds at most 8 MiB.
	maxRequestBytes = 7 << 20
)

// ErrNoGroup means that this process cannot change the group of control replicas.
var ErrNoGroup = errors.New("this process runs no control replica; send the request to a control replica")

var (
	_ configpb.DRPCOperatorServer = (*Log)(nil)
	_ configpb.DRPCFeedServer     = (*Log)(nil)
)

// Apply validates and proposes one change. The verdict is in the reply; the error is always nil.
func (l *Log) Apply(ctx context.Context, r *configpb.ApplyRequest) (*configpb.ApplyReply, error) {
	if rejection := checkRequest(r); rejection != nil {
		return rejected(rejection), nil
	}
	select {
	case l.proposeSem <- struct{}{}:
		defer func() { <-l.proposeSem }()
	case <-ctx.Done():
		return unavailable(), nil
	}
	reply := l.apply(ctx, r)
	if reply.GetVerdict() == configpb.Verdict_VERDICT_ACCEPTED {
		reply.Warnings = l.warnings(servicesOf(r.GetChange()))
	}
	return reply, nil
}

func checkRequest(r *configpb.ApplyRequest) *configuration.Rejection {
	if _, err := uuid.Parse(r.GetRequestId()); err != nil {
		return &configuration.Rejection{Field: "request_id", Reason: "it is not a UUID", Remedy: "set a new random UUID for each change, and keep it when sending the change again"}
	}
	if size := proto.Size(r); size > maxRequestBytes {
		return &configuration.Rejection{Field: "change", Reason: fmt.Sprintf("it takes %d bytes, the most is %d", size, maxRequestBytes), Remedy: "split it into several changes"}
	}
	return nil
}

func (l *Log) apply(ctx context.Context, r *configpb.ApplyRequest) *configpb.ApplyReply {
	// The request may have been accepted through another replica, so the chain is read even if
	// this replica already knows that the next revision is taken.
	undecided, err := l.readChain(ctx)
	if err != nil {
		return l.recordedReplyOr(r, unavailable())
	}
	reply := l.decideLocally(r)
	if reply == nil {
		return l.propose(ctx, r)
	}
	if undecided && reply.GetVerdict() == configpb.Verdict_VERDICT_CONFLICT {
		// The undecided register may hold an accepted change, so the current revision is unknown.
		return unavailable()
	}
	return reply
}

// recordedReplyOr returns the recorded reply for the request id, or the fallback if there is none.
func (l *Log) recordedReplyOr(r *configpb.ApplyRequest, fallback *configpb.ApplyReply) *configpb.ApplyReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply, known := l.state.recordedReply(r.GetRequestId(), r.GetChange()); known {
		return reply
	}
	return fallback
}

// decideLocally returns the reply if it follows from the state of this replica, or nil if the change
// must be proposed.
func (l *Log) decideLocally(r *configpb.ApplyRequest) *configpb.ApplyReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply, known := l.state.recordedReply(r.GetRequestId(), r.GetChange()); known {
		return reply
	}
	if r.GetExpectedRevision() > l.state.revision() {
		return conflict(l.state.revision())
	}
	base, retained := l.state.documentAt(r.GetExpectedRevision())
	if !retained {
		return conflict(l.state.revision())
	}
	if rejection := configuration.Validate(base, r.GetChange()); rejection != nil {
		return rejected(rejection)
	}
	if r.GetExpectedRevision() < l.state.revision() {
		return conflict(l.state.revision())
	}
	if rejection := l.checkHostsChange(base, r.GetChange()); rejection != nil {
		return rejected(rejection)
	}
	return nil
}

func (l *Log) propose(ctx context.Context, r *configpb.ApplyRequest) *configpb.ApplyReply {
	entry := &configpb.Entry{
		Revision:  r.GetExpectedRevision() + 1,
		RequestId: r.GetRequestId(),
		Author:    r.GetAuthor(),
		TimeMs:    time.Now().UnixMilli(),
		Change:    r.GetChange(),
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(entry)
	if err != nil {
		return rejected(&configuration.Rejection{Field: "change", Reason: err.Error(), Remedy: "correct the change"})
	}
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	decided, err := l.options.Proposer.Propose(proposeCtx, Prefix, entry.GetRevision(), value)
	switch {
	case errors.Is(err, agreement.ErrNoQuorum):
		return unavailable()
	case errors.Is(err, agreement.ErrCompacted):
		return l.replyAfterConflict(ctx, r)
	case err != nil:
		return unknownOutcome()
	}
	if err := l.applyChain(agreement.Chain{Decided: []agreement.Register{{Index: entry.GetRevision(), Value: decided}}}); err != nil {
		l.options.Logger.Error("cannot apply a decided revision", "revision", entry.GetRevision(), "err", logging.Err(err))
	}
	return l.replyAfterDecision(ctx, r, decided)
}

// replyAfterDecision returns the reply that follows from the entry that was decided for the register.
func (l *Log) replyAfterDecision(ctx context.Context, r *configpb.ApplyRequest, decided []byte) *configpb.ApplyReply {
	decidedEntry := &configpb.Entry{}
	if err := proto.Unmarshal(decided, decidedEntry); err != nil || decidedEntry.GetRequestId() != r.GetRequestId() {
		return l.replyAfterConflict(ctx, r)
	}
	if !proto.Equal(decidedEntry.GetChange(), r.GetChange()) {
		return reusedID()
	}
	return accepted(decidedEntry.GetRevision())
}

// replyAfterConflict returns the reply if another entry was decided. The conflict contains the
// newest revision, so that the operator can base the next change on it. If that revision cannot be
// read, the outcome is unknown and a resend returns it.
func (l *Log) replyAfterConflict(ctx context.Context, r *configpb.ApplyRequest) *configpb.ApplyReply {
	if err := l.catchUp(ctx); err != nil {
		l.options.Logger.Debug("could not read the configuration log after a conflict", "err", logging.Err(err))
		return l.recordedReplyOr(r, unknownOutcome())
	}
	return l.recordedReplyOr(r, conflict(l.Revision()))
}

// Get returns the newest document, confirmed by a majority.
// It fails if no majority of the control replicas responds.
func (l *Log) Get(ctx context.Context, _ *configpb.GetRequest) (*configpb.GetReply, error) {
	if err := l.catchUp(ctx); err != nil {
		return nil, err
	}
	return &configpb.GetReply{Document: l.Document()}, nil
}

// History returns the newest entries, newest first.
// It fails if no majority of the control replicas responds.
func (l *Log) History(ctx context.Context, r *configpb.HistoryRequest) (*configpb.HistoryReply, error) {
	if err := l.catchUp(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := int(r.GetLimit())
	if limit == 0 {
		limit = DefaultHistoryLimit
	}
	recent := l.state.recent.items
	recent = slices.Clone(recent[max(0, len(recent)-limit):])
	slices.Reverse(recent)
	return &configpb.HistoryReply{Entries: recent}, nil
}

// Status returns the local state of this replica. It works without a majority.
func (l *Log) Status(_ context.Context, _ *configpb.StatusRequest) (*configpb.StatusReply, error) {
	document := l.Document()
	reply := &configpb.StatusReply{Revision: document.GetRevision(), Hosts: l.hostStatuses(document)}
	reply.Warnings = l.warnings(document.GetServices())
	if l.options.Group != nil {
		reply.ReplicaState = l.options.Group.State()
	}
	return reply, nil
}

// ReplaceControl removes one control replica and adds another.
// Errors: ErrNoGroup, and those of Group.Replace.
func (l *Log) ReplaceControl(ctx context.Context, r *configpb.ReplaceControlRequest) (*configpb.ReplaceControlReply, error) {
	if l.options.Group == nil {
		return nil, ErrNoGroup
	}
	epoch, err := l.options.Group.Replace(ctx, r.GetRemoveId(), r.GetAddId(), r.GetAddAddress())
	if err != nil {
		return nil, errors.WithMessage(err, "replace a control replica")
	}
	return &configpb.ReplaceControlReply{Epoch: epoch}, nil
}

// Fetch serves the feed. For a request without a wait it first reads the chain from a majority, so that
// the reply is confirmed to be the newest; if no majority responds, the reply is unconfirmed.
func (l *Log) Fetch(ctx context.Context, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	arrived := bootclock.Now()
	confirmed := false
	if r.GetWaitMs() == 0 {
		confirmed = l.confirmUpToDate(ctx)
	}
	reply := l.tail.Fetch(ctx, r)
	reply.Confirmed = confirmed
	began, revision := l.lastRead()
	reply.CurrentRevision, reply.CurrentOffsetMs = revision, floorMs(began-arrived)
	return reply, nil
}

// floorMs rounds down to milliseconds, also below 0.
func floorMs(d time.Duration) int64 {
	ms := d.Milliseconds()
	if d < time.Duration(ms)*time.Millisecond {
		ms--
	}
	return ms
}

// confirmUpToDate reports whether a majority confirmed within confirmTimeout that the log is up to date.
func (l *Log) confirmUpToDate(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return l.catchUp(ctx) == nil
}

func accepted(revision uint64) *configpb.ApplyReply {
	return &configpb.ApplyReply{Verdict: configpb.Verdict_VERDICT_ACCEPTED, Revision: revision}
}

func rejected(r *configuration.Rejection) *configpb.ApplyReply {
	return &configpb.ApplyReply{Verdict: configpb.Verdict_VERDICT_REJECTED, Field: r.Field, Reason: r.Reason, Remedy: r.Remedy}
}

func reusedID() *configpb.ApplyReply {
	return rejected(&configuration.Rejection{
		Field:  "request_id",
		Reason: "it was used for another change",
		Remedy: "use a new request id for each change",
	})
}

func conflict(revision uint64) *configpb.ApplyReply {
	return &configpb.ApplyReply{
		Verdict:  configpb.Verdict_VERDICT_CONFLICT,
		Revision: revision,
		Field:    "expected_revision",
		Reason:   "another change holds the next revision",
		Remedy:   "get the current document and base the change on it, with a new request id",
	}
}

func unknownOutcome() *configpb.ApplyReply {
	return &configpb.ApplyReply{
		Verdict: configpb.Verdict_VERDICT_UNKNOWN,
		Reason:  "no majority of the control replicas answered in time, so the change may or may not be accepted later",
		Remedy:  "send the change again with the same request id",
	}
}

func unavailable() *configpb.ApplyReply {
	return &configpb.ApplyReply{
		Verdict: configpb.Verdict_VERDICT_UNAVAILABLE,
		Reason:  "no majority of the control replicas answers; the change was not proposed",
		Remedy:  "check the control hosts and their network, then send the change again",
	}
}
