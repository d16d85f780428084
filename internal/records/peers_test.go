package records_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/records"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// fleetServer serves only queries about attempts.
type fleetServer struct {
	fleetpb.DRPCFleetUnimplementedServer
	attempts *records.Attempts
}

func (f *fleetServer) Attempt(ctx context.Context, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	return f.attempts.Attempt(ctx, r)
}

// Guards against queries that do not reach the table of attempts over the transport. The outcome of
// every resent request would then be unknown.
func TestQueryOverTheTransport(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	pool := transport.NewPool(transport.NewDialer())
	registers := registerfake.New(1, registerfake.Faults{})
	claimer := func(name, address string) *records.Claimer {
		return records.New(records.Options{Node: name, Incarnation: 1, Address: address, Proposer: registers.Proposer(), PeerClient: records.NewPeerClient(pool)})
	}
	holder, other := claimer("a", l.Addr().String()), claimer("b", "")
	mux := transport.NewMux()
	g.Expect(mux.Register(&fleetServer{attempts: holder.Attempts()}, fleetpb.DRPCFleetDescription{})).To(Succeed())
	ctx, cancel := context.WithTimeout(background, 10*time.Second)
	done := make(chan error, 1)
	go func() { done <- transport.Serve(ctx, l, mux, logging.Discard()) }()

	held, err := holder.Claim(ctx, operation("k", "t"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held.Claim.Start()).To(BeTrue())
	time.AfterFunc(100*time.Millisecond, func() { held.Claim.Done(response("a")) })
	again, err := other.Claim(ctx, operation("k", "t"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*again.Replay).To(Equal(response("a")))
	cancel()
	g.Expect(<-done).To(Succeed())
	g.Expect(pool.Close()).To(Succeed())
}
