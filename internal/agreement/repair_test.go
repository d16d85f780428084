package agreement_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// withCluster runs f with a cluster of three replicas in virtual time.
func withCluster(t *testing.T, f func(c *cluster, p agreement.Proposer)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.stop()
		c.waitUntilVoting("a", "b", "c")
		f(c, c.proposer("p"))
	})
}

// mustDecide proposes the value and expects it to be decided.
func (c *cluster) mustDecide(p agreement.Proposer, prefix string, index uint64, value string) {
	c.t.Helper()
	decided, err := p.ProposeFast(context.Background(), prefix, index, []byte(value))
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(string(decided)).To(Equal(value))
}

func (c *cluster) expectChain(p agreement.Proposer, prefix string, values ...string) {
	c.t.Helper()
	chain, err := p.Read(context.Background(), prefix, 1)
	c.g.Expect(err).NotTo(HaveOccurred())
	got := []string{}
	for _, r := range chain.Decided {
		got = append(got, string(r.Value))
	}
	c.g.Expect(got).To(Equal(values))
}

// expectReplicaHolds expects that the given replica holds one register of the chain.
func (c *cluster) expectReplicaHolds(member int, epoch uint64, prefix string) {
	c.t.Helper()
	reply, err := c.network.Client("x").Replica(c.members[member]).Read(context.Background(), &agreementpb.ReadRequest{
		Header: &agreementpb.Header{Epoch: epoch}, Prefix: prefix, From: 1,
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(reply.GetRegisters()).To(HaveLen(1), "the replica lacks a register that was decided without it")
}

// shortContext returns a context that ends after one second.
func shortContext(c *cluster) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	c.t.Cleanup(cancel)
	return ctx
}

// Guards against values that are lost because a second disk is lost right after the first was repaired.
func TestSecondLossRightAfterRepair(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.crash("c")
		c.mustDecide(p, "rec/k", 1, "first") // Only a and b hold it.
		c.loseDisk("c")
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		c.expectReplicaHolds(2, 2, "rec/k")
		c.loseDisk("a")
		c.expectChain(p, "rec/k", "first")
		c.start("a")
		c.waitUntilVoting("a", "b", "c")
		c.loseDisk("b")
		c.expectChain(p, "rec/k", "first")
		c.mustDecide(p, "rec/k", 2, "second")
		c.g.Expect(c.running["a"].replica.Status().Epoch).To(BeEquivalentTo(3))
	})
}

// Guards against a learner that votes before it has copied the state of a majority.
func TestLearnerWaitsForMajorityOfStates(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.crash("c")
		c.mustDecide(p, "rec/k", 1, "first")
		c.loseDisk("c")
		// The learner cannot reach b, one of the two members whose state it needs.
		c.network.Cut("c", "b", true)
		c.start("c")
		time.Sleep(30 * time.Second)
		c.g.Expect(c.running["c"].replica.Status().State).To(Equal(agreement.Learning))
		c.network.Cut("c", "b", false)
		c.waitUntilVoting("a", "b", "c")
	})
}

// Guards against forgetting a vote of round 0 with a lost disk: the vote of c may have decided either value,
// so after the disk of c was replaced, no other value may be decided.
func TestLostDiskAfterSplitFastRound(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		q := c.proposer("q")
		c.network.Cut("q", "a", true)
		c.network.Cut("q", "c", true)
		c.network.Cut("p", "b", true)
		_, err := q.ProposeFast(shortContext(c), "rec/k", 1, []byte("loser"))
		c.g.Expect(err).To(MatchError(agreement.ErrUndecided))
		c.mustDecide(p, "rec/k", 1, "winner") // With the votes of a and c; b voted for the other value.
		// The announcement of the decision is lost.
		c.network.Cut("p", "a", true)
		c.network.Cut("p", "c", true)
		c.loseDisk("c")
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		c.network.Cut("q", "a", false)
		c.network.Cut("q", "c", false)
		start := time.Now()
		_, err = q.Propose(shortContext(c), "rec/k", 1, []byte("third"))
		c.g.Expect(err).To(MatchError(agreement.ErrUndecided))
		c.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// Guards against a replica that is restored from an old copy of its disk and votes without the promises it
// made after that copy.
func TestOldCopyPutBack(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "rec/k", 1, "first")
		time.Sleep(2 * time.Second)
		old := c.disks["c"].Copy()
		disk := c.running["c"].replica.Status().DiskID
		c.mustDecide(p, "rec/k", 2, "second")
		time.Sleep(2 * time.Second)
		c.crash("c")
		c.disks["c"] = old
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		s := c.running["c"].replica.Status()
		c.g.Expect(s.DiskID).NotTo(Equal(disk))
		c.g.Expect(s.FoldersSetAside).To(Equal(1))
		c.g.Expect(s.Epoch).To(BeEquivalentTo(2))
		c.loseDisk("a")
		c.expectChain(p, "rec/k", "first", "second")
	})
}

// Guards against counting a vote whose sync failed, and against a replica that votes again after a failed
// sync without a restart.
func TestFailedSyncStopsForGood(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.crash("a")
		c.disks["b"].FailSyncs(true)
		_, err := p.ProposeFast(shortContext(c), "rec/k", 1, []byte("first"))
		c.g.Expect(err).To(MatchError(agreement.ErrUndecided))
		c.disks["b"].FailSyncs(false)
		time.Sleep(5 * time.Second)
		s := c.running["b"].replica.Status()
		c.g.Expect(s.State).To(Equal(agreement.Stopped))
		c.g.Expect(s.Reason).To(ContainSubstring("restart"))
		_, err = p.Propose(shortContext(c), "rec/k", 2, []byte("second"))
		c.g.Expect(err).To(MatchError(agreement.ErrNoQuorum))
		c.crash("b")
		c.start("b")
		c.waitUntilVoting("b", "c")
		c.mustDecide(p, "rec/k", 2, "second")
	})
}

// A replica whose disk was full for some seconds must vote again without a restart: otherwise a few full disks, one
// after the other, end the majority for good.
func TestReplicaVotesAgainOnceAFullDiskHasRoom(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "rec/k", 1, "first")
		for _, id := range []string{"a", "b", "c"} {
			c.disks[id].Fill(true)
		}
		_, err := p.ProposeFast(shortContext(c), "rec/k", 2, []byte("refused"))
		c.g.Expect(err).To(HaveOccurred())
		time.Sleep(5 * time.Second)
		c.g.Expect(c.running["b"].replica.Status().State).To(Equal(agreement.Stopped))
		c.g.Expect(c.running["b"].replica.Status().Reason).To(ContainSubstring("disk is full"))
		for _, id := range []string{"a", "b", "c"} {
			c.disks[id].Fill(false)
		}
		c.waitUntilVoting("a", "b", "c")
		c.mustDecide(p, "rec/k", 2, "second")
		c.expectChain(p, "rec/k", "first", "second")
		// What was confirmed before and after survives a loss of power.
		for _, id := range []string{"a", "b", "c"} {
			c.crash(id)
			c.start(id)
		}
		c.waitUntilVoting("a", "b", "c")
		c.expectChain(p, "rec/k", "first", "second")
		c.g.Expect(c.running["a"].replica.Status().FoldersSetAside).To(BeZero())
	})
}

// Guards against a replica that continues from a journal that is damaged in the middle.
func TestDamagedMiddle(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		for i := range 5 {
			c.mustDecide(p, "rec/k", uint64(i+1), fmt.Sprint(i))
			time.Sleep(time.Second)
		}
		c.crash("c")
		names, err := c.disks["c"].List("data/disk")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(c.disks["c"].Damage("data/disk/"+names[0], 100)).To(Succeed())
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		c.g.Expect(c.running["c"].replica.Status().Epoch).To(BeEquivalentTo(2))
		kept, err := c.disks["c"].List("data")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(kept).To(HaveLen(2))
		c.loseDisk("b")
		c.expectChain(p, "rec/k", "0", "1", "2", "3", "4")
	})
}

// Guards against a replacement with a new id that does not get to vote, and against a removed member that
// still votes.
func TestSwapToAnotherHost(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "config", 1, "first")
		c.start("d")
		time.Sleep(time.Second)
		c.g.Expect(c.running["d"].replica.Status().State).To(Equal(agreement.Blank))
		c.g.Expect(c.swap("b", "a", "d").GetError()).To(BeEmpty())
		c.waitUntilVoting("b", "c", "d")
		time.Sleep(time.Second)
		c.g.Expect(c.running["a"].replica.Status().State).To(Equal(agreement.Stopped))
		c.crash("b")
		c.expectChain(p, "config", "first")
		c.mustDecide(p, "config", 2, "second")
		time.Sleep(3 * time.Second) // A response of b counts as its current state for two seconds.
		// A swap that would leave too few voters to copy from is refused.
		c.g.Expect(c.swap("c", "d", "a").GetError()).To(ContainSubstring("wait until"))
	})
}

// Guards against a disk that was removed from the group, missed decisions and votes with its old state when
// it is added again.
func TestRemovedDiskComesBack(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.start("d")
		time.Sleep(time.Second)
		c.g.Expect(c.swap("a", "c", "d").GetError()).To(BeEmpty())
		c.waitUntilVoting("a", "b", "d")
		c.mustDecide(p, "rec/k", 1, "first")
		c.crash("d")
		c.g.Expect(c.swap("a", "d", "c").GetError()).To(BeEmpty())
		c.waitUntilVoting("a", "b", "c")
		c.crash("a")
		c.crash("b")
		c.start("b")
		c.waitUntilVoting("b", "c")
		c.expectReplicaHolds(2, 3, "rec/k")
	})
}

// Guards against a copy of several pages that omits chains or repeats them forever.
func TestCopyInPages(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		for i := range 5 {
			c.mustDecide(p, fmt.Sprintf("rec/%d", i), 1, strings.Repeat("x", (3+2*(i%2))<<20))
		}
		c.loseDisk("c")
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		for i := range 5 {
			c.expectReplicaHolds(2, 2, fmt.Sprintf("rec/%d", i))
		}
	})
}

// Guards against a member that has to copy the state again, or that counts as lost, because its address
// changed.
func TestChangeOfAddress(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.crash("b")
		out, err := c.running["a"].replica.Swap(context.Background(), &agreementpb.SwapRequest{
			RemoveId: "c", Add: &agreementpb.Member{Id: "c", Address: "elsewhere"},
		})
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(out.GetError()).To(BeEmpty())
		time.Sleep(time.Second)
		s := c.running["c"].replica.Status()
		c.g.Expect(s.State).To(Equal(agreement.Voting))
		c.g.Expect(s.Members[2].Address).To(Equal("elsewhere"))
		c.g.Expect(s.FoldersSetAside).To(BeZero())
		c.mustDecide(p, "config", 1, "first")
	})
}

// Guards against counting votes of different epochs together.
func TestOtherEpochsAreRefused(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.loseDisk("c")
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		for epoch, refusal := range map[uint64]string{1: "wrong-epoch", 2: "", 3: "wrong-epoch"} {
			reply, err := c.network.Client("x").Replica(c.members[0]).Accept(context.Background(), &agreementpb.AcceptRequest{
				Header: &agreementpb.Header{Epoch: epoch}, Key: "rec/k/1", Value: []byte("v"),
			})
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(reply.GetHeader().GetRefusal()).To(Equal(refusal))
			c.g.Expect(reply.GetHeader().GetEpoch()).To(BeEquivalentTo(2))
			c.g.Expect(reply.GetHeader().GetGroup() != nil).To(Equal(refusal != ""))
		}
	})
}

// Guards against a decision after a split fast round while the replica with the deciding vote is
// unresponsive.
func TestSplitFastRoundWithOneSilent(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		q := c.proposer("q")
		c.network.Freeze("c", true)
		c.network.Cut("p", "b", true)
		c.network.Cut("q", "a", true)
		results := make(chan error, 2)
		for name, proposer := range map[string]agreement.Proposer{"p": p, "q": q} {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := proposer.ProposeFast(ctx, "rec/k", 1, []byte(name))
				results <- err
			}()
		}
		time.Sleep(100 * time.Millisecond)
		c.network.Cut("p", "b", false)
		c.network.Cut("q", "a", false)
		c.g.Expect(<-results).To(MatchError(agreement.ErrUndecided))
		c.g.Expect(<-results).To(MatchError(agreement.ErrUndecided))
		c.network.Freeze("c", false)
		time.Sleep(time.Second)
		first, err := p.Propose(shortContext(c), "rec/k", 1, []byte("x"))
		c.g.Expect(err).NotTo(HaveOccurred())
		c.expectChain(q, "rec/k", string(first))
	})
}

// Guards against proposals that fail because the network to or from one replica is cut in one direction.
func TestOneWayCuts(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.network.Cut("a", "p", true)
		c.network.Cut("a", "b", true)
		c.mustDecide(p, "config", 1, "first")
		c.network.Cut("a", "p", false)
		c.network.Cut("p", "c", true)
		value, err := p.Propose(context.Background(), "config", 2, []byte("second"))
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(string(value)).To(Equal("second"))
		c.expectChain(c.proposer("q"), "config", "first", "second")
	})
}

// Guards against ErrNoQuorum, which says that no replica accepted the value, although a replica may have
// voted for it.
func TestNoQuorumMeansNotAccepted(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "rec/other", 1, "x")
		c.crash("a")
		c.crash("b")
		_, err := p.Propose(shortContext(c), "rec/k", 1, []byte("v"))
		c.g.Expect(err).To(MatchError(agreement.ErrNoQuorum))
		_, err = p.ProposeFast(shortContext(c), "rec/k", 2, []byte("v"))
		c.g.Expect(err).To(MatchError(agreement.ErrUndecided))
		c.crash("c")
		_, err = p.ProposeFast(shortContext(c), "rec/k", 3, []byte("v"))
		c.g.Expect(err).To(MatchError(agreement.ErrNoQuorum))
	})
}

// Guards against state that snapshots, chain compaction or retention lose, or that reappears after a restart.
func TestCompactionSurvivesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.segment = 4 << 10
		c.retain = func(_ string, value []byte, _ bool) bool { return string(value) != "expired" }
		for _, id := range []string{"a", "b", "c"} {
			c.members = append(c.members, agreement.Member{ID: id, Address: id})
		}
		for _, m := range c.members {
			c.start(m.ID)
		}
		defer c.stop()
		c.waitUntilVoting("a", "b", "c")
		p := c.proposer("p")
		for i := range 300 {
			c.mustDecide(p, "config", uint64(i+1), fmt.Sprintf("revision %d", i+1))
		}
		c.mustDecide(p, "rec/old", 1, "expired")
		c.mustDecide(p, "rec/new", 1, "kept")
		time.Sleep(time.Second)
		for _, m := range c.members {
			c.g.Expect(c.running[m.ID].replica.Compact("config", 300, []byte("document"))).To(Succeed())
		}
		c.mustDecide(p, "config", 301, "revision 301")
		const fillers = 400
		for i := range fillers {
			c.mustDecide(p, fmt.Sprintf("rec/filler%d", i), 1, "expired")
		}
		time.Sleep(time.Second)
		for _, id := range []string{"a", "b", "c"} {
			c.g.Expect(c.running[id].replica.Status().Registers).To(BeNumerically("<", fillers))
			c.crash(id)
			c.start(id)
		}
		c.waitUntilVoting("a", "b", "c")
		chain, err := p.Read(t.Context(), "config", 1)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(chain.Floor).To(BeEquivalentTo(300))
		c.g.Expect(string(chain.Snapshot)).To(Equal("document"))
		c.g.Expect(chain.Decided).To(HaveLen(2))
		c.g.Expect(c.running["a"].replica.Compact("group", 2, nil)).NotTo(Succeed())
		_, err = p.Propose(t.Context(), "config", 7, []byte("late"))
		c.g.Expect(err).To(MatchError(agreement.ErrCompacted))
		c.expectChain(p, "rec/new", "kept")
		c.mustDecide(p, "rec/old", 1, "again")
		names, err := c.disks["a"].List("data/disk")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(len(names)).To(BeNumerically("<", 8), "%v", names)
	})
}

// Guards against decisions that are not delivered to a watcher, including those made before it was added.
func TestWatch(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "config", 1, "one")
		time.Sleep(time.Second)
		delivered := make(chan uint64, 8)
		c.running["a"].replica.Watch("config", func(index uint64, _ []byte) { delivered <- index })
		c.mustDecide(p, "config", 2, "two")
		time.Sleep(time.Second)
		c.g.Expect(delivered).To(HaveLen(2))
		c.g.Expect(<-delivered).To(BeEquivalentTo(1))
		c.g.Expect(<-delivered).To(BeEquivalentTo(2))
	})
}
