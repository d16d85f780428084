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
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// countMessages returns the number of messages sent during the span. Once a second it calls each for every
// node except the holder.
func (c *cluster) countMessages(span time.Duration, holder string, each func(node string)) int {
	c.mu.Lock()
	c.calls = 0
	c.mu.Unlock()
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Second) {
		for node := range c.runners {
			if node != holder {
				each(node)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Guards against queries to voters from nodes whose dispatcher responds on its stream: together they cost
// more than all renewals. Nodes that lost the stream must not wait for their next scheduled query.
func TestNodesQueryVotersOnlyWithoutTheirDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 48, "booking")
		defer c.stop()
		g.Expect(c.waitUntil(func() bool { _, known := c.holder("booking"); return known })).To(BeNumerically("<", 2*time.Second))
		holder, _ := c.holder("booking")
		h, _ := c.runners[holder].Dispatcher("booking")
		withoutStream := c.countMessages(10*time.Second, holder, func(string) {})
		respond := func(node string) { c.runners[node].DispatcherResponded("booking", holder, h.Term) }
		c.countMessages(2*time.Second, holder, respond)
		withStream := c.countMessages(10*time.Second, holder, respond)
		g.Expect(withoutStream-withStream).To(BeNumerically("~", 10*47, 100), "one query per node and second is saved")
		for node, r := range c.runners {
			if node != holder {
				r.DispatcherStreamEnded("booking")
			}
		}
		c.mu.Lock()
		c.calls = 0
		c.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		c.mu.Lock()
		defer c.mu.Unlock()
		g.Expect(c.calls).To(BeNumerically(">=", 40), "nodes without their dispatcher query soon")
	})
}

// Guards against late reports of a previous dispatcher, or reports of an unknown node with a higher term,
// that replace the current dispatcher.
func TestReportOfFormerDispatcherIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 9, "booking")
		defer c.stop()
		known := func() bool { _, known := c.holder("booking"); return known }
		g.Expect(c.waitUntil(known)).To(BeNumerically("<", 2*time.Second))
		holder, _ := c.holder("booking")
		h, _ := c.runners[holder].Dispatcher("booking")
		for node, r := range c.runners {
			if node != holder {
				r.DispatcherResponded("booking", node, h.Term-1)
				r.DispatcherResponded("booking", "stranger", h.Term+1)
			}
		}
		g.Expect(known()).To(BeTrue())
	})
}

// Guards against one node that takes the leases of many services, added one after another, and carries the
// cost of all their streams while other nodes carry none.
func TestLeasesSpreadOverNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 5, "s0")
		defer c.stop()
		// All services have the same five voters, and the same node is first among them.
		services := []string{"s0"}
		for i := 1; len(services) < 4; i++ {
			name := fmt.Sprintf("s%d", i)
			if c.firstRanked(name) == c.firstRanked("s0") {
				services = append(services, name)
			}
		}
		for i := range services {
			fleet := *c.Fleet()
			fleet.Services = nil
			for _, s := range services[:i+1] {
				fleet.Services = append(fleet.Services, hostset.Service{Name: s})
			}
			c.fleet.Store(&fleet)
			time.Sleep(2 * time.Second)
		}
		holders := map[string]int{}
		for _, s := range services {
			holder, known := c.holder(s)
			g.Expect(known).To(BeTrue(), s)
			holders[holder]++
		}
		g.Expect(len(holders)).To(BeNumerically(">=", 3), "holders: %v", holders)
	})
}

// firstRanked returns the node with rank 0 for the service.
func (c *cluster) firstRanked(service string) string {
	current, _ := c.Fleet().VotingGroups(hostset.Service{Name: service})
	return current[0].ID
}

// Guards against nodes that record a candidate with votes but no lease as the dispatcher: its term may be
// above that of the holder, whose reports would then be refused.
func TestFailedCandidateIsNoDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 3, "booking")
		defer c.stop()
		g.Expect(c.waitUntil(func() bool { _, known := c.holder("booking"); return known })).To(BeNumerically("<", 2*time.Second))
		holder, _ := c.holder("booking")
		voters, _ := c.Fleet().VotingGroups(hostset.Service{Name: "booking"})
		voterID := voters[slices.IndexFunc(voters, func(h hostset.Host) bool { return h.ID != holder })].ID
		for _, h := range c.Fleet().Hosts {
			c.kill(h.ID)
		}
		voter := election.NewRunner(election.Options{ID: voterID, Incarnation: 2, Source: c, PeerClient: c, Logger: logging.Discard()})
		follower := election.NewRunner(election.Options{ID: "spare", Incarnation: 2, Source: c, FollowAllServices: true, PeerClient: c, Logger: logging.Discard()})
		c.mu.Lock()
		c.runners[voterID], c.runners["spare"] = voter, follower
		c.mu.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		c.done.Go(func() { _ = follower.Run(ctx) })
		defer cancel()
		time.Sleep(election.VoteLease)
		request := &fleetpb.VoteRequest{Service: "booking", Candidate: holder, Incarnation: 2, Term: 1 << 50, HostsRevision: 1}
		vote := func() bool {
			reply, err := voter.Vote(ctx, request)
			g.Expect(err).NotTo(HaveOccurred())
			return reply.GetGranted()
		}
		knows := func(r *election.Runner) bool { _, ok := r.Dispatcher("booking"); return ok }
		for range 10 {
			g.Expect(vote()).To(BeTrue())
			time.Sleep(100 * time.Millisecond)
			g.Expect(knows(voter) || knows(follower)).To(BeFalse())
		}
		request.Holding = true
		for range 10 {
			g.Expect(vote()).To(BeTrue())
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(knows(voter) && knows(follower)).To(BeTrue())
	})
}

// Guards against a node that is first among the voters of two services and takes both leases when these
// become free together, as when all voters start at the same time: one dispatcher would do the work of two.
func TestLeasesThatEndTogetherSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		probe := newCluster(t, 5, "s0")
		services := []string{"s0"}
		for i := 1; len(services) < 2; i++ {
			if name := fmt.Sprintf("s%d", i); probe.firstRanked(name) == probe.firstRanked("s0") {
				services = append(services, name)
			}
		}
		probe.stop()
		c := newCluster(t, 5)
		defer c.stop()
		// Voters that have just started grant nothing. Without this wait, the two elections would start at
		// different times.
		time.Sleep(time.Second)
		fleet := *c.Fleet()
		for _, s := range services {
			fleet.Services = append(fleet.Services, hostset.Service{Name: s})
		}
		c.fleet.Store(&fleet)
		time.Sleep(3 * time.Second)
		holders := map[string]bool{}
		for _, s := range services {
			holder, known := c.holder(s)
			g.Expect(known).To(BeTrue(), s)
			holders[holder] = true
		}
		g.Expect(holders).To(HaveLen(len(services)))
	})
}
