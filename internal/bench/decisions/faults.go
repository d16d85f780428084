package decisions

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/internal/bench/table"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	takeoverTarget       = time.Second
	takeoverLimit        = 5 * time.Second
	takeoverPollInterval = 2 * time.Millisecond
	takeoverTrials       = 2
	afterTakeoverWait    = time.Second
)

// dispatcherFaults measures the time from a fault of the dispatcher until another host grants, and checks
// that no request ran that was meanwhile refused with the outcome not-run.
func dispatcherFaults(ctx context.Context, e *environment) ([]table.Row, error) {
	cases := []struct {
		name  string
		fault func(h *localfleet.Host)
	}{
		{"killed", func(h *localfleet.Host) { h.Kill() }},
		{"frozen", func(h *localfleet.Host) { e.network.Freeze(h.ID, true) }},
		{"cut one way", func(h *localfleet.Host) { e.blockOutgoing(h.ID) }},
	}
	refused := &notRunRefusals{}
	l := e.startLoad(ctx, refused.add, e.class(urgent, steadyLoad*e.capacity()))
	time.Sleep(settleTime)
	var rows []table.Row
	for _, c := range cases {
		var times []time.Duration
		for range e.scaleTrials(takeoverTrials) {
			took, err := e.measureTakeover(ctx, c.fault)
			if err != nil {
				l.stop()
				return nil, err
			}
			times = append(times, took)
		}
		slices.Sort(times)
		worst := times[len(times)-1]
		rows = append(rows, table.Row{
			Measure: "dispatcher " + c.name + ": time to grants again", User: e.user.Name, Target: "under 1 s",
			Value: worst.Seconds(), Unit: "s", Met: worst < takeoverTarget, Note: fmt.Sprintf("worst of %d", len(times)),
		})
	}
	counts := l.Stats(urgent).Counts()
	l.stop()
	executed := refused.countExecuted(e)
	rows = append(rows, table.Row{
		Measure: "requests refused untruthfully meanwhile", User: e.user.Name, Target: "0", Value: float64(executed),
		Unit: "requests", Met: executed == 0,
		Note: fmt.Sprintf("%d sent, %d answered, %d refused not-run, %d connections lost", counts.Sent, counts.OK, counts.NotRun, counts.Failed),
	})
	return rows, nil
}

// blockOutgoing partitions the network one way: other hosts receive nothing from the host, which still
// receives from them.
func (e *environment) blockOutgoing(id string) {
	for _, h := range append(slices.Clone(e.fleet.Nodes), e.fleet.Controls...) {
		if h.ID != id {
			e.network.Cut(id, h.ID)
		}
	}
}

// measureTakeover causes the fault at the dispatcher, measures the time until another host grants, and
// removes the fault.
func (e *environment) measureTakeover(ctx context.Context, fault func(h *localfleet.Host)) (time.Duration, error) {
	previous, _, _ := e.findDispatcher(e.service)
	if previous == nil {
		return 0, errors.New("no dispatcher holds the service before the fault")
	}
	begin := time.Now()
	fault(previous)
	took := takeoverLimit
	for time.Since(begin) < takeoverLimit {
		if e.grantedElsewhere(previous) {
			took = time.Since(begin)
			break
		}
		time.Sleep(takeoverPollInterval)
	}
	time.Sleep(afterTakeoverWait)
	e.network.HealAll()
	if previous.Process() == nil {
		if err := previous.Start(ctx); err != nil {
			return took, err
		}
	}
	time.Sleep(settleTime)
	return took, nil
}

// grantedElsewhere reports whether a host other than the previous dispatcher has granted as dispatcher.
func (e *environment) grantedElsewhere(previous *localfleet.Host) bool {
	for _, h := range e.fleet.Nodes {
		p := h.Process()
		if h == previous || p == nil {
			continue
		}
		if _, stats, ok := p.Node().Dispatcher.View(e.service); ok && stats.Granted > 0 {
			return true
		}
	}
	return false
}

// notRunRefusals collects the IDs of the requests that were refused with the outcome not-run.
type notRunRefusals struct {
	mu         sync.Mutex
	requestIDs []string
}

func (r *notRunRefusals) add(o load.Outcome) {
	if o.Kind == "" || o.Refusal != problem.NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestIDs = append(r.requestIDs, o.ID)
}

// countExecuted returns the number of refused requests that a backend server did run.
func (r *notRunRefusals) countExecuted(e *environment) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := map[string]bool{}
	for _, s := range e.backends() {
		for id, run := range s.Ledger().Requests {
			ran[id] = run.Started > 0
		}
	}
	count := 0
	for _, id := range r.requestIDs {
		if ran[id] {
			count++
		}
	}
	return count
}
