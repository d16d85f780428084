package standin

import (
	"maps"
	"sync"
)

// Run counts how often work started and how it ended: the work of one request id, of one idempotency key,
// or all work.
type Run struct {
	// Started counts the runs that started.
	Started int `json:"started"`
	// Finished counts the runs that completed, whether or not the response arrived.
	Finished int `json:"finished"`
	// Cancelled counts the runs that the proxy cancelled or whose deadline expired.
	Cancelled int `json:"cancelled"`
}

// Ledger records which work ran.
type Ledger struct {
	// Requests maps request ids to runs; Keys maps idempotency keys to runs.
	Requests map[string]Run `json:"requests"`
	Keys     map[string]Run `json:"keys"`
	// Total counts all runs, including those whose id was left out because of the limit.
	Total Run `json:"total"`
	// Rejected counts the requests that were rejected before they ran.
	Rejected int `json:"rejected"`
	// CallerKeys counts the requests that arrived with the key of a caller.
	CallerKeys int `json:"caller_keys,omitempty"`
	// Overflowed is set if ids were left out because of the limit. A missing id then does not prove that
	// the work did not run.
	Overflowed bool `json:"overflowed,omitempty"`
}

// ledger collects runs. It is kept across simulated crashes, so that tests can check what ran before them.
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

func (l *ledger) countCallerKey() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contents.CallerKeys++
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
