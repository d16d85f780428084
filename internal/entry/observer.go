package entry

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/route"
)

// Outcomes of requests that are not refusals. Refusals are observed under their problem kind.
const (
	// OutcomeAnswered is a whole answer of a backend server.
	OutcomeAnswered = "answered"
	// OutcomeReplayed is a recorded answer.
	OutcomeReplayed = "replayed"
	// OutcomeCallerGone means that the caller closed its connection first.
	OutcomeCallerGone = "caller-gone"
	// OutcomeBroken means that the answer broke off after it had begun to reach the caller.
	OutcomeBroken = "broken"
)

// Observation describes one finished request.
type Observation struct {
	// Match is zero if no route was found.
	Match route.Match
	// Matched tells whether a route was found.
	Matched bool
	// TeamBucket is below TeamBuckets.
	TeamBucket int
	// Outcome is one of the constants above or a problem kind.
	Outcome string
	// Status sent to the caller; 0 if none was.
	Status int
	// Latency is the time from the request's headers to the end of the answer.
	Latency time.Duration
	// Attempts counts the grants that were used.
	Attempts int
	// Hedged is set when a hedge was sent.
	Hedged bool
}

// Priority returns the priority of the request's route.
func (o Observation) Priority() priority.Priority {
	return o.Match.Priority
}

// Good tells whether a backend server answered with a status below 500 within the target.
func (o Observation) Good() bool {
	answered := o.Outcome == OutcomeAnswered || o.Outcome == OutcomeReplayed
	inTime := o.Match.TargetLatency == 0 || o.Latency <= o.Match.TargetLatency
	return answered && o.Status < 500 && inTime
}

// Observer hears of finished requests. It must not block and is called concurrently.
type Observer interface {
	Observe(Observation)
}

// Observers passes each observation on to all of its elements.
type Observers []Observer

// Observe implements Observer.
func (os Observers) Observe(o Observation) {
	for _, each := range os {
		each.Observe(o)
	}
}

type discardObserver struct{}

func (discardObserver) Observe(Observation) {}
