package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	// maxAttempts bounds the servers that one request is sent to, hedges apart.
	maxAttempts = 3
	// maxSends bounds the grants that one request uses, with those whose server did not run it.
	maxSends = 8
	// maxUnused bounds the grants that one request gives back because they expired.
	maxUnused = 4

	backoffBase = 10 * time.Millisecond
	backoffCap  = 250 * time.Millisecond
)

// errReplay ends the dispatch of work whose answer is recorded.
var errReplay = errors.New("the operation has a recorded answer")

// dispatch asks for grants and decides on retries and hedges.
type dispatch struct {
	next Filter
	cfg  *Config
}

// failure is an attempt without an answer. The grant is complete.
type failure struct {
	kind   problem.Kind
	detail string
	// mayHaveRun is set if the server may have run the work.
	mayHaveRun bool
	// arrived is set if the server may have seen a part of the request.
	arrived bool
	// unused is set if the grant expired before a byte was sent.
	unused bool
	// final is set if no other server can do better.
	final error
	wait  time.Duration
}

// Error implements error.
func (f *failure) Error() string {
	return string(f.kind) + ": " + f.detail
}

func newDispatch(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &dispatch{next: next, cfg: cfg}, nil
}

// Handle sends the request until an answer comes or nothing more may be tried, and relays the answer.
func (f *dispatch) Handle(x *Exchange) error {
	if err := x.buffer(MaxReplayBytes); err != nil {
		return err
	}
	if !x.body.buffered {
		// Without full duplex net/http would swallow the rest of the body before the answer.
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	t := &trial{dispatch: f, x: x, request: f.request(x)}
	winner, err := t.run()
	if err != nil {
		return err
	}
	return relay(x, winner)
}

func (f *dispatch) request(x *Exchange) grant.Request {
	return grant.Request{
		Service: x.match.Service, Priority: x.match.Priority, Team: x.team.ID, Weight: max(x.team.Weight, 1),
		Deadline: x.deadline, Target: x.match.TargetLatency, Kind: uint32(xxhash.Sum64String(x.match.Route)),
		Fingerprint: workFingerprint(x), Idempotent: x.match.Idempotent,
	}
}

// workFingerprint identifies the work, so that a request that crashes servers is recognised when it is sent again.
func workFingerprint(x *Exchange) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{x.match.Service, x.match.Route, x.r.Method, target(x.r), x.key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	if x.key == "" && x.body.buffered {
		_, _ = d.Write(x.body.buffer)
	}
	return d.Sum64()
}

// trial is the sequence of attempts of one request.
type trial struct {
	*dispatch
	x       *Exchange
	request grant.Request
	unused  int
	// arrived is set once an attempt may have reached a server; later ones count as retries.
	arrived bool
	// last is the failure of the attempt before, if any.
	last *failure
	// fallback is a whole answer with which the server reported a failure. It is passed on if no
	// other server does better.
	fallback *Exchange
}

func (t *trial) run() (*Exchange, error) {
	for t.x.attempts < maxSends && t.x.runs < t.limit() {
		g, err := t.acquire()
		if err != nil {
			return t.settle(err)
		}
		if g == nil {
			continue
		}
		winner, err := t.attempt(g)
		if err == nil && !t.wantsBetter(winner) {
			return winner, nil
		}
		if err == nil {
			t.setAside(winner)
			continue
		}
		if err := t.judge(err); err != nil {
			return t.settle(err)
		}
	}
	return t.settle(t.refusal())
}

// limit is how many attempts may run the work.
func (t *trial) limit() int {
	return orDefault(t.x.match.Attempts, maxAttempts)
}

// settle ends the request with the error, or with a failure that a server reported.
func (t *trial) settle(err error) (*Exchange, error) {
	if t.fallback != nil && t.x.r.Context().Err() == nil {
		return t.fallback, nil
	}
	return nil, err
}

// wantsBetter tells whether another server may do better than the answer: the server reported a
// failure of its own, and the work may run once more.
func (t *trial) wantsBetter(answer *Exchange) bool {
	return answer.fetched && answer.answer.Status >= http.StatusInternalServerError &&
		t.x.repeatable() && t.x.runs+1 < t.limit() && t.x.ctx.Err() == nil
}

func (t *trial) setAside(answer *Exchange) {
	t.x.runs++
	t.x.mayHaveRun = true
	t.arrived = true
	t.fallback = answer
	t.last = &failure{kind: problem.BackendFailed, detail: "the backend server reported a failure", mayHaveRun: true, arrived: true}
}

// acquire returns a grant that may be used now, or nil if one was given back and another should be asked for.
func (t *trial) acquire() (grant.Grant, error) {
	x := t.x
	t.request.Purpose = grant.First
	if t.arrived {
		t.request.Purpose = grant.Retry
	}
	ctx := x.ctx
	if x.claim != nil {
		ctx = x.claim.granting
	}
	g, err := t.cfg.Grants.Acquire(ctx, t.request)
	if err != nil && x.ctx.Err() == nil && ctx.Err() != nil {
		// The claim ended first: it failed, or the operation ran before.
		return nil, t.awaitClaim()
	}
	if err != nil {
		return nil, t.notGranted(err)
	}
	if err := t.awaitClaim(); err != nil {
		g.Complete(grant.Completion{Result: grant.Unused})
		return nil, err
	}
	if time.Now().Before(g.Expires()) {
		return g, nil
	}
	g.Complete(grant.Completion{Result: grant.Unused})
	return nil, t.expired()
}

// expired counts a grant that was not used in time.
func (t *trial) expired() error {
	t.unused++
	if t.unused < maxUnused {
		return nil
	}
	if t.last != nil {
		return t.refusal()
	}
	return t.x.refuse(problem.NoCapacity, "grants expired before they could be used").After(backoffCap)
}

func (t *trial) awaitClaim() error {
	if t.x.claim == nil {
		return nil
	}
	_, err := t.x.claim.await(t.x)
	return err
}

// notGranted prefers the failure of an earlier attempt over the reason why there is no further one.
func (t *trial) notGranted(err error) error {
	x := t.x
	if x.ctx.Err() != nil {
		return x.ended()
	}
	if t.last != nil {
		return t.refusal()
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return x.refuse(problem.NoCapacity, "").After(backoffCap)
}

// judge returns nil if another server may be tried.
func (t *trial) judge(err error) error {
	x := t.x
	var fail *failure
	if !errors.As(err, &fail) {
		return err
	}
	if fail.unused {
		return t.expired()
	}
	x.mayHaveRun = x.mayHaveRun || fail.mayHaveRun
	t.arrived = t.arrived || fail.arrived || fail.mayHaveRun
	if fail.mayHaveRun {
		x.runs++
	}
	t.last = fail
	if fail.final != nil {
		return t.outcomeOf(fail.final)
	}
	if !x.body.buffered && x.body.source.interrupted.Load() {
		// The interrupt ended the context; the caller is still there.
		return t.refusal()
	}
	if x.ctx.Err() != nil {
		return x.ended()
	}
	if fail.mayHaveRun && !x.repeatable() {
		return t.refusal()
	}
	return t.backOff()
}

// repeatable tells whether the work may be sent again after it may have run.
func (x *Exchange) repeatable() bool {
	return x.match.Idempotent && x.body.buffered
}

// outcomeOf corrects the outcome of a refusal that an attempt ended with.
func (t *trial) outcomeOf(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) {
		return t.x.refuse(p.Kind, p.Detail)
	}
	return err
}

func (t *trial) backOff() error {
	x := t.x
	if !x.body.buffered && x.body.source.touched.Load() {
		return t.refusal()
	}
	limit := min(backoffBase<<x.attempts, backoffCap)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-x.ctx.Done():
		return x.ended()
	}
}

// refusal tells the caller of the last failure.
func (t *trial) refusal() *problem.Problem {
	return t.x.refuse(t.last.kind, t.last.detail).After(t.last.wait)
}

// attempt sends the request to the granted server, and to a second one if a hedge is due.
func (t *trial) attempt(g grant.Grant) (*Exchange, error) {
	x := t.x
	x.attempts++
	if x.tries == nil {
		x.tries = &tries{}
	}
	t.request.Exclude = append(t.request.Exclude, g.Server().Instance)
	if x.repeatable() && x.runs+1 < t.limit() {
		return t.race(g)
	}
	child := x.fork(x.ctx, g)
	if err := t.next.Handle(child); err != nil {
		return nil, err
	}
	return child, nil
}

// start tells whether the first byte may be written now.
func (x *Exchange) start() bool {
	if x.ctx.Err() != nil || !time.Now().Before(x.grant.Expires()) {
		return false
	}
	if x.claim == nil {
		return true
	}
	return x.claim.result.Claim.Start()
}

// claimOf returns the claim of the work, or nil.
func (x *Exchange) claimOf() attempt.Claim {
	if x.claim == nil {
		return nil
	}
	return x.claim.result.Claim
}

// excluded returns a copy of the instances tried so far.
func (t *trial) excluded() []string {
	return append([]string(nil), t.request.Exclude...)
}
