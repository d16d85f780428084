package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

const (
	// budgetSeconds is the span over which retries and hedges are limited.
	budgetSeconds = 10
	// budgetShare is the share of granted requests that may be retries or hedges.
	budgetShare = 0.10
	// budgetFloor is allowed beyond the share.
	budgetFloor = 3
)

type budgetSecond struct {
	second  int64
	granted int
	extra   int
}

// Budget limits the retries and hedges of a service over the whole fleet.
type Budget struct {
	seconds [budgetSeconds]budgetSecond
}

func (b *Budget) at(now time.Time) *budgetSecond {
	second := now.Unix()
	s := &b.seconds[second%budgetSeconds]
	if s.second != second {
		*s = budgetSecond{second: second}
	}
	return s
}

func (b *Budget) sums(now time.Time) (granted, extra int) {
	oldest := now.Unix() - budgetSeconds
	for i := range b.seconds {
		if b.seconds[i].second > oldest {
			granted += b.seconds[i].granted
			extra += b.seconds[i].extra
		}
	}
	return granted, extra
}

// Allows tells whether one more retry or hedge fits.
func (b *Budget) Allows(now time.Time) bool {
	granted, extra := b.sums(now)
	return float64(extra+1) <= budgetShare*float64(granted)+budgetFloor
}

// Spend counts a grant; extra is set for a retry or a hedge.
func (b *Budget) Spend(now time.Time, extra bool) {
	if extra {
		invariant.Check(b.Allows(now), "dispatch.retry-budget", "a retry was granted beyond the budget")
		b.at(now).extra++
	}
	b.at(now).granted++
}
