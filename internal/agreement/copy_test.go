package agreement_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// copyTraffic records the pages that learners receive.
type copyTraffic struct {
	mu sync.Mutex
	// largest is the encoded size of the largest page, total the size of all pages, count their number.
	largest, total, count int
	// onPage is called with the number of each page; nil means nothing.
	onPage func(count int, from, to string)
}

func (t *copyTraffic) observe(from, to string, reply proto.Message) {
	page, ok := reply.(*agreementpb.CopyReply)
	if !ok || page.GetHeader().GetRefusal() != "" {
		return
	}
	t.mu.Lock()
	t.count++
	size := proto.Size(page)
	t.largest, t.total = max(t.largest, size), t.total+size
	count, onPage := t.count, t.onPage
	t.mu.Unlock()
	if onPage != nil {
		onPage(count, from, to)
	}
}

// sizes returns the size of the largest page and of all pages.
func (t *copyTraffic) sizes() (largest, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.largest, t.total
}

// seededValue returns a value that no other index has.
func seededValue(seed uint64, index, size int) string {
	return fmt.Sprintf("%d/%d/", seed, index) + strings.Repeat(string(rune('a'+index%26)), size)
}

// Guards against a control host without its disk that runs out of memory on every start, because it holds the whole
// state of several members, or pages of any size, before it stores the first entry.
func TestCopyHoldsPagesAndNotStates(t *testing.T) {
	const (
		values    = 40
		valueSize = 600 << 10
		// pageBytes is the size of a page; one value may go over it.
		pageBytes = 1 << 20
	)
	for _, members := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}, {"a", "b", "c", "d", "e", "f", "g", "h", "i"}} {
		t.Run(fmt.Sprint(len(members)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, members...)
				defer c.stop()
				c.waitUntilVoting(members...)
				p := c.proposer("p")
				for i := range values {
					c.mustDecide(p, "config", uint64(i+1), seededValue(1, i, valueSize))
				}
				time.Sleep(time.Second)
				traffic := &copyTraffic{}
				c.network.Observe(traffic.observe)
				c.loseDisk("c")
				c.start("c")
				c.waitUntilVoting(members...)
				largest, total := traffic.sizes()
				c.g.Expect(largest).To(BeNumerically("<=", pageBytes+valueSize+4<<10))
				c.g.Expect(total).To(BeNumerically("<", 2*values*valueSize), "bytes copied, however many members there are")
			})
		})
	}
}

// Guards against an acknowledged value that is lost, and against a copy that never ends, when the replica that copies
// the state is killed at any page of the copy, or the member from which it reads.
func TestCopyIsInterruptedAtEachPage(t *testing.T) {
	const values, valueSize = 6, 400 << 10
	for _, victim := range []string{"learner", "source"} {
		for page := 1; ; page++ {
			interrupted := false
			t.Run(fmt.Sprintf("%s at page %d", victim, page), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { interrupted = interruptCopy(t, victim, page, values, valueSize) })
			})
			if !interrupted || t.Failed() {
				break
			}
		}
	}
}

// interruptCopy kills a process at a page of a copy and checks all values after the loss of a second disk. It
// reports false if the copy had fewer pages.
func interruptCopy(t *testing.T, victim string, page, values, valueSize int) bool {
	seed := uint64(page)
	random := rand.New(rand.NewPCG(seed, 38))
	c := newCluster(t, seed, "a", "b", "c")
	defer c.stop()
	c.waitUntilVoting("a", "b", "c")
	c.network.Delay(0, 5*time.Millisecond)
	p := c.proposer("p")
	expected := map[string][]string{}
	for i := range values {
		for prefix, size := range map[string]int{"config": valueSize, fmt.Sprintf("rec/%d", i): 10 + random.IntN(100)} {
			value := seededValue(seed, i, size)
			c.mustDecide(p, prefix, uint64(len(expected[prefix])+1), value)
			expected[prefix] = append(expected[prefix], value)
		}
	}
	killed := make(chan string, 1)
	traffic := &copyTraffic{onPage: func(count int, from, to string) {
		if count != page {
			return
		}
		if victim == "learner" {
			to = from
		}
		c.network.Detach(to)
		killed <- to
	}}
	c.network.Observe(traffic.observe)
	c.loseDisk("c")
	c.start("c")
	interrupted := false
	select {
	case id := <-killed:
		interrupted = true
		c.crash(id)
		time.Sleep(time.Second)
		c.start(id)
	case <-time.After(10 * time.Second):
	}
	c.waitUntilVoting("a", "b", "c")
	c.loseDisk([]string{"a", "b"}[random.IntN(2)])
	for prefix, values := range expected {
		c.expectChain(p, prefix, values...)
	}
	return interrupted
}

// Guards against a copy that begins anew after each interruption: a learner that is killed before the end must not read
// again what it has made durable.
func TestCopyResumesAfterRestart(t *testing.T) {
	const values, valueSize = 20, 600 << 10
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		for i := range values {
			c.mustDecide(p, "config", uint64(i+1), seededValue(1, i, valueSize))
		}
		c.network.Delay(time.Millisecond, 2*time.Millisecond)
		traffic := &copyTraffic{}
		killed := make(chan struct{})
		var once sync.Once
		traffic.onPage = func(_ int, from, _ string) {
			if _, total := traffic.sizes(); total > values*valueSize/2 {
				once.Do(func() { c.network.Detach(from); close(killed) })
			}
		}
		c.network.Observe(traffic.observe)
		c.loseDisk("c")
		c.start("c")
		<-killed
		c.crash("c")
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		_, total := traffic.sizes()
		c.g.Expect(total).To(BeNumerically("<", values*valueSize*3/2))
	})
}

// wholeChains serves copies as releases before partial chains did.
type wholeChains struct {
	agreementpb.DRPCReplicaServer
}

func (w wholeChains) Copy(ctx context.Context, in *agreementpb.CopyRequest) (*agreementpb.CopyReply, error) {
	return w.DRPCReplicaServer.Copy(ctx, &agreementpb.CopyRequest{Header: in.GetHeader(), AfterKey: in.GetAfterKey()})
}

// Guards against registers that are skipped while some control hosts run a release that sends and expects whole chains.
func TestCopyFromReleaseWithoutPartialChains(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		values := make([]string, 5)
		for i := range values {
			values[i] = seededValue(1, i, 600<<10)
			c.mustDecide(p, "config", uint64(i+1), values[i])
			c.mustDecide(p, fmt.Sprintf("rec/%d", i), 1, "small")
		}
		for _, id := range []string{"a", "b"} {
			c.network.Attach(id, wholeChains{c.running[id].replica})
		}
		c.loseDisk("c")
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		c.loseDisk("a")
		c.expectChain(p, "config", values...)
		for i := range values {
			c.expectChain(p, fmt.Sprintf("rec/%d", i), "small")
		}
	})
}
