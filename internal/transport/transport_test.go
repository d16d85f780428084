package transport_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

type feed struct{}

func (feed) Fetch(_ context.Context, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	return &configpb.FetchReply{Revision: r.Revision + 1}, nil
}

func serve(t *testing.T) string {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	mux := transport.NewMux()
	g.Expect(mux.Register(feed{}, configpb.DRPCFeedDescription{})).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- transport.Serve(ctx, l, mux, logging.Discard()) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

// Guards against overlapping calls over one pool that block each other or get each other's replies.
func TestOverlappingCalls(t *testing.T) {
	g := NewWithT(t)
	address := serve(t)
	pool := transport.NewPool(transport.NewDialer())
	defer func() { g.Expect(pool.Close()).To(Succeed()) }()
	type result struct {
		requested, got uint64
		err            error
	}
	results := make(chan result)
	const calls = 64
	for i := range uint64(calls) {
		go func() {
			client := configpb.NewDRPCFeedClient(pool.Conn(context.Background(), address))
			reply, err := client.Fetch(context.Background(), &configpb.FetchRequest{Revision: i})
			results <- result{i, reply.GetRevision(), err}
		}()
	}
	for range calls {
		r := <-results
		g.Expect(r.err).NotTo(HaveOccurred())
		g.Expect(r.got).To(Equal(r.requested + 1))
	}
}

// countingDialer counts the open connections.
type countingDialer struct{ dials, open atomic.Int64 }

type countedConn struct {
	net.Conn
	dialer *countingDialer
	once   sync.Once
}

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := transport.NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.dials.Add(1)
	d.open.Add(1)
	return &countedConn{Conn: c, dialer: d}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.dialer.open.Add(-1) })
	return c.Conn.Close()
}

// Connections from a moment of many overlapping calls use up the descriptors of the peer, which then accepts no
// further ones.
func TestIdleConnectionsAreClosedSoon(t *testing.T) {
	g := NewWithT(t)
	address := serve(t)
	dialer := &countingDialer{}
	pool := transport.NewPool(dialer)
	defer func() { g.Expect(pool.Close()).To(Succeed()) }()
	var calls sync.WaitGroup
	for range 64 {
		calls.Go(func() {
			_, _ = configpb.NewDRPCFeedClient(pool.Conn(context.Background(), address)).Fetch(context.Background(), &configpb.FetchRequest{})
		})
	}
	calls.Wait()
	g.Expect(dialer.dials.Load()).To(BeNumerically(">", 1))
	g.Eventually(dialer.open.Load, 9*time.Second, 100*time.Millisecond).Should(BeZero())
}

// Guards against a peer whose malformed frames stop the process from serving others.
func TestMalformedFramesAreContained(t *testing.T) {
	g := NewWithT(t)
	address := serve(t)
	for range 8 {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Close()).To(Succeed())
	}
	pool := transport.NewPool(transport.NewDialer())
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	client := configpb.NewDRPCFeedClient(pool.Conn(ctx, address))
	reply, err := client.Fetch(ctx, &configpb.FetchRequest{Revision: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Revision).To(Equal(uint64(2)))
}
