package agreement_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// addUnfinished lets a propose to add a member, and cuts a off from the others once they have promised its ballot. The
// change then has the vote of a alone.
func (c *cluster) addUnfinished(id string) {
	c.network.Observe(func(from, to string, reply proto.Message) {
		if r, ok := reply.(*agreementpb.RegisterReply); ok && from == "a" && r.GetOk() && r.GetRegister().GetKey() == "group/2" {
			c.network.Cut("a", "b", true)
			c.network.Cut("a", "c", true)
		}
	})
	c.g.Expect(c.swap("a", "", id).GetError()).NotTo(BeEmpty())
	c.network.Observe(nil)
	c.network.Cut("a", "b", false)
	c.network.Cut("a", "c", false)
}

// Guards against a change of the group that is completed long after it was proposed, when the member that it adds has
// lost its disk and another disk is lost: the larger group then has no majority for good.
func TestUnfinishedAdditionOfALostDisk(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "config", 1, "first")
		c.start("d")
		time.Sleep(time.Second)
		c.addUnfinished("d")
		c.loseDisk("d")
		c.start("d")
		time.Sleep(4 * time.Second)
		c.loseDisk("c")
		c.start("c")
		c.waitUntilVoting("a", "b", "c", "d")
		c.expectChain(p, "config", "first")
		c.mustDecide(p, "config", 2, "second")
	})
}

// Guards against the same while the member that the change adds is gone for good: the group must go on without a repair.
func TestUnfinishedAdditionOfAMemberThatIsGone(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "config", 1, "first")
		c.start("d")
		time.Sleep(time.Second)
		c.addUnfinished("d")
		c.loseDisk("d")
		c.loseDisk("c")
		c.start("c")
		time.Sleep(10 * time.Second)
		c.expectChain(p, "config", "first")
		c.mustDecide(p, "config", 2, "second")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		out, err := c.running["b"].replica.Swap(ctx, &agreementpb.SwapRequest{RemoveId: "c", Add: &agreementpb.Member{Id: "c", Address: "c"}})
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(out.GetError()).To(ContainSubstring("earlier change"))
	})
}
