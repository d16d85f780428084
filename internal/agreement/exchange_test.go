package agreement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The exchanges of 19 control hosts, each with each other one five times a second, took more of their time than their
// other work. A replica must have at most as many as in a group of five, and hear of each peer while what it heard
// last still counts.
func TestExchangesOfAReplicaDoNotGrowWithTheGroup(t *testing.T) {
	g := NewWithT(t)
	const exchangesInAGroupOfFive = 4 * time.Second / ExchangeInterval
	for peers := 1; peers <= 40; peers++ {
		interval := settledExchangeInterval(peers)
		g.Expect(interval).To(And(BeNumerically(">=", ExchangeInterval), BeNumerically("<", responseLifetime)))
		if peers > 4 && interval < responseLifetime/2 {
			g.Expect(time.Duration(peers)*time.Second/interval).To(BeNumerically("<=", exchangesInAGroupOfFive), "%d peers", peers)
		}
	}
	g.Expect(settledExchangeInterval(4)).To(Equal(ExchangeInterval))
}
