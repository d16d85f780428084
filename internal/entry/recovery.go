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

// recovery tells the caller how its request ended, whatever happened inside.
type recovery struct {
	next  Filter
	cfg   *Config
	lines *logging.Limiter
}

func newRecovery(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &recovery{next: next, cfg: cfg, lines: logging.NewLimiter(logging.DefaultLinesPerSecond)}, nil
}

// Handle writes refusals. It panics with http.ErrAbortHandler to break the caller's connection.
func (f *recovery) Handle(x *Exchange) error {
	err := f.guarded(x)
	abort := x.begun && err != nil
	refusal := asProblem(err)
	if refusal != nil && !x.begun {
		f.write(x, refusal)
	}
	f.observe(x, err, refusal)
	if x.unread() {
		limitDrain(x.w)
	}
	if abort || err == errCallerGone {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// guarded turns a panic into a refusal. What ran before the panic is not known.
func (f *recovery) guarded(x *Exchange) (err error) {
	defer func() {
		if v := recover(); v != nil {
			f.cfg.Log.Error("a filter panicked", "request", x.id, "panic", v, "stack", string(debug.Stack()))
			err = problem.New(problem.Internal, problem.Unknown, "")
		}
	}()
	return f.next.Handle(x)
}

func (f *recovery) write(x *Exchange, p *problem.Problem) {
	h := x.w.Header()
	clear(h)
	if x.id != "" {
		h.Set(x.dialect.RequestID, x.id)
	}
	if x.leaving || x.unread() {
		// The rest of an unread body must not be taken for the next request.
		h.Set("Connection", "close")
	}
	x.status = x.dialect.WriteProblem(x.w, p, x.id)
}

func (f *recovery) observe(x *Exchange, err error, refusal *problem.Problem) {
	o := Observation{
		Match: x.match, Matched: x.matched, TeamBucket: teamBucket(x.team.ID),
		Status: x.status, Latency: time.Since(x.arrived), Attempts: x.attempts, Hedged: x.hedged,
	}
	switch {
	case err == errCallerGone:
		o.Outcome = OutcomeCallerGone
	case x.begun && err != nil:
		o.Outcome = OutcomeBroken
	case refusal != nil:
		o.Outcome = string(refusal.Kind)
	case x.replayed:
		o.Outcome = OutcomeReplayed
	default:
		o.Outcome = OutcomeAnswered
	}
	f.cfg.Observer.Observe(o)
	f.logEnd(x, o, refusal)
}

// logEnd writes one line for each request that did not get a good answer or was placed from an outdated list,
// and at the level debug for the others. The number of lines per second is bounded.
func (f *recovery) logEnd(x *Exchange, o Observation, refusal *problem.Problem) {
	good := o.Outcome == OutcomeAnswered && o.Status < 500 && !x.tries.fromOutdatedList()
	if good && f.cfg.Log.GetLevel() > log.DebugLevel {
		return
	}
	ok, suppressed := f.lines.Allow(time.Now())
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
	if x.tries != nil {
		fields = append(fields, "tries", x.tries.String())
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

// asProblem returns the refusal in an error; other errors become an internal failure.
func asProblem(err error) *problem.Problem {
	if err == nil || err == errCallerGone || err == errBroken {
		return nil
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(problem.Internal, problem.Unknown, "")
}
