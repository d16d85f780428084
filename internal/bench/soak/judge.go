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
	CheckAnswer Check = "own-whole-answer"
	// CheckOnce: the work of one idempotency key starts at most once over all stand-ins.
	CheckOnce Check = "at-most-once"
	// CheckNotRun: no request ran whose caller was told that it was not run.
	CheckNotRun Check = "truthful-not-run"
	// CheckReplay: all answers under one key are equal.
	CheckReplay Check = "equal-replay"
	// CheckKeyReuse: a key that was answered is refused with another body.
	CheckKeyReuse Check = "key-reuse"
	// CheckCapacity: servers stay ejected only while the minimum healthy capacity is kept.
	CheckCapacity Check = "minimum-capacity"
	// CheckInvariant: no invariant in the program is violated.
	CheckInvariant Check = "invariant"
	// CheckRevision: the revision in force on a node never falls.
	CheckRevision Check = "no-revert"
	// CheckAccepted: an accepted change is in the history and in the final document, a refused one is not.
	CheckAccepted Check = "accepted-change"
	// CheckRace: of operators with equal expected revisions exactly one wins.
	CheckRace Check = "one-winner"
	// CheckQuiet: a server that drains or vanished gets no new work after 3 s.
	CheckQuiet Check = "no-new-work"
	// CheckShutdown: a graceful shutdown cuts no request in flight.
	CheckShutdown Check = "graceful-shutdown"
	// CheckRecovery: the fleet serves everything again within 10 s after the last fault.
	CheckRecovery Check = "recovery"
	// CheckProof: the run has what its other checks need, such as complete logs of the stand-ins.
	CheckProof Check = "proof"
)

// Event is an entry of the timeline.
type Event struct {
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}

// String returns the event as a line.
func (e Event) String() string {
	return fmt.Sprintf("%8.3fs %s", e.At.Seconds(), e.What)
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

func found(check Check, format string, args ...any) *finding {
	return &finding{check: check, detail: fmt.Sprintf(format, args...)}
}

// leadingEvents is how many events a violation names.
const leadingEvents = 8

// judge keeps the timeline and the first violation. It is safe for concurrent use.
type judge struct {
	began time.Time
	show  func(Event)
	// violated is closed at the first violation.
	violated chan struct{}

	mu        sync.Mutex
	timeline  []Event
	violation *Violation
}

func newJudge(show func(Event)) *judge {
	return &judge{began: time.Now(), show: show, violated: make(chan struct{})}
}

func (j *judge) note(format string, args ...any) {
	e := Event{At: time.Since(j.began), What: fmt.Sprintf(format, args...)}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.timeline = append(j.timeline, e)
	if j.show != nil {
		j.show(e)
	}
}

// report keeps the finding if it is the first one.
func (j *judge) report(f *finding) {
	if f == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.violation != nil {
		return
	}
	last := j.timeline[max(0, len(j.timeline)-leadingEvents):]
	j.violation = &Violation{
		Check: f.check, At: time.Since(j.began), Detail: f.detail, PrecedingEvents: append([]Event(nil), last...),
	}
	close(j.violated)
}

func (j *judge) verdict() ([]Event, *Violation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Event(nil), j.timeline...), j.violation
}
