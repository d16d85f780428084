package membership_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// maxBytesPerSecond bounds what control traffic may send and receive per node.
	maxBytesPerSecond = 11_000
	// maxCoreShare bounds the share of a core that control traffic may take per node.
	maxCoreShare = 0.016
	// segmentHeader is the size of the IP and TCP headers of a segment, in bytes.
	segmentHeader = 52
)

// meter counts the traffic on the connections of all dialers that share it.
type meter struct {
	bytes       atomic.Int64
	reads       atomic.Int64
	writes      atomic.Int64
	connections atomic.Int64
}

// segments estimates the TCP segments: one for each read and write at the dialling end, and one
// acknowledgement of the reply for each request. The reply itself acknowledges the request.
func (m *meter) segments() int64 {
	return m.reads.Load() + 2*m.writes.Load()
}

type meteredDialer struct {
	*meter
	transport.Dialer
}

func (d meteredDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.connections.Add(1)
	return meteredConn{conn, d.meter}, nil
}

type meteredConn struct {
	net.Conn
	*meter
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	c.reads.Add(1)
	return n, err
}

type gossipServer struct {
	fleetpb.DRPCFleetUnimplementedServer
	runner *membership.Runner
}

func (s *gossipServer) Gossip(ctx context.Context, r *fleetpb.GossipRequest) (*fleetpb.GossipReply, error) {
	return s.runner.Gossip(ctx, r)
}

func (s *gossipServer) Probe(ctx context.Context, r *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	return s.runner.Probe(ctx, r)
}

func processorTime(g *WithT) time.Duration {
	var usage syscall.Rusage
	g.Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against gossip that costs a node more than its budget: 48 nodes over real connections with 36
// backend servers that renew every 500 ms. The cost counts both ends of every exchange.
func TestGossipBudget(t *testing.T) {
	if testing.Short() {
		t.Skip("measures real time and processor time")
	}
	const nodes, servers, span = 48, 36, 4 * time.Second
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &hostset.Fleet{HostsRevision: 1, Services: []hostset.Service{{Name: service}}}
	var listeners []net.Listener
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		fleet.Hosts = append(fleet.Hosts, hostset.Host{
			ID: fmt.Sprintf("host-%02d.region", i), DataCentre: fmt.Sprintf("centre-%d", i%3), EntryAddress: l.Addr().String(), FleetAddress: l.Addr().String(),
		})
	}
	m := &meter{}
	done := make(chan error, 2*nodes)
	var runners []*membership.Runner
	for i, l := range listeners {
		h := fleet.Hosts[i]
		r := membership.NewRunner(membership.Options{
			Identity: membership.Identity{
				ID: h.ID, DataCentre: h.DataCentre, EntryAddress: h.EntryAddress, FleetAddress: h.FleetAddress, Role: "node",
				Incarnation: uint64(time.Now().UnixMilli()),
			},
			Source: fixedFleet{fleet}, Logger: logging.Discard(),
			PeerClient: membership.NewPeerClient(transport.NewPool(meteredDialer{m, transport.NewDialer()})),
		})
		runners = append(runners, r)
		mux := transport.NewMux()
		g.Expect(mux.Register(&gossipServer{runner: r}, fleetpb.DRPCFleetDescription{})).To(Succeed())
		go func() { done <- transport.Serve(ctx, l, mux, logging.Discard()) }()
		go func() { done <- r.Run(ctx) }()
	}
	defer func() {
		cancel()
		for range 2 * nodes {
			<-done
		}
	}()
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for k := 0; ctx.Err() == nil; k++ {
			for i := range servers {
				_ = runners[(i+k)%nodes].Announce(ctx, server(fmt.Sprintf("instance-%02d", i), backend.Ready))
			}
			time.Sleep(backend.RenewEvery)
		}
	}()
	joined := func() (joined int) {
		for _, r := range runners {
			if aliveCount(r) == nodes && len(r.Servers(service)) == servers {
				joined++
			}
		}
		return joined
	}
	g.Eventually(joined, 8*time.Second, 50*time.Millisecond).Should(Equal(nodes))
	bytes, segments, used := m.bytes.Load(), m.segments(), processorTime(g)
	time.Sleep(span)
	bytes, segments, used = m.bytes.Load()-bytes, m.segments()-segments, processorTime(g)-used
	// Each byte and segment is sent by one node and received by another; the meter counts it once.
	perNode := 2 / (float64(nodes) * span.Seconds())
	payload := float64(bytes) * perNode
	headers := float64(segments) * segmentHeader * perNode
	core := used.Seconds() / (float64(nodes) * span.Seconds())
	t.Logf("per node: %.0f B/s of messages, %.0f B/s with headers, %.2f%% of a core; %d connections dialled in all",
		payload, payload+headers, core*100, m.connections.Load())
	g.Expect(payload + headers).To(BeNumerically("<", maxBytesPerSecond))
	g.Expect(core).To(BeNumerically("<", maxCoreShare))
	cancel()
	<-stop
}
