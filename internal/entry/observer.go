package entry

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/route"
)

// Outcomes of requests that are not refusals. Refusals are observed under their problem kind.
const (
	// OutcomeAnswered is a complete response of a backend server.
	OutcomeAnswered = "answered"
	// OutcomeReplayed is a recorded response.
	OutcomeReplayed = "replayed"
	// OutcomeCallerGone means that the caller closed its connection before the response was complete.
	OutcomeCallerGone = "caller-gone"
	// OutcomeBroken means that the response broke off after a part of it was sent to the caller.
	OutcomeBroken = "broken"
)

// Observation describes one finished request.
type Observation struct {
	// Match is zero if no route was found.
	Match route.Match
	// Matched reports whether a route was found.
	Matched bool
	// TeamBucket is the hashed bucket of the team, from 0 to TeamBuckets-1.
	TeamBucket int
	// Outcome is one of the constants above or a problem kind.
	Outcome string
	// Status is the status sent to the caller, or 0 if none was sent.
	Status int
	// Latency is the time from the request's headers to the end of the response.
	Latency time.Duration
	// Attempts is the number of grants that were used.
	Attempts int
	// Hedged is set if a second attempt was started while the first one was still running: a hedge,
	// or a retry because the server was ejected.
	Hedged bool
	// Rejected is the number of attempts whose server stated that it did not run the request.
	Rejected int
	// Skipped is the number of responses to other requests that servers sent in place of the response to this one.
	Skipped int
}

// Priority returns the priority of the request's route.
func (o Observation) Priority() priority.Priority {
	return o.Match.Priority
}

// Good reports whether a backend server responded with a status below 500 within the target latency.
func (o Observation) Good() bool {
	answered := o.Outcome == OutcomeAnswered || o.Outcome == OutcomeReplayed
	inTime := o.Match.TargetLatency == 0 || o.Latency <= o.Match.TargetLatency
	return answered && o.Status < 500 && inTime
}

// Observer is notified of finished requests. It is called concurrently and must not block.
type Observer interface {
	Observe(Observation)
}

// Observers passes each observation to all of its elements.
type Observers []Observer

// Observe implements Observer.
func (os Observers) Observe(o Observation) {
	for _, each := range os {
		each.Observe(o)
	}
}

type discardObserver struct{}

func (discardObserver) Observe(Observation) {}
