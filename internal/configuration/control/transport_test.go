package control_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/configuration/store"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// An operator's change must reach a node over real TCP connections.
func TestChangeReachesANodeOverTheTransport(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	l := newLog(registerfake.New(1, registerfake.Faults{}))
	mux := transport.NewMux()
	g.Expect(mux.Register(l, configpb.DRPCFeedDescription{})).To(Succeed())
	g.Expect(mux.Register(l, configpb.DRPCOperatorDescription{})).To(Succeed())
	ctx, cancel := context.WithTimeout(background, 10*time.Second)
	done := make(chan error, 1)
	go func() { done <- transport.Serve(ctx, listener, mux, logging.Discard()) }()
	pool := transport.NewPool(transport.NewDialer())
	s := store.New(store.Options{ID: "h", Address: "10.0.0.1:1", Control: []string{address}, Client: feed.NewClient(pool)})
	stopped := make(chan error, 1)
	go func() { stopped <- s.Run(ctx) }()

	operator := configpb.NewDRPCOperatorClient(pool.Conn(ctx, address))
	reply, err := operator.Apply(ctx, request(0, team("t", 7)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.GetVerdict()).To(Equal(configpb.Verdict_VERDICT_ACCEPTED))
	g.Eventually(s.Ready, 5*time.Second, 5*time.Millisecond).Should(BeTrue())
	g.Expect(s.Current().Team("t").InFlightQuota).To(BeEquivalentTo(7))
	cancel()
	g.Expect(<-stopped).To(Succeed())
	g.Expect(<-done).To(Succeed())
	g.Expect(pool.Close()).To(Succeed())
}
