package election_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/shard"
)

// delayedSource is the configuration of one node, which follows that of the cluster with a delay.
type delayedSource struct {
	cluster *cluster
	current *hostset.Fleet
	adopts  time.Time
	next    *hostset.Fleet
	delay   func() time.Duration
}

func (d *delayedSource) Fleet() *hostset.Fleet {
	now := time.Now()
	if newest := d.cluster.Fleet(); newest != d.next {
		d.next, d.adopts = newest, now.Add(d.delay())
	}
	if !now.Before(d.adopts) {
		d.current = d.next
	}
	return d.current
}

// When the number of shards changes while hosts adopt the change at different times, fail and restart, two
// dispatchers must never own one server: both would fill its slots.
func TestServersHaveOneDispatcherWhileShardsChange(t *testing.T) {
	seeds := uint64(20)
	if testing.Short() {
		seeds = 4
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playShardChanges(t, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func playShardChanges(t *testing.T, random *rand.Rand) {
	g := NewWithT(t)
	c := newCluster(t, 0)
	fleet := hostset.Fleet{HostsRevision: 1}
	for i := range 5 {
		id := fmt.Sprintf("n%d", i)
		fleet.Hosts = append(fleet.Hosts, hostset.Host{ID: id, DataCentre: fmt.Sprintf("dc%d", i%3), FleetAddress: id})
	}
	divide := func(count int) {
		next := fleet
		next.Services = nil
		for _, s := range shard.All("booking", count) {
			next.Services = append(next.Services, hostset.Service{Name: s.String()})
		}
		c.fleet.Store(&next)
	}
	start := func(id string) {
		source := &delayedSource{cluster: c, delay: func() time.Duration { return rand.N(time.Second) }}
		r := election.NewRunner(election.Options{ID: id, Incarnation: uint64(time.Now().UnixMilli()), Source: source, PeerClient: c, Logger: logging.Discard()})
		ctx, cancel := context.WithCancel(context.Background())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.runners[id], c.cancel[id] = r, cancel
		c.done.Go(func() { _ = r.Run(ctx) })
	}
	divide(1)
	for _, h := range fleet.Hosts {
		start(h.ID)
	}
	defer c.stop()
	led := 0
	for range 12 {
		count := 1 + random.IntN(4)
		divide(count)
		failed := fleet.Hosts[random.IntN(5)].ID
		killAt, restartAt := random.IntN(400), random.IntN(400)
		for step := range 400 {
			if step == killAt {
				c.kill(failed)
			}
			if step == killAt+restartAt/4 {
				start(failed)
			}
			led = max(led, checkOwners(g, c))
			time.Sleep(5 * time.Millisecond)
		}
		if killAt+restartAt/4 >= 400 {
			start(failed)
		}
	}
	divide(3)
	time.Sleep(3 * time.Second)
	g.Expect(checkOwners(g, c)).To(Equal(3), "each shard has a dispatcher in the end")
	g.Expect(led).To(BeNumerically(">", 1))
}

// checkOwners checks that no server has two dispatchers, and returns the number of dispatchers.
func checkOwners(g *WithT, c *cluster) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	holders := 0
	owner := map[string]string{}
	for count := 1; count <= 4; count++ {
		for _, s := range shard.All("booking", count) {
			for node, r := range c.runners {
				if _, held := r.Held(s.String()); !held {
					continue
				}
				holders++
				for i := range 20 {
					server := fmt.Sprintf("i-%d", i)
					if s.Owns(server) {
						g.Expect(owner).NotTo(HaveKey(server), "%s of %s and another dispatcher own it", s, node)
						owner[server] = node
					}
				}
			}
		}
	}
	return holders
}
