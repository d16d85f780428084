package records

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
	"github.com/tarragonmux/tarragonmux/proto/recordspb"
)

const (
	// claimTimeout bounds one proposal of a claim.
	claimTimeout = 2 * time.Second
	// readTimeout bounds one read of a chain.
	readTimeout = time.Second
	// maxRounds bounds how many transitions one request follows, since other requests may change the
	// record concurrently.
	maxRounds = 16
	// unavailableRetryAfter is when a caller may try again while no majority of the replicas responds.
	unavailableRetryAfter = time.Second
	logPrefix             = "records"
)

// Options configures a Claimer.
type Options struct {
	// Node, Incarnation and Address identify this node. Other nodes send their queries to Address, which
	// is the node's fleet address.
	Node        string
	Incarnation uint64
	Address     string
	Proposer    agreement.Proposer
	PeerClient  PeerClient
	// Logger may be nil.
	Logger *log.Logger
}

// Claimer claims operations for this node. It is safe for concurrent use.
type Claimer struct {
	options  Options
	attempts *Attempts
	recorder *recorder
	sequence atomic.Uint64
}

var _ attempt.Claimer = (*Claimer)(nil)

// New returns a Claimer without any attempts.
func New(o Options) *Claimer {
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	o.Logger = o.Logger.WithPrefix(logPrefix)
	attempts := NewAttempts(o.Incarnation)
	return &Claimer{
		options:  o,
		attempts: attempts,
		recorder: newRecorder(o.Proposer, attempts, o.Logger),
	}
}

// Attempts returns the table of this node's attempts, which serves the queries of other nodes.
func (c *Claimer) Attempts() *Attempts { return c.attempts }

// Drain waits until no outcome is waiting to be recorded. It returns an error only if the context ends
// first.
func (c *Claimer) Drain(ctx context.Context) error { return c.recorder.drain(ctx) }

// Close stops the recorder. Outcomes that are not recorded by then stay unknown to other nodes.
func (c *Claimer) Close() { c.recorder.close() }

// Claim claims the operation for this node, or returns the response of an earlier attempt.
// Errors are *problem.Problem of the kinds key-reuse, in-progress, outcome-unknown and
// records-unavailable, and of the kind internal if the record is corrupt.
func (c *Claimer) Claim(ctx context.Context, op attempt.Operation) (attempt.Result, error) {
	cr := &claimRequest{Claimer: c, op: op, chain: chainPrefixOf(op), record: record{next: 1}}
	result, refusal := cr.run(ctx)
	if refusal != nil {
		return attempt.Result{}, refusal
	}
	return result, nil
}

// claimRequest is one call of Claim. It follows the record's transitions until the operation is
// claimed, its response can be replayed or the request is refused.
type claimRequest struct {
	*Claimer
	op     attempt.Operation
	chain  string
	record record
}

func (cr *claimRequest) run(ctx context.Context) (attempt.Result, *problem.Problem) {
	for range maxRounds {
		if cr.record.claim != nil && !cr.record.matches(cr.op) {
			return attempt.Result{}, problem.New(problem.KeyReuse, problem.NotRun, "")
		}
		result, refusal := cr.step(ctx)
		if refusal != nil || result != (attempt.Result{}) {
			return result, refusal
		}
	}
	return attempt.Result{}, problem.New(problem.OutcomeUnknown, problem.Unknown, "Other requests with the same key keep changing the record")
}

// step acts on the record's phase. If it returns neither a result nor a refusal, the record has changed and
// the caller must act on it again.
func (cr *claimRequest) step(ctx context.Context) (attempt.Result, *problem.Problem) {
	switch cr.record.phase {
	case done:
		return attempt.Result{Replay: responseFromProto(cr.record.response)}, nil
	case unknown:
		return attempt.Result{}, problem.New(problem.OutcomeUnknown, problem.Unknown, "An earlier request with this key may have run")
	case claimed:
		return cr.resolveClaimed(ctx)
	default:
		return cr.proposeClaim(ctx)
	}
}

// proposeClaim proposes a claim as the record's next transition.
func (cr *claimRequest) proposeClaim(ctx context.Context) (attempt.Result, *problem.Problem) {
	local := newLocalAttempt(cr.chain, cr.newAttemptID(), time.Now())
	cr.attempts.add(local)
	index := cr.record.next
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decided, err := cr.options.Proposer.ProposeFast(bounded, cr.chain, index, encode(cr.claimTransition(local)))
	if err == nil {
		return cr.handleDecision(ctx, local, index, decided)
	}
	refusal := cr.rereadAfterFailure(ctx, err)
	if refusal == nil && cr.record.phase == claimed && cr.record.claim.GetAttempt() == local.id {
		// The read completed this node's own proposal.
		return attempt.Result{Claim: &claim{claimer: cr.Claimer, attempt: local, index: index}}, nil
	}
	// The proposal may still be decided later. Since the attempt is marked as abandoned, a later request
	// can then record that and claim the operation itself.
	local.finish(endedAbandoned, nil)
	cr.attempts.markEnded(local)
	return attempt.Result{}, refusal
}

// handleDecision handles the transition that was decided at the index where this node proposed its
// claim.
func (cr *claimRequest) handleDecision(ctx context.Context, local *localAttempt, index uint64, value []byte) (attempt.Result, *problem.Problem) {
	t := &recordspb.Transition{}
	if err := proto.Unmarshal(value, t); err != nil {
		return attempt.Result{}, corruptProblem()
	}
	if t.GetClaimed().GetAttempt() == local.id {
		return attempt.Result{Claim: &claim{claimer: cr.Claimer, attempt: local, index: index}}, nil
	}
	// Another value was decided for this register, and decisions are final, so no node will ever query
	// this attempt.
	local.finish(endedAbandoned, nil)
	cr.attempts.forget(local)
	if _, err := cr.readRecord(ctx); errors.Is(err, errCorrupt) {
		return attempt.Result{}, corruptProblem()
	}
	if cr.record.next > index {
		return attempt.Result{}, nil
	}
	// The record could not be read up to this index, but the decided transition is known.
	if !cr.record.allows(t) {
		return attempt.Result{}, corruptProblem()
	}
	cr.record.apply(t)
	return attempt.Result{}, nil
}

func (cr *claimRequest) newAttemptID() string {
	return fmt.Sprintf("%s/%d/%d", cr.options.Node, cr.options.Incarnation, cr.sequence.Add(1))
}

func (cr *claimRequest) claimTransition(local *localAttempt) *recordspb.Transition {
	return &recordspb.Transition{
		TimeMs: local.created.UnixMilli(),
		Kind: &recordspb.Transition_Claimed{Claimed: &recordspb.Claimed{
			Attempt:     local.id,
			Node:        cr.options.Node,
			Incarnation: cr.options.Incarnation,
			Address:     cr.options.Address,
			Team:        cr.op.Team,
			Fingerprint: cr.op.Fingerprint[:],
		}},
	}
}

// readRecord updates cr.record from its chain. It reports whether a further transition may have been
// decided that the read could not determine. On an error cr.record is unchanged.
func (cr *claimRequest) readRecord(ctx context.Context) (undecided bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	chain, err := cr.options.Proposer.Read(ctx, cr.chain, 1)
	if err != nil {
		return false, errors.WithMessage(err, "read the record of an operation")
	}
	updated, err := recordFromChain(chain)
	if err != nil {
		return false, err
	}
	cr.record = updated
	return chain.Undecided, nil
}

// rereadAfterFailure reads the record after a proposal whose decision is not known. It returns nil if
// the record's state is known afterwards, and otherwise the refusal.
func (cr *claimRequest) rereadAfterFailure(ctx context.Context, err error) *problem.Problem {
	if errors.Is(err, agreement.ErrNoQuorum) {
		return unavailableProblem()
	}
	undecided, err := cr.readRecord(ctx)
	switch {
	case errors.Is(err, errCorrupt):
		return corruptProblem()
	case errors.Is(err, agreement.ErrNoQuorum):
		return unavailableProblem()
	case err != nil, undecided && cr.record.phase != claimed:
		// The claim of another request may have been decided at the index whose decision is unknown.
		return problem.New(problem.OutcomeUnknown, problem.Unknown, "The control replicas did not decide in time which request with this key may run")
	default:
		return nil
	}
}

// recordAbandoned records that the claimed attempt is abandoned, after its node has confirmed it.
func (cr *claimRequest) recordAbandoned(ctx context.Context) *problem.Problem {
	t := &recordspb.Transition{
		TimeMs: time.Now().UnixMilli(),
		Kind:   &recordspb.Transition_Abandoned{Abandoned: &recordspb.Abandoned{Attempt: cr.record.claim.GetAttempt()}},
	}
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decided, err := cr.options.Proposer.Propose(bounded, cr.chain, cr.record.next, encode(t))
	if err != nil {
		return cr.rereadAfterFailure(ctx, err)
	}
	final := &recordspb.Transition{}
	err = proto.Unmarshal(decided, final)
	if !invariant.Check(err == nil && final.GetAbandoned().GetAttempt() == attemptIDOf(t), "records.abandoned-is-final", "confirmed as abandoned, decided %v", final) {
		return corruptProblem()
	}
	cr.record.apply(final)
	return nil
}

func unavailableProblem() *problem.Problem {
	return problem.New(problem.RecordsUnavailable, problem.NotRun, "").After(unavailableRetryAfter)
}

func corruptProblem() *problem.Problem {
	return problem.New(problem.Internal, problem.Unknown, errCorrupt.Error())
}

// attemptRequest returns a query about the claimed attempt of a record.
func attemptRequest(chain string, claim *recordspb.Claimed, wait time.Duration) *fleetpb.AttemptRequest {
	return &fleetpb.AttemptRequest{
		Key:         chain,
		Attempt:     claim.GetAttempt(),
		Incarnation: claim.GetIncarnation(),
		WaitMs:      wait.Milliseconds(),
	}
}
