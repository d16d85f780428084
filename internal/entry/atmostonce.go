package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// atMostOnce claims non-idempotent work before it is sent and settles the claim afterwards.
type atMostOnce struct {
	next Filter
	cfg  *Config
}

// pendingClaim is a claim that is acquired concurrently with the grant.
type pendingClaim struct {
	cancel context.CancelFunc
	// grantCtx is the context for acquiring a grant. It is cancelled when the claim fails or the
	// operation already ran, since no grant is needed then.
	grantCtx context.Context
	// done is closed once result and err are set.
	done   chan struct{}
	result attempt.Result
	err    error
}

func newAtMostOnce(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &atMostOnce{next: next, cfg: cfg}, nil
}

// Handle passes on work that is idempotent or belongs to a keyless route. Other work needs an idempotency
// key, a buffered body and a claim.
func (f *atMostOnce) Handle(x *Exchange) error {
	x.initBody(f.cfg.Settings.BodyTimeout.D())
	key, ok := singleValue(x.r.Header, headerKey)
	if !ok || key != "" && !printable(key, MaxKeyBytes) {
		return problem.New(problem.BadRequest, problem.NotRun, "Idempotency-Key must be one value of at most 255 printable ASCII characters")
	}
	x.key = key
	if x.match.Idempotent || x.match.Keyless {
		return f.next.Handle(x)
	}
	if key == "" {
		return problem.New(problem.KeyRequired, problem.NotRun, "")
	}
	if err := x.bufferBody(x.match.BodyLimit); err != nil {
		return err
	}
	return f.handleWithClaim(x)
}

func (f *atMostOnce) handleWithClaim(x *Exchange) error {
	x.claim = f.startClaim(x)
	defer x.claim.cancel()
	finished := false
	defer func() {
		if !finished {
			// A filter panicked, so the work may have run.
			x.mayHaveRun = true
			f.finishClaim(x, problem.New(problem.Internal, problem.Unknown, ""))
		}
	}()
	err := f.next.Handle(x)
	finished = true
	return f.finishClaim(x, err)
}

func (f *atMostOnce) startClaim(x *Exchange) *pendingClaim {
	ctx, cancel := context.WithCancel(x.ctx)
	grantCtx, cancelGrant := context.WithCancel(ctx)
	c := &pendingClaim{cancel: cancel, grantCtx: grantCtx, done: make(chan struct{})}
	op := attempt.Operation{
		Service: x.match.Service, Route: x.match.Route, Key: x.key, Team: x.teamName, Fingerprint: operationFingerprint(x),
	}
	go func() {
		defer func() {
			close(c.done)
			if c.err != nil || c.result.Replay != nil {
				cancelGrant()
			}
		}()
		c.result, c.err = f.cfg.Claims.Claim(ctx, op)
	}()
	return c
}

// finishClaim settles the claim according to how the work ended, and returns the result for the caller.
// What the records say about the operation takes precedence over a refusal of this request.
func (f *atMostOnce) finishClaim(x *Exchange, err error) error {
	c := x.claim
	if err != nil {
		c.waitThenCancel()
	}
	<-c.done
	switch {
	case c.err != nil:
		return c.claimRefusalOr(err)
	case c.result.Replay != nil:
		if err == errCallerGone {
			return err
		}
		return replayResponse(x, c.result.Replay)
	case c.result.Claim == nil:
		return err
	case err == nil && x.record != nil:
		c.result.Claim.Done(*x.record)
	case !x.mayHaveRun:
		f.abandonClaim(x, c.result.Claim)
	default:
		c.result.Claim.Unknown()
	}
	return err
}

// waitThenCancel waits up to claimWaitTimeout for the claim and then cancels it. The claim shows whether
// the operation already ran; without the wait the caller could receive the outcome not-run for an
// operation that did run.
func (c *pendingClaim) waitThenCancel() {
	timer := time.NewTimer(claimWaitTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
	}
	c.cancel()
}

// claimRefusalOr returns the claim's refusal if according to it the operation ran or may have run, and
// otherwise the given error.
func (c *pendingClaim) claimRefusalOr(err error) error {
	var claimRefusal *problem.Problem
	if errors.As(c.err, &claimRefusal) && claimRefusal.Outcome != problem.NotRun {
		return claimRefusal
	}
	return err
}

// abandonClaim must finish before the caller receives the outcome not-run. It ignores the
// cancellation of the request's context, since it must also work after the caller has disconnected.
func (f *atMostOnce) abandonClaim(x *Exchange, claim attempt.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), abandonTimeout)
	defer cancel()
	claim.Abandon(ctx)
}

// await waits for the claim. It returns errReplay if the operation has a recorded response.
func (c *pendingClaim) await(x *Exchange) (attempt.Claim, error) {
	select {
	case <-c.done:
	case <-x.ctx.Done():
		return nil, x.contextError()
	}
	if c.err != nil {
		if x.ctx.Err() != nil {
			return nil, x.contextError()
		}
		return nil, c.err
	}
	if c.result.Replay != nil {
		return nil, errReplay
	}
	return c.result.Claim, nil
}

// operationFingerprint is the SHA-256 of method, path, query and body. The method and the target
// (path and query) are each preceded by their length.
func operationFingerprint(x *Exchange) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{x.r.Method, requestTarget(x.r)} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(x.body.buffer)
	return [sha256.Size]byte(h.Sum(nil))
}

// replayResponse sends the recorded response, or refuses if the response was too large to be recorded.
func replayResponse(x *Exchange, recorded *attempt.Answer) error {
	if recorded.TooLarge {
		return problem.New(problem.OutcomeUnknown, problem.Run, "the operation ran; its answer was too large to be recorded")
	}
	copyResponseHeader(x, recorded.Header)
	x.replayed = true
	x.responseStarted = true
	x.status = recorded.Status
	x.w.WriteHeader(recorded.Status)
	if x.r.Method == http.MethodHead || len(recorded.Body) == 0 {
		return nil
	}
	if _, err := x.w.Write(recorded.Body); err != nil {
		return errCallerGone
	}
	return nil
}
