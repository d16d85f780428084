package membership_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	service     = "booking"
	oneWayDelay = time.Millisecond
)

var errNoNode = errors.New("no node runs at the address")

type fixedFleet struct{ fleet *hostset.Fleet }

func (f fixedFleet) Fleet() *hostset.Fleet { return f.fleet }

// network delivers messages in virtual time. cut reports whether messages in one direction are lost.
type network struct {
	mu      sync.Mutex
	runners map[string]*membership.Runner
	names   map[string]string
	cut     func(from, to string) bool
	// maxJitter bounds the additional delay of a message.
	maxJitter time.Duration
	messages  time.Duration
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) setMaxJitter(maxJitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxJitter = maxJitter
}

// delay waits for the transit time of one message.
func (n *network) delay() {
	n.mu.Lock()
	n.messages++
	wait := oneWayDelay
	if n.maxJitter > 0 {
		wait += (n.messages * 7919 * time.Microsecond) % n.maxJitter
	}
	n.mu.Unlock()
	time.Sleep(wait)
}

// nodeClient sends the messages of one node over the network. It implements membership.PeerClient.
type nodeClient struct {
	*network
	from string
}

func (c nodeClient) deliver(ctx context.Context, address string, serve func(to *membership.Runner) (proto.Message, error)) (proto.Message, error) {
	c.mu.Lock()
	to := c.names[address]
	runner, ok := c.runners[to]
	c.mu.Unlock()
	if !ok {
		return nil, errNoNode
	}
	if c.isCut(c.from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c.delay()
	reply, err := serve(runner)
	if err != nil {
		return nil, err
	}
	if c.isCut(to, c.from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c.delay()
	return reply, ctx.Err()
}

func (c nodeClient) Gossip(ctx context.Context, address string, r *fleetpb.GossipRequest) (*fleetpb.GossipReply, error) {
	reply, err := c.deliver(ctx, address, func(to *membership.Runner) (proto.Message, error) { return to.Gossip(ctx, proto.CloneOf(r)) })
	if err != nil {
		return nil, err
	}
	return proto.CloneOf(reply.(*fleetpb.GossipReply)), nil
}

func (c nodeClient) Probe(ctx context.Context, address string, r *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	reply, err := c.deliver(ctx, address, func(to *membership.Runner) (proto.Message, error) { return to.Probe(ctx, r) })
	if err != nil {
		return nil, err
	}
	return reply.(*fleetpb.ProbeReply), nil
}

// fleet runs nodes n0, n1, … in three data centres on a network.
type fleet struct {
	g       *WithT
	network *network
	config  *hostset.Fleet
	cancel  map[string]context.CancelFunc
	done    sync.WaitGroup
	ids     []string
	starts  uint64
	// newerRevisions holds the last newer configuration revision that each node reported, by node id.
	newerRevisions sync.Map
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{
		g: NewWithT(t),
		network: &network{
			runners: map[string]*membership.Runner{}, names: map[string]string{},
		},
		config: &hostset.Fleet{HostsRevision: 1, Services: []hostset.Service{{Name: service}}},
		cancel: map[string]context.CancelFunc{},
	}
	t.Cleanup(invariant.Subscribe(func(v invariant.Violation) { t.Errorf("%s: %s", v.Name, v.Detail) }))
	for i := range size {
		id := fmt.Sprintf("n%d", i)
		f.ids = append(f.ids, id)
		f.config.Hosts = append(f.config.Hosts, hostset.Host{
			ID: id, DataCentre: centre(id), EntryAddress: fmt.Sprintf("127.0.0.1:%d", 2000+i), FleetAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i),
		})
		f.network.names[f.config.Hosts[i].FleetAddress] = id
	}
	for _, id := range f.ids {
		f.start(id)
	}
	return f
}

func centre(id string) string {
	var i int
	_, _ = fmt.Sscanf(id, "n%d", &i)
	return fmt.Sprintf("dc%d", i%3)
}

func (f *fleet) start(id string) {
	var i int
	_, _ = fmt.Sscanf(id, "n%d", &i)
	f.starts++
	h := f.config.Hosts[i]
	r := membership.NewRunner(membership.Options{
		Identity: membership.Identity{
			ID: id, DataCentre: h.DataCentre, EntryAddress: h.EntryAddress, FleetAddress: h.FleetAddress, Role: "node",
			Incarnation: uint64(time.Now().UnixMilli()) + f.starts,
		},
		Source: fixedFleet{f.config}, PeerClient: nodeClient{f.network, id}, Logger: logging.Discard(),
		OnRevision: func(p membership.PeerRevision) { f.newerRevisions.Store(id, p) },
	})
	r.SetReady(true)
	ctx, cancel := context.WithCancel(context.Background())
	f.network.mu.Lock()
	f.network.runners[id] = r
	f.network.mu.Unlock()
	f.cancel[id] = cancel
	f.done.Go(func() { _ = r.Run(ctx) })
}

func (f *fleet) kill(id string) {
	f.cancel[id]()
	f.network.mu.Lock()
	delete(f.network.runners, id)
	f.network.mu.Unlock()
}

func (f *fleet) stop() {
	for _, cancel := range f.cancel {
		cancel()
	}
	f.done.Wait()
}

func (f *fleet) node(id string) *membership.Runner {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	return f.network.runners[id]
}

// count returns how many running nodes satisfy the condition.
func (f *fleet) count(condition func(r *membership.Runner) bool) int {
	count := 0
	for _, id := range f.ids {
		if r := f.node(id); r != nil && condition(r) {
			count++
		}
	}
	return count
}

// until advances the time until the condition holds and returns how long that took.
func (f *fleet) until(limit time.Duration, condition func() bool) time.Duration {
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			return limit + 1
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// allAlive reports whether every running node sees all running nodes alive.
func (f *fleet) allAlive() bool {
	running := f.count(func(*membership.Runner) bool { return true })
	return f.count(func(r *membership.Runner) bool { return aliveCount(r) == running }) == running
}

func aliveCount(r *membership.Runner) int {
	count := 0
	for _, m := range r.Members() {
		if m.State == fleetpb.NodeState_NODE_STATE_ALIVE {
			count++
		}
	}
	return count
}

func server(instance string, state backend.State) backend.Server {
	return backend.Server{
		Service: service, Instance: instance, Incarnation: 1, Address: "127.0.0.1:9", DataCentre: "dc0",
		State: state, Slots: 3, Connections: 390, WarmUp: time.Second,
	}
}

func usable(r *membership.Runner, instance string) bool {
	for _, s := range r.Servers(service) {
		if s.Instance == instance {
			return s.Usable(time.Now())
		}
	}
	return false
}
