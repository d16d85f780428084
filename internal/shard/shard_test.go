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

// keeperRun feeds a keeper with observations twice a second.
type keeperRun struct {
	keeper           *Keeper
	now              time.Time
	current, changes int
}

func newKeeperRun() *keeperRun {
	return &keeperRun{keeper: NewKeeper(), now: time.Unix(1000, 0)}
}

func (r *keeperRun) observe(servers int, period time.Duration) int {
	for range period / (500 * time.Millisecond) {
		r.now = r.now.Add(500 * time.Millisecond)
		if count, ok := r.keeper.Next(r.now, "booking", r.current, servers); ok {
			r.current = count
			r.changes++
		}
	}
	return r.current
}

// A service whose size stays near a limit, or whose servers are replaced, must not change its shards again and
// again, since each change leaves it without dispatchers for a moment.
func TestSizesNearALimitDoNotAlternate(t *testing.T) {
	g := NewWithT(t)
	for servers := 1; servers < 1500; servers++ {
		r := newKeeperRun()
		r.observe(servers, 2*time.Second)
		for range 5 {
			r.observe(servers+servers/3, 15*time.Second)
			r.observe(servers, 15*time.Second)
			r.observe(servers-servers/4, 15*time.Second)
		}
		g.Expect(r.changes).To(BeNumerically("<=", 3), "%d servers", servers)
	}
}

func TestShardsFollowTheSize(t *testing.T) {
	g := NewWithT(t)
	first := func(servers int) int { return newKeeperRun().observe(servers, 2*time.Second) }
	g.Expect(first(36)).To(BeZero(), "the configuration need not change for a single shard")
	g.Expect(first(160)).To(BeZero())
	g.Expect(first(197)).To(Equal(2))
	g.Expect(first(515)).To(Equal(4))
	g.Expect(first(18000)).To(Equal(maxShards))
	g.Expect(newKeeperRun().observe(515, 500*time.Millisecond)).To(BeZero(), "a single observation")

	r := newKeeperRun()
	for servers := 0; servers < 515; servers += 100 {
		g.Expect(r.observe(servers, 500*time.Millisecond)).To(BeZero(), "servers announce themselves")
	}
	r.observe(515, 2*time.Second)
	g.Expect(r.current).To(Equal(4))
	g.Expect(r.observe(515+155, time.Minute)).To(Equal(4), "servers that are replaced")
	g.Expect(r.observe(0, time.Minute)).To(Equal(4), "no announcement arrives")
	g.Expect(r.observe(1030, 5*time.Second)).To(Equal(4), "for a moment")
	g.Expect(r.observe(1030, time.Minute)).To(Equal(7))
	g.Expect(r.observe(900, time.Minute)).To(Equal(7))
	g.Expect(r.observe(36, time.Minute)).To(Equal(1))
}
