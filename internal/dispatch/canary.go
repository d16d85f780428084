package dispatch

import "time"

const (
	// canaryShare and canaryRate bound canaries: the share of the granted requests, and what is allowed beyond it in
	// a second. At most canaryBurst follow each other.
	canaryShare = 0.1
	canaryRate  = 1.0
	canaryBurst = 20
)

// canaryBudget bounds the canaries of a service. At little load they would otherwise be a large part of the work,
// and repeating those that fail would use up the budget of retries.
type canaryBudget struct {
	credit float64
	at     time.Time
}

func (b *canaryBudget) allows(now time.Time) bool {
	b.credit = min(b.credit+canaryRate*now.Sub(b.at).Seconds(), canaryBurst)
	b.at = now
	return b.credit >= 1
}

// count takes a granted request.
func (b *canaryBudget) count(canary bool) {
	b.credit += canaryShare
	if canary {
		b.credit--
	}
}
