package attach_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// controlGroup holds control hosts without gossip: they learn of departures only by marks and by
// polling each other.
type controlGroup struct {
	servers    map[string]*attach.Server
	registries map[string]*registry
	mu         sync.Mutex
	// cut holds the hosts that the others cannot reach; entry hosts reach all.
	cut map[string]bool
}

// peer is how one control host reaches the others.
type peer struct {
	controls *controlGroup
	self     string
}

func (p peer) serverAt(address string) (*attach.Server, error) {
	p.controls.mu.Lock()
	defer p.controls.mu.Unlock()
	if p.controls.cut[p.self] != p.controls.cut[address] {
		return nil, errors.New("the link is cut")
	}
	return p.controls.servers[address], nil
}

func (p peer) Mark(ctx context.Context, address string, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	s, err := p.serverAt(address)
	if err != nil {
		return nil, err
	}
	return s.Mark(ctx, r)
}

func (p peer) ListDepartures(ctx context.Context, address string, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	s, err := p.serverAt(address)
	if err != nil {
		return nil, err
	}
	return s.ListDepartures(ctx, r)
}

// Attach implements attach.ControlClient.
func (c *controlGroup) Attach(ctx context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	return c.servers[address].Attach(ctx, r)
}

// startControlGroup starts the control group a, b, c, of which b dispatches.
func startControlGroup(ctx context.Context, running *sync.WaitGroup) *controlGroup {
	c := &controlGroup{servers: map[string]*attach.Server{}, registries: map[string]*registry{}, cut: map[string]bool{}}
	for i, id := range []string{"a", "b", "c"} {
		address := id + ":1"
		c.registries[address] = &registry{servers: map[string]backend.Server{}}
		s := startServer(attach.ServerOptions{
			ID: id, Address: address, Registry: c.registries[address], Source: source{},
			Peers: peer{c, address}, Elections: elections{leadership.Holder{Node: "b", Address: "b:1", Term: 3}}, Incarnation: uint64(10 + i),
			Revision: func() uint64 { return 9 }, Logger: logging.Discard(),
		})
		c.servers[address] = s
	}
	for _, s := range c.servers {
		running.Go(func() { _ = s.Run(ctx) })
	}
	return c
}

// startEntryHost starts an entry host that knows one backend server and is attached to the first
// control host.
func startEntryHost(ctx context.Context, running *sync.WaitGroup, control attach.ControlClient) (*attach.Client, *attach.Servers) {
	servers := attach.NewServers()
	servers.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Reset_: true, Changed: []*dispatchpb.ServerEntry{{Instance: "i-1", Incarnation: 5}}})
	client := attach.NewClient(attach.ClientOptions{
		ID: "front-1", Incarnation: 3, DataCentre: "a", Control: control, Servers: servers, Logger: logging.Discard(),
		Seeds: func() []string { return []string{"a:1", "b:1", "c:1"} },
	})
	running.Go(func() { _ = client.Run(ctx) })
	return client, servers
}

// drain drains the backend server at the second control host and waits until the entry host has removed
// it, within the bound on drains. It returns the time at which the drain was confirmed.
func (c *controlGroup) drain(ctx context.Context, g *WithT, servers *attach.Servers) time.Time {
	g.Expect(c.servers["b:1"].Announce(ctx, serverInState(backend.Ready))).To(Succeed())
	g.Expect(c.servers["b:1"].Announce(ctx, serverInState(backend.Draining))).To(Succeed())
	confirmed := time.Now()
	for len(servers.Servers("cuefeed")) > 0 {
		time.Sleep(10 * time.Millisecond)
		g.Expect(time.Since(confirmed)).To(BeNumerically("<", 2*time.Second))
	}
	return confirmed
}

// Guards against an entry host that stays with a control host which is cut off from the others, or
// which lost in a restart the departures that it had confirmed: a draining server would stay in the
// list of the entry host.
func TestEntryHostLeavesAControlHostWithoutCurrentDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControlGroup(ctx, &running)
		time.Sleep(5 * time.Second)
		client, servers := startEntryHost(ctx, &running, c)
		time.Sleep(time.Second)
		g.Expect(client.ControlHosts()[0]).To(Equal("a:1"), "it is attached to the first control host")
		c.mu.Lock()
		c.cut["a:1"] = true
		c.mu.Unlock()
		confirmed := c.drain(ctx, g, servers)
		g.Expect(servers.CurrentAsOf().Before(confirmed)).To(BeFalse())
		// Calls in progress end.
		time.Sleep(departureBound)
	})
}

// A malformed mark must not take a server out that neither drains nor has left.
func TestMarksOfOtherStatesAreNoDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControlGroup(ctx, &running)
		_, err := c.servers["a:1"].Mark(ctx, &fleetpb.MarkRequest{Instance: "i-1", Incarnation: 5, State: fleetpb.ServerState(backend.Ready)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.servers["a:1"].Announce(ctx, serverInState(backend.Ready))).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(c.registries["a:1"].stateOf("i-1")).To(Equal(backend.Ready))
	})
}

// A control host that has restarted may confirm the departure of a server that it does not know yet. If it forgot
// the departure, the server would be in use again once gossip or a late announcement arrives, should the host that
// took the drain be lost.
func TestDeparturesOfUnknownServersAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControlGroup(ctx, &running)
		time.Sleep(5 * time.Second)
		g.Expect(c.servers["b:1"].Announce(ctx, serverInState(backend.Ready))).To(Succeed())
		g.Expect(c.servers["b:1"].Announce(ctx, serverInState(backend.Draining))).To(Succeed())
		c.mu.Lock()
		c.cut["b:1"] = true
		c.mu.Unlock()
		for _, address := range []string{"a:1", "c:1"} {
			g.Expect(c.servers[address].Announce(ctx, serverInState(backend.Ready))).To(Succeed())
			time.Sleep(time.Second)
			g.Expect(c.registries[address].stateOf("i-1")).To(Equal(backend.Draining), address)
		}
	})
}

// A drain may be confirmed by a majority without one control host. Guards against that control host
// not learning of the drain: its entry hosts would continue to send requests to the server.
func TestControlHostOutsideTheMajorityHearsOfDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControlGroup(ctx, &running)
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		c.cut["c:1"] = true
		c.mu.Unlock()
		g.Expect(c.servers["a:1"].Announce(ctx, serverInState(backend.Ready))).To(Succeed())
		g.Expect(c.servers["a:1"].Announce(ctx, serverInState(backend.Draining))).To(Succeed())
		reply, err := c.Attach(ctx, "c:1", &fleetpb.AttachRequest{Host: &fleetpb.Node{Id: "front-1", Incarnation: 1}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetDepartures().GetList()).To(BeEmpty())
		c.mu.Lock()
		clear(c.cut)
		c.mu.Unlock()
		time.Sleep(time.Second)
		reply, err = c.Attach(ctx, "c:1", &fleetpb.AttachRequest{Host: &fleetpb.Node{Id: "front-1", Incarnation: 1}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetDepartures().GetList()).To(HaveLen(1))
		g.Expect(reply.GetDeparturesAgeMs()).To(BeNumerically("<", 800))
		// A late announcement from before the drain reaches the host that did not know the server.
		g.Expect(c.servers["c:1"].Announce(ctx, serverInState(backend.Ready))).To(Succeed())
		time.Sleep(time.Second)
		states := map[string]backend.State{}
		c.registries["c:1"].EachServer(func(b backend.Server) { states[b.Instance] = b.State })
		g.Expect(states).To(HaveKeyWithValue("i-1", backend.Draining))
	})
}

// A control host that has just started has lost the drains that it confirmed. Guards against it
// reporting its departures as current, or counting towards the majority of others.
func TestRestartedControlHostsDoNotSpeakForForgottenDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControlGroup(ctx, &running)
		request := &fleetpb.AttachRequest{Host: &fleetpb.Node{Id: "front-1", Incarnation: 1}}
		time.Sleep(2 * time.Second)
		reply, err := c.Attach(ctx, "a:1", request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetDeparturesAgeMs()).To(BeNumerically("<", 0))
		time.Sleep(3 * time.Second)
		reply, err = c.Attach(ctx, "a:1", request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetDeparturesAgeMs()).To(BeNumerically("~", 150, 350))
	})
}

// slowControl responds after a delay, as through the saturated link of a small host.
type slowControl struct {
	*controlGroup
	after time.Duration
}

func (s slowControl) Attach(ctx context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	reply, err := s.controlGroup.Attach(ctx, address, r)
	select {
	case <-time.After(s.after):
		return reply, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A host with a saturated link gets every response late. If late responses were dropped, the host would
// keep using its last list for as long as the link is saturated, and the directory's control hosts
// would not learn its state.
func TestLateHeartbeatAnswersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControlGroup(ctx, &running)
		time.Sleep(5 * time.Second)
		client, servers := startEntryHost(ctx, &running, slowControl{c, 900 * time.Millisecond})
		time.Sleep(3 * time.Second)
		_, known := client.Dispatcher("cuefeed")
		g.Expect(known).To(BeTrue())
		c.drain(ctx, g, servers)
		// Calls in progress end.
		time.Sleep(departureBound)
	})
}
