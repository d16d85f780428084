package dispatchrpc

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

const takeoverService = "booking"

// soleDispatcher is the environment of a dispatcher that holds the lease throughout.
type soleDispatcher struct{ servers []backend.Server }

func newSoleDispatcher(servers int) *soleDispatcher {
	d := &soleDispatcher{}
	for i := range servers {
		d.servers = append(d.servers, backend.Server{
			Service: takeoverService, Instance: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250),
			DataCentre: fmt.Sprintf("dc%d", i%5), State: backend.Ready, Slots: 6, Connections: 5100, Incarnation: 1, Cutoff: time.Hour,
		})
	}
	return d
}

func (d *soleDispatcher) Held(string) (leadership.Lease, bool) {
	return leadership.Lease{Term: 1, Until: time.Now().Add(time.Hour)}, true
}
func (d *soleDispatcher) Dispatcher(string) (leadership.Holder, bool) {
	return leadership.Holder{}, false
}
func (d *soleDispatcher) Services() []string { return []string{takeoverService} }
func (d *soleDispatcher) Service(string) (ServiceSettings, bool) {
	return ServiceSettings{MinimumHealthyPercent: 50}, true
}
func (d *soleDispatcher) Announce(context.Context, backend.Server) error { return nil }
func (d *soleDispatcher) MarkDraining(string, string)                    {}

// Servers returns the servers in the order of their announcement, as a registry does.
func (d *soleDispatcher) Servers(string) []backend.Server {
	list := make([]backend.Server, len(d.servers))
	copy(list, d.servers)
	now := time.Now()
	for i := range list {
		list[i].Renewed = now
	}
	return list
}

// nodeSimulator is the node's end of a stream: it sends a hello with one request, and reports when the
// request is granted. Messages are encoded as on the network.
type nodeSimulator struct {
	ctx     context.Context
	first   *dispatchpb.NodeBatch
	granted func()
	once    sync.Once
	sent    int
}

func (n *nodeSimulator) Context() context.Context { return n.ctx }

func (n *nodeSimulator) Recv() (*dispatchpb.NodeBatch, error) {
	if first := n.first; first != nil {
		n.first = nil
		return first, nil
	}
	<-n.ctx.Done()
	return nil, n.ctx.Err()
}

func (n *nodeSimulator) Send(b *dispatchpb.DispatcherBatch) error {
	data, err := proto.Marshal(b)
	n.sent += len(data)
	if len(b.GetGrants()) > 0 {
		n.once.Do(n.granted)
	}
	return err
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTakeover measures what a new dispatcher spends until nine tenths of the returning nodes have a
// grant: processor time in ms and the bytes that it sends.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range []struct{ nodes, servers int }{{30, 38}, {100, 128}, {300, 385}, {421, 515}} {
		b.Run(fmt.Sprintf("nodes=%d/servers=%d", size.nodes, size.servers), func(b *testing.B) {
			var spent time.Duration
			bytes := 0
			for b.Loop() {
				t, n := takeOver(size.nodes, size.servers)
				spent += t
				bytes += n
			}
			b.ReportMetric(float64(spent.Microseconds())/1000/float64(b.N), "cpu-ms/op")
			b.ReportMetric(float64(bytes)/1024/float64(b.N), "KB/op")
		})
	}
}

// takeOver returns the processor time and the bytes until nine tenths of the nodes have a grant.
func takeOver(nodes, servers int) (spent time.Duration, bytes int) {
	d := newSoleDispatcher(servers)
	s := NewServer(ServerConfig{Node: "self", Settings: d, Registry: d, Elections: d, Logger: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	grants := make(chan struct{}, nodes)
	start := processorTime()
	running.Go(func() { _ = s.Run(ctx) })
	simulators := make([]*nodeSimulator, nodes)
	for i := range nodes {
		hello := &dispatchpb.Hello{
			Node: fmt.Sprintf("10.1.%d.%d", i/250, i%250), Incarnation: 1, DataCentre: fmt.Sprintf("dc%d", i%5),
			Service: takeoverService, WantsServers: true,
		}
		simulators[i] = &nodeSimulator{
			ctx: ctx, granted: func() { grants <- struct{}{} },
			first: &dispatchpb.NodeBatch{Hello: hello, Acquires: []*dispatchpb.Acquire{{Id: 1, Kind: 1, DeadlineMs: 5000, Idempotent: true, Priority: 2}}},
		}
		running.Go(func() { _ = s.serveStream(simulators[i]) })
	}
	for range nodes * 9 / 10 {
		<-grants
	}
	spent = processorTime() - start
	cancel()
	running.Wait()
	for _, n := range simulators {
		bytes += n.sent
	}
	return spent, bytes
}

// BenchmarkStreams measures the processor time that a dispatcher needs for connected nodes without requests:
// cpu-us is per node and second.
func BenchmarkStreams(b *testing.B) {
	for _, nodes := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			var spent time.Duration
			const period = 2 * time.Second
			for b.Loop() {
				spent += connectedNodes(nodes, period)
			}
			b.ReportMetric(float64(spent.Microseconds())/period.Seconds()/float64(nodes)/float64(b.N), "cpu-us")
		})
	}
}

// connectedNodes returns the processor time that a dispatcher and its nodes spend in the period after the
// nodes have connected.
func connectedNodes(nodes int, period time.Duration) time.Duration {
	d := newSoleDispatcher(nodes)
	s := NewServer(ServerConfig{Node: "self", Settings: d, Registry: d, Elections: d, Logger: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	for i := range nodes {
		node := s.openLocal(ctx)
		_ = node.Send(&dispatchpb.NodeBatch{Hello: &dispatchpb.Hello{Node: fmt.Sprintf("n%d", i), Incarnation: 1, Service: takeoverService}})
		go func() {
			for {
				if _, err := node.Recv(); err != nil {
					return
				}
			}
		}()
		go func() {
			ticker := time.NewTicker(HeartbeatInterval)
			defer ticker.Stop()
			for ctx.Err() == nil {
				<-ticker.C
				_ = node.Send(&dispatchpb.NodeBatch{Progress: &dispatchpb.Progress{}})
			}
		}()
	}
	time.Sleep(dispatch.CollectionPeriod)
	start := processorTime()
	time.Sleep(period)
	return processorTime() - start
}
