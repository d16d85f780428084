package transport_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// blackholeDialer dials connections that can go silent without a reset, while new ones work.
type blackholeDialer struct {
	mu    sync.Mutex
	open  []*blackholeConn
	dials atomic.Int64
}

type blackholeConn struct {
	net.Conn
	mute atomic.Bool
}

func (s *blackholeConn) Write(p []byte) (int, error) {
	if s.mute.Load() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

func (s *blackholeDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	s.dials.Add(1)
	c, err := transport.NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = append(s.open, &blackholeConn{Conn: c})
	return s.open[len(s.open)-1], nil
}

// A pool that goes on using a silent connection is cut off from its peer for good.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	address := serve(t)
	dialer := &blackholeDialer{}
	pool := transport.NewPool(dialer)
	defer func() { g.Expect(pool.Close()).To(Succeed()) }()
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := configpb.NewDRPCFeedClient(pool.Conn(ctx, address)).Fetch(ctx, &configpb.FetchRequest{})
		return err
	}
	g.Expect(call()).To(Succeed())
	g.Expect(call()).To(Succeed())
	g.Expect(dialer.dials.Load()).To(BeEquivalentTo(1))
	dialer.open[0].mute.Store(true)
	g.Expect(call()).NotTo(Succeed())
	g.Expect(call()).To(Succeed())
	g.Expect(dialer.dials.Load()).To(BeEquivalentTo(2))
}
