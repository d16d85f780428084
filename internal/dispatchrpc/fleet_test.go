package dispatchrpc_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

const (
	service = "booking"
	// leaseLeft is how long the lease of a lost dispatcher remains valid: 400 ms, plus 50 ms per rank and
	// margin.
	leaseLeft = 500 * time.Millisecond
)

// fleet is a host set on loopback with fake elections and a fake registry.
type fleet struct {
	g       *WithT
	members []dispatch.Member
	nodes   []*member
	servers []backend.Server

	mu     sync.Mutex
	leader string
	addr   string
	term   uint64
	until  time.Time
}

// member is one node of the fleet.
type member struct {
	fleet    *fleet
	name     string
	client   *dispatchrpc.Client
	server   *dispatchrpc.Server
	listener *gate
	// responseReports counts the reports that name the current dispatcher, endReports those of ended streams.
	responseReports, endReports atomic.Int64
	cancel                      context.CancelFunc
	stopped                     chan struct{}
}

func newFleet(t *testing.T, size, servers, slots int) *fleet {
	t.Helper()
	f := &fleet{g: NewWithT(t)}
	for i := range size {
		f.members = append(f.members, dispatch.Member{Node: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	for i := range servers {
		f.servers = append(f.servers, backend.Server{
			Service: service, Instance: fmt.Sprintf("s%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			DataCentre: fmt.Sprintf("dc%d", i%3), State: backend.Ready, Slots: slots, Connections: 100, Incarnation: 1,
		})
	}
	for _, m := range f.members {
		f.nodes = append(f.nodes, f.start(m))
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

func (f *fleet) start(m dispatch.Member) *member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(HaveOccurred())
	n := &member{fleet: f, name: m.Node, listener: &gate{Listener: l}, stopped: make(chan struct{})}
	n.server = dispatchrpc.NewServer(dispatchrpc.ServerConfig{
		Node: m.Node, Settings: f, Registry: f, Elections: n, Logger: logging.Discard(),
	})
	n.client = dispatchrpc.NewClient(dispatchrpc.ClientConfig{
		Node: m.Node, DataCentre: m.DataCentre, Incarnation: 1, Settings: f, Registry: f, Elections: n,
		Pool: transport.NewPool(transport.NewDialer()), Local: n.server, Logger: logging.Discard(),
	})
	mux := transport.NewMux()
	f.g.Expect(mux.Register(n.server, dispatchpb.DRPCDispatcherDescription{})).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var wg sync.WaitGroup
	wg.Go(func() { _ = transport.Serve(ctx, n.listener, mux, logging.Discard()) })
	wg.Go(func() { _ = n.server.Run(ctx) })
	wg.Go(func() { _ = n.client.Run(ctx) })
	go func() {
		wg.Wait()
		close(n.stopped)
	}()
	return n
}

func (n *member) stop() {
	n.cancel()
	n.listener.closeAll()
	<-n.stopped
}

// elect makes the node the dispatcher.
func (f *fleet) elect(n *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term++
	f.leader, f.addr = n.name, n.listener.Addr().String()
	f.until = time.Now().Add(time.Hour)
}

// expireLease ends the lease as if its holder could no longer renew it, and elects the next node when it
// has expired.
func (f *fleet) expireLease(next *member) {
	f.mu.Lock()
	f.until = time.Now().Add(leaseLeft)
	f.mu.Unlock()
	time.AfterFunc(leaseLeft, func() { f.elect(next) })
}

// Held implements leadership.Elections.
func (n *member) Held(string) (leadership.Lease, bool) {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return leadership.Lease{Term: f.term, Until: f.until}, f.leader == n.name && time.Now().Before(f.until)
}

// DispatcherResponded implements leadership.Observer.
func (n *member) DispatcherResponded(name, node string, term uint64) {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == service && node == f.leader && term == f.term {
		n.responseReports.Add(1)
	}
}

// DispatcherStreamEnded implements leadership.Observer.
func (n *member) DispatcherStreamEnded(string) { n.endReports.Add(1) }

// Dispatcher implements leadership.Elections.
func (n *member) Dispatcher(string) (leadership.Holder, bool) {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return leadership.Holder{Node: f.leader, Address: f.addr, Term: f.term}, f.leader != ""
}

func (f *fleet) Services() []string { return []string{service} }

func (f *fleet) Service(name string) (dispatchrpc.ServiceSettings, bool) {
	return dispatchrpc.ServiceSettings{MinimumHealthyPercent: 50, Members: f.members}, name == service
}

// Servers implements backend.Registry with servers that renew their announcements continuously.
func (f *fleet) Servers(string) []backend.Server {
	list := make([]backend.Server, len(f.servers))
	copy(list, f.servers)
	for i := range list {
		list[i].Renewed = time.Now()
	}
	return list
}

func (f *fleet) Announce(context.Context, backend.Server) error { return nil }

func (f *fleet) MarkDraining(string, string) {}

// request acquires one grant on the node.
func (n *member) request(wait time.Duration) (grant.Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return n.client.Acquire(ctx, grant.Request{
		Service: service, Priority: priority.Normal, Team: "t", Deadline: time.Now().Add(wait), Idempotent: true,
	})
}

// gate is a listener that can drop the traffic of its connections in either direction.
type gate struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
	// dropsInput discards received data, dropsOutput discards sent data.
	dropsInput, dropsOutput atomic.Bool
}

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, c)
	return &gatedConn{Conn: c, gate: g}, nil
}

func (g *gate) closeAll() {
	_ = g.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close()
	}
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.gate.dropsInput.Load() {
			return n, err
		}
	}
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if c.gate.dropsOutput.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
