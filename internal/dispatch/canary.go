package dispatch

import "time"

const (
	// canaryShare and canaryRate limit the canaries: a share of the granted requests, plus a number per
	// second. Unused allowance accumulates up to canaryBurst.
	canaryShare = 0.1
	canaryRate  = 1.0
	canaryBurst = 20
	// canaryReserve is the part of the allowance that only servers out of rotation may use.
	canaryReserve = canaryBurst / 2
)

// canaryBudget limits the canaries of a service. Under low load they would otherwise be a large part of the
// work, and the retries of failed ones would use up the retry budget.
type canaryBudget struct {
	credit float64
	at     time.Time
}

func (b *canaryBudget) allows(now time.Time) bool {
	b.credit = min(b.credit+canaryRate*now.Sub(b.at).Seconds(), canaryBurst)
	b.at = now
	return b.credit >= 1
}

// allowsIdleTest reports whether a server in rotation may get a test without delaying the canaries of those out of it.
func (b *canaryBudget) allowsIdleTest(now time.Time) bool {
	return b.allows(now) && b.credit >= canaryReserve
}

// recordGrant credits a granted request and charges it if it is a canary.
func (b *canaryBudget) recordGrant(canary bool) {
	b.credit += canaryShare
	if canary {
		b.credit--
	}
}
