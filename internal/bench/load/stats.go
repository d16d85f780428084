package load

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatency  = 1          // microseconds
	highestLatency = 60_000_000 // microseconds
	latencyDigits  = 3
)

// Stats counts the outcomes of one class. It is safe for concurrent use.
type Stats struct {
	overrun atomic.Uint64

	mu      sync.Mutex
	counts  Counts
	latency *hdrhistogram.Histogram
	byTeam  map[string]uint64
}

// Counts are the numbers of outcomes.
type Counts struct {
	Sent uint64
	// OK counts responses of stand-ins with a status below 500; Good counts those within the latency target.
	OK   uint64
	Good uint64
	// Errors counts responses of stand-ins with a status of 500 or above.
	Errors uint64
	// Failed counts requests that ended with an error instead of a complete response.
	Failed uint64
	// Refused counts refusals by kind, NotRun those with the outcome not-run.
	Refused map[string]uint64
	NotRun  uint64
	// Violations counts violated guarantees.
	Violations map[Violation]uint64
	// Overrun counts requests that the load did not send because too many were in flight.
	Overrun uint64
}

func (s *Stats) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	s.counts = Counts{Refused: map[string]uint64{}, Violations: map[Violation]uint64{}}
	s.byTeam = map[string]uint64{}
}

func (s *Stats) reset() {
	s.overrun.Store(0)
	s.init()
}

func (s *Stats) add(o Outcome, target time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Sent++
	if o.Violation != "" {
		s.counts.Violations[o.Violation]++
	}
	switch {
	case o.Err != nil:
		s.counts.Failed++
	case o.Kind != "":
		s.counts.Refused[string(o.Kind)]++
		if o.Refusal == "not-run" {
			s.counts.NotRun++
		}
	case o.OK():
		s.addResponse(o, target)
	default:
		s.counts.Errors++
	}
}

func (s *Stats) addResponse(o Outcome, target time.Duration) {
	s.counts.OK++
	s.byTeam[o.Team]++
	if target == 0 || o.Latency <= target {
		s.counts.Good++
	}
	// Latencies above highestLatency are recorded as highestLatency.
	_ = s.latency.RecordValue(min(o.Latency.Microseconds(), highestLatency))
}

// Counts returns a copy of the current counts.
func (s *Stats) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Refused = maps.Clone(c.Refused)
	c.Violations = maps.Clone(c.Violations)
	c.Overrun = s.overrun.Load()
	return c
}

// Latency returns the latency of the OK responses at the quantile, 0 to 100.
func (s *Stats) Latency(quantile float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Team returns the number of OK responses to a team.
func (s *Stats) Team(team string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byTeam[team]
}
