package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	// hostRetryAfter is the retry delay in refusals of a host that is starting or has too many requests.
	hostRetryAfter = time.Second
	// startPatience is how long after the start of the host requests wait for its first configuration. After a
	// loss of power it arrives within about half of this time; a host that lacks it for longer is cut off.
	startPatience = 2 * time.Second
	// startWaitShare is the share of its time that a request waits for the start; the rest is left to serve it.
	startWaitShare = 0.5
	// startCheckInterval is how often a waiting request checks whether the host has started.
	startCheckInterval = 10 * time.Millisecond
)

// inFlight limits the requests in flight on this host. While the host is starting, requests wait: after a restart
// of all hosts there is no other address that a caller could use, and the configuration arrives soon.
type inFlight struct {
	next      Filter
	cfg       *Config
	count     atomic.Int64
	startedAt time.Time
}

func newInFlight(_ context.Context, next Filter, cfg *Config, _ string) (Filter, error) {
	return &inFlight{next: next, cfg: cfg, startedAt: time.Now()}, nil
}

// Handle counts the request while it is in flight.
func (f *inFlight) Handle(x *Exchange) error {
	defer f.count.Add(-1)
	if f.count.Add(1) > int64(f.cfg.Settings.MaxRequests) {
		return problem.New(problem.QueueFull, problem.NotRun, "the host has too many requests in flight").After(hostRetryAfter)
	}
	if !f.hasStarted() && !f.awaitStart(x) {
		return problem.New(problem.Starting, problem.NotRun, "").After(hostRetryAfter)
	}
	f.takeSnapshot(x)
	return f.next.Handle(x)
}

// takeSnapshot takes the configuration that the request uses until it ends, and its age. The age is read first: read after
// a snapshot, it could be that of a newer one, which may have withdrawn the caller's key.
func (f *inFlight) takeSnapshot(x *Exchange) {
	x.configurationKnown = true
	if x.snapshot = f.cfg.Routes.Current(); f.cfg.ConfigurationAge == nil || !x.snapshot.RequiresKeys() {
		return
	}
	x.configurationAge, x.configurationKnown = f.cfg.ConfigurationAge()
	x.snapshot = f.cfg.Routes.Current()
}

func (f *inFlight) hasStarted() bool {
	return f.cfg.Routes.Current() != nil && f.cfg.Ready()
}

// awaitStart waits until the host has started, and reports whether it has.
func (f *inFlight) awaitStart(x *Exchange) bool {
	ctx, cancel := context.WithDeadline(x.ctx, f.patienceEnd(x))
	defer cancel()
	ticker := time.NewTicker(startCheckInterval)
	defer ticker.Stop()
	for !f.hasStarted() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// patienceEnd returns until when the request waits for the start. Its route is not known yet, so without a valid
// deadline of its own only the limit since the start applies.
func (f *inFlight) patienceEnd(x *Exchange) time.Time {
	end := f.startedAt.Add(startPatience)
	value, ok := singleValue(x.r.Header, f.cfg.Dialect.Deadline)
	if !ok || value == "" {
		return end
	}
	timeout, ok := f.cfg.Dialect.ParseDeadline(value)
	if !ok {
		return end
	}
	if own := x.arrivedAt.Add(time.Duration(startWaitShare * float64(timeout))); own.Before(end) {
		return own
	}
	return end
}
