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

// atMostOnce claims non-idempotent work and ends the claim.
type atMostOnce struct {
	next Filter
	cfg  *Config
}

// claiming is a claim that is under way beside the request for a grant.
type claiming struct {
	cancel context.CancelFunc
	// granting ends when the claim fails or the operation ran before: then no grant is needed.
	granting context.Context
	// done is closed when result and err are set.
	done   chan struct{}
	result attempt.Result
	err    error
}

func newAtMostOnce(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &atMostOnce{next: next, cfg: cfg}, nil
}

// Handle passes idempotent work on. Other work needs a key, a buffered body and a claim.
func (f *atMostOnce) Handle(x *Exchange) error {
	x.open(f.cfg.Settings.BodyTimeout.D())
	key, ok := single(x.r.Header, headerKey)
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
	if err := x.buffer(x.match.BodyLimit); err != nil {
		return err
	}
	return f.claimed(x)
}

func (f *atMostOnce) claimed(x *Exchange) error {
	x.claim = f.begin(x)
	defer x.claim.cancel()
	finished := false
	defer func() {
		if !finished {
			// A filter panicked: the work may have run.
			x.mayHaveRun = true
			f.end(x, problem.New(problem.Internal, problem.Unknown, ""))
		}
	}()
	err := f.next.Handle(x)
	finished = true
	return f.end(x, err)
}

func (f *atMostOnce) begin(x *Exchange) *claiming {
	ctx, cancel := context.WithCancel(x.ctx)
	granting, stopGranting := context.WithCancel(ctx)
	c := &claiming{cancel: cancel, granting: granting, done: make(chan struct{})}
	op := attempt.Operation{
		Service: x.match.Service, Route: x.match.Route, Key: x.key, Team: x.teamName, Fingerprint: fingerprint(x),
	}
	go func() {
		defer func() {
			close(c.done)
			if c.err != nil || c.result.Replay != nil {
				stopGranting()
			}
		}()
		c.result, c.err = f.cfg.Claims.Claim(ctx, op)
	}()
	return c
}

// end ends the claim in the way that the work ended and returns what the caller is told. What the
// records say of the operation goes before a refusal of this sending.
func (f *atMostOnce) end(x *Exchange, err error) error {
	c := x.claim
	if err != nil {
		c.settle()
	}
	<-c.done
	switch {
	case c.err != nil:
		return c.prefer(err)
	case c.result.Replay != nil:
		if err == errCallerGone {
			return err
		}
		return replay(x, c.result.Replay)
	case c.result.Claim == nil:
		return err
	case err == nil && x.record != nil:
		c.result.Claim.Done(*x.record)
	case !x.mayHaveRun:
		f.abandon(x, c.result.Claim)
	default:
		c.result.Claim.Unknown()
	}
	return err
}

// settle gives the claim a moment to learn whether the operation ran before, so that the caller is
// not told not-run of one that did, and ends it then.
func (c *claiming) settle() {
	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
	}
	c.cancel()
}

// prefer returns the claim's refusal if it says more about the operation than the other one.
func (c *claiming) prefer(err error) error {
	var refusal *problem.Problem
	if errors.As(c.err, &refusal) && refusal.Outcome != problem.NotRun {
		return refusal
	}
	return err
}

// abandon is done before the caller hears not-run. It must work after the caller has gone.
func (f *atMostOnce) abandon(x *Exchange, claim attempt.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), abandonTimeout)
	defer cancel()
	claim.Abandon(ctx)
}

// await returns the claim, or the refusal, or errReplay.
func (c *claiming) await(x *Exchange) (attempt.Claim, error) {
	select {
	case <-c.done:
	case <-x.ctx.Done():
		return nil, x.ended()
	}
	if c.err != nil {
		if x.ctx.Err() != nil {
			return nil, x.ended()
		}
		return nil, c.err
	}
	if c.result.Replay != nil {
		return nil, errReplay
	}
	return c.result.Claim, nil
}

// fingerprint is the SHA-256 of method, path, query and body, with the lengths of the first two parts.
func fingerprint(x *Exchange) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{x.r.Method, target(x.r)} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(x.body.buffer)
	return [sha256.Size]byte(h.Sum(nil))
}

// replay sends the recorded answer.
func replay(x *Exchange, a *attempt.Answer) error {
	if a.TooLarge {
		return problem.New(problem.OutcomeUnknown, problem.Run, "the operation ran; its answer was too large to be recorded")
	}
	copyAnswerHeader(x, a.Header)
	x.replayed = true
	x.begun = true
	x.status = a.Status
	x.w.WriteHeader(a.Status)
	if x.r.Method == http.MethodHead || len(a.Body) == 0 {
		return nil
	}
	if _, err := x.w.Write(a.Body); err != nil {
		return errCallerGone
	}
	return nil
}
