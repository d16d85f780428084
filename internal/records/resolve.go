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
	// queryWait is how long the claiming node may delay its reply to one query about a running attempt.
	queryWait = time.Second
	// queryGrace is how much longer than its wait a query may take before it times out.
	queryGrace = 500 * time.Millisecond
	// deadlineMargin is how long before its deadline a request is refused as in progress, so that the refusal
	// reaches the caller in time.
	deadlineMargin = 50 * time.Millisecond
	// queryTries is the number of tries per query, since a pooled connection may have broken.
	queryTries = 2
	// inProgressRetryAfter is when a caller may resend a request whose operation is still running.
	inProgressRetryAfter = 500 * time.Millisecond
)

// resolveClaimed queries the claiming node until the attempt that holds the record has ended or the
// deadline is near. If it returns neither a result nor a refusal, the record has changed and the caller must
// act on it again.
func (cr *claimRequest) resolveClaimed(ctx context.Context) (attempt.Result, *problem.Problem) {
	for {
		reply, err := cr.queryAttempt(ctx)
		if err != nil {
			return attempt.Result{}, cr.rereadRecord(ctx)
		}
		switch reply.GetState() {
		case stateDone:
			return attempt.Result{Replay: responseFromProto(reply.GetAnswer())}, nil
		case stateAbandoned:
			return attempt.Result{}, cr.recordAbandoned(ctx)
		case stateRunning:
			// The wait is sent in whole milliseconds; one below 1 ms would be sent as 0, and the loop would
			// query again without a pause.
			if timeLeft(ctx) < deadlineMargin+time.Millisecond {
				return attempt.Result{}, inProgressProblem()
			}
		default:
			return attempt.Result{}, cr.rereadRecord(ctx)
		}
	}
}

// rereadRecord reads the record again when the claiming node could not be queried or does not know the
// attempt: it may have recorded the outcome and forgotten the attempt in the meantime.
func (cr *claimRequest) rereadRecord(ctx context.Context) *problem.Problem {
	previous := cr.record.next
	_, err := cr.readRecord(ctx)
	if errors.Is(err, errCorrupt) {
		return corruptProblem()
	}
	if err == nil && cr.record.next > previous {
		return nil
	}
	return problem.New(problem.OutcomeUnknown, problem.Unknown, "The host that runs an earlier request with this key cannot be asked")
}

// queryAttempt queries the claiming node, or the local table if that is this node.
func (cr *claimRequest) queryAttempt(ctx context.Context) (*fleetpb.AttemptReply, error) {
	wait := max(0, min(queryWait, timeLeft(ctx)-deadlineMargin))
	request := attemptRequest(cr.chain, cr.record.claim, wait)
	if cr.record.claim.GetNode() == cr.options.Node {
		return cr.attempts.Attempt(ctx, request)
	}
	var err error
	for range queryTries {
		var reply *fleetpb.AttemptReply
		reply, err = cr.queryPeer(ctx, request, wait+queryGrace)
		if err == nil {
			return reply, nil
		}
	}
	return nil, err
}

func (cr *claimRequest) queryPeer(ctx context.Context, r *fleetpb.AttemptRequest, timeout time.Duration) (*fleetpb.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return cr.options.PeerClient.Attempt(ctx, cr.record.claim.GetAddress(), r)
}

// timeLeft returns the time until the context's deadline, or twice queryWait if there is none.
func timeLeft(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return 2 * queryWait
	}
	return time.Until(deadline)
}

func inProgressProblem() *problem.Problem {
	return problem.New(problem.InProgress, problem.Unknown, "").After(inProgressRetryAfter)
}
