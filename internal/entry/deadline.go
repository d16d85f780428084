package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	// maxTimeoutDigits is the bound of the Grpc-Timeout syntax.
	maxTimeoutDigits = 8
	// writeMargin lets a refusal that is due at the deadline still reach a slow caller.
	writeMargin = 5 * time.Second
)

// deadlines bounds the time that a request may take.
type deadlines struct {
	next    Filter
	dialect *Dialect
}

func newDeadline(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &deadlines{next: next, dialect: cfg.Dialect}, nil
}

// Handle takes the deadline from the caller, else from the route, and never exceeds the route's timeout.
func (f *deadlines) Handle(x *Exchange) error {
	timeout := orDefault(x.match.DefaultDeadline, DefaultDeadline)
	stated, ok := single(x.r.Header, f.dialect.Deadline)
	if ok && stated != "" {
		timeout, ok = f.dialect.ParseDeadline(stated)
	}
	if !ok {
		return problem.New(problem.BadRequest, problem.NotRun, f.dialect.Deadline+" is malformed; see the reference of headers")
	}
	if x.match.Timeout > 0 {
		timeout = min(timeout, x.match.Timeout)
	}
	x.deadline = x.arrived.Add(min(timeout, MaxDeadline))
	if !time.Now().Before(x.deadline) {
		return problem.New(problem.DeadlinePassed, problem.NotRun, "")
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	x.ctx = ctx
	x.limitWrites()
	return f.next.Handle(x)
}

func parseTimeout(text string) (time.Duration, bool) {
	last := len(text) - 1
	if last < 1 || last > maxTimeoutDigits {
		return 0, false
	}
	unit, ok := timeoutUnit(text[last])
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text[:last], 10, 32)
	if err != nil {
		return 0, false
	}
	if time.Duration(n) > MaxDeadline/unit {
		return MaxDeadline, true
	}
	return time.Duration(n) * unit, true
}

func timeoutUnit(symbol byte) (time.Duration, bool) {
	switch symbol {
	case 'H':
		return time.Hour, true
	case 'M':
		return time.Minute, true
	case 'S':
		return time.Second, true
	case 'm':
		return time.Millisecond, true
	case 'u':
		return time.Microsecond, true
	case 'n':
		return time.Nanosecond, true
	default:
		return 0, false
	}
}

// formatTimeout states the time left; it is rounded down, so that no server works past the deadline.
func formatTimeout(left time.Duration) string {
	left = max(left, 0)
	if us := left.Microseconds(); us < 100_000_000 {
		return strconv.FormatInt(us, 10) + "u"
	}
	return strconv.FormatInt(left.Milliseconds(), 10) + "m"
}
