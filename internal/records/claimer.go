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
	// maxRounds bounds how many transitions one claim follows, since others may race with it.
	maxRounds = 16
	// unavailableRetry is when a caller may try again while no majority answers.
	unavailableRetry = time.Second
	logPrefix        = "records"
)

// Options set a Claimer.
type Options struct {
	// Node, Incarnation and Address identify this node; other nodes ask at the address, which is its fleet address.
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

// New returns a claimer without attempts.
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

// Attempts returns the attempts of this node, which answer the queries of other nodes.
func (c *Claimer) Attempts() *Attempts { return c.attempts }

// Drain waits until all outcomes are recorded. Errors: the context's.
func (c *Claimer) Drain(ctx context.Context) error { return c.recorder.drain(ctx) }

// Close stops recording. Outcomes that are not recorded are unknown to others from then on.
func (c *Claimer) Close() { c.recorder.close() }

// Claim claims the operation for this node, or returns the answer of an earlier attempt.
// Errors are *problem.Problem of the kinds key-reuse, in-progress, outcome-unknown and
// records-unavailable.
func (c *Claimer) Claim(ctx context.Context, op attempt.Operation) (attempt.Result, error) {
	f := &follower{Claimer: c, op: op, chain: chainOf(op), state: record{next: 1}}
	result, refusal := f.run(ctx)
	if refusal != nil {
		return attempt.Result{}, refusal
	}
	return result, nil
}

// follower follows one record until the operation is claimed, answered or refused.
type follower struct {
	*Claimer
	op    attempt.Operation
	chain string
	state record
}

func (f *follower) run(ctx context.Context) (attempt.Result, *problem.Problem) {
	for range maxRounds {
		if f.state.claim != nil && !f.state.belongs(f.op) {
			return attempt.Result{}, problem.New(problem.KeyReuse, problem.NotRun, "")
		}
		result, refusal := f.step(ctx)
		if refusal != nil || result != (attempt.Result{}) {
			return result, refusal
		}
	}
	return attempt.Result{}, problem.New(problem.OutcomeUnknown, problem.Unknown, "Other requests with the same key keep changing the record")
}

// step acts on the record's phase. With neither a result nor a refusal the state has changed.
func (f *follower) step(ctx context.Context) (attempt.Result, *problem.Problem) {
	switch f.state.phase {
	case done:
		return attempt.Result{Replay: answerFromProto(f.state.answer)}, nil
	case unknown:
		return attempt.Result{}, problem.New(problem.OutcomeUnknown, problem.Unknown, "An earlier request with this key may have run")
	case claimed:
		return f.resolve(ctx)
	default:
		return f.claim(ctx)
	}
}

// claim proposes a claim as the record's next transition.
func (f *follower) claim(ctx context.Context) (attempt.Result, *problem.Problem) {
	e := newEntry(f.chain, f.newAttempt(), time.Now())
	f.attempts.add(e)
	index := f.state.next
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decided, err := f.options.Proposer.ProposeFast(bounded, f.chain, index, encode(f.claimed(e)))
	if err == nil {
		return f.decided(ctx, e, index, decided)
	}
	refusal := f.afterFailure(ctx, err)
	if refusal == nil && f.state.phase == claimed && f.state.claim.GetAttempt() == e.attempt {
		// The reading completed this node's own proposal.
		return attempt.Result{Claim: &claim{claimer: f.Claimer, entry: e, index: index}}, nil
	}
	// The proposal may be decided later. The mark lets a later request clear it.
	e.finish(endedAbandoned, nil)
	f.attempts.end(e)
	return attempt.Result{}, refusal
}

// decided goes on from the transition that was decided where this node proposed its claim.
func (f *follower) decided(ctx context.Context, e *entry, index uint64, value []byte) (attempt.Result, *problem.Problem) {
	t := &recordspb.Transition{}
	if err := proto.Unmarshal(value, t); err != nil {
		return attempt.Result{}, corrupt()
	}
	if t.GetClaimed().GetAttempt() == e.attempt {
		return attempt.Result{Claim: &claim{claimer: f.Claimer, entry: e, index: index}}, nil
	}
	// The register holds another value for good, so nobody will ever ask about this attempt.
	e.finish(endedAbandoned, nil)
	f.attempts.forget(e)
	if _, err := f.read(ctx); errors.Is(err, errCorrupt) {
		return attempt.Result{}, corrupt()
	}
	if f.state.next > index {
		return attempt.Result{}, nil
	}
	// The record cannot be read at present, but this much of it is known.
	if !f.state.follows(t) {
		return attempt.Result{}, corrupt()
	}
	f.state.apply(t)
	return attempt.Result{}, nil
}

func (f *follower) newAttempt() string {
	return fmt.Sprintf("%s/%d/%d", f.options.Node, f.options.Incarnation, f.sequence.Add(1))
}

func (f *follower) claimed(e *entry) *recordspb.Transition {
	return &recordspb.Transition{
		TimeMs: e.created.UnixMilli(),
		Kind: &recordspb.Transition_Claimed{Claimed: &recordspb.Claimed{
			Attempt:     e.attempt,
			Node:        f.options.Node,
			Incarnation: f.options.Incarnation,
			Address:     f.options.Address,
			Team:        f.op.Team,
			Fingerprint: f.op.Fingerprint[:],
		}},
	}
}

// read brings the state up to date and tells whether a further transition may be decided
// but is not known. The state is unchanged on an error.
func (f *follower) read(ctx context.Context) (undecided bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	chain, err := f.options.Proposer.Read(ctx, f.chain, 1)
	if err != nil {
		return false, errors.WithMessage(err, "read the record of an operation")
	}
	state, err := fold(chain)
	if err != nil {
		return false, err
	}
	f.state = state
	return chain.Undecided, nil
}

// afterFailure reads the record after a proposal without a known decision. It returns nil
// if the state is known, or else the refusal.
func (f *follower) afterFailure(ctx context.Context, err error) *problem.Problem {
	if errors.Is(err, agreement.ErrNoQuorum) {
		return unavailable()
	}
	undecided, err := f.read(ctx)
	switch {
	case errors.Is(err, errCorrupt):
		return corrupt()
	case errors.Is(err, agreement.ErrNoQuorum):
		return unavailable()
	case err != nil, undecided && f.state.phase != claimed:
		// Another request's claim may be decided where this one's vote is open.
		return problem.New(problem.OutcomeUnknown, problem.Unknown, "The control replicas did not decide in time which request with this key may run")
	default:
		return nil
	}
}

// clear records that the claimed attempt is abandoned, as its node has confirmed.
func (f *follower) clear(ctx context.Context) *problem.Problem {
	t := &recordspb.Transition{
		TimeMs: time.Now().UnixMilli(),
		Kind:   &recordspb.Transition_Abandoned{Abandoned: &recordspb.Abandoned{Attempt: f.state.claim.GetAttempt()}},
	}
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decided, err := f.options.Proposer.Propose(bounded, f.chain, f.state.next, encode(t))
	if err != nil {
		return f.afterFailure(ctx, err)
	}
	outcome := &recordspb.Transition{}
	err = proto.Unmarshal(decided, outcome)
	if !invariant.Check(err == nil && outcome.GetAbandoned().GetAttempt() == attemptOf(t), "records.abandoned-is-final", "confirmed as abandoned, decided %v", outcome) {
		return corrupt()
	}
	f.state.apply(outcome)
	return nil
}

func unavailable() *problem.Problem {
	return problem.New(problem.RecordsUnavailable, problem.NotRun, "").After(unavailableRetry)
}

func corrupt() *problem.Problem {
	return problem.New(problem.Internal, problem.Unknown, errCorrupt.Error())
}

// attemptRequest asks about the claimed attempt of a record.
func attemptRequest(chain string, claim *recordspb.Claimed, wait time.Duration) *fleetpb.AttemptRequest {
	return &fleetpb.AttemptRequest{
		Key:         chain,
		Attempt:     claim.GetAttempt(),
		Incarnation: claim.GetIncarnation(),
		WaitMs:      wait.Milliseconds(),
	}
}
