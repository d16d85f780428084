package agreement_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// Guards against counting a refused connection as a possible vote: callers would get the outcome
// "unknown" when all control replicas are down.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	pool := transport.NewPool(transport.NewDialer())
	defer func() { g.Expect(pool.Close()).To(Succeed()) }()
	client := agreement.NewTransportClient(pool)
	_, err = client.Replica(agreement.Member{ID: "a", Address: address}).Accept(t.Context(), &agreementpb.AcceptRequest{Key: "rec/k/1"})
	g.Expect(err).To(MatchError(agreement.ErrNotSent))
}

// Guards against groups of one or five members that do not form or that need more than a majority.
func TestOtherGroupSizes(t *testing.T) {
	for _, ids := range [][]string{{"a"}, {"a", "b", "c", "d", "e"}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1, ids...)
			defer c.stop()
			c.waitUntilVoting(ids...)
			for _, id := range ids[:(len(ids)-1)/2] {
				c.crash(id)
			}
			c.mustDecide(c.proposer("p"), "config", 1, "first")
			c.expectChain(c.proposer("q"), "config", "first")
		})
	}
}

// Guards against proposals and reads that continue after their context has ended because all replicas are
// unresponsive.
func TestDeadlinesHold(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "config", 1, "first")
		for _, id := range []string{"a", "b", "c"} {
			c.network.Freeze(id, true)
		}
		for _, call := range []func(context.Context) error{
			func(ctx context.Context) error { _, err := p.Propose(ctx, "config", 2, []byte("x")); return err },
			func(ctx context.Context) error { _, err := p.ProposeFast(ctx, "config", 2, []byte("x")); return err },
			func(ctx context.Context) error { _, err := p.Read(ctx, "config", 1); return err },
		} {
			start := time.Now()
			c.g.Expect(call(shortContext(c))).NotTo(Succeed())
			c.g.Expect(time.Since(start)).To(BeNumerically("<=", time.Second))
		}
		for _, id := range []string{"a", "b", "c"} {
			c.network.Freeze(id, false)
		}
	})
}
