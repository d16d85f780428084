// Package invariant checks at run time the conditions that must always hold in the program.
//
// A violation is a defect of the program and never caused by bad input. It is counted and passed to
// the subscribed handlers: the one of the process logs it, and tests and the soak test add their own.
// The process keeps running, since stopping it would abort requests of callers that the violation
// does not affect.
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
	// Detail shows the values that violate it.
	Detail string
}

// Handler is called with each violation. It must not block.
type Handler func(Violation)

type registry struct {
	mu       sync.Mutex
	nextID   int
	handlers map[int]Handler
	counts   map[string]uint64
}

var (
	violations = &registry{handlers: map[int]Handler{}, counts: map[string]uint64{}}
	checks     atomic.Uint64
)

// Check counts and reports a violation of the named invariant unless ok is true. It returns ok.
func Check(ok bool, name, format string, args ...any) bool {
	checks.Add(1)
	if ok {
		return true
	}
	violations.report(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
	return false
}

// Checks returns the number of checks made, so that a test can verify that it caused some.
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

// Counts returns the number of violations by invariant name.
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
	id := violations.nextID
	violations.nextID++
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
