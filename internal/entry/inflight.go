package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// hostRetryAfter is the retry delay in refusals of a host that is starting or has too many requests.
const hostRetryAfter = time.Second

// inFlight limits the requests in flight on this host and refuses all requests while the host is
// starting.
type inFlight struct {
	next  Filter
	cfg   *Config
	count atomic.Int64
}

func newInFlight(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &inFlight{next: next, cfg: cfg}, nil
}

// Handle counts the request while it is in flight.
func (f *inFlight) Handle(x *Exchange) error {
	defer f.count.Add(-1)
	if f.count.Add(1) > int64(f.cfg.Settings.MaxRequests) {
		return problem.New(problem.QueueFull, problem.NotRun, "the host has too many requests in flight").After(hostRetryAfter)
	}
	x.snapshot = f.cfg.Routes.Current()
	if x.snapshot == nil || !f.cfg.Ready() {
		return problem.New(problem.Starting, problem.NotRun, "").After(hostRetryAfter)
	}
	return f.next.Handle(x)
}
