package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
)

const (
	// superviseDelay is how long after its start an attempt begins to watch for the ejection of its
	// server. Servers are ejected for stalls after 150 ms at the earliest.
	superviseDelay = 100 * time.Millisecond
	// minHedgeDelay is the earliest time after the start at which a hedge is sent.
	minHedgeDelay = 30 * time.Millisecond
)

// errNotRepeated ends a second attempt at work that must not repeat any more.
var errNotRepeated = errors.New("the work must not repeat by the configuration that has come into force")

// attemptRace is an attempt at retryable work that a second attempt may join. The first response that
// is complete, or too long to be read before it is relayed, wins. The other attempt is cancelled. A server
// failure of the first attempt does not win while the second one may still get a response. Each attempt
// that may have run the work counts towards the limit of the route, whether it won, failed or was cancelled.
type attemptRace struct {
	*attemptLoop
	// first is the exchange of the first attempt, stored by value to save an allocation.
	first      Exchange
	abort      roundtrip.Abort
	startedAt  time.Time
	hedgeDelay time.Duration
	// responseBegun is set once the response to the first attempt has begun. No hedge is sent after that.
	responseBegun atomic.Bool

	mu     sync.Mutex
	winner *Exchange
	// firstEnded is set when the first attempt has ended. firstDone is nil until supervise starts,
	// and is closed at the end of the first attempt.
	firstEnded bool
	firstDone  chan struct{}
	// hasSecond is set once there is a second attempt; secondDone is closed at its end.
	hasSecond    bool
	cancelSecond context.CancelFunc
	secondDone   chan struct{}
	secondErr    error
	// secondServer is the instance granted to the second attempt, or "".
	secondServer string
}

// raceAttempts runs the first attempt in this goroutine. A goroutine for the second one is started
// only if the first takes long enough for a second attempt to be considered.
func (l *attemptLoop) raceAttempts(g grant.Grant) (*Exchange, error) {
	r := &attemptRace{attemptLoop: l, first: *l.x, startedAt: time.Now()}
	r.first.grant = g
	r.first.abort = &r.abort
	r.first.responseBegun = &r.responseBegun
	delay := superviseDelay
	if l.x.match.Priority == priority.Urgent {
		if r.hedgeDelay = l.cfg.Grants.HedgeDelay(l.x.match.Service); r.hedgeDelay > 0 {
			r.hedgeDelay = max(r.hedgeDelay, minHedgeDelay)
			delay = min(delay, r.hedgeDelay)
		}
	}
	timer := time.AfterFunc(delay, r.supervise)
	err := l.next.Handle(&r.first)
	timer.Stop()
	return r.finish(err)
}

// finish ends the first attempt. If the first attempt did not win and there is a second one, finish
// waits for the second one.
func (r *attemptRace) finish(err error) (*Exchange, error) {
	won, second := r.endFirst(err)
	if won {
		return &r.first, nil
	}
	r.first.discard()
	if !second {
		return nil, err
	}
	return r.awaitSecond(err)
}

func (r *attemptRace) endFirst(err error) (won, second bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstEnded = true
	if err == nil && r.winner == nil && !(r.hasSecond && r.first.serverFailed()) {
		r.winner = &r.first
	}
	if r.firstDone != nil {
		close(r.firstDone)
	}
	won = r.winner == &r.first
	if won && r.cancelSecond != nil {
		r.cancelSecond()
	}
	r.x.hedged = r.x.hedged || r.hasSecond
	return won, r.hasSecond
}

// awaitSecond waits for the second attempt, after the first one ended with the error or, if that is nil,
// with a server failure.
func (r *attemptRace) awaitSecond(err error) (*Exchange, error) {
	<-r.secondDone
	if r.secondServer != "" {
		r.request.Exclude = append(r.request.Exclude, r.secondServer)
		r.x.attempts++
	}
	if r.winner != nil {
		if err == nil || mayHaveRun(err) {
			r.x.runs++
			r.x.mayHaveRun = true
			r.reachedServer = true
		}
		return r.winner, nil
	}
	if mayHaveRun(r.secondErr) && (err == nil || mayHaveRun(err)) {
		// Both attempts may have run the work; attemptLoop counts only one of them.
		r.x.runs++
	}
	if err == nil {
		return &r.first, nil
	}
	return nil, combineFailures(err, r.secondErr)
}

// mayHaveRun reports whether the server of an attempt that ended with the error may have run the work.
func mayHaveRun(err error) bool {
	f, ok := err.(*failure)
	return ok && f.mayHaveRun
}

// combineFailures merges the failures of both attempts: the work may have run if either may have run it.
func combineFailures(first, second error) error {
	firstFailure, ok := first.(*failure)
	if !ok {
		return first
	}
	if mayHaveRun(second) {
		combined := *firstFailure
		combined.mayHaveRun = true
		combined.grantExpired = false
		return &combined
	}
	return first
}

// supervise waits until a second attempt is due, and runs it.
func (r *attemptRace) supervise() {
	firstDone := r.watchFirst()
	if firstDone == nil {
		return
	}
	purpose, due := r.awaitDue(firstDone)
	if !due || !r.retryable() {
		return
	}
	ctx, cancel := context.WithCancel(r.x.ctx)
	child, request := r.registerSecond(ctx, cancel)
	if child == nil {
		cancel()
		return
	}
	defer close(r.secondDone)
	request.Purpose = purpose
	if err := r.runSecond(child, request); err != nil {
		cancel()
		r.secondErr = err
	}
}

// watchFirst returns a channel that is closed at the end of the first attempt, or nil if it has
// already ended.
func (r *attemptRace) watchFirst() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstEnded {
		return nil
	}
	r.firstDone = make(chan struct{})
	return r.firstDone
}

// awaitDue blocks until a hedge is due, the first attempt's server is ejected, or the first attempt
// or the request has ended. It returns the purpose of the second attempt and whether to start one.
func (r *attemptRace) awaitDue(firstDone <-chan struct{}) (grant.Purpose, bool) {
	var hedgeTimer <-chan time.Time
	if r.hedgeDelay > 0 {
		timer := time.NewTimer(time.Until(r.startedAt.Add(r.hedgeDelay)))
		defer timer.Stop()
		hedgeTimer = timer.C
	}
	for {
		select {
		case <-r.first.grant.Advised():
			return grant.Retry, true
		case <-hedgeTimer:
			if !r.responseBegun.Load() {
				return grant.Hedge, true
			}
			hedgeTimer = nil
		case <-firstDone:
			return 0, false
		case <-r.x.ctx.Done():
			return 0, false
		}
	}
}

// registerSecond registers the second attempt and copies what it needs, since the exchange belongs
// to the goroutine of the first attempt again once that attempt has ended. It returns nil if the first
// attempt has already ended.
func (r *attemptRace) registerSecond(ctx context.Context, cancel context.CancelFunc) (*Exchange, grant.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstEnded {
		return nil, grant.Request{}
	}
	r.hasSecond = true
	r.secondDone = make(chan struct{})
	r.cancelSecond = cancel
	child := r.x.fork(ctx, nil)
	child.cancelAttempt = cancel
	request := r.request
	request.Exclude = r.excludedInstances()
	return child, request
}

func (r *attemptRace) runSecond(child *Exchange, request grant.Request) error {
	g, err := r.cfg.Grants.Acquire(child.ctx, request)
	if err != nil {
		return err
	}
	if !r.retryable() {
		// The configuration has changed while the attempt waited.
		g.Complete(grant.Completion{Result: grant.Unused})
		return errNotRepeated
	}
	child.grant = g
	r.secondServer = g.Server().Instance
	if err := r.next.Handle(child); err != nil {
		return err
	}
	r.mu.Lock()
	won := r.winner == nil
	if won {
		r.winner = child
		r.abort.Abort()
	}
	r.mu.Unlock()
	if !won {
		child.discard()
	}
	return nil
}
