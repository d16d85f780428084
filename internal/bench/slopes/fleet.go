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
	// defaultSpan is the time for which one fleet is measured, unless Options.Duration is too short for it.
	defaultSpan = 5 * time.Second
	minimumSpan = 2 * time.Second
	settleTime  = 2 * time.Second
	// ageSampleInterval is the time between two samples of the ages of renewals.
	ageSampleInterval = 50 * time.Millisecond
	// fleetsPerRun is the number of fleets among which Options.Duration is divided.
	fleetsPerRun   = 12
	fleetOverhead  = 5 * time.Second
	startTimeout   = time.Minute
	callerCount    = 40
	targetRate     = 120 // requests per second and node: 180,000 over 1,500 nodes
	serversPerNode = 0.5
)

// nodeCost is the mean cost of one node of a fleet, except where a field says otherwise.
type nodeCost struct {
	// bytes per second that a node sends and receives over fleet connections, with headers.
	bytes float64
	// busiest is the same figure of the node that has the most traffic.
	busiest float64
	// payload is the bytes per second without headers.
	payload float64
	// cpu in percent of a core.
	cpu float64
	// memory in MB.
	memory float64
	// requests per second.
	requests float64
	// oldestRenewal is the highest age of a server's renewal in the view of any node. All servers keep
	// renewing, so it bounds the time that a renewal takes to reach every node.
	oldestRenewal time.Duration
	// byRPC lists the traffic by RPC, as text.
	byRPC string
}

// String returns the cost for a progress line, without the list by RPC.
func (s nodeCost) String() string {
	return fmt.Sprintf("%.2f KB/s with headers, %.2f KB/s without, busiest node %.2f KB/s; %.2f%% of a core, %.2f MB, %.1f requests/s; oldest renewal %.2f s",
		s.bytes/kilobyte, s.payload/kilobyte, s.busiest/kilobyte, s.cpu, s.memory, s.requests, s.oldestRenewal.Seconds())
}

// fleetSlopes measures fleets with several numbers of nodes and servers and at several request rates.
func fleetSlopes(ctx context.Context, o Options) ([]Series, error) {
	var all []Series
	for _, run := range []func(context.Context, Options) ([]Series, error){slopesByNodes, slopesByServers, slopesByRate} {
		series, err := run(ctx, o)
		if err != nil {
			return all, err
		}
		all = append(all, series...)
	}
	return all, nil
}

// currentFleet measures both services of one user on the largest fleet in use today.
func currentFleet(ctx context.Context, o Options) ([]Series, error) {
	const nodes = 48
	s, err := measureUser(ctx, o, scenario.Thies(), nodes, 0)
	if err != nil {
		return nil, err
	}
	o.progress("today: %d nodes, 36 servers, 2 services, idle: %v%s", nodes, s, s.byRPC)
	mean := Series{Role: "node", Figure: "control traffic with headers, idle, 2 services", Unit: "KB/s", Per: "node of the fleet"}
	mean.addPoint(nodes, s.bytes/kilobyte)
	busiestNode := Series{Role: "busiest node", Figure: mean.Figure, Unit: mean.Unit, Per: mean.Per}
	busiestNode.addPoint(nodes, s.busiest/kilobyte)
	return []Series{mean.singlePoint(), busiestNode.singlePoint()}, nil
}

func slopesByNodes(ctx context.Context, o Options) ([]Series, error) {
	bytes := Series{Role: "node", Figure: "control traffic with headers, idle", Unit: "KB/s", Per: "node of the fleet"}
	busiestNode := Series{Role: "busiest node", Figure: bytes.Figure, Unit: bytes.Unit, Per: bytes.Per}
	cpu := Series{Role: "node", Figure: "processor time, idle", Unit: "% of a core", Per: "node of the fleet"}
	memory := Series{Role: "node", Figure: "memory, idle", Unit: "MB", Per: "node of the fleet"}
	for _, nodes := range []int{6, 12, 24, 48} {
		s, err := measureService(ctx, o, nodes, 24, 0)
		if err != nil {
			return nil, err
		}
		bytes.addPoint(float64(nodes), s.bytes/kilobyte)
		busiestNode.addPoint(float64(nodes), s.busiest/kilobyte)
		cpu.addPoint(float64(nodes), s.cpu)
		memory.addPoint(float64(nodes), s.memory)
		o.progress("%d nodes, 24 servers, idle: %v", nodes, s)
	}
	return []Series{bytes.fit(targetNodes), busiestNode.fit(targetNodes), cpu.fit(targetNodes), memory.fit(targetNodes)}, nil
}

func slopesByServers(ctx context.Context, o Options) ([]Series, error) {
	const nodes = 12
	// At the target, a node is in the host sets of 480 * 48 / 1,500 services with 37.5 servers each.
	const target = 480.0 * hostSetSize / targetNodes * targetServers
	bytes := Series{Role: "node", Figure: "control traffic with headers, idle", Unit: "KB/s", Per: "server in the node's host sets"}
	busiestNode := Series{Role: "busiest node", Figure: bytes.Figure, Unit: bytes.Unit, Per: bytes.Per}
	cpu := Series{Role: "node", Figure: "processor time, idle", Unit: "% of a core", Per: "server in the node's host sets"}
	for _, servers := range []int{12, 24, 48, 96} {
		s, err := measureService(ctx, o, nodes, servers, 0)
		if err != nil {
			return nil, err
		}
		bytes.addPoint(float64(servers), s.bytes/kilobyte)
		busiestNode.addPoint(float64(servers), s.busiest/kilobyte)
		cpu.addPoint(float64(servers), s.cpu)
		o.progress("%d nodes, %d servers, idle: %v", nodes, servers, s)
	}
	return []Series{bytes.fit(target), busiestNode.fit(target), cpu.fit(target)}, nil
}

func slopesByRate(ctx context.Context, o Options) ([]Series, error) {
	const nodes = 12
	bytes := Series{Role: "node", Figure: "grant traffic with control traffic and headers", Unit: "KB/s", Per: "request a second and node"}
	cpu := Series{Role: "node", Figure: "processor time with callers and stand-ins", Unit: "% of a core", Per: "request a second and node"}
	for _, rate := range []float64{0, 10, 20, 40} {
		s, err := measureService(ctx, o, nodes, 48, rate)
		if err != nil {
			return nil, err
		}
		bytes.addPoint(s.requests, s.bytes/kilobyte)
		cpu.addPoint(s.requests, s.cpu)
		o.progress("%d nodes, 48 servers, %.0f requests a second and node: %v", nodes, rate, s)
	}
	return []Series{bytes.fit(targetRate), cpu.fit(targetRate)}, nil
}

func measurementSpan(o Options) time.Duration {
	if o.Duration <= 0 {
		return defaultSpan
	}
	return min(defaultSpan, max(minimumSpan, o.Duration/fleetsPerRun-fleetOverhead))
}

// measureService runs one fleet with one service and returns the cost per node.
func measureService(ctx context.Context, o Options, nodes, servers int, ratePerNode float64) (nodeCost, error) {
	user := scenario.Hanbit()
	user.Backends = []localfleet.Backends{{Service: "cuefeed", Instances: servers, Slots: slotsPerServer, Connections: 330, WorkTime: 20 * time.Millisecond}}
	user.Services = user.Services[:1]
	user.Routes = user.Routes[:1]
	return measureUser(ctx, o, user, nodes, ratePerNode)
}

// measureUser runs one fleet of a user and returns the cost per node.
func measureUser(ctx context.Context, o Options, user scenario.User, nodes int, ratePerNode float64) (nodeCost, error) {
	t := newTraffic()
	before := liveHeapBytes()
	fleet, err := startFleet(ctx, t, user, nodes)
	if err != nil {
		return nodeCost{}, err
	}
	defer fleet.Kill()
	class := load.Class{Name: "gets", Service: user.Backends[0].Service, Path: user.Routes[0].GetPathPrefix(), Rate: ratePerNode * float64(nodes), Deadline: 2 * time.Second}
	l := load.New(load.Config{Entries: fleet.EntryAddresses(), Callers: callerCount, Classes: []load.Class{class}, Seed: 1})
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		l.Run(loadCtx)
		close(done)
	}()
	time.Sleep(settleTime)
	s := measureFleet(t, l, class.Name, measurementSpan(o), fleet)
	s.memory = float64(liveHeapBytes()-before) / float64(nodes) / megabyte
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

// measureFleet measures traffic, processor time and ages of renewals of a running fleet for the span. Every
// byte is counted at the side that dialed, for both hosts of the connection.
func measureFleet(t *traffic, l *load.Load, class string, span time.Duration, fleet *localfleet.Fleet) nodeCost {
	l.Reset()
	nodes := float64(len(fleet.Nodes))
	before := trafficByNode(t, fleet)
	cpu, begin := processorTime(), time.Now()
	oldestRenewal := oldestRenewalAge(fleet, span)
	elapsed, used := time.Since(begin).Seconds(), processorTime()-cpu
	after := trafficByNode(t, fleet)
	s := nodeCost{
		cpu:           100 * used.Seconds() / elapsed / nodes,
		requests:      float64(l.Stats(class).Counts().OK) / elapsed / nodes,
		oldestRenewal: oldestRenewal,
	}
	all, busiestNode := map[string]tally{}, map[string]tally{}
	for i := range fleet.Nodes {
		byName := minus(after[i], before[i])
		for name, sum := range byName {
			sum.add(all[name])
			all[name] = sum
		}
		if total(byName).withHeaders() > total(busiestNode).withHeaders() {
			busiestNode = byName
		}
	}
	s.bytes = total(all).withHeaders() / elapsed / nodes
	s.payload = total(all).bytes / elapsed / nodes
	s.busiest = total(busiestNode).withHeaders() / elapsed
	s.byRPC = "\n mean:" + formatByRPC(all, elapsed*nodes) + "\n busiest node:" + formatByRPC(busiestNode, elapsed)
	return s
}

// oldestRenewalAge returns the highest age of a renewal in the view of any node during the span. It bounds
// the time that a renewal takes to reach every node.
func oldestRenewalAge(fleet *localfleet.Fleet, span time.Duration) (oldestRenewal time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(ageSampleInterval) {
		for _, h := range fleet.Nodes {
			for service := range fleet.Backends {
				for _, s := range h.Process().Node().Membership.Servers(service) {
					oldestRenewal = max(oldestRenewal, time.Since(s.Renewed))
				}
			}
		}
	}
	return oldestRenewal
}

// trafficByNode returns the traffic of each node.
func trafficByNode(t *traffic, fleet *localfleet.Fleet) []map[string]tally {
	var list []map[string]tally
	for _, h := range fleet.Nodes {
		list = append(list, t.ofHost(h))
	}
	return list
}

// processorTime returns the user and system time that this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(errors.Wrap(err, "read the processor time"))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
