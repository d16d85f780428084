package burn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// maxSeries is the largest number of series of a node. Requests of further series are not counted.
const maxSeries = 4096

// Key identifies a series.
type Key struct {
	Service  string
	Priority priority.Priority
}

// Target is the service level of a series.
type Target struct {
	// Latency is the time within which a response counts as good; 0 means any time.
	Latency time.Duration
	// Share is the share of requests that must be good; 0 means that there is no target.
	Share float64
}

// series holds the counts of one service and priority.
type series struct {
	counters counters
	target   atomic.Pointer[Target]
	history  history
}

// Recorder counts the requests of one node. It is safe for concurrent use; RecordResponse and
// RecordRefusal take no lock for a known series.
type Recorder struct {
	series sync.Map // of Key to *series

	mu          sync.Mutex
	seriesCount int
	// currentStart is the start of the current fine bucket.
	currentStart time.Time
	// since is the time from which the counts are complete.
	since time.Time
	// durable is set if the counts are saved in a data folder.
	durable bool
}

// NewRecorder returns a recorder that starts counting now.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{currentStart: now.Truncate(FineSpan), since: now}
}

// kindIndex maps each kind to its counter. It is never written after initialisation.
var kindIndex = func() map[problem.Kind]int {
	index := map[problem.Kind]int{}
	for i, kind := range problem.Kinds() {
		index[kind] = i
	}
	return index
}()

// callerFaults are the refusals that are caused by the caller or its request, not by the service.
var callerFaults = map[problem.Kind]bool{
	problem.NoRoute:        true,
	problem.BadRequest:     true,
	problem.BodyTooLarge:   true,
	problem.HeaderTooLarge: true,
	problem.KeyRequired:    true,
	problem.KeyReuse:       true,
	problem.Quota:          true,
	problem.PoisonRequest:  true,
	problem.Loop:           true,
}

// RecordResponse counts a complete response of a backend server.
func (r *Recorder) RecordResponse(k Key, t Target, status int, latency time.Duration) {
	s := r.findOrAddSeries(k)
	if s == nil {
		return
	}
	s.setTarget(t)
	s.counters.total.Add(1)
	if status < 500 && (t.Latency == 0 || latency <= t.Latency) {
		s.counters.good.Add(1)
	}
}

// RecordRefusal counts a refusal.
func (r *Recorder) RecordRefusal(k Key, t Target, kind problem.Kind) {
	s := r.findOrAddSeries(k)
	if s == nil {
		return
	}
	s.setTarget(t)
	s.counters.refusals[kindIndex[kind]].Add(1)
	if !callerFaults[kind] {
		s.counters.total.Add(1)
	}
}

func (s *series) setTarget(t Target) {
	if old := s.target.Load(); old == nil || *old != t {
		s.target.Store(&t)
	}
}

// findOrAddSeries returns the series of the key, or nil if it is new and maxSeries is reached.
func (r *Recorder) findOrAddSeries(k Key) *series {
	if found, ok := r.series.Load(k); ok {
		return found.(*series)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if found, ok := r.series.Load(k); ok {
		return found.(*series)
	}
	if r.seriesCount >= maxSeries {
		return nil
	}
	r.seriesCount++
	s := newSeries()
	r.series.Store(k, s)
	return s
}

func newSeries() *series {
	return &series{counters: counters{refusals: make([]atomic.Uint64, len(problem.Kinds()))}}
}

// RollBucket ends the current fine bucket if its span has passed. It should be called about every second.
func (r *Recorder) RollBucket(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := now.Truncate(FineSpan)
	if !start.After(r.currentStart) {
		return
	}
	r.series.Range(func(_, value any) bool {
		s := value.(*series)
		s.history.append(s.counters.drain(r.currentStart))
		s.history.compact(now)
		return true
	})
	r.currentStart = start
}

// Reply returns all counts, including those of the current bucket.
func (r *Recorder) Reply(node string, now time.Time) *fleetpb.BurnReply {
	r.RollBucket(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &fleetpb.BurnReply{Node: node, SinceS: r.since.Unix(), Durable: r.durable}
	r.series.Range(func(key, value any) bool {
		reply.Series = append(reply.Series, value.(*series).proto(key.(Key), r.currentStart))
		return true
	})
	slices.SortFunc(reply.Series, func(a, b *fleetpb.BurnSeries) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetPriority(), b.GetPriority()))
	})
	return reply
}

func (s *series) proto(k Key, current time.Time) *fleetpb.BurnSeries {
	p := &fleetpb.BurnSeries{Service: k.Service, Priority: k.Priority.String()}
	if t := s.target.Load(); t != nil {
		p.TargetShare = t.Share
		p.TargetLatencyMs = t.Latency.Milliseconds()
	}
	for _, b := range s.history.coarse {
		p.Buckets = append(p.Buckets, b.proto(CoarseSpan))
	}
	for _, b := range s.history.fine {
		p.Buckets = append(p.Buckets, b.proto(FineSpan))
	}
	if unfinished := s.counters.snapshot(current); !unfinished.empty() {
		p.Buckets = append(p.Buckets, unfinished.proto(FineSpan))
	}
	return p
}

// snapshot returns a copy of the counters as a bucket, without resetting them.
func (c *counters) snapshot(start time.Time) *bucket {
	b := &bucket{start: start, good: c.good.Load(), total: c.total.Load()}
	for i, kind := range problem.Kinds() {
		if count := c.refusals[i].Load(); count > 0 {
			if b.refusals == nil {
				b.refusals = map[string]uint64{}
			}
			b.refusals[string(kind)] = count
		}
	}
	return b
}
