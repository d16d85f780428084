package control

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// reads shares the reads of the chain among those that wait for one. A caller gets the outcome of a read
// that began after it asked, so that every change that was accepted before is in it. Without this the hosts
// of a fleet that all start at once make each control replica read the chain hundreds of times at once.
type reads struct {
	mu      sync.Mutex
	running bool
	// next is the read that begins when the running one ends; nil if nobody waits for it.
	next *sharedRead
}

// sharedRead is one read. Its context ends when nobody waits for it any more.
type sharedRead struct {
	ctx       context.Context
	cancel    context.CancelFunc
	waiting   int
	done      chan struct{}
	undecided bool
	err       error
}

type readFunc func(ctx context.Context) (undecided bool, err error)

// wait returns the outcome of a read that begins after the call.
func (s *reads) wait(ctx context.Context, read readFunc) (undecided bool, err error) {
	shared := s.join(ctx, read)
	defer s.leave(shared)
	select {
	case <-shared.done:
		return shared.undecided, shared.err
	case <-ctx.Done():
		return false, errors.WithMessage(ctx.Err(), "read the configuration log")
	}
}

func (s *reads) join(ctx context.Context, read readFunc) *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &sharedRead{done: make(chan struct{})}
		s.next.ctx, s.next.cancel = context.WithCancel(context.WithoutCancel(ctx))
	}
	shared := s.next
	shared.waiting++
	if !s.running {
		s.begin(read)
	}
	return shared
}

func (s *reads) leave(shared *sharedRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shared.waiting--; shared.waiting > 0 {
		return
	}
	shared.cancel()
	if s.next == shared {
		s.next = nil
	}
}

// begin starts the next read. The caller holds the mutex.
func (s *reads) begin(read readFunc) {
	shared := s.next
	s.running, s.next = true, nil
	go func() {
		shared.undecided, shared.err = read(shared.ctx)
		close(shared.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running = false
		if s.next != nil {
			s.begin(read)
		}
	}()
}
