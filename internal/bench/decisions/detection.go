package decisions

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/table"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

const (
	// observationWindow is how long arrivals at a faulty server are observed. It is shorter than the
	// probation of an ejected server, after which the server gets test work again.
	observationWindow = 3 * time.Second
	// detectionTarget is the acceptance limit for p99.
	detectionTarget     = time.Second
	arrivalPollInterval = 5 * time.Millisecond
	// slowFactor and flapPeriod configure the slow and the flapping server.
	slowFactor        = 10
	flapPeriod        = 500 * time.Millisecond
	detectionTrials   = 5
	recoveryTime      = 500 * time.Millisecond
	lowLoad           = 0.2
	highLoad          = 0.7
	urgentShareOfLoad = 0.5
	tailQuantile      = 0.99
	medianQuantile    = 0.5
)

// detection measures the time from a fault to the last new work that the faulty server gets.
func detection(ctx context.Context, e *environment) ([]table.Row, error) {
	faults := []struct {
		name  string
		fault standin.Faults
		// activeAfter is the delay until the fault takes effect: a flapping stand-in starts healthy.
		activeAfter time.Duration
	}{
		{"stalled", standin.Faults{StallWork: true}, 0},
		{"slow", standin.Faults{SlowFactor: slowFactor}, 0},
		{"flapping", standin.Faults{FlapMS: flapPeriod.Milliseconds()}, flapPeriod},
	}
	var rows []table.Row
	server := 0
	for _, share := range []float64{lowLoad, highLoad} {
		rate := share * e.capacity()
		l := e.startLoad(ctx, nil, e.class(urgent, rate*urgentShareOfLoad), e.class(normal, rate*(1-urgentShareOfLoad)))
		time.Sleep(settleTime)
		for _, f := range faults {
			var times []time.Duration
			for range e.scaleTrials(detectionTrials) {
				target := e.backends()[server%len(e.backends())]
				server++
				times = append(times, max(0, timeToLastArrival(target, f.fault)-f.activeAfter))
				time.Sleep(recoveryTime)
			}
			rows = append(rows, e.detectionRows(f.name, share, times)...)
		}
		l.stop()
	}
	return rows, nil
}

// timeToLastArrival sets the fault and returns the time from then until the last request that arrived at the
// server within the observation window.
func timeToLastArrival(s *standin.Server, fault standin.Faults) time.Duration {
	begin := time.Now()
	s.SetFaults(fault)
	defer s.SetFaults(standin.Faults{})
	last := time.Duration(0)
	seen := arrivals(s)
	for time.Since(begin) < observationWindow {
		time.Sleep(arrivalPollInterval)
		if now := arrivals(s); now != seen {
			seen = now
			last = time.Since(begin)
		}
	}
	return last
}

func arrivals(s *standin.Server) int {
	return s.Arrivals()
}

func (e *environment) detectionRows(fault string, share float64, times []time.Duration) []table.Row {
	slices.Sort(times)
	note := fmt.Sprintf("%d trials, worst %s", len(times), times[len(times)-1].Round(time.Millisecond))
	name := fmt.Sprintf("%s server at %.0f%% load: time to no new work", fault, share*100)
	p50 := quantile(times, medianQuantile)
	p99 := quantile(times, tailQuantile)
	return []table.Row{
		{Measure: name + ", p50", User: e.user.Name, Value: p50.Seconds(), Unit: "s", Met: true, Note: note},
		{Measure: name + ", p99", User: e.user.Name, Target: "under 1 s", Value: p99.Seconds(), Unit: "s", Met: p99 < detectionTarget, Note: note},
	}
}

// quantile returns the q-quantile of the sorted values by the nearest-rank method.
func quantile(sorted []time.Duration, q float64) time.Duration {
	index := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}
