package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

const (
	// budgetSeconds is the span over which retries and hedges are limited.
	budgetSeconds = 10
	// budgetShare is how many retries and hedges there may be for each request that was granted.
	budgetShare = 0.10
	// budgetFloor is allowed beyond the share.
	budgetFloor = 3
	// boundShareUsed and boundFloorUsed are the parts of configured bounds that one dispatcher uses. The
	// bounds hold for the service, and a change of the dispatcher puts two into one span.
	boundShareUsed = 0.9
	boundFloorUsed = 1.0 / 3
)

// budgetSecond counts the grants of one second: first ones, and retries and hedges.
type budgetSecond struct {
	second int64
	first  int
	extra  int
}

// Budget limits the retries and hedges of a service over the whole fleet.
type Budget struct {
	// Share is how many retries and hedges there may be for each request that was granted, and Floor what
	// is allowed beyond it; 0 means the default.
	Share, Floor float64

	seconds [budgetSeconds]budgetSecond
}

// limit takes over the bounds of the configuration; 0 means the default.
func (b *Budget) limit(c Config) {
	b.Share, b.Floor = boundShareUsed*c.RetryShare, boundFloorUsed*c.RetryFloor
}

// noFloor is a floor that allows nothing, since 0 means the default.
const noFloor = 1e-9

// LimitAutonomous takes over the part of one of several hosts that place without a dispatcher. Together they stay
// within the bounds of the service. Without a known number of hosts there is only the share. A host with few
// requests has less than one retry; rounding, from 0 to below 1 and drawn at random by each host, lets some of
// them have one, and the sum stay the same.
func (b *Budget) LimitAutonomous(share, floor float64, hosts int, rounding float64) {
	b.limit(Config{RetryShare: share, RetryFloor: floor})
	if b.Floor == 0 {
		b.Floor = budgetFloor
	}
	if hosts <= 0 {
		b.Floor = noFloor
		return
	}
	b.Floor = b.Floor/float64(hosts) + rounding
}

func (b *Budget) at(now time.Time) *budgetSecond {
	second := now.Unix()
	s := &b.seconds[second%budgetSeconds]
	if s.second != second {
		*s = budgetSecond{second: second}
	}
	return s
}

func (b *Budget) sums(now time.Time) (first, extra int) {
	oldest := now.Unix() - budgetSeconds
	for i := range b.seconds {
		if b.seconds[i].second > oldest {
			first += b.seconds[i].first
			extra += b.seconds[i].extra
		}
	}
	return first, extra
}

// Allows tells whether one more retry or hedge fits.
func (b *Budget) Allows(now time.Time) bool {
	first, extra := b.sums(now)
	share, floor := b.Share, b.Floor
	if share == 0 {
		share = budgetShare
	}
	if floor == 0 {
		floor = budgetFloor
	}
	return float64(extra+1) <= share*float64(first)+floor
}

// Spend counts a grant; extra is set for a retry or a hedge.
func (b *Budget) Spend(now time.Time, extra bool) {
	if extra {
		invariant.Check(b.Allows(now), "dispatch.retry-budget", "a retry was granted beyond the budget")
		b.at(now).extra++
		return
	}
	b.at(now).first++
}
