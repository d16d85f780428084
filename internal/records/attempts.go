package records

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// maxEndedAttempts bounds the number of remembered attempts that have ended.
	maxEndedAttempts = 65_536
	// maxResponseBytes bounds the bodies of remembered responses that are not recorded yet, counting each
	// body twice: in the response and in the encoded transition.
	maxResponseBytes = 32 << 20
	// maxQueryWait bounds how long the reply to one query may be delayed while the attempt runs.
	maxQueryWait = 10 * time.Second
)

// Attempts is the table of this node's attempts that are running or whose outcome is not recorded
// yet. It serves the queries of other nodes and is safe for concurrent use.
type Attempts struct {
	incarnation uint64

	mu   sync.Mutex
	byID map[string]*localAttempt
	// ended lists the ended attempts in the order in which they ended, for eviction.
	ended *list.List
	// elements maps the IDs of ended attempts to their elements of ended.
	elements      map[string]*list.Element
	responseBytes int
}

// NewAttempts returns an empty table for this incarnation of the node.
func NewAttempts(incarnation uint64) *Attempts {
	return &Attempts{
		incarnation: incarnation,
		byID:        map[string]*localAttempt{},
		ended:       list.New(),
		elements:    map[string]*list.Element{},
	}
}

// Attempt serves a query about an attempt of this node. It replies when the attempt has ended, or with
// the state running after the requested wait. An attempt of another incarnation, or one that is no
// longer remembered, is reported as unknown. The error is always nil.
func (a *Attempts) Attempt(ctx context.Context, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	local, ok := a.lookup(r.GetAttempt())
	if !ok || r.GetIncarnation() != a.incarnation || local.chain != r.GetKey() {
		return &fleetpb.AttemptReply{State: stateUnknown}, nil
	}
	timer := time.NewTimer(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxQueryWait))
	defer timer.Stop()
	select {
	case <-local.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	return local.reply(), nil
}

// Len returns the number of remembered attempts.
func (a *Attempts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byID)
}

func (a *Attempts) lookup(id string) (*localAttempt, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	local, ok := a.byID[id]
	return local, ok
}

func (a *Attempts) add(local *localAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[local.id] = local
}

// markEnded adds an attempt to the ended ones, and evicts the oldest ones above maxEndedAttempts.
func (a *Attempts) markEnded(local *localAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.byID[local.id]; !ok {
		return
	}
	// Until it is recorded, the body is in memory twice: in this table and in the encoded transition.
	size := 2 * len(local.reply().GetAnswer().GetBody())
	if a.responseBytes+size > maxResponseBytes {
		local.dropBody()
		size = 0
	}
	a.responseBytes += size
	a.elements[local.id] = a.ended.PushBack(endedAttempt{local, size})
	for len(a.elements) > maxEndedAttempts {
		a.removeLocked(a.ended.Front().Value.(endedAttempt).id)
	}
}

// endedAttempt is an ended attempt with the number of bytes counted for its response.
type endedAttempt struct {
	*localAttempt
	size int
}

// forget removes an attempt whose outcome is recorded or will never be queried.
func (a *Attempts) forget(local *localAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeLocked(local.id)
}

// removeLocked must be called with a.mu held.
func (a *Attempts) removeLocked(id string) {
	if element, ok := a.elements[id]; ok {
		a.responseBytes -= element.Value.(endedAttempt).size
		a.ended.Remove(element)
		delete(a.elements, id)
	}
	delete(a.byID, id)
}
