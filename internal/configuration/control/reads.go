package control

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// readGroup coalesces concurrent reads of the chain. Each call gets the result of a read that began after
// the call, so that the result includes every change accepted before it. Without coalescing, a fleet whose
// hosts all start at the same time makes each control replica run hundreds of reads concurrently.
type readGroup struct {
	mu      sync.Mutex
	running bool
	// next is the read that starts when the running one ends; nil if no call waits for it.
	next *sharedRead
}

// sharedRead is one read. Its context is cancelled when no call waits for it any more.
type sharedRead struct {
	ctx       context.Context
	cancel    context.CancelFunc
	waiters   int
	done      chan struct{}
	undecided bool
	err       error
}

type readFunc func(ctx context.Context) (undecided bool, err error)

// awaitRead returns the result of a read that begins after the call.
func (g *readGroup) awaitRead(ctx context.Context, read readFunc) (undecided bool, err error) {
	shared := g.joinNext(ctx, read)
	defer g.leave(shared)
	select {
	case <-shared.done:
		return shared.undecided, shared.err
	case <-ctx.Done():
		return false, errors.WithMessage(ctx.Err(), "read the configuration log")
	}
}

func (g *readGroup) joinNext(ctx context.Context, read readFunc) *sharedRead {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &sharedRead{done: make(chan struct{})}
		g.next.ctx, g.next.cancel = context.WithCancel(context.WithoutCancel(ctx))
	}
	shared := g.next
	shared.waiters++
	if !g.running {
		g.startNext(read)
	}
	return shared
}

func (g *readGroup) leave(shared *sharedRead) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shared.waiters--; shared.waiters > 0 {
		return
	}
	shared.cancel()
	if g.next == shared {
		g.next = nil
	}
}

// startNext starts the next read. The caller must hold the mutex.
func (g *readGroup) startNext(read readFunc) {
	shared := g.next
	g.running, g.next = true, nil
	go func() {
		shared.undecided, shared.err = read(shared.ctx)
		close(shared.done)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running = false
		if g.next != nil {
			g.startNext(read)
		}
	}()
}
