package records

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// maxEntries bounds the remembered attempts that have ended.
	maxEntries = 65_536
	// maxAnswerBytes bounds the remembered answers that are not recorded yet, in both their forms.
	maxAnswerBytes = 32 << 20
	// maxQueryWait bounds how long one query is held.
	maxQueryWait = 10 * time.Second
)

// Attempts are the attempts of this node that are running or not recorded yet. It answers
// the queries of other nodes and is safe for concurrent use.
type Attempts struct {
	incarnation uint64

	mu      sync.Mutex
	entries map[string]*entry
	// ended lists the ended entries in the order in which they ended, for eviction.
	ended *list.List
	// places maps attempts to their elements of ended.
	places map[string]*list.Element
	bytes  int
}

// NewAttempts returns the empty table of a node's incarnation.
func NewAttempts(incarnation uint64) *Attempts {
	return &Attempts{
		incarnation: incarnation,
		entries:     map[string]*entry{},
		ended:       list.New(),
		places:      map[string]*list.Element{},
	}
}

// Attempt serves queries about attempts of this node. An attempt of another incarnation, or
// one that is no longer remembered, is unknown. It has no errors.
func (a *Attempts) Attempt(ctx context.Context, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	e, ok := a.lookup(r.GetAttempt())
	if !ok || r.GetIncarnation() != a.incarnation || e.chain != r.GetKey() {
		return &fleetpb.AttemptReply{State: stateUnknown}, nil
	}
	timer := time.NewTimer(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxQueryWait))
	defer timer.Stop()
	select {
	case <-e.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.reply(), nil
}

// Len returns how many attempts are remembered.
func (a *Attempts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.entries)
}

func (a *Attempts) lookup(attempt string) (*entry, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[attempt]
	return e, ok
}

func (a *Attempts) add(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries[e.attempt] = e
}

// end notes that the entry has ended, and makes room.
func (a *Attempts) end(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.entries[e.attempt]; !ok {
		return
	}
	// The answer is held twice, here and in its encoded form until it is recorded.
	size := 2 * len(e.reply().GetAnswer().GetBody())
	if a.bytes+size > maxAnswerBytes {
		e.dropBody()
		size = 0
	}
	a.bytes += size
	a.places[e.attempt] = a.ended.PushBack(endedEntry{e, size})
	for len(a.places) > maxEntries {
		a.drop(a.ended.Front().Value.(endedEntry).attempt)
	}
}

// endedEntry is an ended attempt with the bytes counted for its answer.
type endedEntry struct {
	*entry
	size int
}

// forget removes an entry whose outcome is recorded or will never be asked for.
func (a *Attempts) forget(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(e.attempt)
}

func (a *Attempts) drop(attempt string) {
	if place, ok := a.places[attempt]; ok {
		a.bytes -= place.Value.(endedEntry).size
		a.ended.Remove(place)
		delete(a.places, attempt)
	}
	delete(a.entries, attempt)
}
