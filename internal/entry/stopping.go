package entry

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// stopMargin is how long before the end of the process its requests end, so that the responses reach the callers.
const stopMargin = 200 * time.Millisecond

// stopSchedule bounds the requests of a host that leaves to the time that its process has left. It is safe for
// concurrent use.
type stopSchedule struct {
	leaveFor, stopAfter time.Duration
	// ended is cancelled when no request may go on.
	ended  context.Context
	cancel context.CancelCauseFunc

	mu sync.RWMutex
	// lateFrom is when callers should no longer use this host, and endAt when all requests must have ended; zero
	// before the host leaves.
	lateFrom, endAt time.Time
}

func newStopSchedule(leaveFor, stopAfter time.Duration) *stopSchedule {
	s := &stopSchedule{leaveFor: leaveFor, stopAfter: stopAfter}
	s.ended, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// begin starts the schedule; later calls have no effect.
func (s *stopSchedule) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopAfter <= 0 || !s.endAt.IsZero() {
		return
	}
	left := max(s.stopAfter-stopMargin, 0)
	s.lateFrom, s.endAt = now.Add(s.leaveFor), now.Add(left)
	time.AfterFunc(left, func() { s.cancel(context.DeadlineExceeded) })
}

// limit returns the deadline of a request that arrived at the given time, bounded by the end of the process. It
// refuses a request that comes when callers should no longer use this host and that may not have its response by then:
// the caller can still send it to another host.
func (s *stopSchedule) limit(arrived, deadline time.Time) (time.Time, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.endAt.IsZero() || !deadline.After(s.endAt) {
		return deadline, nil
	}
	if !arrived.Before(s.lateFrom) {
		return deadline, problem.New(problem.ShuttingDown, problem.NotRun, "")
	}
	return s.endAt, nil
}

// bind returns a context that also ends with the schedule, and a function that releases it. Requests with less time
// than the process has after a request to stop do not need it.
func (s *stopSchedule) bind(ctx context.Context, left time.Duration) (context.Context, func()) {
	if s.stopAfter <= 0 || left < s.stopAfter-stopMargin {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ended, func() { cancel(context.Cause(s.ended)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
