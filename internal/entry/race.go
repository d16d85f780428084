package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
)

const (
	// adviseDelay is when a request begins to listen for the advice to go elsewhere. Servers are
	// ejected for stalls after 150 ms at the earliest.
	adviseDelay = 100 * time.Millisecond
	// minHedgeDelay bounds how early a hedge is sent.
	minHedgeDelay = 30 * time.Millisecond
)

// race is an attempt at repeatable work that a second attempt may join. The first answer that is
// whole, or too long to be read before it is relayed, wins; the other attempt is cancelled.
type race struct {
	*trial
	// first is the first attempt's exchange, kept here to save an allocation.
	first Exchange
	abort roundtrip.Abort
	began time.Time
	hedge time.Duration
	// answering is set when the first attempt's answer has begun; then no hedge is sent.
	answering atomic.Bool

	mu     sync.Mutex
	winner *Exchange
	// ended is set when the first attempt has ended, and over, if there is one, is closed.
	ended bool
	over  chan struct{}
	// second is set once a second attempt runs; done is closed at its end.
	second       bool
	cancelSecond context.CancelFunc
	done         chan struct{}
	secondErr    error
	// secondServer is the instance that the second attempt was granted, or "".
	secondServer string
}

// race runs the first attempt in this goroutine. The second one costs a goroutine only if it may be due.
func (t *trial) race(g grant.Grant) (*Exchange, error) {
	r := &race{trial: t, first: *t.x, began: time.Now()}
	r.first.grant = g
	r.first.abort = &r.abort
	r.first.answering = &r.answering
	delay := adviseDelay
	if t.x.match.Priority == priority.Urgent {
		if r.hedge = t.cfg.Grants.HedgeDelay(t.x.match.Service); r.hedge > 0 {
			r.hedge = max(r.hedge, minHedgeDelay)
			delay = min(delay, r.hedge)
		}
	}
	timer := time.AfterFunc(delay, r.supervise)
	err := t.next.Handle(&r.first)
	timer.Stop()
	return r.finish(err)
}

// finish ends the first attempt and, if that failed, waits for the second one.
func (r *race) finish(err error) (*Exchange, error) {
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

func (r *race) endFirst(err error) (won, second bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if err == nil && r.winner == nil {
		r.winner = &r.first
	}
	if r.over != nil {
		close(r.over)
	}
	won = r.winner == &r.first
	if won && r.cancelSecond != nil {
		r.cancelSecond()
	}
	r.x.hedged = r.x.hedged || r.second
	return won, r.second
}

func (r *race) awaitSecond(err error) (*Exchange, error) {
	<-r.done
	if r.winner != nil {
		return r.winner, nil
	}
	if second, ok := r.secondErr.(*failure); ok && second.mayHaveRun {
		if first, ok := err.(*failure); ok && first.mayHaveRun {
			// The trial counts the first one.
			r.x.runs++
		}
	}
	if r.secondServer != "" {
		r.request.Exclude = append(r.request.Exclude, r.secondServer)
		r.x.attempts++
	}
	return nil, worse(err, r.secondErr)
}

// worse combines two failures: the work may have run if either attempt may have run it.
func worse(a, b error) error {
	fa, ok := a.(*failure)
	if !ok {
		return a
	}
	if fb, ok := b.(*failure); ok && fb.mayHaveRun {
		combined := *fa
		combined.mayHaveRun = true
		combined.unused = false
		return &combined
	}
	return a
}

// supervise waits until a second attempt is due and runs it.
func (r *race) supervise() {
	over := r.watch()
	if over == nil {
		return
	}
	purpose, due := r.due(over)
	if !due {
		return
	}
	ctx, cancel := context.WithCancel(r.x.ctx)
	child, request := r.join(ctx, cancel)
	if child == nil {
		cancel()
		return
	}
	defer close(r.done)
	request.Purpose = purpose
	if err := r.runSecond(child, request); err != nil {
		cancel()
		r.secondErr = err
	}
}

// watch returns a channel that is closed at the end of the first attempt, or nil if it has ended.
func (r *race) watch() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil
	}
	r.over = make(chan struct{})
	return r.over
}

// due blocks until a hedge or an advised retry is due, or the first attempt has ended.
func (r *race) due(over <-chan struct{}) (grant.Purpose, bool) {
	var hedge <-chan time.Time
	if r.hedge > 0 {
		timer := time.NewTimer(time.Until(r.began.Add(r.hedge)))
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case <-r.first.grant.Advised():
			return grant.Retry, true
		case <-hedge:
			if !r.answering.Load() {
				return grant.Hedge, true
			}
			hedge = nil
		case <-over:
			return 0, false
		case <-r.x.ctx.Done():
			return 0, false
		}
	}
}

// join registers the second attempt and copies what it needs, since the exchange belongs to the
// first attempt's goroutine again once that attempt has ended. It returns nil if it has.
func (r *race) join(ctx context.Context, cancel context.CancelFunc) (*Exchange, grant.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil, grant.Request{}
	}
	r.second = true
	r.done = make(chan struct{})
	r.cancelSecond = cancel
	child := r.x.fork(ctx, nil)
	child.release = cancel
	request := r.request
	request.Exclude = r.excluded()
	return child, request
}

func (r *race) runSecond(child *Exchange, request grant.Request) error {
	g, err := r.cfg.Grants.Acquire(child.ctx, request)
	if err != nil {
		return err
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
