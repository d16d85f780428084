package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
)

const (
	// targetServers is the mean number of servers per service: 18,000 servers in 480 services.
	targetServers = 37.5
	// hostSetSize is the number of nodes in the host set of a service.
	hostSetSize    = 48
	slotsPerServer = 6
	requestCycles  = 100_000
	teamCount      = 2_000
	// workTime is the time of one request on the simulated clock of the state machine.
	workTime = 100 * time.Millisecond
)

// dispatcherSlopes measures the dispatcher's state machine of one service, without the network.
func dispatcherSlopes(_ context.Context, o Options) ([]Series, error) {
	cpu := Series{Role: "dispatcher", Figure: "acquire, grant and complete one request", Unit: "us", Per: "server of the service"}
	memory := Series{Role: "dispatcher", Figure: "state of one service", Unit: "MB", Per: "server of the service"}
	for _, servers := range []int{14, 38, 75, 150} {
		before := liveHeapBytes()
		m, now := connectedMachine(servers)
		memory.addPoint(float64(servers), float64(liveHeapBytes()-before)/megabyte)
		begin := time.Now()
		runRequests(m, now, servers)
		cpu.addPoint(float64(servers), float64(time.Since(begin).Microseconds())/requestCycles)
		o.progress("dispatcher of %d servers: %.2f us a request, %.2f MB", servers, cpu.Points[len(cpu.Points)-1].Value, memory.Points[len(memory.Points)-1].Value)
	}
	return []Series{cpu.fit(targetServers), memory.fit(targetServers)}, nil
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

// connectedMachine returns a machine whose nodes are connected and whose collection period is over.
func connectedMachine(servers int) (*dispatch.Machine, time.Time) {
	now := time.Now()
	config := dispatch.Config{Service: "s", Term: 1, MinimumHealthyPercent: 70, DefaultSlots: slotsPerServer}
	for i := range hostSetSize {
		config.Members = append(config.Members, dispatch.Member{Node: nodeName(i), DataCentre: fmt.Sprintf("dc-%d", i%3)})
	}
	m := dispatch.New(now, config)
	renewServers(m, now, servers)
	for i := range hostSetSize {
		m.Connect(now, nodeName(i), fmt.Sprintf("dc-%d", i%3), 1, nil, nil)
	}
	now = now.Add(time.Second)
	heartbeat(m, now, servers)
	return m, now
}

func renewServers(m *dispatch.Machine, now time.Time, servers int) {
	var list []backend.Server
	for i := range servers {
		list = append(list, backend.Server{
			Service: "s", Instance: fmt.Sprintf("i-%d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: fmt.Sprintf("dc-%d", i%3),
			State: backend.Ready, Slots: slotsPerServer, Connections: 330, Renewed: now,
		})
	}
	m.SetServers(now, list)
}

func heartbeat(m *dispatch.Machine, now time.Time, servers int) {
	renewServers(m, now, servers)
	for i := range hostSetSize {
		m.RecordContact(now, nodeName(i), 0)
	}
	m.Tick(now)
	m.TakeActions()
}

// runRequests runs requests through the machine at half its capacity, with a tick and heartbeats every 100 ms
// of simulated time.
func runRequests(m *dispatch.Machine, now time.Time, servers int) {
	type running struct {
		node string
		id   uint64
	}
	random := rand.New(rand.NewPCG(1, 2))
	parallel := max(1, servers*slotsPerServer/2)
	var inFlight []running
	step := workTime / time.Duration(parallel)
	nextTick := now
	for i := range uint64(requestCycles) {
		now = now.Add(step)
		node := nodeName(random.IntN(hostSetSize))
		m.Acquire(now, node, dispatch.Request{
			ID: i + 1, Priority: priority.Priority(i % priority.Count), Team: fmt.Sprintf("team-%d", random.IntN(teamCount)),
			Deadline: now.Add(2 * time.Second), Fingerprint: random.Uint64(), Idempotent: true,
		})
		inFlight = append(inFlight, running{node, i + 1})
		m.TakeActions()
		if len(inFlight) > parallel {
			done := inFlight[0]
			inFlight = inFlight[1:]
			m.FirstByte(now, done.node, done.id)
			m.Complete(now, done.node, done.id, grant.Completion{Result: grant.OK, FirstByte: workTime, Total: workTime})
			m.TakeActions()
		}
		if now.After(nextTick) {
			nextTick = now.Add(100 * time.Millisecond)
			heartbeat(m, now, servers)
		}
	}
}
