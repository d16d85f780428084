// Package invariant checks, inside the running program, what must always hold.
//
// A violation is a defect of the program and never a fault of its input. It is
// counted, logged and handed to the handlers that tests and the soak bench set.
// The process goes on, since stopping it would cut the requests of callers that
// the violation does not concern.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Violation is one failed check.
type Violation struct {
	// Name identifies the invariant, such as "dispatch.minimum-capacity".
	Name string
	// Detail says which values broke it.
	Detail string
}

// Handler receives violations. It must not block.
type Handler func(Violation)

type registry struct {
	mu       sync.Mutex
	next     int
	handlers map[int]Handler
	counts   map[string]uint64
}

var (
	violations = &registry{handlers: map[int]Handler{}, counts: map[string]uint64{}}
	checks     atomic.Uint64
)

// Check reports a violation of the named invariant unless ok is true, and returns ok.
func Check(ok bool, name, format string, args ...any) bool {
	checks.Add(1)
	if ok {
		return true
	}
	violations.report(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
	return false
}

// Checks returns how many checks ran, so that a test can tell that it exercised some.
func Checks() uint64 {
	return checks.Load()
}

// Total returns the number of violations since the process started.
func Total() uint64 {
	violations.mu.Lock()
	defer violations.mu.Unlock()
	total := uint64(0)
	for _, count := range violations.counts {
		total += count
	}
	return total
}

// Counts returns the violations by invariant name.
func Counts() map[string]uint64 {
	violations.mu.Lock()
	defer violations.mu.Unlock()
	counts := make(map[string]uint64, len(violations.counts))
	for name, count := range violations.counts {
		counts[name] = count
	}
	return counts
}

// Subscribe adds a handler and returns a function that removes it.
func Subscribe(h Handler) (unsubscribe func()) {
	violations.mu.Lock()
	defer violations.mu.Unlock()
	id := violations.next
	violations.next++
	violations.handlers[id] = h
	return func() {
		violations.mu.Lock()
		defer violations.mu.Unlock()
		delete(violations.handlers, id)
	}
}

func (r *registry) report(v Violation) {
	r.mu.Lock()
	r.counts[v.Name]++
	handlers := make([]Handler, 0, len(r.handlers))
	for _, h := range r.handlers {
		handlers = append(handlers, h)
	}
	r.mu.Unlock()
	for _, h := range handlers {
		h(v)
	}
}
