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

// controls are control hosts without gossip: they hear of departures only by marks and by asking each other.
type controls struct {
	servers    map[string]*attach.Server
	registries map[string]*registry
	mu         sync.Mutex
	// cut holds the hosts that the others cannot reach; entry hosts reach all.
	cut map[string]bool
}

// peer is the view that one control host has of the others.
type peer struct {
	controls *controls
	self     string
}

func (p peer) reach(address string) (*attach.Server, error) {
	p.controls.mu.Lock()
	defer p.controls.mu.Unlock()
	if p.controls.cut[p.self] != p.controls.cut[address] {
		return nil, errors.New("the link is cut")
	}
	return p.controls.servers[address], nil
}

func (p peer) Mark(ctx context.Context, address string, r *fleetpb.MarkRequest) error {
	s, err := p.reach(address)
	if err != nil {
		return err
	}
	_, err = s.Mark(ctx, r)
	return err
}

func (p peer) ListDepartures(ctx context.Context, address string, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	s, err := p.reach(address)
	if err != nil {
		return nil, err
	}
	return s.ListDepartures(ctx, r)
}

// Attach implements attach.Caller.
func (c *controls) Attach(ctx context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	return c.servers[address].Attach(ctx, r)
}

// startControls starts the control group a, b, c, of which b dispatches.
func startControls(ctx context.Context, running *sync.WaitGroup) *controls {
	c := &controls{servers: map[string]*attach.Server{}, registries: map[string]*registry{}, cut: map[string]bool{}}
	for i, id := range []string{"a", "b", "c"} {
		address := id + ":1"
		c.registries[address] = &registry{servers: map[string]backend.Server{}}
		s := attach.NewServer(attach.ServerOptions{
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

// startEntryHost starts an entry host that knows one backend server and is attached to the first control host.
func startEntryHost(ctx context.Context, running *sync.WaitGroup, caller attach.ControlClient) (*attach.Client, *attach.Servers) {
	servers := attach.NewServers()
	servers.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Reset_: true, Changed: []*dispatchpb.ServerEntry{{Instance: "i-1", Incarnation: 5}}})
	client := attach.NewClient(attach.ClientOptions{
		ID: "front-1", Incarnation: 3, DataCentre: "a", Control: caller, Servers: servers, Logger: logging.Discard(),
		Seeds: func() []string { return []string{"a:1", "b:1", "c:1"} },
	})
	running.Go(func() { _ = client.Run(ctx) })
	return client, servers
}

// drain drains the backend server at the second control host and waits until the entry host has taken it out,
// within the bound on drains. It returns when the drain was confirmed.
func (c *controls) drain(ctx context.Context, g *WithT, servers *attach.Servers) time.Time {
	g.Expect(c.servers["b:1"].Announce(ctx, drained(backend.Ready))).To(Succeed())
	g.Expect(c.servers["b:1"].Announce(ctx, drained(backend.Draining))).To(Succeed())
	confirmed := time.Now()
	for len(servers.Servers("cuefeed")) > 0 {
		time.Sleep(10 * time.Millisecond)
		g.Expect(time.Since(confirmed)).To(BeNumerically("<", 2*time.Second))
	}
	return confirmed
}

// An entry host that hears only a control host that is cut off from the others, or that was restarted and has
// forgotten what it confirmed, must ask another one: its list would never lose a server that drains.
func TestEntryHostLeavesAControlHostWithoutCurrentDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControls(ctx, &running)
		time.Sleep(5 * time.Second)
		client, servers := startEntryHost(ctx, &running, c)
		time.Sleep(time.Second)
		g.Expect(client.ControlHosts()[0]).To(Equal("a:1"), "it is attached to the first")
		c.mu.Lock()
		c.cut["a:1"] = true
		c.mu.Unlock()
		confirmed := c.drain(ctx, g, servers)
		g.Expect(servers.CurrentAsOf().Before(confirmed)).To(BeFalse())
	})
}

// A control host that was not told of a drain, since a majority without it was, must not keep entry hosts in
// the belief that the server still takes work.
func TestControlHostOutsideTheMajorityHearsOfDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControls(ctx, &running)
		time.Sleep(5 * time.Second)
		c.mu.Lock()
		c.cut["c:1"] = true
		c.mu.Unlock()
		g.Expect(c.servers["a:1"].Announce(ctx, drained(backend.Ready))).To(Succeed())
		g.Expect(c.servers["a:1"].Announce(ctx, drained(backend.Draining))).To(Succeed())
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
		// A late announcement from before the drain reaches the host that had not heard of the server.
		g.Expect(c.servers["c:1"].Announce(ctx, drained(backend.Ready))).To(Succeed())
		time.Sleep(time.Second)
		states := map[string]backend.State{}
		c.registries["c:1"].EachServer(func(b backend.Server) { states[b.Instance] = b.State })
		g.Expect(states).To(HaveKeyWithValue("i-1", backend.Draining))
	})
}

// A control host that has just started has forgotten the drains that it confirmed, so it must not call its
// departures current, nor make up a majority for others.
func TestRestartedControlHostsDoNotSpeakForForgottenDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControls(ctx, &running)
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

// slow answers after a while, as through the full link of a small host.
type slow struct {
	*controls
	after time.Duration
}

func (s slow) Attach(ctx context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	reply, err := s.controls.Attach(ctx, address, r)
	select {
	case <-time.After(s.after):
		return reply, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A host whose link is full gets every answer late. If late answers were dropped, it would go on with its last
// list for as long as its link is full, and leave the directory's control hosts without its state.
func TestLateHeartbeatAnswersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		c := startControls(ctx, &running)
		time.Sleep(5 * time.Second)
		client, servers := startEntryHost(ctx, &running, slow{c, 900 * time.Millisecond})
		time.Sleep(3 * time.Second)
		_, known := client.Dispatcher("cuefeed")
		g.Expect(known).To(BeTrue())
		c.drain(ctx, g, servers)
	})
}
