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
	quietSpan   = 5 * time.Second
	floodSpan   = 8 * time.Second
	cutSpan     = 6 * time.Second
	crashSpan   = 6 * time.Second
	crashEvery  = 300 * time.Millisecond
	floodFactor = 4
	steadyLoad  = 0.3
	lyingShare  = 4
	sampleEvery = 20 * time.Millisecond
)

// falseEjections counts healthy servers that were ejected while nothing was wrong with them.
func falseEjections(ctx context.Context, e *environment) ([]table.Row, error) {
	if e.variant.name != variantFleet.name {
		// The baselines have no view to look into; they are compared by their effects elsewhere.
		return nil, nil
	}
	cases := []struct {
		name string
		span time.Duration
		run  func(ctx context.Context, e *environment, span time.Duration)
	}{
		{"quiet", quietSpan, func(ctx context.Context, e *environment, span time.Duration) {
			e.steady(ctx, steadyLoad, span)
		}},
		{"at flood", floodSpan, func(ctx context.Context, e *environment, span time.Duration) {
			e.steady(ctx, floodFactor, span)
		}},
		{"lying health endpoints", quietSpan, lyingHealth},
		{"one-way cut of a data centre", cutSpan, cutDataCentre},
		{"crash request", crashSpan, crashRequest},
	}
	e.slowWork()
	var rows []table.Row
	for _, c := range cases {
		w := e.watchEjections()
		c.run(ctx, e, e.span(c.span))
		ejected := w.stop()
		rows = append(rows, table.Row{
			Measure: "healthy servers ejected by mistake, " + c.name, User: e.user.Name, Target: "0",
			Value: float64(ejected), Unit: "servers", Met: ejected == 0,
		})
		time.Sleep(settle)
	}
	return rows, nil
}

// steady runs a load over all priorities at a multiple of the capacity.
func (e *environment) steady(ctx context.Context, factor float64, span time.Duration) {
	rate := factor * e.capacity() / 3
	l := e.load(ctx, nil, e.class(urgent, rate), e.class(normal, rate), e.class(background, rate))
	time.Sleep(span)
	l.stop()
}

// lyingHealth makes a quarter of the healthy servers report that they are unhealthy, and idle.
func lyingHealth(ctx context.Context, e *environment, span time.Duration) {
	for i, s := range e.backends() {
		if i%lyingShare == 0 {
			s.SetFaults(standin.Faults{ReportUnhealthy: true, ReportIdle: true})
		}
	}
	e.steady(ctx, steadyLoad, span)
	for _, s := range e.backends() {
		s.SetFaults(standin.Faults{})
	}
}

// cutDataCentre stops everything that hosts of the other data centres send to the first one, while
// the first still reaches them.
func cutDataCentre(ctx context.Context, e *environment, span time.Duration) {
	first, others := e.split()
	l := e.load(ctx, nil, e.class(urgent, steadyLoad*e.capacity()))
	time.Sleep(settle)
	for _, to := range first {
		for _, from := range others {
			e.network.Cut(from, to)
		}
	}
	time.Sleep(span)
	e.network.HealAll()
	time.Sleep(settle)
	l.stop()
}

// split lists the hosts and backend servers in the first data centre and in the others.
func (e *environment) split() (first, others []string) {
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

// crashRequest sends a request that crashes each server that runs it, again and again.
func crashRequest(ctx context.Context, e *environment, span time.Duration) {
	l := e.load(ctx, nil, e.class(urgent, steadyLoad*e.capacity()))
	time.Sleep(settle)
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	path := e.class(urgent, 0).Path + "/crash"
	for begin := time.Now(); time.Since(begin) < span; time.Sleep(crashEvery) {
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

// ejectionWatch collects the servers that some dispatcher ejected.
type ejectionWatch struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	ejected map[string]bool
}

func (e *environment) watchEjections() *ejectionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &ejectionWatch{cancel: cancel, ejected: map[string]bool{}}
	w.done.Go(func() {
		for ctx.Err() == nil {
			e.sampleEjections(w.ejected)
			time.Sleep(sampleEvery)
		}
	})
	return w
}

func (e *environment) sampleEjections(ejected map[string]bool) {
	for _, b := range e.user.Backends {
		_, view, _ := e.dispatcher(b.Service)
		for _, s := range view.Servers {
			if s.State == dispatch.ViewEjected {
				ejected[s.Instance] = true
			}
		}
	}
}

// stop returns how many servers were ejected.
func (w *ejectionWatch) stop() int {
	w.cancel()
	w.done.Wait()
	return len(w.ejected)
}
