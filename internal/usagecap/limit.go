package usagecap

import (
	"math"
	"time"
)

// Limit is the usage cap of a team over all hosts together.
type Limit struct {
	// Rate is the number of requests per second; 0 means that there is no cap.
	Rate float64
	// Burst is how many requests may come beyond the rate at once.
	Burst float64
}

// Bound is how far the fleet as a whole may exceed a cap.
type Bound struct {
	// Window is the period over which requests are counted; any such period counts.
	Window time.Duration
	// Overage is the share by which a cap may be exceeded.
	Overage float64
	// Slack is the number of requests by which it may be exceeded in addition.
	Slack float64
}

// Allowed returns how many requests may run within one window.
func (b Bound) Allowed(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// maxFigure replaces larger and infinite numbers, so that sums and products stay finite.
const maxFigure = 1e12

// admitsAll reports whether the limit is no cap.
func (l Limit) admitsAll() bool { return l.Rate == 0 || math.IsInf(l.Rate, 1) }

// admitsNone reports whether the rate has no meaning. The configuration refuses such rates; if one gets here, no request
// is admitted, since the operator wanted a cap.
func (l Limit) admitsNone() bool { return math.IsNaN(l.Rate) || l.Rate < 0 }

// finite returns the limit with a burst of at least 1 and without numbers that cannot be calculated with.
func (l Limit) finite() Limit {
	return Limit{Rate: min(l.Rate, maxFigure), Burst: max(1, finite(l.Burst))}
}

// finite returns the bound without numbers that cannot be calculated with. A window below a millisecond counts as one.
func (b Bound) finite() Bound {
	return Bound{Window: max(b.Window, time.Millisecond), Overage: finite(b.Overage), Slack: finite(b.Slack)}
}

// excess returns by how many requests a window may exceed the rate and the burst.
func (b Bound) excess(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*b.Overage + b.Slack
}

// finite returns f limited to 0 and maxFigure; NaN counts as 0.
func finite(f float64) float64 {
	if math.IsNaN(f) {
		return 0
	}
	return min(max(f, 0), maxFigure)
}

// random is a SplitMix64 generator: it is deterministic, and its state is one number.
type random uint64

// chance returns true with probability p.
func (r *random) chance(p float64) bool {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11)/(1<<53) < p
}
