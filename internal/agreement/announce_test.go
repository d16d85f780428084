package agreement_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// Each change of a large configuration was sent twice to the members that responded after a majority had: the memory
// of the proposer grew by its size times the members.
func TestLargeValueIsSentOnceToEachMember(t *testing.T) {
	const values, valueSize = 10, 300 << 10
	for name, cut := range map[string]string{"all members respond": "", "one gets no votes": "m8"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ids []string
				for i := range 9 {
					ids = append(ids, fmt.Sprintf("m%d", i))
				}
				c := newCluster(t, 1, ids...)
				defer c.stop()
				c.waitUntilVoting(ids...)
				c.network.Delay(time.Millisecond, 40*time.Millisecond)
				var mu sync.Mutex
				received := map[string]int{}
				c.network.ObserveRequests(func(_, to string, request proto.Message) {
					mu.Lock()
					defer mu.Unlock()
					received[to] += proto.Size(request)
				})
				if cut != "" {
					c.network.Cut("p", cut, true)
				}
				p := c.proposer("p")
				for i := range values {
					c.mustDecide(p, "config", uint64(i+1), seededValue(1, i, valueSize))
				}
				if cut != "" {
					c.network.Cut("p", cut, false)
				}
				time.Sleep(3 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids {
					if id != cut {
						c.g.Expect(received[id]).To(And(BeNumerically(">=", values*valueSize), BeNumerically("<", values*valueSize+valueSize/2)), id)
					}
				}
				for _, id := range ids {
					for i := range values {
						if value, ok := c.running[id].replica.DecidedValue("config", uint64(i+1)); id != cut || i == values-1 {
							c.g.Expect(ok).To(BeTrue(), "%s lacks value %d", id, i)
							c.g.Expect(string(value)).To(Equal(seededValue(1, i, valueSize)))
						}
					}
				}
			})
		})
	}
}
