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
	// window is how long a faulty server is watched. It ends before the probation of an ejection does.
	window = 3 * time.Second
	// detectTarget is the acceptance figure at p99.
	detectTarget = time.Second
	watchEvery   = 5 * time.Millisecond
	// slowFactor and flapPeriod describe the slow and the flapping server.
	slowFactor     = 10
	flapPeriod     = 500 * time.Millisecond
	detectTrials   = 5
	recoverySpan   = 500 * time.Millisecond
	lowLoad        = 0.2
	highLoad       = 0.7
	urgentOfLoad   = 0.5
	percentile     = 0.99
	medianQuantile = 0.5
)

// detection measures the time from a fault to the last new work that the faulty server gets.
func detection(ctx context.Context, e *environment) ([]table.Row, error) {
	faults := []struct {
		name  string
		fault standin.Faults
		// illAfter is when the server first does ill: a flapping stand-in begins with a well phase.
		illAfter time.Duration
	}{
		{"stalled", standin.Faults{StallWork: true}, 0},
		{"slow", standin.Faults{SlowFactor: slowFactor}, 0},
		{"flapping", standin.Faults{FlapMS: flapPeriod.Milliseconds()}, flapPeriod},
	}
	var rows []table.Row
	server := 0
	for _, share := range []float64{lowLoad, highLoad} {
		rate := share * e.capacity()
		l := e.load(ctx, nil, e.class(urgent, rate*urgentOfLoad), e.class(normal, rate*(1-urgentOfLoad)))
		time.Sleep(settle)
		for _, f := range faults {
			var times []time.Duration
			for range e.trials(detectTrials) {
				target := e.backends()[server%len(e.backends())]
				server++
				times = append(times, max(0, timeToNoNewWork(target, f.fault)-f.illAfter))
				time.Sleep(recoverySpan)
			}
			rows = append(rows, e.detectionRows(f.name, share, times)...)
		}
		l.stop()
	}
	return rows, nil
}

// timeToNoNewWork sets the fault and returns when the server last got new work within the window.
func timeToNoNewWork(s *standin.Server, fault standin.Faults) time.Duration {
	begin := time.Now()
	s.SetFaults(fault)
	defer s.SetFaults(standin.Faults{})
	last := time.Duration(0)
	seen := arrivals(s)
	for time.Since(begin) < window {
		time.Sleep(watchEvery)
		if now := arrivals(s); now != seen {
			seen = now
			last = time.Since(begin)
		}
	}
	return last
}

// arrivals counts the requests that reached the server.
func arrivals(s *standin.Server) int {
	return s.Arrivals()
}

func (e *environment) detectionRows(fault string, share float64, times []time.Duration) []table.Row {
	slices.Sort(times)
	note := fmt.Sprintf("%d trials, worst %s", len(times), times[len(times)-1].Round(time.Millisecond))
	name := fmt.Sprintf("%s server at %.0f%% load: time to no new work", fault, share*100)
	p50 := quantile(times, medianQuantile)
	p99 := quantile(times, percentile)
	return []table.Row{
		{Measure: name + ", p50", User: e.user.Name, Value: p50.Seconds(), Unit: "s", Met: true, Note: note},
		{Measure: name + ", p99", User: e.user.Name, Target: "under 1 s", Value: p99.Seconds(), Unit: "s", Met: p99 < detectTarget, Note: note},
	}
}

// quantile returns the smallest value that at least the share q of the sorted values do not exceed.
func quantile(sorted []time.Duration, q float64) time.Duration {
	index := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}
