package records

import (
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// stage is the state of one attempt in the memory of its node.
type stage uint8

const (
	// notStarted: the claim is being decided or was won, and the operation has not started.
	notStarted stage = iota
	// started: a byte may have been written to a backend server.
	started
	// The stages below are final.
	endedDone
	endedAbandoned
	endedUnknown
)

// States of an attempt in an AttemptReply.
const (
	stateRunning   = "running"
	stateDone      = "done"
	stateAbandoned = "abandoned"
	stateUnknown   = "unknown"
)

// localAttempt is one attempt of this node. Whether the operation may start and whether the attempt is
// reported to other nodes as abandoned both depend on the stage, which mu protects.
type localAttempt struct {
	chain   string
	id      string
	created time.Time

	mu       sync.Mutex
	stage    stage
	response *fleetpb.Answer
	// ended is closed when the stage is final.
	ended chan struct{}
}

func newLocalAttempt(chain, id string, now time.Time) *localAttempt {
	return &localAttempt{chain: chain, id: id, created: now, ended: make(chan struct{})}
}

// start moves the attempt to started. It returns false if the attempt has ended.
func (a *localAttempt) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage != notStarted && a.stage != started {
		return false
	}
	a.stage = started
	return true
}

// markRejected moves a started attempt back to notStarted, because the backend server rejected the
// request before running it.
func (a *localAttempt) markRejected() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == started {
		a.stage = notStarted
	}
}

// finish ends the attempt. It returns the final stage and whether this call was the one that ended the
// attempt. An attempt that has started can no longer be abandoned; it ends as unknown instead.
func (a *localAttempt) finish(to stage, response *fleetpb.Answer) (final stage, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage > started {
		return a.stage, false
	}
	if to == endedAbandoned && !invariant.Check(a.stage == notStarted, "records.abandoned-not-started", "attempt %s of %s", a.id, a.chain) {
		to = endedUnknown
	}
	a.stage, a.response = to, response
	close(a.ended)
	return to, true
}

// dropBody reduces a remembered response to its status, which still shows that the operation ran.
func (a *localAttempt) dropBody() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.response != nil {
		a.response = &fleetpb.Answer{Status: a.response.GetStatus(), TooLarge: true}
	}
}

// reply returns the attempt's state for other nodes.
func (a *localAttempt) reply() *fleetpb.AttemptReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.stage {
	case notStarted, started:
		return &fleetpb.AttemptReply{State: stateRunning}
	case endedDone:
		return &fleetpb.AttemptReply{State: stateDone, Answer: a.response}
	case endedAbandoned:
		return &fleetpb.AttemptReply{State: stateAbandoned}
	default:
		return &fleetpb.AttemptReply{State: stateUnknown}
	}
}
