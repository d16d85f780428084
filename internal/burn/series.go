package burn

import (
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Spans and retention times of the buckets.
const (
	// FineSpan is the span of a fine bucket, which holds recent counts.
	FineSpan = 10 * time.Second
	// CoarseSpan is the span of a coarse bucket, which holds older counts.
	CoarseSpan = 5 * time.Minute
	// fineRetention is how long fine buckets are kept before they are merged into coarse ones.
	fineRetention = time.Hour
	// CoarseRetention is how long coarse buckets are kept.
	CoarseRetention = 72 * time.Hour
)

// counters hold the counts of the current fine bucket. The request path adds to them; RollBucket drains them.
type counters struct {
	good     atomic.Uint64
	total    atomic.Uint64
	refusals []atomic.Uint64
}

// bucket holds the counts of one span.
type bucket struct {
	start    time.Time
	good     uint64
	total    uint64
	refusals map[string]uint64
}

func (b *bucket) empty() bool {
	return b.total == 0 && len(b.refusals) == 0
}

func (b *bucket) add(other *bucket) {
	b.good += other.good
	b.total += other.total
	for kind, count := range other.refusals {
		if b.refusals == nil {
			b.refusals = map[string]uint64{}
		}
		b.refusals[kind] += count
	}
}

// history holds the finished buckets of one series, guarded by the recorder's lock.
type history struct {
	fine   []*bucket
	coarse []*bucket
}

func (h *history) append(b *bucket) {
	if !b.empty() {
		h.fine = append(h.fine, b)
	}
}

// compact merges fine buckets older than fineRetention into coarse ones, and drops coarse buckets older than
// CoarseRetention.
func (h *history) compact(now time.Time) {
	for len(h.fine) > 0 && now.Sub(h.fine[0].start) > fineRetention {
		h.addCoarse(h.fine[0])
		h.fine = h.fine[1:]
	}
	for len(h.coarse) > 0 && now.Sub(h.coarse[0].start) > CoarseRetention {
		h.coarse = h.coarse[1:]
	}
}

func (h *history) addCoarse(b *bucket) {
	start := b.start.Truncate(CoarseSpan)
	last := len(h.coarse) - 1
	if last < 0 || h.coarse[last].start.Before(start) {
		h.coarse = append(h.coarse, &bucket{start: start})
		last++
	}
	h.coarse[last].add(b)
}

// drain moves the counts into a bucket and resets the counters.
func (c *counters) drain(start time.Time) *bucket {
	b := &bucket{start: start, good: c.good.Swap(0), total: c.total.Swap(0)}
	for i, kind := range problem.Kinds() {
		count := c.refusals[i].Swap(0)
		if count == 0 {
			continue
		}
		if b.refusals == nil {
			b.refusals = map[string]uint64{}
		}
		b.refusals[string(kind)] = count
	}
	return b
}

func (b *bucket) proto(span time.Duration) *fleetpb.BurnBucket {
	return &fleetpb.BurnBucket{
		StartS:   b.start.Unix(),
		SpanS:    int64(span / time.Second),
		Good:     b.good,
		Total:    b.total,
		Refusals: b.refusals,
	}
}

func bucketFromProto(p *fleetpb.BurnBucket) *bucket {
	return &bucket{
		start:    time.Unix(p.GetStartS(), 0),
		good:     p.GetGood(),
		total:    p.GetTotal(),
		refusals: p.GetRefusals(),
	}
}
