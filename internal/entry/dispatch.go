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
	"github.com/tarragonmux/tarragonmux/internal/inbound"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	// maxAttempts is the default limit of attempts per request that may have run the work. An
	// attempt that was cancelled because another one won does not count.
	maxAttempts = 3
	// maxSends limits the grants that one request uses, including those whose server did not run the work.
	maxSends = 8
	// maxExpiredGrants limits the grants that one request gives back because they expired before use.
	maxExpiredGrants = 4

	backoffBase = 10 * time.Millisecond
	backoffCap  = 250 * time.Millisecond
)

// errReplay ends the dispatch of work that has a recorded response.
var errReplay = errors.New("the operation has a recorded response")

// dispatch acquires grants and decides on retries and hedges.
type dispatch struct {
	next Filter
	cfg  *Config
}

// failure is the error of an attempt without a usable response. Its grant is already completed.
type failure struct {
	kind   problem.Kind
	detail string
	// mayHaveRun is set if the server may have run the work.
	mayHaveRun bool
	// reachedServer is set if the server may have received a part of the request. mayHaveRun implies it.
	reachedServer bool
	// grantExpired is set if the grant expired before a byte was sent.
	grantExpired bool
	// finalErr is set if the request ends with this error, because another server cannot help.
	finalErr   error
	retryAfter time.Duration
}

// Error implements error.
func (f *failure) Error() string {
	return string(f.kind) + ": " + f.detail
}

func newDispatch(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &dispatch{next: next, cfg: cfg}, nil
}

// Handle sends the request until it gets a response or no further attempt is allowed, and relays
// the response.
func (f *dispatch) Handle(x *Exchange) error {
	if err := x.readBody(); err != nil {
		return err
	}
	if !x.body.buffered {
		if !x.body.source.conn.Reserve(copyBufferBytes, inbound.Streams) {
			return noBodyMemory()
		}
		// Without full duplex net/http would read and discard the rest of the body before the response.
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	loop := &attemptLoop{dispatch: f, x: x, request: f.grantRequest(x)}
	winner, err := loop.run()
	if err != nil {
		return err
	}
	x.releaseBody(winner)
	return relay(x, winner)
}

// readBody buffers the body before the first grant is acquired, if it is small enough: a slot that is granted while the
// body still arrives from a slow caller is lost for others.
func (x *Exchange) readBody() error {
	if x.keepsBody() {
		return x.keepBody()
	}
	return x.bufferBody(MaxReplayBytes)
}

func (f *dispatch) grantRequest(x *Exchange) grant.Request {
	return grant.Request{
		Service: x.match.Service, Priority: x.match.Priority, Team: x.team.ID, Weight: max(x.team.Weight, 1),
		Deadline: x.deadline, Target: x.match.TargetLatency, Kind: uint32(xxhash.Sum64String(x.match.Route)),
		Fingerprint: workFingerprint(x), Idempotent: x.match.Idempotent, Keyless: x.match.Keyless,
	}
}

// workFingerprint identifies the work, so that a request that crashes servers is recognised when it
// is resent.
func workFingerprint(x *Exchange) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{x.match.Service, x.match.Route, x.r.Method, requestTarget(x.r), x.key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	if x.key == "" && x.body.buffered {
		_, _ = d.Write(x.body.buffer)
	}
	return d.Sum64()
}

// attemptLoop makes the attempts of one request, one after another.
type attemptLoop struct {
	*dispatch
	x             *Exchange
	request       grant.Request
	expiredGrants int
	// reachedServer is set once an attempt may have reached a server; later attempts count as retries.
	reachedServer bool
	// lastFailure is the failure of the previous attempt, if any.
	lastFailure *failure
	// fallback is a complete response with a status of 500 or above. It is relayed if no later attempt gets
	// a response.
	fallback *Exchange
}

func (l *attemptLoop) run() (*Exchange, error) {
	for l.x.attempts < maxSends && l.x.runs < l.maxRuns() {
		g, err := l.acquireGrant()
		if err != nil {
			return l.fallbackOr(err)
		}
		if g == nil {
			continue
		}
		winner, err := l.runAttempt(g)
		if err == nil && !l.shouldRetryResponse(winner) {
			return winner, nil
		}
		if err == nil {
			l.saveFallback(winner)
			continue
		}
		if err := l.handleFailure(err); err != nil {
			return l.fallbackOr(err)
		}
	}
	return l.fallbackOr(l.lastFailureProblem())
}

// maxRuns returns how many attempts may run the work.
func (l *attemptLoop) maxRuns() int {
	return orDefault(l.x.match.Attempts, maxAttempts)
}

// fallbackOr returns the fallback response if there is one and the caller is still connected, and
// otherwise the error.
func (l *attemptLoop) fallbackOr(err error) (*Exchange, error) {
	if l.fallback != nil && l.x.r.Context().Err() == nil {
		return l.fallback, nil
	}
	return nil, err
}

// shouldRetryResponse reports whether to try another server after this response. This is the case if
// the server reported a failure, with a status of 500 or above, and the work may run again.
func (l *attemptLoop) shouldRetryResponse(candidate *Exchange) bool {
	return candidate.serverFailed() &&
		l.retryable() && l.x.runs+1 < l.maxRuns() && l.x.ctx.Err() == nil
}

// serverFailed reports whether the attempt got a complete response with which the server reports a failure.
func (x *Exchange) serverFailed() bool {
	return x.bodyComplete && x.response.Status >= http.StatusInternalServerError
}

func (l *attemptLoop) saveFallback(candidate *Exchange) {
	l.x.runs++
	l.x.mayHaveRun = true
	l.reachedServer = true
	l.fallback = candidate
	l.lastFailure = &failure{kind: problem.BackendFailed, detail: "the backend server reported a failure", mayHaveRun: true, reachedServer: true}
}

// acquireGrant returns a grant that is valid now, or nil if the grant had expired and another one should
// be acquired.
func (l *attemptLoop) acquireGrant() (grant.Grant, error) {
	x := l.x
	l.request.Purpose = grant.First
	if l.reachedServer {
		l.request.Purpose = grant.Retry
	}
	ctx := x.ctx
	if x.claim != nil {
		ctx = x.claim.grantCtx
	}
	g, err := l.cfg.Grants.Acquire(ctx, l.request)
	if err != nil && x.ctx.Err() == nil && ctx.Err() != nil {
		// The claim completed first: it failed, or the operation already ran.
		return nil, l.awaitClaim()
	}
	if err != nil {
		return nil, l.acquireError(err)
	}
	if err := l.awaitClaim(); err != nil {
		g.Complete(grant.Completion{Result: grant.Unused})
		return nil, err
	}
	if x.mayHaveRun && !l.retryable() {
		// The configuration has changed while the request waited.
		g.Complete(grant.Completion{Result: grant.Unused})
		return nil, l.lastFailureProblem()
	}
	if time.Now().Before(g.Expires()) {
		return g, nil
	}
	g.Complete(grant.Completion{Result: grant.Unused})
	return nil, l.countExpiredGrant()
}

// countExpiredGrant counts a grant that was not used in time. It returns an error once there are
// too many.
func (l *attemptLoop) countExpiredGrant() error {
	l.expiredGrants++
	if l.expiredGrants < maxExpiredGrants {
		return nil
	}
	if l.lastFailure != nil {
		return l.lastFailureProblem()
	}
	return l.x.refuse(problem.NoCapacity, "grants expired before they could be used").After(backoffCap)
}

func (l *attemptLoop) awaitClaim() error {
	if l.x.claim == nil {
		return nil
	}
	_, err := l.x.claim.await(l.x)
	return err
}

// acquireError returns the error with which the request ends if no grant was acquired. The failure
// of an earlier attempt takes precedence over the reason why there is no grant.
func (l *attemptLoop) acquireError(err error) error {
	x := l.x
	if x.ctx.Err() != nil {
		return x.contextError()
	}
	if l.lastFailure != nil {
		return l.lastFailureProblem()
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return x.refuse(problem.NoCapacity, "").After(backoffCap)
}

// handleFailure records the failure of an attempt. It returns nil if another server may be tried, and
// otherwise the error with which the request ends.
func (l *attemptLoop) handleFailure(err error) error {
	x := l.x
	var failed *failure
	if !errors.As(err, &failed) {
		return err
	}
	if failed.grantExpired {
		return l.countExpiredGrant()
	}
	x.mayHaveRun = x.mayHaveRun || failed.mayHaveRun
	l.reachedServer = l.reachedServer || failed.reachedServer || failed.mayHaveRun
	if failed.mayHaveRun {
		x.runs++
	}
	l.lastFailure = failed
	if failed.finalErr != nil {
		return l.withOutcome(failed.finalErr)
	}
	if !x.body.buffered && x.body.source.interrupted.Load() {
		// The context ended because of the interrupt; the caller is still connected.
		return l.lastFailureProblem()
	}
	if x.ctx.Err() != nil {
		return x.contextError()
	}
	if failed.mayHaveRun && !l.retryable() {
		return l.lastFailureProblem()
	}
	return l.waitBackoff()
}

// retryable reports whether the work may be sent again after it may have run, by the configuration that the request uses.
func (x *Exchange) retryable() bool {
	return x.match.Idempotent && x.body.buffered
}

// retryable reports whether the work may be sent again after it may have run, now. Callers may know of a route before the
// host does, so the work must not repeat either if a configuration that has come into force meanwhile says so.
func (l *attemptLoop) retryable() bool {
	x := l.x
	if !x.retryable() {
		return false
	}
	current := l.cfg.Routes.Current()
	if current == nil || current.Revision() == x.snapshot.Revision() {
		return true
	}
	match, ok := current.Match(hostName(x.r.Host), x.r.Method, routePath(l.cfg.Dialect, x.r))
	return !ok || match.Idempotent
}

// withOutcome replaces the outcome of a refusal by that of all attempts so far.
func (l *attemptLoop) withOutcome(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) {
		return l.x.refuse(p.Kind, p.Detail)
	}
	return err
}

// waitBackoff waits for a random time before the next attempt. If a part of a streamed body that is not in
// the buffer was already read, the body cannot be sent again and the request ends with the last failure.
func (l *attemptLoop) waitBackoff() error {
	x := l.x
	if !x.body.buffered && x.body.source.consumed.Load() {
		return l.lastFailureProblem()
	}
	limit := min(backoffBase<<x.attempts, backoffCap)
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-x.ctx.Done():
		return x.contextError()
	}
}

// lastFailureProblem returns the refusal for the last failure.
func (l *attemptLoop) lastFailureProblem() *problem.Problem {
	return l.x.refuse(l.lastFailure.kind, l.lastFailure.detail).After(l.lastFailure.retryAfter)
}

// runAttempt sends the request to the granted server. If the work may run again, a second attempt
// at another server can start in parallel.
func (l *attemptLoop) runAttempt(g grant.Grant) (*Exchange, error) {
	x := l.x
	x.attempts++
	if x.attemptLog == nil {
		x.attemptLog = &attemptLog{}
	}
	l.request.Exclude = append(l.request.Exclude, g.Server().Instance)
	if x.retryable() && x.runs+1 < l.maxRuns() {
		return l.raceAttempts(g)
	}
	child := x.fork(x.ctx, g)
	if err := l.next.Handle(child); err != nil {
		return nil, err
	}
	return child, nil
}

// startSending reports whether the first byte may be written now. If it may, the claim counts as started.
func (x *Exchange) startSending() bool {
	if x.ctx.Err() != nil || !time.Now().Before(x.grant.Expires()) {
		return false
	}
	if x.claim == nil {
		return true
	}
	return x.claim.result.Claim.Start()
}

// heldClaim returns the claim of the work, or nil if it needs none.
func (x *Exchange) heldClaim() attempt.Claim {
	if x.claim == nil {
		return nil
	}
	return x.claim.result.Claim
}

// excludedInstances returns a copy of the list of instances tried so far.
func (l *attemptLoop) excludedInstances() []string {
	return append([]string(nil), l.request.Exclude...)
}
