package entry

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// recovery reports the result of each request to the caller, the observer and the log, even if a
// filter panics.
type recovery struct {
	next Filter
	cfg  *Config
	// Lines on requests that succeeded have a limit of their own, so that they do not crowd out those on failures.
	failureLimiter, successLimiter *logging.Limiter
}

func newRecovery(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &recovery{
		next: next, cfg: cfg,
		failureLimiter: logging.NewLimiter(logging.DefaultLinesPerSecond),
		successLimiter: logging.NewLimiter(logging.DefaultLinesPerSecond),
	}, nil
}

// Handle writes refusals. It panics with http.ErrAbortHandler to abort the caller's connection.
func (f *recovery) Handle(x *Exchange) error {
	err := f.handleWithRecover(x)
	abort := x.responseStarted && err != nil
	refusal := asProblem(err)
	if refusal != nil && !x.responseStarted {
		f.writeProblem(x, refusal)
	}
	f.observe(x, err, refusal)
	if x.bodyUnread() {
		setDrainDeadline(x.w)
	}
	if abort || err == errCallerGone {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// handleWithRecover converts a panic into a refusal with the outcome unknown, since the work may have
// run before the panic.
func (f *recovery) handleWithRecover(x *Exchange) (err error) {
	defer func() {
		if v := recover(); v != nil {
			f.cfg.Log.Error("a filter panicked", "request", x.id, "panic", v, "stack", string(debug.Stack()))
			err = problem.New(problem.Internal, problem.Unknown, "")
		}
	}()
	return f.next.Handle(x)
}

func (f *recovery) writeProblem(x *Exchange, p *problem.Problem) {
	h := x.w.Header()
	clear(h)
	if x.id != "" {
		h.Set(x.dialect.RequestID, x.id)
	}
	if x.leaving || x.bodyUnread() {
		// The rest of an unread body must not be parsed as the next request.
		h.Set("Connection", "close")
	}
	if p.Kind == problem.UnknownKey {
		h.Set("Www-Authenticate", "Key header="+x.dialect.Key)
	}
	if x.deadline.IsZero() {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	}
	x.status = x.dialect.WriteProblem(x.w, p, x.id)
}

func (f *recovery) observe(x *Exchange, err error, refusal *problem.Problem) {
	o := Observation{
		Match: x.match, Matched: x.matched, TeamBucket: teamBucket(x.team.ID),
		Status: x.status, Latency: time.Since(x.arrivedAt), Attempts: x.attempts, Hedged: x.hedged,
	}
	o.Rejected, o.Skipped = x.attemptLog.counts()
	switch {
	case err == errCallerGone:
		o.Outcome = OutcomeCallerGone
	case x.responseStarted && err != nil:
		o.Outcome = OutcomeBroken
	case refusal != nil:
		o.Outcome = string(refusal.Kind)
	case x.replayed:
		o.Outcome = OutcomeReplayed
	default:
		o.Outcome = OutcomeAnswered
	}
	f.cfg.Observer.Observe(o)
	f.logRequest(x, o, refusal)
}

// logRequest writes one line for each request that got no backend response with a status below 500,
// whose server was selected from a stale server list, or that was sent more than once although its work must not
// repeat. Other requests are logged at level debug. The number of lines per second is limited.
func (f *recovery) logRequest(x *Exchange, o Observation, refusal *problem.Problem) {
	limiter := f.failureLimiter
	succeeded := o.Outcome == OutcomeAnswered && o.Status < 500
	if succeeded {
		limiter = f.successLimiter
	}
	repeated := !x.match.Idempotent && x.attempts > 1
	good := succeeded && !repeated && !x.attemptLog.selectedFromStaleList()
	if good && f.cfg.Log.GetLevel() > log.DebugLevel {
		return
	}
	ok, suppressed := limiter.Allow(time.Now())
	if suppressed > 0 {
		f.cfg.Log.Warn("suppressed lines on ended requests", "lines", suppressed)
	}
	if !ok {
		return
	}
	fields := []any{
		"request", x.id, "route", x.match.Route, "service", x.match.Service, "outcome", o.Outcome, "status", x.status,
		"took_ms", o.Latency.Milliseconds(), "attempts", x.attempts, "runs", x.runs, "limit", x.match.Attempts,
	}
	if x.snapshot != nil {
		fields = append(fields, "revision", x.snapshot.Revision())
	}
	if !x.deadline.IsZero() {
		fields = append(fields, "left_ms", time.Until(x.deadline).Milliseconds())
	}
	if x.attemptLog != nil {
		fields = append(fields, "tries", x.attemptLog.String())
	}
	if refusal != nil {
		fields = append(fields, "ran", string(refusal.Outcome), "detail", refusal.Detail, "retry_after_ms", refusal.RetryAfter.Milliseconds())
	}
	if good {
		f.cfg.Log.Debug("request ended", fields...)
		return
	}
	f.cfg.Log.Info("request ended", fields...)
}

// asProblem returns the refusal for an error. It is nil if there is no error, the caller has
// disconnected or the response broke off. Unexpected errors become a problem of the kind internal.
func asProblem(err error) *problem.Problem {
	if err == nil || err == errCallerGone || err == errResponseBroken {
		return nil
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(problem.Internal, problem.Unknown, "")
}
