package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	// maxTimeoutDigits is the limit in the syntax of Grpc-Timeout.
	maxTimeoutDigits = 8
	// writeMargin leaves time for a refusal that is sent at the deadline to reach a slow caller.
	writeMargin = 5 * time.Second
)

// deadlines is the filter that sets the deadline of a request.
type deadlines struct {
	next     Filter
	dialect  *Dialect
	stopping *stopSchedule
}

func newDeadline(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &deadlines{next: next, dialect: cfg.Dialect, stopping: cfg.stopping}, nil
}

// Handle takes the deadline from the caller or else from the route, and limits it to the route's
// timeout, to MaxDeadline and, on a host that leaves, to the time that its process has left.
func (f *deadlines) Handle(x *Exchange) error {
	timeout := orDefault(x.match.DefaultDeadline, DefaultDeadline)
	value, ok := singleValue(x.r.Header, f.dialect.Deadline)
	if ok && value != "" {
		timeout, ok = f.dialect.ParseDeadline(value)
	}
	if !ok {
		return problem.New(problem.BadRequest, problem.NotRun, f.dialect.Deadline+" is malformed; see the reference of headers")
	}
	if x.match.Timeout > 0 {
		timeout = min(timeout, x.match.Timeout)
	}
	deadline, err := f.stopping.limit(x.arrivedAt, x.arrivedAt.Add(min(timeout, MaxDeadline)))
	if err != nil {
		return err
	}
	x.deadline = deadline
	if !time.Now().Before(x.deadline) {
		return problem.New(problem.DeadlinePassed, problem.NotRun, "")
	}
	bound, release := f.stopping.bind(x.ctx, time.Until(x.deadline))
	defer release()
	ctx, cancel := context.WithDeadline(bound, x.deadline)
	defer cancel()
	x.ctx = ctx
	x.setWriteDeadline()
	return f.next.Handle(x)
}

// parseTimeout parses a value of Grpc-Timeout. A time above MaxDeadline is reduced to it.
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

// formatTimeout formats the remaining time for Grpc-Timeout, which allows up to 8 digits. It rounds down,
// so that no server works past the deadline.
func formatTimeout(remaining time.Duration) string {
	remaining = max(remaining, 0)
	if us := remaining.Microseconds(); us < 100_000_000 {
		return strconv.FormatInt(us, 10) + "u"
	}
	return strconv.FormatInt(remaining.Milliseconds(), 10) + "m"
}
