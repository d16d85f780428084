package retrybudget

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

const (
	// budgetSeconds is the period over which retries and hedges are limited.
	budgetSeconds = 10
	// budgetShare is how many retries and hedges are allowed per granted first attempt.
	budgetShare = 0.10
	// budgetFloor is how many are allowed in addition to the share.
	budgetFloor = 3
	// dispatcherShareFraction and dispatcherFloorFraction are the parts of the configured bounds that one
	// dispatcher uses. The bounds apply to the service, and after a change of dispatcher two of them grant
	// within one period.
	dispatcherShareFraction = 0.9
	dispatcherFloorFraction = 1.0 / 3
)

// budgetSecond counts the grants of one second: first attempts, and retries and hedges (extra).
type budgetSecond struct {
	second int64
	first  int
	extra  int
}

// Budget limits the retries and hedges of a service across the fleet. The zero value has the default bounds. It is
// not safe for concurrent use.
type Budget struct {
	// Share is how many retries and hedges are allowed per granted first attempt, and Floor how many in
	// addition; 0 selects the default.
	Share, Floor float64

	seconds [budgetSeconds]budgetSecond
}

// SetLimits applies the part of the configured bounds that one dispatcher uses; 0 selects the default.
func (b *Budget) SetLimits(share, floor float64) {
	b.Share, b.Floor = dispatcherShareFraction*share, dispatcherFloorFraction*floor
}

// noFloor is a floor that allows nothing, since 0 selects the default.
const noFloor = 1e-9

// LimitAutonomous applies the part of the bounds that belongs to one of several hosts in autonomous mode,
// so that together they stay within the bounds of the service. If the number of hosts is unknown, only the
// share applies. The floor of one host may be less than one retry; rounding, which each host draws at
// random from [0, 1), gives some hosts a whole retry while the expected sum stays the same.
func (b *Budget) LimitAutonomous(share, floor float64, hosts int, rounding float64) {
	b.SetLimits(share, floor)
	if b.Floor == 0 {
		b.Floor = budgetFloor
	}
	if hosts <= 0 {
		b.Floor = noFloor
		return
	}
	b.Floor = b.Floor/float64(hosts) + rounding
}

func (b *Budget) currentSecond(now time.Time) *budgetSecond {
	second := now.Unix()
	s := &b.seconds[second%budgetSeconds]
	if s.second != second {
		*s = budgetSecond{second: second}
	}
	return s
}

func (b *Budget) totals(now time.Time) (first, extra int) {
	oldest := now.Unix() - budgetSeconds
	for i := range b.seconds {
		if b.seconds[i].second > oldest {
			first += b.seconds[i].first
			extra += b.seconds[i].extra
		}
	}
	return first, extra
}

// Allows reports whether one more retry or hedge is within the budget.
func (b *Budget) Allows(now time.Time) bool {
	first, extra := b.totals(now)
	return float64(extra+1) <= b.limit(first)
}

// AllowsHedging reports whether less than half of the budget is used, so that enough is left for the retries
// of requests that have failed.
func (b *Budget) AllowsHedging(now time.Time) bool {
	first, extra := b.totals(now)
	return float64(2*(extra+1)) <= b.limit(first)
}

// limit is how many retries and hedges are allowed with the number of first attempts.
func (b *Budget) limit(first int) float64 {
	share, floor := b.Share, b.Floor
	if share == 0 {
		share = budgetShare
	}
	if floor == 0 {
		floor = budgetFloor
	}
	return share*float64(first) + floor
}

// Spend counts a grant; extra is set for a retry or a hedge.
func (b *Budget) Spend(now time.Time, extra bool) {
	if extra {
		invariant.Check(b.Allows(now), "dispatch.retry-budget", "a retry was granted beyond the budget")
		b.currentSecond(now).extra++
		return
	}
	b.currentSecond(now).first++
}
