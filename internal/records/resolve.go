package records

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// queryWait is how long the claiming node may hold one query about a running attempt.
	queryWait = time.Second
	// queryGrace is how long after the wait the answer must have arrived.
	queryGrace = 500 * time.Millisecond
	// deadlineMargin is kept before the caller's deadline, to tell it that the work still runs.
	deadlineMargin = 50 * time.Millisecond
	// queryTries is how often a failed query is tried, since a pooled connection may have broken.
	queryTries = 2
	// inProgressRetry is when a caller may ask again about running work.
	inProgressRetry = 500 * time.Millisecond
)

// resolve asks the claiming node about the attempt that holds the record.
func (f *follower) resolve(ctx context.Context) (attempt.Result, *problem.Problem) {
	for {
		reply, err := f.query(ctx)
		if err != nil {
			return attempt.Result{}, f.recheck(ctx)
		}
		switch reply.GetState() {
		case stateDone:
			return attempt.Result{Replay: answerFromProto(reply.GetAnswer())}, nil
		case stateAbandoned:
			return attempt.Result{}, f.clear(ctx)
		case stateRunning:
			// Waits are told in whole milliseconds; a shorter one would ask again without a pause.
			if left(ctx) < deadlineMargin+time.Millisecond {
				return attempt.Result{}, inProgress()
			}
		default:
			return attempt.Result{}, f.recheck(ctx)
		}
	}
}

// recheck reads the record again when the claiming node could not tell: it may have
// recorded the outcome and forgotten the attempt meanwhile.
func (f *follower) recheck(ctx context.Context) *problem.Problem {
	before := f.state.next
	_, err := f.read(ctx)
	if errors.Is(err, errCorrupt) {
		return corrupt()
	}
	if err == nil && f.state.next > before {
		return nil
	}
	return problem.New(problem.OutcomeUnknown, problem.Unknown, "The host that runs an earlier request with this key cannot be asked")
}

// query asks the claiming node, or this node's own table.
func (f *follower) query(ctx context.Context) (*fleetpb.AttemptReply, error) {
	wait := max(0, min(queryWait, left(ctx)-deadlineMargin))
	request := attemptRequest(f.chain, f.state.claim, wait)
	if f.state.claim.GetNode() == f.options.Node {
		return f.attempts.Attempt(ctx, request)
	}
	var err error
	for range queryTries {
		var reply *fleetpb.AttemptReply
		reply, err = f.queryOnce(ctx, request, wait+queryGrace)
		if err == nil {
			return reply, nil
		}
	}
	return nil, err
}

func (f *follower) queryOnce(ctx context.Context, r *fleetpb.AttemptRequest, timeout time.Duration) (*fleetpb.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.options.PeerClient.Attempt(ctx, f.state.claim.GetAddress(), r)
}

// left returns the time to the context's end; a context without a deadline counts as queryWait twice.
func left(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return 2 * queryWait
	}
	return time.Until(deadline)
}

func inProgress() *problem.Problem {
	return problem.New(problem.InProgress, problem.Unknown, "").After(inProgressRetry)
}
