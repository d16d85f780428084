package shard

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// A server that two shards own would get requests beyond its slots; one that none owns would get none.
func TestEveryServerHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		count := rapid.IntRange(0, maxShards).Draw(t, "count")
		id := rapid.String().Draw(t, "id")
		owners := 0
		for _, s := range All("booking", count) {
			if s.Owns(id) {
				owners++
			}
		}
		g.Expect(owners).To(Equal(1))
	})
}

// An uneven division leaves slots free in one shard while requests wait in another.
func TestServersAreSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	counts := make([]int, 4)
	for i := range 2000 {
		counts[Of("booking", fmt.Sprintf("i-%04x", i), 4).Index]++
	}
	for _, n := range counts {
		g.Expect(n).To(BeNumerically("~", 500, 75))
	}
}

// When the number of shards changes, servers that move lose their evidence, so few of them may.
func TestFewServersMove(t *testing.T) {
	g := NewWithT(t)
	moved := 0
	for i := range 1000 {
		id := fmt.Sprintf("i-%04x", i)
		if Of("booking", id, 3).Index != Of("booking", id, 4).Index {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("<", 330))
}

func TestNames(t *testing.T) {
	g := NewWithT(t)
	g.Expect(All("booking", 0)[0].String()).To(Equal("booking"))
	name := All("booking", 3)[2].String()
	g.Expect(name).To(Equal("booking#2/3"))
	g.Expect(ServiceOf(name)).To(Equal("booking"))
	g.Expect(ServiceOf("booking")).To(Equal("booking"))
}

// A service whose size stays near a limit must not change its shards again and again, since each change
// leaves it without dispatchers for a moment.
func TestSizesNearALimitDoNotAlternate(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper()
	now := time.Unix(1000, 0)
	current, changes := 1, 0
	for i := range 1000 {
		now = now.Add(500 * time.Millisecond)
		servers := serversPerShard + 1 - i/10%20
		if count, ok := k.Next(now, "booking", current, servers); ok {
			current = count
			changes++
		}
	}
	g.Expect(changes).To(Equal(1))
}

func TestShardsFollowTheSize(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper()
	now := time.Unix(1000, 0)
	settle := func(current, servers int) int {
		for range 10 {
			now = now.Add(500 * time.Millisecond)
			if count, ok := k.Next(now, "booking", current, servers); ok {
				current = count
			}
		}
		return current
	}
	g.Expect(settle(1, 36)).To(Equal(1))
	g.Expect(settle(1, 515)).To(Equal(4))
	g.Expect(settle(4, 515-60)).To(Equal(4), "a few servers fewer")
	g.Expect(settle(4, 0)).To(Equal(4), "no announcement has arrived yet")
	g.Expect(settle(4, 36)).To(Equal(1))
	g.Expect(settle(1, 18000)).To(Equal(maxShards))
	_, ok := k.Next(now, "lexview", 1, 500)
	g.Expect(ok).To(BeFalse(), "a single observation")
}
