package decisions

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/table"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

const (
	steadySpan    = 5 * time.Second
	floodSpan     = 8 * time.Second
	partitionSpan = 6 * time.Second
	crashSpan     = 6 * time.Second
	crashInterval = 300 * time.Millisecond
	floodFactor   = 4
	steadyLoad    = 0.3
	// misreportingInterval selects every fourth server to misreport its health.
	misreportingInterval = 4
	sampleInterval       = 20 * time.Millisecond
)

// falseEjections counts servers that were ejected although they had no fault that calls for it.
func falseEjections(ctx context.Context, e *environment) ([]table.Row, error) {
	if e.variant.name != variantDispatchers.name {
		// The baselines have no dispatcher view that shows ejections; other experiments compare their effects.
		return nil, nil
	}
	cases := []struct {
		name string
		span time.Duration
		run  func(ctx context.Context, e *environment, span time.Duration)
	}{
		{"quiet", steadySpan, func(ctx context.Context, e *environment, span time.Duration) {
			e.runSteadyLoad(ctx, steadyLoad, span)
		}},
		{"at flood", floodSpan, func(ctx context.Context, e *environment, span time.Duration) {
			e.runSteadyLoad(ctx, floodFactor, span)
		}},
		{"lying health endpoints", steadySpan, misreportHealth},
		{"one-way cut of a data centre", partitionSpan, partitionDataCentre},
		{"crash request", crashSpan, repeatCrashRequest},
	}
	e.lengthenWork()
	var rows []table.Row
	for _, c := range cases {
		w := e.watchEjections()
		c.run(ctx, e, e.scaleDuration(c.span))
		ejected := w.stop()
		rows = append(rows, table.Row{
			Measure: "healthy servers ejected by mistake, " + c.name, User: e.user.Name, Target: "0",
			Value: float64(ejected), Unit: "servers", Met: ejected == 0,
		})
		time.Sleep(settleTime)
	}
	return rows, nil
}

// runSteadyLoad runs a load, split evenly over all priorities, at a multiple of the capacity.
func (e *environment) runSteadyLoad(ctx context.Context, factor float64, span time.Duration) {
	rate := factor * e.capacity() / 3
	l := e.startLoad(ctx, nil, e.class(urgent, rate), e.class(normal, rate), e.class(background, rate))
	time.Sleep(span)
	l.stop()
}

// misreportHealth makes a quarter of the healthy servers report that they are unhealthy and idle.
func misreportHealth(ctx context.Context, e *environment, span time.Duration) {
	for i, s := range e.backends() {
		if i%misreportingInterval == 0 {
			s.SetFaults(standin.Faults{ReportUnhealthy: true, ReportIdle: true})
		}
	}
	e.runSteadyLoad(ctx, steadyLoad, span)
	for _, s := range e.backends() {
		s.SetFaults(standin.Faults{})
	}
}

// partitionDataCentre partitions the network one way: the first data centre receives nothing from the others,
// while they still receive from it.
func partitionDataCentre(ctx context.Context, e *environment, span time.Duration) {
	first, others := e.splitByDataCentre()
	l := e.startLoad(ctx, nil, e.class(urgent, steadyLoad*e.capacity()))
	time.Sleep(settleTime)
	for _, to := range first {
		for _, from := range others {
			e.network.Cut(from, to)
		}
	}
	time.Sleep(span)
	e.network.HealAll()
	time.Sleep(settleTime)
	l.stop()
}

// splitByDataCentre lists the hosts and backend servers in the first data centre and in all others.
func (e *environment) splitByDataCentre() (first, others []string) {
	add := func(name, dataCentre string) {
		if dataCentre == e.user.DataCentres[0] {
			first = append(first, name)
			return
		}
		others = append(others, name)
	}
	for _, h := range e.fleet.Nodes {
		add(h.ID, h.DataCentre)
	}
	for _, h := range e.fleet.Controls {
		add(h.ID, h.DataCentre)
	}
	for _, servers := range e.fleet.Backends {
		for _, s := range servers {
			add(s.Instance(), s.Server().DataCentre)
		}
	}
	return first, others
}

// repeatCrashRequest repeatedly sends a request that crashes any server that runs it.
func repeatCrashRequest(ctx context.Context, e *environment, span time.Duration) {
	l := e.startLoad(ctx, nil, e.class(urgent, steadyLoad*e.capacity()))
	time.Sleep(settleTime)
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	path := e.class(urgent, 0).Path + "/crash"
	for begin := time.Now(); time.Since(begin) < span; time.Sleep(crashInterval) {
		entries := e.fleet.EntryAddresses()
		address := entries[e.random.IntN(len(entries))]
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			continue
		}
		r.Header.Set(standin.HeaderCrash, "1")
		if response, err := client.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}
	l.stop()
}

// ejectionWatcher collects the servers that a dispatcher shows as ejected.
type ejectionWatcher struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	ejected map[string]bool
}

func (e *environment) watchEjections() *ejectionWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &ejectionWatcher{cancel: cancel, ejected: map[string]bool{}}
	w.done.Go(func() {
		for ctx.Err() == nil {
			e.sampleEjections(w.ejected)
			time.Sleep(sampleInterval)
		}
	})
	return w
}

func (e *environment) sampleEjections(ejected map[string]bool) {
	for _, b := range e.user.Backends {
		_, view, _ := e.findDispatcher(b.Service)
		for _, s := range view.Servers {
			if s.State == dispatch.ViewEjected {
				ejected[s.Instance] = true
			}
		}
	}
}

// stop ends the observation and returns the number of servers that were ejected.
func (w *ejectionWatcher) stop() int {
	w.cancel()
	w.done.Wait()
	return len(w.ejected)
}
