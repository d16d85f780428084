package decisions

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bench/table"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

const (
	latencyTarget = 5600 * time.Microsecond
	latencySpan   = 5 * time.Second
	// latencyLoad is low, so that no request waits for a slot.
	latencyLoad    = 0.2
	directRequests = 500
	// shortWork is short so that variations of the work time do not affect the measured latency.
	shortWork = time.Microsecond
)

// addedLatency compares the latency of requests through the fleet with that of direct requests to the
// backend servers.
func addedLatency(ctx context.Context, e *environment) ([]table.Row, error) {
	direct, err := e.directLatency(ctx)
	if err != nil {
		return nil, err
	}
	class := e.class(urgent, latencyLoad*e.capacity())
	class.Work = shortWork
	l := e.startLoad(ctx, nil, class)
	time.Sleep(settleTime)
	l.measureFor(e.scaleDuration(latencySpan))
	p50, p99 := l.Stats(urgent).Latency(50), l.Stats(urgent).Latency(99)
	sent := l.Stats(urgent).Counts().Sent
	l.stop()
	added := p99 - quantile(direct, tailQuantile)
	note := fmt.Sprintf("%d calls, p50 %s, p99 %s; direct p50 %s, p99 %s; %s one way between data centres", sent, roundLatency(p50), roundLatency(p99),
		roundLatency(quantile(direct, medianQuantile)), roundLatency(quantile(direct, tailQuantile)), e.user.OneWay)
	return []table.Row{{
		Measure: "added latency at p99", User: e.user.Name, Target: "under 5.6 ms",
		Value: float64(added.Microseconds()) / 1000, Unit: "ms", Met: added < latencyTarget, Note: note,
	}}, nil
}

func roundLatency(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}

// directLatency returns the sorted latencies of direct requests to the backend servers, sent one at a time.
func (e *environment) directLatency(ctx context.Context) ([]time.Duration, error) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	var times []time.Duration
	for i := range directRequests {
		s := e.backends()[i%len(e.backends())]
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address()+"/direct", nil)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		r.Header.Set(standin.HeaderWork, shortWork.String())
		begin := time.Now()
		response, err := client.Do(r)
		if err != nil {
			return nil, errors.Wrap(err, "call a backend server directly")
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		// The first request to each server opens its connection and does not count.
		if i >= len(e.backends()) {
			times = append(times, time.Since(begin))
		}
	}
	slices.Sort(times)
	return times, nil
}
