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

// bubble runs a test of a cluster of three in virtual time.
func bubble(t *testing.T, f func(c *cluster, p agreement.Proposer)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.stop()
		c.voting("a", "b", "c")
		f(c, c.proposer("p"))
	})
}

// decide proposes and expects the value to be decided.
func (c *cluster) decide(p agreement.Proposer, prefix string, index uint64, value string) {
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

// expectHeld asks one replica for the chain, which must have one register there.
func (c *cluster) expectHeld(member int, epoch uint64, prefix string) {
	c.t.Helper()
	reply, err := c.network.Client("x").Replica(c.members[member]).Read(context.Background(), &agreementpb.ReadRequest{
		Header: &agreementpb.Header{Epoch: epoch}, Prefix: prefix, From: 1,
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(reply.GetRegisters()).To(HaveLen(1), "the replica lacks what was decided without it")
}

// brief returns a context that ends after a second.
func brief(c *cluster) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	c.t.Cleanup(cancel)
	return ctx
}

// Guards against values lost when a second disk is lost right after the first was repaired.
func TestSecondLossRightAfterRepair(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.kill("c")
		c.decide(p, "rec/k", 1, "first") // Only a and b hold it.
		c.lose("c")
		c.start("c")
		c.voting("a", "b", "c")
		c.expectHeld(2, 2, "rec/k")
		c.lose("a")
		c.expectChain(p, "rec/k", "first")
		c.start("a")
		c.voting("a", "b", "c")
		c.lose("b")
		c.expectChain(p, "rec/k", "first")
		c.decide(p, "rec/k", 2, "second")
		c.g.Expect(c.running["a"].replica.Status().Epoch).To(BeEquivalentTo(3))
	})
}

// Guards against a learner that votes before it holds the state of a majority.
func TestLearnerWaitsForMajorityOfStates(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.kill("c")
		c.decide(p, "rec/k", 1, "first")
		c.lose("c")
		// The learner cannot reach b, which holds half of what it needs.
		c.network.Cut("c", "b", true)
		c.start("c")
		time.Sleep(30 * time.Second)
		c.g.Expect(c.running["c"].replica.Status().State).To(Equal(agreement.Learning))
		c.network.Cut("c", "b", false)
		c.voting("a", "b", "c")
	})
}

// Guards against a round-0 vote that is forgotten with a lost disk: c's vote may have decided
// either value, so after c's replacement no other value may be decided.
func TestLostDiskAfterSplitFastRound(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		q := c.proposer("q")
		c.network.Cut("q", "a", true)
		c.network.Cut("q", "c", true)
		c.network.Cut("p", "b", true)
		_, err := q.ProposeFast(brief(c), "rec/k", 1, []byte("loser"))
		c.g.Expect(err).To(MatchError(agreement.ErrUndecided))
		c.decide(p, "rec/k", 1, "winner") // Votes of a and c; b voted for the other.
		// The announcement of the decision is lost.
		c.network.Cut("p", "a", true)
		c.network.Cut("p", "c", true)
		c.lose("c")
		c.start("c")
		c.voting("a", "b", "c")
		c.network.Cut("q", "a", false)
		c.network.Cut("q", "c", false)
		start := time.Now()
		_, err = q.Propose(brief(c), "rec/k", 1, []byte("third"))
		c.g.Expect(err).To(MatchError(agreement.ErrUndecided))
		c.g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

// Guards against a restored backup that answers with promises it has forgotten.
func TestOldCopyPutBack(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.decide(p, "rec/k", 1, "first")
		time.Sleep(2 * time.Second)
		old := c.disks["c"].Copy()
		disk := c.running["c"].replica.Status().DiskID
		c.decide(p, "rec/k", 2, "second")
		time.Sleep(2 * time.Second)
		c.kill("c")
		c.disks["c"] = old
		c.start("c")
		c.voting("a", "b", "c")
		s := c.running["c"].replica.Status()
		c.g.Expect(s.DiskID).NotTo(Equal(disk))
		c.g.Expect(s.PutAside).To(Equal(1))
		c.g.Expect(s.Epoch).To(BeEquivalentTo(2))
		c.lose("a")
		c.expectChain(p, "rec/k", "first", "second")
	})
}

// Guards against a vote that is counted although its sync failed, and against a disk that is
// trusted again without a restart.
func TestFailedSyncStopsForGood(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.kill("a")
		c.disks["b"].FailSyncs(true)
		_, err := p.ProposeFast(brief(c), "rec/k", 1, []byte("first"))
		c.g.Expect(err).To(MatchError(agreement.ErrUndecided))
		c.disks["b"].FailSyncs(false)
		time.Sleep(5 * time.Second)
		s := c.running["b"].replica.Status()
		c.g.Expect(s.State).To(Equal(agreement.Stopped))
		c.g.Expect(s.Reason).To(ContainSubstring("restart"))
		_, err = p.Propose(brief(c), "rec/k", 2, []byte("second"))
		c.g.Expect(err).To(MatchError(agreement.ErrNoQuorum))
		c.kill("b")
		c.start("b")
		c.voting("b", "c")
		c.decide(p, "rec/k", 2, "second")
	})
}

// Guards against a replica that goes on from a journal with a damaged middle.
func TestDamagedMiddle(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		for i := range 5 {
			c.decide(p, "rec/k", uint64(i+1), fmt.Sprint(i))
			time.Sleep(time.Second)
		}
		c.kill("c")
		names, err := c.disks["c"].List("data/disk")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(c.disks["c"].Damage("data/disk/"+names[0], 100)).To(Succeed())
		c.start("c")
		c.voting("a", "b", "c")
		c.g.Expect(c.running["c"].replica.Status().Epoch).To(BeEquivalentTo(2))
		kept, err := c.disks["c"].List("data")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(kept).To(HaveLen(2))
		c.lose("b")
		c.expectChain(p, "rec/k", "0", "1", "2", "3", "4")
	})
}

// Guards against a replacement under a new id that is not asked or that the removed one outvotes.
func TestSwapToAnotherHost(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.decide(p, "config", 1, "first")
		c.start("d")
		time.Sleep(time.Second)
		c.g.Expect(c.running["d"].replica.Status().State).To(Equal(agreement.Blank))
		c.g.Expect(c.swap("b", "a", "d").GetError()).To(BeEmpty())
		c.voting("b", "c", "d")
		time.Sleep(time.Second)
		c.g.Expect(c.running["a"].replica.Status().State).To(Equal(agreement.Stopped))
		c.kill("b")
		c.expectChain(p, "config", "first")
		c.decide(p, "config", 2, "second")
		time.Sleep(3 * time.Second) // Answers of b count as its present state for two seconds.
		// A swap that would leave too few voters to copy from is refused.
		c.g.Expect(c.swap("c", "d", "a").GetError()).To(ContainSubstring("wait until"))
	})
}

// Guards against a disk that was removed, missed decisions and votes with its old state when it is
// added again.
func TestRemovedDiskComesBack(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.start("d")
		time.Sleep(time.Second)
		c.g.Expect(c.swap("a", "c", "d").GetError()).To(BeEmpty())
		c.voting("a", "b", "d")
		c.decide(p, "rec/k", 1, "first")
		c.kill("d")
		c.g.Expect(c.swap("a", "d", "c").GetError()).To(BeEmpty())
		c.voting("a", "b", "c")
		c.kill("a")
		c.kill("b")
		c.start("b")
		c.voting("b", "c")
		c.expectHeld(2, 3, "rec/k")
	})
}

// Guards against chains that a copy in several pages leaves out or repeats without end.
func TestCopyInPages(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		for i := range 5 {
			c.decide(p, fmt.Sprintf("rec/%d", i), 1, strings.Repeat("x", (3+2*(i%2))<<20))
		}
		c.lose("c")
		c.start("c")
		c.voting("a", "b", "c")
		for i := range 5 {
			c.expectHeld(2, 2, fmt.Sprintf("rec/%d", i))
		}
	})
}

// Guards against a member that has to copy its state, or counts as lost, because it moved to another
// address.
func TestChangeOfAddress(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.kill("b")
		out, err := c.running["a"].replica.Swap(context.Background(), &agreementpb.SwapRequest{
			RemoveId: "c", Add: &agreementpb.Member{Id: "c", Address: "elsewhere"},
		})
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(out.GetError()).To(BeEmpty())
		time.Sleep(time.Second)
		s := c.running["c"].replica.Status()
		c.g.Expect(s.State).To(Equal(agreement.Voting))
		c.g.Expect(s.Members[2].Address).To(Equal("elsewhere"))
		c.g.Expect(s.PutAside).To(BeZero())
		c.decide(p, "config", 1, "first")
	})
}

// Guards against votes of different epochs that are counted together.
func TestOtherEpochsAreRefused(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.lose("c")
		c.start("c")
		c.voting("a", "b", "c")
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

// Guards against a split fast round that is resolved by guessing while one replica is silent.
func TestSplitFastRoundWithOneSilent(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		q := c.proposer("q")
		c.network.Freeze("c", true)
		c.network.Cut("p", "b", true)
		c.network.Cut("q", "a", true)
		results := make(chan error, 2)
		for name, who := range map[string]agreement.Proposer{"p": p, "q": q} {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := who.ProposeFast(ctx, "rec/k", 1, []byte(name))
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
		first, err := p.Propose(brief(c), "rec/k", 1, []byte("x"))
		c.g.Expect(err).NotTo(HaveOccurred())
		c.expectChain(q, "rec/k", string(first))
	})
}

// Guards against proposals that need a direction of the network that is cut.
func TestOneWayCuts(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.network.Cut("a", "p", true)
		c.network.Cut("a", "b", true)
		c.decide(p, "config", 1, "first")
		c.network.Cut("a", "p", false)
		c.network.Cut("p", "c", true)
		value, err := p.Propose(context.Background(), "config", 2, []byte("second"))
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(string(value)).To(Equal("second"))
		c.expectChain(c.proposer("q"), "config", "first", "second")
	})
}

// Guards against a refusal that is called "accepted nowhere" although a replica may have voted.
func TestNoQuorumIsTruthful(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.decide(p, "rec/other", 1, "x")
		c.kill("a")
		c.kill("b")
		_, err := p.Propose(brief(c), "rec/k", 1, []byte("v"))
		c.g.Expect(err).To(MatchError(agreement.ErrNoQuorum))
		_, err = p.ProposeFast(brief(c), "rec/k", 2, []byte("v"))
		c.g.Expect(err).To(MatchError(agreement.ErrUndecided))
		c.kill("c")
		_, err = p.ProposeFast(brief(c), "rec/k", 3, []byte("v"))
		c.g.Expect(err).To(MatchError(agreement.ErrNoQuorum))
	})
}

// Guards against state that snapshots, compaction of chains or retention lose or bring back.
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
		c.voting("a", "b", "c")
		p := c.proposer("p")
		for i := range 300 {
			c.decide(p, "config", uint64(i+1), fmt.Sprintf("revision %d", i+1))
		}
		c.decide(p, "rec/old", 1, "expired")
		c.decide(p, "rec/new", 1, "kept")
		time.Sleep(time.Second)
		for _, m := range c.members {
			c.g.Expect(c.running[m.ID].replica.Compact("config", 300, []byte("document"))).To(Succeed())
		}
		c.decide(p, "config", 301, "revision 301")
		const fillers = 400
		for i := range fillers {
			c.decide(p, fmt.Sprintf("rec/filler%d", i), 1, "expired")
		}
		time.Sleep(time.Second)
		for _, id := range []string{"a", "b", "c"} {
			c.g.Expect(c.running[id].replica.Status().Registers).To(BeNumerically("<", fillers))
			c.kill(id)
			c.start(id)
		}
		c.voting("a", "b", "c")
		chain, err := p.Read(t.Context(), "config", 1)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(chain.Floor).To(BeEquivalentTo(300))
		c.g.Expect(string(chain.Snapshot)).To(Equal("document"))
		c.g.Expect(chain.Decided).To(HaveLen(2))
		c.g.Expect(c.running["a"].replica.Compact("group", 2, nil)).NotTo(Succeed())
		_, err = p.Propose(t.Context(), "config", 7, []byte("late"))
		c.g.Expect(err).To(MatchError(agreement.ErrCompacted))
		c.expectChain(p, "rec/new", "kept")
		c.decide(p, "rec/old", 1, "again")
		names, err := c.disks["a"].List("data/disk")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(len(names)).To(BeNumerically("<", 8), "%v", names)
	})
}

// Guards against decisions that a watcher never hears, also after a restart.
func TestWatch(t *testing.T) {
	bubble(t, func(c *cluster, p agreement.Proposer) {
		c.decide(p, "config", 1, "one")
		time.Sleep(time.Second)
		heard := make(chan uint64, 8)
		c.running["a"].replica.Watch("config", func(index uint64, _ []byte) { heard <- index })
		c.decide(p, "config", 2, "two")
		time.Sleep(time.Second)
		c.g.Expect(heard).To(HaveLen(2))
		c.g.Expect(<-heard).To(BeEquivalentTo(1))
		c.g.Expect(<-heard).To(BeEquivalentTo(2))
	})
}
