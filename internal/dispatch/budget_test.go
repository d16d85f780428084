package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The bound on retries is a share of the requests. If retries raised it themselves, a service all of whose
// servers reject most requests would send more of them than it may.
func TestRetriesDoNotRaiseTheirOwnBound(t *testing.T) {
	g := NewWithT(t)
	const share, floor, requests = 0.2, 184.0, 10000
	var b Budget
	b.limit(Config{RetryShare: share, RetryFloor: floor})
	now := time.Unix(1000, 0)
	extra := 0
	for range requests {
		b.Spend(now, false)
		for b.Allows(now) {
			b.Spend(now, true)
			extra++
		}
	}
	g.Expect(extra).To(BeNumerically("<=", boundShareUsed*share*requests+boundFloorUsed*floor))
}
