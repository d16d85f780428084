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

// blackholeDialer dials connections that can be made to drop all written data without a reset, while new
// connections work.
type blackholeDialer struct {
	mu    sync.Mutex
	open  []*blackholeConn
	dials atomic.Int64
}

type blackholeConn struct {
	net.Conn
	dropWrites atomic.Bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (d *blackholeDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials.Add(1)
	c, err := transport.NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = append(d.open, &blackholeConn{Conn: c})
	return d.open[len(d.open)-1], nil
}

// fetch calls the feed at the address, with a deadline.
func fetch(pool *transport.Pool, address string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := configpb.NewDRPCFeedClient(pool.Conn(ctx, address)).Fetch(ctx, &configpb.FetchRequest{})
	return err
}

// Guards against a pool that keeps reusing a connection that delivers no data and was not reset, and so never
// reaches its peer again.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	address := serve(t)
	dialer := &blackholeDialer{}
	pool := transport.NewPool(dialer)
	defer func() { g.Expect(pool.Close()).To(Succeed()) }()
	call := func() error { return fetch(pool, address, 300*time.Millisecond) }
	g.Expect(call()).To(Succeed())
	g.Expect(call()).To(Succeed())
	g.Expect(dialer.dials.Load()).To(BeEquivalentTo(1))
	dialer.open[0].dropWrites.Store(true)
	g.Expect(call()).NotTo(Succeed())
	g.Expect(call()).To(Succeed())
	g.Expect(dialer.dials.Load()).To(BeEquivalentTo(2))
}

// lateEndDialer dials connections on which the last byte of each read arrives late, and which then drop all written data
// if told so.
type lateEndDialer struct {
	blackholeDialer
	delay time.Duration
}

type lateEndConn struct {
	net.Conn
	delay time.Duration
	held  []byte
}

func (c *lateEndConn) Read(p []byte) (int, error) {
	if len(c.held) > 0 {
		time.Sleep(c.delay)
		n := copy(p, c.held)
		c.held = c.held[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 1 {
		c.held = append(c.held, p[n-1])
		n--
	}
	return n, err
}

func (d *lateEndDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.blackholeDialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lateEndConn{Conn: c, delay: d.delay}, nil
}

// The end of the former response arrived after the next call had begun. It counted as a sign of life, so that a
// connection that delivered nothing any more was reused once more, and one more call got no response.
func TestEndOfFormerResponseIsNoSignOfLife(t *testing.T) {
	g := NewWithT(t)
	address := serve(t)
	dialer := &lateEndDialer{delay: 5 * time.Millisecond}
	pool := transport.NewPool(dialer)
	defer func() { g.Expect(pool.Close()).To(Succeed()) }()
	call := func() error { return fetch(pool, address, 300*time.Millisecond) }
	g.Expect(call()).To(Succeed())
	dialer.open[0].dropWrites.Store(true)
	g.Expect(call()).NotTo(Succeed())
	g.Expect(call()).To(Succeed())
	g.Expect(dialer.dials.Load()).To(BeEquivalentTo(2))
}

// lateDialer dials connections on which data arrives late, as from a peer that is busy.
type lateDialer struct {
	delay time.Duration
	dials atomic.Int64
}

type lateConn struct {
	net.Conn
	delay time.Duration
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(c.delay)
	return n, err
}

func (d *lateDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials.Add(1)
	c, err := transport.NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lateConn{c, d.delay}, nil
}

// Calls to busy peers that got no response in time discarded the connections to them. All further calls opened new ones,
// which kept the peers busy.
func TestBusyPeerKeepsItsConnections(t *testing.T) {
	g := NewWithT(t)
	address := serve(t)
	dialer := &lateDialer{delay: 120 * time.Millisecond}
	pool := transport.NewPool(dialer)
	defer func() { g.Expect(pool.Close()).To(Succeed()) }()
	const calls = 40
	late := 0
	for range 2 * calls {
		// A process that gets no processor time can miss its own deadline and still take the response.
		if fetch(pool, address, 100*time.Millisecond) != nil {
			late++
		}
		if late == calls {
			break
		}
	}
	g.Expect(late).To(Equal(calls))
	g.Expect(dialer.dials.Load()).To(BeNumerically("<=", 4), "the late responses show that the connections work")
}
