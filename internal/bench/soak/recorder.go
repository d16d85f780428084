package soak

import (
	"fmt"
	"sync"
	"time"
)

// Check is a promise that a run checks.
type Check string

// The checks.
const (
	// CheckAnswer: every answer is whole and the request's own.
	CheckResponse Check = "own-whole-answer"
	// CheckOnce: the work of one idempotency key starts at most once over all stand-ins.
	CheckAtMostOnce Check = "at-most-once"
	// CheckNotRun: no request ran whose caller was told that it was not run.
	CheckNotRun Check = "truthful-not-run"
	// CheckReplay: all answers under one key are equal.
	CheckReplay Check = "equal-replay"
	// CheckKeyReuse: a key that was answered is refused with another body.
	CheckKeyReuse Check = "key-reuse"
	// CheckCapacity: servers stay ejected only while the minimum healthy capacity is kept.
	CheckMinimumCapacity Check = "minimum-capacity"
	// CheckInvariant: no invariant in the program is violated.
	CheckInvariant Check = "invariant"
	// CheckRevision: the revision in force on a node never falls.
	CheckRevision Check = "no-revert"
	// CheckAccepted: an accepted change is in the history and in the final document, a refused one is not.
	CheckAcceptedChange Check = "accepted-change"
	// CheckRace: of operators with equal expected revisions exactly one wins.
	CheckOneWinner Check = "one-winner"
	// CheckQuiet: a server that drains or vanished gets no new work after 3 s.
	CheckNoNewWork Check = "no-new-work"
	// CheckShutdown: a graceful shutdown cuts no request in flight.
	CheckShutdown Check = "graceful-shutdown"
	// CheckRecovery: the fleet serves everything again within 10 s after the last fault.
	CheckRecovery Check = "recovery"
	// CheckProof: the run has what its other checks need, such as complete logs of the stand-ins.
	CheckEvidence Check = "proof"
)

// Event is an entry of the timeline.
type Event struct {
	At          time.Duration `json:"at_ns"`
	Description string        `json:"what"`
}

// String returns the event as a line.
func (e Event) String() string {
	return fmt.Sprintf("%8.3fs %s", e.At.Seconds(), e.Description)
}

// Violation is a broken promise.
type Violation struct {
	Check  Check         `json:"check"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
	// PrecedingEvents are the last events before the violation.
	PrecedingEvents []Event `json:"before"`
}

// finding is what a check found; nil means nothing.
type finding struct {
	check  Check
	detail string
}

func newFinding(check Check, format string, args ...any) *finding {
	return &finding{check: check, detail: fmt.Sprintf(format, args...)}
}

// leadingEvents is how many events a violation names.
const maxPrecedingEvents = 8

// judge keeps the timeline and the first violation. It is safe for concurrent use.
type recorder struct {
	start   time.Time
	onEvent func(Event)
	// violated is closed at the first violation.
	violated chan struct{}

	mu        sync.Mutex
	timeline  []Event
	violation *Violation
}

func newRecorder(onEvent func(Event)) *recorder {
	return &recorder{start: time.Now(), onEvent: onEvent, violated: make(chan struct{})}
}

func (j *recorder) recordEvent(format string, args ...any) {
	e := Event{At: time.Since(j.start), Description: fmt.Sprintf(format, args...)}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.timeline = append(j.timeline, e)
	if j.onEvent != nil {
		j.onEvent(e)
	}
}

// report keeps the finding if it is the first one.
func (j *recorder) reportFinding(f *finding) {
	if f == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.violation != nil {
		return
	}
	last := j.timeline[max(0, len(j.timeline)-maxPrecedingEvents):]
	j.violation = &Violation{
		Check: f.check, At: time.Since(j.start), Detail: f.detail, PrecedingEvents: append([]Event(nil), last...),
	}
	close(j.violated)
}

func (j *recorder) result() ([]Event, *Violation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Event(nil), j.timeline...), j.violation
}
