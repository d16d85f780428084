package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyBuckets cover 0.1 ms to about 100 s.
	latencyBuckets = 160
	// bucketsPerOctave gives a resolution of 9%.
	bucketsPerOctave = 8
	// latencyUnit is the lower end of the first bucket.
	latencyUnit = 100 * time.Microsecond
	// latencyHalfLife is the half-life of the samples of a distribution.
	latencyHalfLife = 5 * time.Second
	// minServerSamples is how many samples a server's distribution needs to be used.
	minServerSamples = 10
)

// distribution is a decaying histogram of latencies.
type distribution struct {
	counts    [latencyBuckets]float32
	total     float32
	decayedAt time.Time
}

func latencyBucket(d time.Duration) int {
	if d <= latencyUnit {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(latencyUnit)) * bucketsPerOctave)
	return min(i, latencyBuckets-1)
}

func (d *distribution) add(latency time.Duration) {
	d.counts[latencyBucket(latency)]++
	d.total++
}

// decay halves the weight of the samples once per half-life.
func (d *distribution) decay(now time.Time) {
	if d.decayedAt.IsZero() {
		d.decayedAt = now
	}
	if now.Sub(d.decayedAt) < latencyHalfLife {
		return
	}
	d.decayedAt = now
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += d.counts[i]
	}
}

// quantile returns the upper end of the bucket that holds the quantile.
func (d *distribution) quantile(q float64) time.Duration {
	rest := float32(q) * d.total
	for i, count := range d.counts {
		rest -= count
		if rest <= 0 && count > 0 {
			return time.Duration(float64(latencyUnit) * math.Exp2(float64(i+1)/bucketsPerOctave))
		}
	}
	return 0
}

// latencies are the latency quantiles of a service.
type latencies struct {
	known         bool
	p50, p95, p99 time.Duration
}

// serviceLatencies returns the median over the servers of each quantile, so that one bad server cannot
// raise the thresholds that should detect it.
func serviceLatencies(servers []*server) latencies {
	var p50, p95, p99 []time.Duration
	for _, s := range servers {
		if s.latency.total < minServerSamples {
			continue
		}
		p50 = append(p50, s.latency.quantile(0.50))
		p95 = append(p95, s.latency.quantile(0.95))
		p99 = append(p99, s.latency.quantile(0.99))
	}
	if len(p50) == 0 {
		return latencies{}
	}
	return latencies{known: true, p50: median(p50), p95: median(p95), p99: median(p99)}
}

// median sorts the values and returns the upper median; 0 if there are none.
func median(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// shareAbove returns the share of samples in the bucket of the latency and in those above.
func (d *distribution) shareAbove(latency time.Duration) float64 {
	if d.total == 0 {
		return 0
	}
	sum := float32(0)
	for _, count := range d.counts[latencyBucket(latency):] {
		sum += count
	}
	return float64(sum / d.total)
}
