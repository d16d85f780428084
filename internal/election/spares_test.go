package election_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
)

// newClusterWithSpares returns a cluster of five voters and of spares that may hold leases.
func newClusterWithSpares(t *testing.T, spares int, services ...string) *cluster {
	c := newCluster(t, 0, services...)
	fleet := *c.Fleet()
	var all []hostset.Host
	for i := range 5 + spares {
		id := fmt.Sprintf("n%d", i)
		all = append(all, hostset.Host{ID: id, FleetAddress: id})
	}
	// A node that was killed stays listed, as gossip takes some seconds to declare it dead.
	list := func() []hostset.Host { return all }
	for i := range 5 + spares {
		id := fmt.Sprintf("n%d", i)
		if i < 5 {
			fleet.Hosts = append(fleet.Hosts, hostset.Host{ID: id, FleetAddress: id})
		}
		r := election.NewRunner(election.Options{
			ID: id, Incarnation: 1, Source: c, PeerClient: c, FollowAllServices: true, Spares: list, Logger: logging.Discard(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		c.runners[id], c.cancel[id] = r, cancel
		c.done.Go(func() { _ = r.Run(ctx) })
	}
	c.fleet.Store(&fleet)
	return c
}

// A large service has more shards than there are voters. If voters alone dispatched, two shards would share a host
// of a quarter core that also votes and decides the configuration, and would be lost together.
func TestSparesDispatchBeforeVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var services []string
		for i := range 7 {
			services = append(services, fmt.Sprintf("cuefeed#%d/7", i))
		}
		c := newClusterWithSpares(t, 14, services...)
		defer c.stop()
		voters := []string{"n0", "n1", "n2", "n3", "n4"}
		holders := func() (list []string, known bool) {
			known = true
			for _, s := range services {
				holder, all := c.holder(s)
				list, known = append(list, holder), known && all
			}
			return list, known
		}
		allKnown := func() bool { _, known := holders(); return known }
		g.Expect(c.waitUntil(allKnown)).To(BeNumerically("<", 3*time.Second))
		list, _ := holders()
		slices.Sort(list)
		dispatching := slices.DeleteFunc(slices.Clone(list), func(holder string) bool { return !slices.Contains(voters, holder) })
		g.Expect(len(dispatching)).To(BeNumerically("<=", 1), "holders: %v", list)
		g.Expect(len(slices.Compact(slices.Clone(list)))).To(BeNumerically(">=", 6), "holders: %v", list)

		// A lost spare is replaced within the time that a lost voter takes.
		c.kill(list[0])
		g.Expect(c.waitUntil(allKnown)).To(BeNumerically("<", time.Second))
		// Without spares the voters dispatch. They wait for the spares, which are not known to be dead.
		for i := 5; i < 19; i++ {
			if id := fmt.Sprintf("n%d", i); id != list[0] {
				c.kill(id)
			}
		}
		g.Expect(c.waitUntil(allKnown)).To(BeNumerically("<", 2*time.Second))
	})
}
