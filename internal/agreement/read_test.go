package agreement_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// Guards against a control host that holds a whole chain, or large parts of it from every member at once, while it catches up
// with a log that is many times as large as the state that follows from it.
func TestLongChainIsReadInParts(t *testing.T) {
	const values, valueSize, pageBytes, partBytes = 40, 600 << 10, 1 << 20, 4 << 20
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c", "d", "e")
		defer c.stop()
		c.waitUntilVoting("a", "b", "c", "d", "e")
		p := c.proposer("p")
		for i := range values {
			c.mustDecide(p, "config", uint64(i+1), seededValue(1, i, valueSize))
		}
		time.Sleep(time.Second)
		var mu sync.Mutex
		largest := 0
		c.network.Observe(func(_, _ string, reply proto.Message) {
			mu.Lock()
			defer mu.Unlock()
			if page, ok := reply.(*agreementpb.ReadReply); ok {
				largest = max(largest, proto.Size(page))
			}
		})
		got := 0
		for more := true; more; {
			chain, err := c.proposer("q").Read(t.Context(), "config", uint64(got+1))
			c.g.Expect(err).NotTo(HaveOccurred())
			part := 0
			for _, r := range chain.Decided {
				part += len(r.Value)
				c.g.Expect(string(r.Value)).To(Equal(seededValue(1, got, valueSize)), fmt.Sprint(got))
				got++
			}
			c.g.Expect(part).To(BeNumerically("<", partBytes+pageBytes+valueSize))
			c.g.Expect(chain.Undecided).To(BeFalse())
			more = chain.More
		}
		c.g.Expect(got).To(Equal(values))
		c.g.Expect(largest).To(BeNumerically("<=", pageBytes+valueSize+4<<10))
	})
}
