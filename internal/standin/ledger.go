package standin

import (
	"maps"
	"sync"
)

// Run counts how often one piece of work was begun and how it ended.
type Run struct {
	// Started counts the beginnings of the work.
	Started int `json:"started"`
	// Finished counts the ends of the work, whether or not the answer arrived.
	Finished int `json:"finished"`
	// Cancelled counts the runs that the proxy cancelled or whose deadline passed.
	Cancelled int `json:"cancelled"`
}

// Ledger says which work ran.
type Ledger struct {
	// Requests maps request ids to runs, Keys idempotency keys.
	Requests map[string]Run `json:"requests"`
	Keys     map[string]Run `json:"keys"`
	// Total of all runs, also of those past the limit of ids.
	Total Run `json:"total"`
	// Rejected counts requests that were rejected before they ran.
	Rejected int `json:"rejected"`
	// Overflowed is set when ids were left out; then the maps prove nothing.
	Overflowed bool `json:"overflowed,omitempty"`
}

// ledger collects runs. It outlives crashes of the server, as an observer's notes would.
type ledger struct {
	mu       sync.Mutex
	limit    int
	contents Ledger
}

func newLedger(limit int) *ledger {
	return &ledger{limit: limit, contents: Ledger{Requests: map[string]Run{}, Keys: map[string]Run{}}}
}

func (l *ledger) record(request, key string, change func(*Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.contents.Total)
	l.recordIn(l.contents.Requests, request, change)
	l.recordIn(l.contents.Keys, key, change)
}

func (l *ledger) recordIn(runs map[string]Run, id string, change func(*Run)) {
	if id == "" {
		return
	}
	run, known := runs[id]
	if !known && len(runs) >= l.limit {
		l.contents.Overflowed = true
		return
	}
	change(&run)
	runs[id] = run
}

func (l *ledger) countRejected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contents.Rejected++
}

func (l *ledger) snapshot() Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contents
	c.Requests = maps.Clone(c.Requests)
	c.Keys = maps.Clone(c.Keys)
	return c
}

func countStarted(r *Run)   { r.Started++ }
func countFinished(r *Run)  { r.Finished++ }
func countCancelled(r *Run) { r.Cancelled++ }
