package entry

import (
	"context"
	"sync"
	"time"

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

// race is an attempt at repeatable work that a second attempt may join. The first whole or
// begun answer wins; the other attempt is cancelled.
type race struct {
	*trial
	first *Exchange
	hedge time.Duration
	timer *time.Timer

	mu     sync.Mutex
	winner *Exchange
	over   chan struct{}
	// ended is set when the first attempt has ended.
	ended        bool
	cancelFirst  context.CancelFunc
	cancelSecond context.CancelFunc
	// second is set while or after a second attempt runs; done is closed at its end.
	second    bool
	done      chan struct{}
	secondErr error
}

// race runs the first attempt in this goroutine. The second one costs a goroutine only if it is due.
func (t *trial) race(g grant.Grant) (*Exchange, error) {
	ctx, cancel := context.WithCancel(t.x.ctx)
	r := &race{trial: t, cancelFirst: cancel, over: make(chan struct{})}
	r.first = t.x.fork(ctx, g)
	r.first.release = cancel
	delay := adviseDelay
	if t.x.match.Priority == priority.Urgent {
		if r.hedge = t.cfg.Grants.HedgeDelay(t.x.match.Service); r.hedge > 0 {
			r.hedge = max(r.hedge, minHedgeDelay)
			delay = min(delay, r.hedge)
		}
	}
	r.timer = time.AfterFunc(delay, func() { r.supervise(delay) })
	err := t.next.Handle(r.first)
	return r.finish(err)
}

// finish ends the first attempt and, if that failed, waits for the second one.
func (r *race) finish(err error) (*Exchange, error) {
	r.timer.Stop()
	r.mu.Lock()
	r.ended = true
	if err == nil && r.winner == nil {
		r.winner = r.first
	}
	won := r.winner == r.first
	second := r.second
	r.x.hedged = r.x.hedged || second
	if won && r.cancelSecond != nil {
		r.cancelSecond()
	}
	if won || !second {
		close(r.over)
	}
	r.mu.Unlock()
	if won {
		return r.first, nil
	}
	r.first.discard()
	if !second {
		return nil, err
	}
	return r.awaitSecond(err)
}

func (r *race) awaitSecond(err error) (*Exchange, error) {
	<-r.done
	if r.winner != nil {
		return r.winner, nil
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
func (r *race) supervise(waited time.Duration) {
	purpose, due := r.due(waited)
	if !due {
		return
	}
	ctx, cancel := context.WithCancel(r.x.ctx)
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		cancel()
		return
	}
	r.second = true
	r.done = make(chan struct{})
	r.cancelSecond = cancel
	request := r.request
	request.Exclude = r.excluded()
	r.mu.Unlock()
	defer close(r.done)
	request.Purpose = purpose
	if err := r.runSecond(ctx, cancel, request); err != nil {
		cancel()
		r.secondErr = err
	}
}

// due blocks until a hedge or an advised retry is due, or the first attempt has ended.
func (r *race) due(waited time.Duration) (grant.Purpose, bool) {
	var hedge <-chan time.Time
	if r.hedge > 0 {
		timer := time.NewTimer(r.hedge - waited)
		defer timer.Stop()
		hedge = timer.C
	}
	select {
	case <-r.first.grant.Advised():
		return grant.Retry, true
	case <-hedge:
		return grant.Hedge, true
	case <-r.over:
		return 0, false
	case <-r.first.ctx.Done():
		return 0, false
	}
}

func (r *race) runSecond(ctx context.Context, cancel context.CancelFunc, request grant.Request) error {
	g, err := r.cfg.Grants.Acquire(ctx, request)
	if err != nil {
		return err
	}
	child := r.x.fork(ctx, g)
	child.release = cancel
	if err := r.next.Handle(child); err != nil {
		return err
	}
	r.mu.Lock()
	won := r.winner == nil
	if won {
		r.winner = child
		r.cancelFirst()
	}
	r.mu.Unlock()
	if !won {
		child.discard()
	}
	return nil
}
