package soak

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

// Options configures a run.
type Options struct {
	// Seed determines the faults, the load and the operators' changes.
	Seed uint64
	// FaultDuration is the time in which faults happen. Start, recovery and final checks take additional
	// time.
	FaultDuration time.Duration
	// OnEvent receives each event of the timeline as it is recorded; it may be nil.
	OnEvent func(Event)
	// Logger receives the log lines of the fleet; nil discards them.
	Logger *log.Logger
}

// Counts summarises the work and the checks of a run.
type Counts struct {
	Faults   int          `json:"faults"`
	ByKind   map[Kind]int `json:"by_kind"`
	Requests uint64       `json:"requests"`
	// Answered counts responses of stand-ins, Refused refusals by kind, NotRun those with the outcome not-run.
	Answered uint64         `json:"answered"`
	Refused  map[string]int `json:"refused"`
	NotRun   int            `json:"not_run"`
	// Failed counts requests that ended with an error instead of a response.
	Failed uint64 `json:"lost"`
	// Keys counts the idempotency keys, Replays the responses after the first one of a key, and KeyReuses the
	// refusals of a different body under a key.
	Keys      int `json:"keys"`
	Replays   int `json:"replays"`
	KeyReuses int `json:"key_reuses"`
	Accepted  int `json:"accepted_changes"`
	Conflicts int `json:"conflicts"`
	// Unsettled counts changes without a final verdict.
	Unsettled int `json:"unsettled_changes"`
	// Views and Revisions count the checked views of dispatchers and the checked revisions of nodes.
	Views     int `json:"views"`
	Revisions int `json:"revisions"`
	// NoNewWorkChecks counts the draining or vanished servers that were checked for new work.
	NoNewWorkChecks int `json:"quiet_checks"`
	// Runs counts how often stand-ins started work.
	Runs       int    `json:"runs"`
	Invariants uint64 `json:"invariant_checks"`
	// Recovery is the time from the end of the last fault until the whole fleet had recovered.
	Recovery time.Duration `json:"recovery_ns"`
}

// Report is the result of a run.
type Report struct {
	Seed          uint64        `json:"seed"`
	FaultDuration time.Duration `json:"for_ns"`
	Timeline      []Event       `json:"timeline"`
	Counts        Counts        `json:"counts"`
	// Violation is the first violated guarantee, or nil.
	Violation *Violation `json:"violation,omitempty"`
}

const (
	startTimeout = time.Minute
	// maxRecoveryTime is the design's bound for the recovery of the whole fleet after the last fault.
	maxRecoveryTime = 10 * time.Second
)

// Run starts a fleet, injects the faults drawn from the seed, and checks the guarantees until the end or
// until the first violation, which the report contains. It returns an error if the fleet could not be started
// or the context ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	e, err := newEnvironment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer e.fleet.Kill()
	checks := invariant.Checks()
	defer invariant.Subscribe(func(v invariant.Violation) {
		e.recorder.reportFinding(newFinding(CheckInvariant, "%s: %s", v.Name, v.Detail))
	})()
	e.run(ctx)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "the soak was ended early")
	}
	e.counts.Invariants = invariant.Checks() - checks
	timeline, violation := e.recorder.result()
	return &Report{Seed: o.Seed, FaultDuration: o.FaultDuration, Timeline: timeline, Counts: e.totals(), Violation: violation}, nil
}

// run executes the phases: faults under load, recovery under load, final checks.
func (e *environment) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.recorder.violated:
			cancel()
		case <-ctx.Done():
		}
	}()
	var watching, working sync.WaitGroup
	watchCtx, stopWatching := context.WithCancel(ctx)
	watching.Go(func() { e.monitor(watchCtx) })
	workCtx, stopWorking := context.WithCancel(ctx)
	working.Go(func() { e.load.Run(workCtx) })
	working.Go(func() { e.sendKeyedRequests(workCtx) })
	working.Go(func() { e.operators(workCtx) })
	e.injectFaults(ctx)
	e.checkRecovery(ctx)
	stopWorking()
	working.Wait()
	e.runFinalChecks(ctx)
	stopWatching()
	watching.Wait()
}
