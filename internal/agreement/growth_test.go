package agreement_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
)

// Guards against a group of three seeds that cannot bear two losses, and against a member that votes before
// it has copied the state.
func TestGroupGrowsToFive(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.decide(p, "config", 1, "first")
		for _, id := range []string{"d", "e"} {
			c.start(id)
			time.Sleep(time.Second)
			c.g.Expect(c.swap("a", "", id).GetError()).To(BeEmpty())
			c.voting("a", "b", "c", id)
			time.Sleep(time.Second)
		}
		c.kill("a")
		c.kill("b")
		c.expectChain(p, "config", "first")
		c.decide(p, "config", 2, "second")
	})
}

// Guards against growth while a member is away: the new one counts for the majority before it votes.
func TestGroupWaitsWithItsGrowth(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.kill("c")
		c.start("d")
		time.Sleep(3 * time.Second)
		c.g.Expect(c.swap("a", "", "d").GetError()).To(ContainSubstring("wait until"))
		c.decide(p, "config", 1, "first")
	})
}

// Guards against a restart with seeds outside the group: the replicas know nothing, and the members were
// told other addresses than their own.
func TestGroupIsFoundThroughStrangers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.stop()
		c.voting("a", "b", "c")
		c.decide(c.proposer("p"), "config", 1, "first")
		members := c.members
		strangers := []agreement.Member{{ID: "x", Address: "x"}, {ID: "y", Address: "y"}}
		for _, id := range []string{"a", "b", "c"} {
			c.kill(id)
		}
		c.members = strangers
		for _, id := range []string{"a", "b", "c"} {
			c.start(id)
		}
		c.voting("a", "b", "c")
		x, err := agreement.NewReplica(agreement.ReplicaConfig{
			ID: "x", Address: "x", FS: c.disk("x"), Folder: "data", FirstGroup: strangers, Join: true,
			Client: c.network.Client("x"), Discover: func() []agreement.Member { return members },
		})
		c.g.Expect(err).NotTo(HaveOccurred())
		c.network.Attach("x", x)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- x.Run(ctx) }()
		time.Sleep(time.Second)
		c.g.Expect(x.Group().GetMembers()).To(HaveLen(3))
		outside := agreement.NewProposer(agreement.ProposerConfig{ID: "q", FirstGroup: strangers, Client: c.network.Client("q")})
		c.expectChain(outside, "config", "first")
		cancel()
		<-done
	})
}

// Guards against an emptied fleet that forms a second first group beside what was accepted before.
func TestJoiningReplicasFormNoGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stop()
		members := []agreement.Member{{ID: "a", Address: "a"}}
		r, err := agreement.NewReplica(agreement.ReplicaConfig{
			ID: "a", Address: "a", FS: c.disk("a"), Folder: "data", FirstGroup: members, Join: true, Client: c.network.Client("a"),
		})
		c.g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(5 * time.Second)
		c.g.Expect(r.Status().State).To(Equal(agreement.Blank))
		cancel()
		<-done
	})
}
