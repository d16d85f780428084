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
	takeoverTarget = time.Second
	takeoverLimit  = 5 * time.Second
	takeoverPoll   = 2 * time.Millisecond
	faultTrials    = 2
	afterTakeover  = time.Second
)

// dispatcherFaults measures the time to grants again after the dispatcher is lost, and checks every
// refusal that callers heard meanwhile.
func dispatcherFaults(ctx context.Context, e *environment) ([]table.Row, error) {
	cases := []struct {
		name  string
		fault func(h *localfleet.Host)
	}{
		{"killed", func(h *localfleet.Host) { h.Kill() }},
		{"frozen", func(h *localfleet.Host) { e.network.Freeze(h.ID, true) }},
		{"cut one way", func(h *localfleet.Host) { e.cutFrom(h.ID) }},
	}
	truth := &refusals{}
	l := e.load(ctx, truth.add, e.class(urgent, steadyLoad*e.capacity()))
	time.Sleep(settle)
	var rows []table.Row
	for _, c := range cases {
		var times []time.Duration
		for range e.trials(faultTrials) {
			took, err := e.takeover(ctx, c.fault)
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
	untrue := truth.untrue(e)
	rows = append(rows, table.Row{
		Measure: "requests refused untruthfully meanwhile", User: e.user.Name, Target: "0", Value: float64(untrue),
		Unit: "requests", Met: untrue == 0,
		Note: fmt.Sprintf("%d sent, %d answered, %d refused not-run, %d connections lost", counts.Sent, counts.OK, counts.NotRun, counts.Failed),
	})
	return rows, nil
}

// cutFrom stops everything that the host sends to other hosts, while it still hears them.
func (e *environment) cutFrom(id string) {
	for _, h := range append(slices.Clone(e.fleet.Nodes), e.fleet.Controls...) {
		if h.ID != id {
			e.network.Cut(id, h.ID)
		}
	}
}

// takeover brings the fault about at the dispatcher, waits until another one grants, and mends it.
func (e *environment) takeover(ctx context.Context, fault func(h *localfleet.Host)) (time.Duration, error) {
	old, _, _ := e.dispatcher(e.service)
	if old == nil {
		return 0, errors.New("no dispatcher holds the service before the fault")
	}
	begin := time.Now()
	fault(old)
	took := takeoverLimit
	for time.Since(begin) < takeoverLimit {
		if e.grantsBy(old) {
			took = time.Since(begin)
			break
		}
		time.Sleep(takeoverPoll)
	}
	time.Sleep(afterTakeover)
	e.network.HealAll()
	if old.Process() == nil {
		if err := old.Start(ctx); err != nil {
			return took, err
		}
	}
	time.Sleep(settle)
	return took, nil
}

// grantsBy tells whether a host other than the old dispatcher has granted.
func (e *environment) grantsBy(old *localfleet.Host) bool {
	for _, h := range e.fleet.Nodes {
		p := h.Process()
		if h == old || p == nil {
			continue
		}
		if _, stats, ok := p.Node().Dispatcher.View(e.service); ok && stats.Granted > 0 {
			return true
		}
	}
	return false
}

// refusals remembers the requests that callers were told were not run.
type refusals struct {
	mu     sync.Mutex
	notRun []string
}

func (r *refusals) add(o load.Outcome) {
	if o.Kind == "" || o.Refusal != problem.NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun = append(r.notRun, o.ID)
}

// untrue counts those that some backend server did run.
func (r *refusals) untrue(e *environment) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := map[string]bool{}
	for _, s := range e.backends() {
		for id, run := range s.Ledger().Requests {
			ran[id] = run.Started > 0
		}
	}
	count := 0
	for _, id := range r.notRun {
		if ran[id] {
			count++
		}
	}
	return count
}
