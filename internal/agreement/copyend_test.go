package agreement_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// heldCopies serves the first page of a copy, and further ones once released is closed.
type heldCopies struct {
	agreementpb.DRPCReplicaServer
	released chan struct{}
}

func (h heldCopies) Copy(ctx context.Context, in *agreementpb.CopyRequest) (*agreementpb.CopyReply, error) {
	if in.GetAfterKey() != "" {
		<-h.released
	}
	return h.DRPCReplicaServer.Copy(ctx, in)
}

// decidedRegisters returns the registers of a chain that a or b holds as decided.
func (c *cluster) decidedRegisters(epoch uint64, prefix string) (decided []*agreementpb.Register) {
	for _, m := range c.members[:2] {
		reply, err := c.network.Client("x").Replica(m).Read(context.Background(), &agreementpb.ReadRequest{
			Header: &agreementpb.Header{Epoch: epoch}, Prefix: prefix, From: 1,
		})
		c.g.Expect(err).NotTo(HaveOccurred())
		for _, r := range reply.GetRegisters() {
			if r.GetDecided() {
				decided = append(decided, r)
			}
		}
	}
	return decided
}

// Guards against a member that copies the state again after a restart, or can't, because a snapshot that was begun
// while it finished its copy left out that the copy is complete.
func TestSnapshotAtTheEndOfACopy(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.segment = 4 << 10
		for i := range 6 {
			c.mustDecide(p, "config", uint64(i+1), seededValue(1, i, 600<<10))
		}
		time.Sleep(time.Second)
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		defer release()
		for _, id := range []string{"a", "b"} {
			c.network.Attach(id, heldCopies{c.running[id].replica, released})
		}
		c.loseDisk("c")
		c.start("c")
		time.Sleep(2 * time.Second)
		c.g.Expect(c.running["c"].replica.Status().State).To(Equal(agreement.Learning))

		// The rest of the state arrives as decisions, and makes a snapshot due once the slow disk has it. Meanwhile the
		// copy ends.
		c.disks["c"].DelaySyncs(time.Second)
		for _, prefix := range []string{"config", "group"} {
			for _, r := range c.decidedRegisters(2, prefix) {
				_, err := c.network.Client("x").Replica(c.members[2]).Decide(context.Background(), &agreementpb.DecideRequest{
					Header: &agreementpb.Header{Epoch: 2}, Registers: []*agreementpb.Register{r},
				})
				c.g.Expect(err).NotTo(HaveOccurred())
			}
		}
		time.Sleep(500 * time.Millisecond)
		release()
		c.waitUntilVoting("a", "b", "c")
		c.disks["c"].DelaySyncs(0)
		time.Sleep(3 * time.Second)

		traffic := &copyTraffic{}
		c.network.Observe(traffic.observe)
		c.crash("c")
		c.start("c")
		c.waitUntilVoting("a", "b", "c")
		_, total := traffic.sizes()
		c.g.Expect(total).To(BeZero(), "bytes copied again after a restart")
	})
}
