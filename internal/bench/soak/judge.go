package soak

import (
	"fmt"
	"sync"
	"time"
)

// Check names a guarantee that a run checks.
type Check string

// The checks.
const (
	// CheckResponse: every response is complete and belongs to its request.
	CheckResponse Check = "own-whole-answer"
	// CheckAtMostOnce: the work of one idempotency key starts at most once across all stand-ins.
	CheckAtMostOnce Check = "at-most-once"
	// CheckNotRun: no request ran whose caller received the outcome not-run.
	CheckNotRun Check = "truthful-not-run"
	// CheckReplay: all responses under one key are equal.
	CheckReplay Check = "equal-replay"
	// CheckKeyReuse: once a key has a response, its use with a different body is refused.
	CheckKeyReuse Check = "key-reuse"
	// CheckMinimumCapacity: servers stay out of rotation only while the minimum healthy capacity is available.
	CheckMinimumCapacity Check = "minimum-capacity"
	// CheckInvariant: no invariant checked inside the program is violated.
	CheckInvariant Check = "invariant"
	// CheckRevision: the revision in force on a node never decreases.
	CheckRevision Check = "no-revert"
	// CheckAcceptedChange: an accepted change is in the history and in the final document, a refused one is
	// not.
	CheckAcceptedChange Check = "accepted-change"
	// CheckOneWinner: of changes with equal expected revisions exactly one is accepted.
	CheckOneWinner Check = "one-winner"
	// CheckNoNewWork: a draining or vanished server receives no new work after 3 s.
	CheckNoNewWork Check = "no-new-work"
	// CheckShutdown: a graceful shutdown aborts no request in flight.
	CheckShutdown Check = "graceful-shutdown"
	// CheckRecovery: within 10 s after the last fault all control replicas vote, all nodes are ready and all
	// routes are served.
	CheckRecovery Check = "recovery"
	// CheckEvidence: the run has the evidence that its other checks need, such as complete logs of the
	// stand-ins.
	CheckEvidence Check = "proof"
)

// Event is an entry of the timeline.
type Event struct {
	At          time.Duration `json:"at_ns"`
	Description string        `json:"what"`
}

// String formats the event as one line.
func (e Event) String() string {
	return fmt.Sprintf("%8.3fs %s", e.At.Seconds(), e.Description)
}

// Violation describes a violated guarantee.
type Violation struct {
	Check  Check         `json:"check"`
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
	// PrecedingEvents holds the last events before the violation.
	PrecedingEvents []Event `json:"before"`
}

// finding describes a violation that a check detected; nil means that there is none.
type finding struct {
	check  Check
	detail string
}

func newFinding(check Check, format string, args ...any) *finding {
	return &finding{check: check, detail: fmt.Sprintf(format, args...)}
}

// maxPrecedingEvents bounds the events that are reported with a violation.
const maxPrecedingEvents = 8

// recorder records the timeline and the first violation. It is safe for concurrent use.
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

func (r *recorder) recordEvent(format string, args ...any) {
	e := Event{At: time.Since(r.start), Description: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, e)
	if r.onEvent != nil {
		r.onEvent(e)
	}
}

// reportFinding records the finding as the violation of the run unless there is one already. It ignores nil.
func (r *recorder) reportFinding(f *finding) {
	if f == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.violation != nil {
		return
	}
	last := r.timeline[max(0, len(r.timeline)-maxPrecedingEvents):]
	r.violation = &Violation{
		Check: f.check, At: time.Since(r.start), Detail: f.detail, PrecedingEvents: append([]Event(nil), last...),
	}
	close(r.violated)
}

func (r *recorder) result() ([]Event, *Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.timeline...), r.violation
}
