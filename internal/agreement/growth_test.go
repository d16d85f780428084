package agreement_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
)

// Guards against a group that grew from three to five members and cannot tolerate the loss of two, and
// against a new member that votes before it has copied the state.
func TestGroupGrowsToFive(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "config", 1, "first")
		for _, id := range []string{"d", "e"} {
			c.start(id)
			time.Sleep(time.Second)
			c.g.Expect(c.swap("a", "", id).GetError()).To(BeEmpty())
			c.waitUntilVoting("a", "b", "c", id)
			time.Sleep(time.Second)
		}
		c.crash("a")
		c.crash("b")
		c.expectChain(p, "config", "first")
		c.mustDecide(p, "config", 2, "second")
	})
}

// Guards against growth while a member is down: the new member counts towards the majority before it votes.
func TestGrowthNeedsVotingMembers(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.crash("c")
		c.start("d")
		time.Sleep(3 * time.Second)
		c.g.Expect(c.swap("a", "", "d").GetError()).To(ContainSubstring("wait until"))
		c.mustDecide(p, "config", 1, "first")
	})
}

// Guards against a group that keeps a member too many, and against a value that is lost with the vote of the removed
// member.
func TestMemberIsRemovedFromAGroupOfEvenSize(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.start("d")
		time.Sleep(time.Second)
		c.g.Expect(c.swap("a", "", "d").GetError()).To(BeEmpty())
		c.waitUntilVoting("a", "b", "c", "d")
		time.Sleep(time.Second)
		c.network.Cut("p", "a", true)
		_, err := p.ProposeFast(context.Background(), "rec/k", 1, []byte("first"))
		c.g.Expect(err).NotTo(HaveOccurred())
		c.network.Cut("p", "a", false)
		c.crash("c")
		time.Sleep(3 * time.Second)
		c.g.Expect(c.remove("a", "c").GetError()).To(BeEmpty())
		c.waitUntilVoting("a", "b", "d")
		c.g.Expect(c.running["a"].replica.Status().Members).To(HaveLen(3))
		c.g.Expect(c.remove("a", "d").GetError()).To(ContainSubstring("replace the member"))
		c.crash("b")
		c.expectChain(c.proposer("q"), "rec/k", "first")
		c.mustDecide(p, "config", 1, "second")
	})
}

// Guards against members that do not find their group after a restart with a first group of other hosts, and
// against a replica and a proposer outside the group that do not find it from there.
func TestGroupIsFoundThroughNonMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.stop()
		c.waitUntilVoting("a", "b", "c")
		c.mustDecide(c.proposer("p"), "config", 1, "first")
		members := c.members
		nonMembers := []agreement.Member{{ID: "x", Address: "x"}, {ID: "y", Address: "y"}}
		for _, id := range []string{"a", "b", "c"} {
			c.crash(id)
		}
		c.members = nonMembers
		for _, id := range []string{"a", "b", "c"} {
			c.start(id)
		}
		c.waitUntilVoting("a", "b", "c")
		x, err := agreement.NewReplica(agreement.ReplicaConfig{
			ID: "x", Address: "x", FS: c.disk("x"), Folder: "data", FirstGroup: nonMembers, Join: true,
			Client: c.network.Client("x"), Discover: func() []agreement.Member { return members },
		})
		c.g.Expect(err).NotTo(HaveOccurred())
		c.network.Attach("x", x)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- x.Run(ctx) }()
		time.Sleep(time.Second)
		c.g.Expect(x.Group().GetMembers()).To(HaveLen(3))
		outside := agreement.NewProposer(agreement.ProposerConfig{ID: "q", FirstGroup: nonMembers, Client: c.network.Client("q")})
		c.expectChain(outside, "config", "first")
		cancel()
		<-done
	})
}

// Guards against a replica that lost its disk and forms the first group again, without the values that the
// earlier group accepted.
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
