package slopes

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/internal/bench/scenario"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

const (
	kilobyte = 1 << 10
	// defaultSpan is how long one fleet is measured.
	defaultSpan = 5 * time.Second
	minimumSpan = 2 * time.Second
	settle      = 2 * time.Second
	// fleets is how many fleets a run measures, to share the time.
	fleets         = 12
	fleetOverhead  = 5 * time.Second
	startTimeout   = time.Minute
	callers        = 40
	targetRate     = 120 // requests a second and node: 180,000 over 1,500 nodes
	serversPerNode = 0.5
)

// sample is what one node of a fleet costs.
type sample struct {
	// bytes a second that a node sends and receives over fleet connections, with headers.
	bytes float64
	// busiest is the same of the node that has the most.
	busiest float64
	// payload is the bytes without headers.
	payload float64
	// cpu in percent of a core.
	cpu float64
	// memory in MB.
	memory float64
	// requests a second and node.
	requests float64
	// calls lists the traffic by call.
	calls string
}

// String is the line of a progress report.
func (s sample) String() string {
	return fmt.Sprintf("%.2f KB/s with headers, %.2f KB/s without, busiest node %.2f KB/s; %.2f%% of a core, %.2f MB, %.1f requests/s",
		s.bytes/kilobyte, s.payload/kilobyte, s.busiest/kilobyte, s.cpu, s.memory, s.requests)
}

// fleetSlopes measures whole fleets at several numbers of nodes, servers and requests.
func fleetSlopes(ctx context.Context, o Options) ([]Series, error) {
	var all []Series
	for _, run := range []func(context.Context, Options) ([]Series, error){byNodes, byServers, byRate} {
		series, err := run(ctx, o)
		if err != nil {
			return all, err
		}
		all = append(all, series...)
	}
	return all, nil
}

// today measures both services of one user at the largest fleet of today.
func today(ctx context.Context, o Options) ([]Series, error) {
	const nodes = 48
	s, err := measureUser(ctx, o, scenario.Thies(), nodes, 0)
	if err != nil {
		return nil, err
	}
	o.progress("today: %d nodes, 36 servers, 2 services, idle: %v%s", nodes, s, s.calls)
	mean := Series{Role: "node", Figure: "control traffic with headers, idle, 2 services", Unit: "KB/s", Per: "node of the fleet"}
	mean.add(nodes, s.bytes/kilobyte)
	most := Series{Role: "busiest node", Figure: mean.Figure, Unit: mean.Unit, Per: mean.Per}
	most.add(nodes, s.busiest/kilobyte)
	return []Series{mean.single(), most.single()}, nil
}

func byNodes(ctx context.Context, o Options) ([]Series, error) {
	bytes := Series{Role: "node", Figure: "control traffic with headers, idle", Unit: "KB/s", Per: "node of the fleet"}
	most := Series{Role: "busiest node", Figure: bytes.Figure, Unit: bytes.Unit, Per: bytes.Per}
	cpu := Series{Role: "node", Figure: "processor time, idle", Unit: "% of a core", Per: "node of the fleet"}
	memory := Series{Role: "node", Figure: "memory, idle", Unit: "MB", Per: "node of the fleet"}
	for _, nodes := range []int{6, 12, 24, 48} {
		s, err := measure(ctx, o, nodes, 24, 0)
		if err != nil {
			return nil, err
		}
		bytes.add(float64(nodes), s.bytes/kilobyte)
		most.add(float64(nodes), s.busiest/kilobyte)
		cpu.add(float64(nodes), s.cpu)
		memory.add(float64(nodes), s.memory)
		o.progress("%d nodes, 24 servers, idle: %v", nodes, s)
	}
	return []Series{bytes.fit(targetNodes), most.fit(targetNodes), cpu.fit(targetNodes), memory.fit(targetNodes)}, nil
}

func byServers(ctx context.Context, o Options) ([]Series, error) {
	const nodes = 12
	// At the target a node is in the host sets of 480 * 48 / 1,500 services with 37.5 servers each.
	const target = 480.0 * hostSet / targetNodes * targetServers
	bytes := Series{Role: "node", Figure: "control traffic with headers, idle", Unit: "KB/s", Per: "server in the node's host sets"}
	most := Series{Role: "busiest node", Figure: bytes.Figure, Unit: bytes.Unit, Per: bytes.Per}
	cpu := Series{Role: "node", Figure: "processor time, idle", Unit: "% of a core", Per: "server in the node's host sets"}
	for _, servers := range []int{12, 24, 48, 96} {
		s, err := measure(ctx, o, nodes, servers, 0)
		if err != nil {
			return nil, err
		}
		bytes.add(float64(servers), s.bytes/kilobyte)
		most.add(float64(servers), s.busiest/kilobyte)
		cpu.add(float64(servers), s.cpu)
		o.progress("%d nodes, %d servers, idle: %v", nodes, servers, s)
	}
	return []Series{bytes.fit(target), most.fit(target), cpu.fit(target)}, nil
}

func byRate(ctx context.Context, o Options) ([]Series, error) {
	const nodes = 12
	bytes := Series{Role: "node", Figure: "grant traffic with control traffic and headers", Unit: "KB/s", Per: "request a second and node"}
	cpu := Series{Role: "node", Figure: "processor time with callers and stand-ins", Unit: "% of a core", Per: "request a second and node"}
	for _, rate := range []float64{0, 10, 20, 40} {
		s, err := measure(ctx, o, nodes, 48, rate)
		if err != nil {
			return nil, err
		}
		bytes.add(s.requests, s.bytes/kilobyte)
		cpu.add(s.requests, s.cpu)
		o.progress("%d nodes, 48 servers, %.0f requests a second and node: %v", nodes, rate, s)
	}
	return []Series{bytes.fit(targetRate), cpu.fit(targetRate)}, nil
}

func span(o Options) time.Duration {
	if o.For <= 0 {
		return defaultSpan
	}
	return min(defaultSpan, max(minimumSpan, o.For/fleets-fleetOverhead))
}

// measure runs one fleet with one service and returns what a node costs.
func measure(ctx context.Context, o Options, nodes, servers int, ratePerNode float64) (sample, error) {
	user := scenario.Hanbit()
	user.Backends = []localfleet.Backends{{Service: "cuefeed", Instances: servers, Slots: slots, Connections: 330, WorkTime: 20 * time.Millisecond}}
	user.Services = user.Services[:1]
	user.Routes = user.Routes[:1]
	return measureUser(ctx, o, user, nodes, ratePerNode)
}

// measureUser runs one fleet of a user and returns what a node costs.
func measureUser(ctx context.Context, o Options, user scenario.User, nodes int, ratePerNode float64) (sample, error) {
	t := newTraffic()
	before := heap()
	fleet, err := startFleet(ctx, t, user, nodes)
	if err != nil {
		return sample{}, err
	}
	defer fleet.Kill()
	class := load.Class{Name: "gets", Service: user.Backends[0].Service, Path: user.Routes[0].GetPathPrefix(), Rate: ratePerNode * float64(nodes), Deadline: 2 * time.Second}
	l := load.New(load.Config{Entries: fleet.EntryAddresses(), Callers: callers, Classes: []load.Class{class}, Seed: 1})
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		l.Run(loadCtx)
		close(done)
	}()
	time.Sleep(settle)
	s := observe(t, l, class.Name, span(o), fleet)
	s.memory = float64(heap()-before) / float64(nodes) / megabyte
	stop()
	<-done
	return s, nil
}

func startFleet(ctx context.Context, t *traffic, user scenario.User, nodes int) (*localfleet.Fleet, error) {
	config := user.Fleet(nodes, 3)
	config.WrapDialer = func(host string, next transport.Dialer) transport.Dialer {
		return &countingDialer{next: next, traffic: t, from: host}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return localfleet.Start(ctx, config)
}

// observe measures one span. Every byte is counted at the side that dialed, and belongs to two hosts.
func observe(t *traffic, l *load.Load, class string, span time.Duration, fleet *localfleet.Fleet) sample {
	l.Reset()
	nodes := float64(len(fleet.Nodes))
	before, cpu, begin := t.snapshot(), processorTime(), time.Now()
	time.Sleep(span)
	elapsed := time.Since(begin).Seconds()
	used, after := processorTime()-cpu, t.snapshot()
	s := sample{
		cpu:      100 * used.Seconds() / elapsed / nodes,
		requests: float64(l.Stats(class).Counts().OK) / elapsed / nodes,
		calls:    byCall(before, after, elapsed, len(fleet.Nodes)),
	}
	for _, h := range fleet.Nodes {
		sum := after.of(h).minus(before.of(h))
		s.bytes += sum.withHeaders() / elapsed / nodes
		s.payload += sum.bytes / elapsed / nodes
		s.busiest = max(s.busiest, sum.withHeaders()/elapsed)
	}
	return s
}

// processorTime returns the time that this process has used in all.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(errors.Wrap(err, "read the processor time"))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
