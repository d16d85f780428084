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
	// waiting: the claim is being decided or was won, and the work has not started.
	waiting stage = iota
	// started: a byte may have been written to a backend server.
	started
	// The ended stages are final.
	endedDone
	endedAbandoned
	endedUnknown
)

// The states of an attempt in an AttemptReply.
const (
	stateRunning   = "running"
	stateDone      = "done"
	stateAbandoned = "abandoned"
	stateUnknown   = "unknown"
)

// entry is one attempt of this node. Whether the work may start and whether others are told
// that it is abandoned follow from the same stage under the same lock.
type entry struct {
	chain   string
	attempt string
	created time.Time

	mu     sync.Mutex
	stage  stage
	answer *fleetpb.Answer
	// ended is closed when the stage is final.
	ended chan struct{}
}

func newEntry(chain, attempt string, now time.Time) *entry {
	return &entry{chain: chain, attempt: attempt, created: now, ended: make(chan struct{})}
}

// start moves to started unless the attempt has ended.
func (e *entry) start() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stage != waiting && e.stage != started {
		return false
	}
	e.stage = started
	return true
}

// rejected moves back to waiting: the backend server refused the request unrun.
func (e *entry) rejected() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stage == started {
		e.stage = waiting
	}
}

// finish ends the attempt and tells whether it had not ended before. An attempt that has
// started cannot be abandoned any more; it ends as unknown.
func (e *entry) finish(to stage, answer *fleetpb.Answer) (final stage, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stage > started {
		return e.stage, false
	}
	if to == endedAbandoned && !invariant.Check(e.stage == waiting, "records.abandoned-not-started", "attempt %s of %s", e.attempt, e.chain) {
		to = endedUnknown
	}
	e.stage, e.answer = to, answer
	close(e.ended)
	return to, true
}

// dropBody reduces a remembered answer to the fact that the work ran.
func (e *entry) dropBody() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answer != nil {
		e.answer = &fleetpb.Answer{Status: e.answer.GetStatus(), TooLarge: true}
	}
}

// reply describes the attempt to others.
func (e *entry) reply() *fleetpb.AttemptReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch e.stage {
	case waiting, started:
		return &fleetpb.AttemptReply{State: stateRunning}
	case endedDone:
		return &fleetpb.AttemptReply{State: stateDone, Answer: e.answer}
	case endedAbandoned:
		return &fleetpb.AttemptReply{State: stateAbandoned}
	default:
		return &fleetpb.AttemptReply{State: stateUnknown}
	}
}
