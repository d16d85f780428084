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
func (s *readGroup) awaitRead(ctx context.Context, read readFunc) (undecided bool, err error) {
	shared := s.joinNext(ctx, read)
	defer s.leave(shared)
	select {
	case <-shared.done:
		return shared.undecided, shared.err
	case <-ctx.Done():
		return false, errors.WithMessage(ctx.Err(), "read the configuration log")
	}
}

func (s *readGroup) joinNext(ctx context.Context, read readFunc) *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &sharedRead{done: make(chan struct{})}
		s.next.ctx, s.next.cancel = context.WithCancel(context.WithoutCancel(ctx))
	}
	shared := s.next
	shared.waiters++
	if !s.running {
		s.startNext(read)
	}
	return shared
}

func (s *readGroup) leave(shared *sharedRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shared.waiters--; shared.waiters > 0 {
		return
	}
	shared.cancel()
	if s.next == shared {
		s.next = nil
	}
}

// startNext starts the next read. The caller must hold the mutex.
func (s *readGroup) startNext(read readFunc) {
	shared := s.next
	s.running, s.next = true, nil
	go func() {
		shared.undecided, shared.err = read(shared.ctx)
		close(shared.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running = false
		if s.next != nil {
			s.startNext(read)
		}
	}()
}
