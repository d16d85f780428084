package agreement_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
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
		mu.Lock()
		defer mu.Unlock()
		c.g.Expect(largest).To(BeNumerically("<=", pageBytes+valueSize+4<<10))
	})
}

// storedPart is a replica's state of which only the registers with an even index are held.
type storedPart struct {
	agreement.Stored
}

func (s storedPart) DecidedValue(prefix string, index uint64) ([]byte, bool) {
	value, ok := s.Stored.DecidedValue(prefix, index)
	return value, ok && index%2 == 0
}

// storedNothing is the state of a replica without its disk.
type storedNothing struct{}

func (storedNothing) DecidedValue(string, uint64) ([]byte, bool) { return nil, false }
func (storedNothing) ChainSnapshot(string) (uint64, []byte)      { return 0, nil }

// Guards against a control host that reads each change of the configuration from every member although its own
// replica has it, and against a Read that misses values which the replica lacks.
func TestReadTakesDecidedValuesFromTheOwnReplica(t *testing.T) {
	const values, valueSize = 30, 300 << 10
	for name, c := range map[string]struct {
		stored func(r *agreement.Replica) agreement.Stored
		// maxBytes is how much may be read from the members.
		maxBytes int
	}{
		"all":     {func(r *agreement.Replica) agreement.Stored { return r }, 64 << 10},
		"part":    {func(r *agreement.Replica) agreement.Stored { return storedPart{r} }, 3 * values * valueSize},
		"nothing": {func(*agreement.Replica) agreement.Stored { return storedNothing{} }, 3 * values * valueSize},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(cl *cluster, p agreement.Proposer) {
				for i := range values {
					cl.mustDecide(p, "config", uint64(i+1), seededValue(1, i, valueSize))
				}
				time.Sleep(time.Second)
				const floor = 5
				for _, id := range []string{"a", "b", "c"} {
					cl.g.Expect(cl.running[id].replica.Compact("config", floor, []byte("snapshot"))).To(Succeed())
				}
				reader := agreement.NewProposer(agreement.ProposerConfig{
					ID: "q", FirstGroup: cl.members, Client: cl.network.Client("q"), Stored: c.stored(cl.running["a"].replica),
				})
				var mu sync.Mutex
				read := 0
				cl.network.Observe(func(_, _ string, reply proto.Message) {
					mu.Lock()
					defer mu.Unlock()
					read += proto.Size(reply)
				})
				for from := uint64(1); ; {
					chain, err := reader.Read(context.Background(), "config", from)
					cl.g.Expect(err).NotTo(HaveOccurred())
					if from == 1 {
						cl.g.Expect(string(chain.Snapshot)).To(Equal("snapshot"))
						from = floor
					}
					for _, r := range chain.Decided {
						cl.g.Expect(r.Index).To(Equal(from))
						cl.g.Expect(string(r.Value)).To(Equal(seededValue(1, int(from-1), valueSize)))
						from++
					}
					if !chain.More {
						cl.g.Expect(from).To(BeEquivalentTo(values + 1))
						break
					}
				}
				mu.Lock()
				defer mu.Unlock()
				cl.g.Expect(read).To(BeNumerically("<", c.maxBytes))
			})
		})
	}
}
