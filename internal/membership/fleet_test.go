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
	service = "booking"
	oneWay  = time.Millisecond
)

var errCut = errors.New("the message was lost")

type fixedFleet struct{ fleet *hostset.Fleet }

func (f fixedFleet) Fleet() *hostset.Fleet { return f.fleet }

// network delivers messages in virtual time. Cut tells whether messages in one direction are lost.
type network struct {
	mu      sync.Mutex
	runners map[string]*membership.Runner
	names   map[string]string
	cut     func(from, to string) bool
	// slow delays some messages by up to this much more.
	slow time.Duration
	turn time.Duration
}

func (n *network) lost(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) setSlow(slow time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow = slow
}

// delay waits as long as one message takes.
func (n *network) delay() {
	n.mu.Lock()
	n.turn++
	wait := oneWay
	if n.slow > 0 {
		wait += (n.turn * 7919 * time.Microsecond) % n.slow
	}
	n.mu.Unlock()
	time.Sleep(wait)
}

// port is one node's connection to the network.
type port struct {
	*network
	from string
}

func (p port) pass(ctx context.Context, address string, serve func(to *membership.Runner) (proto.Message, error)) (proto.Message, error) {
	p.mu.Lock()
	to := p.names[address]
	runner, ok := p.runners[to]
	p.mu.Unlock()
	if !ok {
		return nil, errCut
	}
	if p.lost(p.from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p.delay()
	reply, err := serve(runner)
	if err != nil {
		return nil, err
	}
	if p.lost(to, p.from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p.delay()
	return reply, ctx.Err()
}

func (p port) Gossip(ctx context.Context, address string, r *fleetpb.GossipRequest) (*fleetpb.GossipReply, error) {
	reply, err := p.pass(ctx, address, func(to *membership.Runner) (proto.Message, error) { return to.Gossip(ctx, proto.CloneOf(r)) })
	if err != nil {
		return nil, err
	}
	return proto.CloneOf(reply.(*fleetpb.GossipReply)), nil
}

func (p port) Probe(ctx context.Context, address string, r *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	reply, err := p.pass(ctx, address, func(to *membership.Runner) (proto.Message, error) { return to.Probe(ctx, r) })
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
	// signals holds the last signal of a newer revision that each node gave.
	signals sync.Map
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
		Source: fixedFleet{f.config}, PeerClient: port{f.network, id}, Logger: logging.Discard(),
		OnRevision: func(p membership.PeerRevision) { f.signals.Store(id, p) },
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

// count tells how many nodes satisfy the condition.
func (f *fleet) count(holds func(r *membership.Runner) bool) int {
	count := 0
	for _, id := range f.ids {
		if r := f.node(id); r != nil && holds(r) {
			count++
		}
	}
	return count
}

// until advances the time until the condition holds and returns how long that took.
func (f *fleet) until(limit time.Duration, holds func() bool) time.Duration {
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			return limit + 1
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// joined tells whether every running node sees all of them alive.
func (f *fleet) joined() bool {
	running := f.count(func(*membership.Runner) bool { return true })
	return f.count(func(r *membership.Runner) bool { return alive(r) == running }) == running
}

func alive(r *membership.Runner) int {
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
