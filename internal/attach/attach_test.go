package attach_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// registry stores announcements without gossip.
type registry struct {
	mu      sync.Mutex
	servers map[string]backend.Server
	hosts   map[string]membership.EntryHost
	refuse  error
	members []membership.Member
}

func (r *registry) AnnounceEntryHost(h membership.EntryHost) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refuse != nil {
		return r.refuse
	}
	if r.hosts == nil {
		r.hosts = map[string]membership.EntryHost{}
	}
	h.Renewed = time.Now()
	r.hosts[h.ID] = h
	return nil
}

func (r *registry) EntryHosts() []membership.EntryHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.hosts))
}

func (r *registry) AnnounceLocal(s backend.Server) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Renewed = time.Now()
	r.servers[s.Instance] = s
	return nil
}

func (r *registry) stateOf(instance string) backend.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[instance].State
}

func (r *registry) Members() []membership.Member { return r.members }

func (r *registry) EachServer(f func(backend.Server)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		f(s)
	}
}

func (r *registry) MarkServer(instance string, _ uint64, state backend.State) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[instance]
	if !ok {
		return nil
	}
	s.State = max(s.State, state)
	r.servers[instance] = s
	return []string{s.Service}
}

// startServer returns a server; one that does not start is a mistake of the test.
func startServer(o attach.ServerOptions) *attach.Server {
	s, err := attach.NewServer(o)
	if err != nil {
		panic(err)
	}
	return s
}

type elections struct{ holder leadership.Holder }

func (e elections) Held(string) (leadership.Lease, bool) { return leadership.Lease{}, false }
func (e elections) Dispatcher(string) (leadership.Holder, bool) {
	return e.holder, e.holder.Node != ""
}

type source struct{}

func (source) Fleet() *hostset.Fleet {
	return &hostset.Fleet{
		Hosts:    []hostset.Host{{ID: "a", FleetAddress: "a:1"}, {ID: "b", FleetAddress: "b:1"}, {ID: "c", FleetAddress: "c:1"}},
		Services: []hostset.Service{{Name: "cuefeed"}},
	}
}

// fakePeers responds for the control hosts that are reachable.
type fakePeers struct {
	mu    sync.Mutex
	up    map[string]bool
	calls map[string]int
}

func (m *fakePeers) Mark(_ context.Context, address string, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[address]++
	if !m.up[address] {
		return nil, errors.New("unreachable")
	}
	return &fleetpb.MarkReply{Further: uint32(len(r.GetFurther()))}, nil
}

func (m *fakePeers) ListDepartures(_ context.Context, address string, _ *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up[address] {
		return nil, errors.New("unreachable")
	}
	return &fleetpb.Departures{}, nil
}

func newServer(dispatcher string, up ...string) (*attach.Server, *registry, *fakePeers) {
	r := &registry{servers: map[string]backend.Server{}}
	m := &fakePeers{up: map[string]bool{}, calls: map[string]int{}}
	for _, address := range up {
		m.up[address] = true
	}
	s := startServer(attach.ServerOptions{
		ID: "a", Address: "a:1", Registry: r, Source: source{}, Peers: m, Logger: logging.Discard(),
		Elections: elections{leadership.Holder{Node: dispatcher, Address: dispatcher + ":1", Term: 3}},
		Revision:  func() uint64 { return 9 },
	})
	return s, r, m
}

func serverInState(state backend.State) backend.Server {
	return backend.Server{Service: "cuefeed", Instance: "i-1", Incarnation: 5, Address: "10.0.0.1:80", DataCentre: "a", State: state}
}

// Guards against a drain that is confirmed before the dispatcher and a majority know it: it would be
// lost if the host that confirmed it failed immediately afterwards.
func TestDrainIsConfirmedOnlyWhenItBinds(t *testing.T) {
	cases := map[string]struct {
		dispatcher string
		up         []string
		confirmed  bool
	}{
		"all reachable":                       {"b", []string{"b:1", "c:1"}, true},
		"a majority with the dispatcher":      {"b", []string{"b:1"}, true},
		"a majority without the dispatcher":   {"b", []string{"c:1"}, false},
		"no majority":                         {"a", nil, false},
		"this host dispatches, majority":      {"a", []string{"c:1"}, true},
		"no dispatcher is known, no majority": {"", nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, r, _ := newServer(c.dispatcher, c.up...)
			g.Expect(s.Announce(context.Background(), serverInState(backend.Ready))).To(Succeed())
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			err := s.Announce(ctx, serverInState(backend.Draining))
			g.Expect(err == nil).To(Equal(c.confirmed))
			g.Expect(r.servers["i-1"].State).To(Equal(backend.Draining), "the server gets no new work in either case")
		})
	}
}

// Guards against a drain that stays unconfirmed because a control host was unreachable for a moment:
// the mark must be sent to it again.
func TestUnconfirmedMarkIsRetried(t *testing.T) {
	g := NewWithT(t)
	s, _, m := newServer("b", "c:1")
	time.AfterFunc(120*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.up["b:1"] = true
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	g.Expect(s.Announce(ctx, serverInState(backend.Ready))).To(Succeed())
	g.Expect(s.RecordDeparture(ctx, backend.Departure{Instance: "i-1", State: backend.Left})).To(Succeed())
	g.Expect(m.calls["c:1"]).To(Equal(1), "a control host that has confirmed is not sent the mark again")
}

// A control host that was paused read marks of withdrawals that named no process, long after the caller had given up, and
// took out processes that had started since.
func TestMarkWithoutIncarnationNeedsACallerThatWaits(t *testing.T) {
	g := NewWithT(t)
	ended, end := context.WithCancel(context.Background())
	end()
	for _, c := range []struct {
		ctx         context.Context
		incarnation uint64
		out         bool
	}{{ended, 0, false}, {ended, 5, true}, {context.Background(), 0, true}} {
		s, r, _ := newServer("b", "b:1", "c:1")
		g.Expect(s.Announce(context.Background(), serverInState(backend.Ready))).To(Succeed())
		_, err := s.Mark(c.ctx, &fleetpb.MarkRequest{Instance: "i-1", Incarnation: c.incarnation, State: fleetpb.ServerState(backend.Left)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.stateOf("i-1") == backend.Left).To(Equal(c.out), "incarnation %d", c.incarnation)
	}
}

// A draining server repeats its drain with each announcement. When many servers drain together, telling every
// control host each time takes the processor time that configuration changes need.
func TestRepeatedDrainsAreToldToTheGroupOnly(t *testing.T) {
	g := NewWithT(t)
	s, r, m := newServer("b", "b:1", "c:1", "d:1")
	r.members = []membership.Member{{ID: "d", FleetAddress: "d:1", State: fleetpb.NodeState_NODE_STATE_ALIVE}}
	calls := func() map[string]int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return maps.Clone(m.calls)
	}
	ctx := context.Background()
	g.Expect(s.Announce(ctx, serverInState(backend.Ready))).To(Succeed())
	g.Expect(s.Announce(ctx, serverInState(backend.Draining))).To(Succeed())
	g.Eventually(calls).Should(Equal(map[string]int{"b:1": 1, "c:1": 1, "d:1": 1}))
	g.Expect(s.Announce(ctx, serverInState(backend.Draining))).To(Succeed())
	g.Eventually(calls).Should(Equal(map[string]int{"b:1": 2, "c:1": 2, "d:1": 1}))
	g.Expect(s.RecordDeparture(ctx, backend.Departure{Instance: "i-1", Incarnation: 5, State: backend.Left})).To(Succeed())
	g.Eventually(calls).Should(Equal(map[string]int{"b:1": 3, "c:1": 3, "d:1": 2}))
}

// Guards against callers being sent to hosts that leave or start, and against an entry host with an
// outdated incarnation that does not learn which one to exceed.
func TestHeartbeats(t *testing.T) {
	g := NewWithT(t)
	s, r, _ := newServer("b")
	heartbeat := func(state fleetpb.NodeState, ready bool) *fleetpb.AttachReply {
		reply, err := s.Attach(context.Background(), &fleetpb.AttachRequest{Host: &fleetpb.Node{
			Id: "front-1", Incarnation: 4, State: state, Ready: ready, EntryAddress: "10.0.0.9:80", DataCentre: "a",
		}})
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	heartbeat(fleetpb.NodeState_NODE_STATE_ALIVE, false)
	g.Expect(s.Endpoints(time.Now(), "caller", 64)).To(BeEmpty())
	reply := heartbeat(fleetpb.NodeState_NODE_STATE_ALIVE, true)
	g.Expect(reply.GetRevision()).To(BeEquivalentTo(9))
	g.Expect(reply.GetDispatchers()).To(HaveLen(1))
	g.Expect(s.Endpoints(time.Now(), "caller", 64)).To(HaveLen(1))
	g.Expect(s.Endpoints(time.Now().Add(attach.HeartbeatExpiry), "caller", 64)).To(BeEmpty(), "a host without heartbeats")
	heartbeat(fleetpb.NodeState_NODE_STATE_LEAVING, true)
	g.Expect(s.Endpoints(time.Now(), "caller", 64)).To(BeEmpty())
	r.refuse = &membership.SupersededError{Known: 77}
	g.Expect(heartbeat(fleetpb.NodeState_NODE_STATE_ALIVE, true).GetKnownIncarnation()).To(BeEquivalentTo(77))
}

// Control hosts that miss most entry hosts together have lost their own links. Guards against sending
// all callers to the few hosts left, which would saturate their links, although the others still serve.
func TestDirectoryKeepsHostsWhenMostAreLostAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, _, _ := newServer("b")
		heartbeat := func(from, to int, state fleetpb.NodeState) {
			for i := from; i < to; i++ {
				_, err := s.Attach(context.Background(), &fleetpb.AttachRequest{Host: &fleetpb.Node{
					Id: fmt.Sprint("front-", i), Incarnation: 4, State: state, Ready: true, EntryAddress: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "a",
				}})
				g.Expect(err).NotTo(HaveOccurred())
			}
		}
		listed := func() int { return len(s.Endpoints(time.Now(), "caller", 64)) }
		alive, leaving := fleetpb.NodeState_NODE_STATE_ALIVE, fleetpb.NodeState_NODE_STATE_LEAVING
		heartbeat(0, 10, alive)
		time.Sleep(attach.HeartbeatExpiry)
		heartbeat(0, 5, alive)
		g.Expect(listed()).To(Equal(5), "no more hosts are missed than heard: the missed ones have failed")
		time.Sleep(attach.HeartbeatExpiry)
		heartbeat(0, 2, alive)
		g.Expect(listed()).To(Equal(10), "more hosts are missed than heard")
		heartbeat(2, 4, leaving)
		g.Expect(listed()).To(Equal(8), "hosts that left are not listed")
		heartbeat(4, 7, alive)
		g.Expect(listed()).To(Equal(5), "most hosts are heard again")
		time.Sleep(30 * time.Second)
		heartbeat(0, 1, alive)
		g.Expect(listed()).To(Equal(1), "hosts missed for 30 s have failed")
	})
}

// fakeControl responds for all control hosts.
type fakeControl struct {
	mu    sync.Mutex
	down  map[string]bool
	calls []string
	reply *fleetpb.AttachReply
	last  *fleetpb.Node
}

func (b *fakeControl) Attach(_ context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, address)
	if b.down[address] {
		return nil, errors.New("silent")
	}
	b.last = r.GetHost()
	return b.reply, nil
}

// Guards against an entry host that does not find the fleet through any one seed, or that does not
// continue when it loses its control host.
func TestClientSwitchesToAnotherControlHost(t *testing.T) {
	g := NewWithT(t)
	fake := &fakeControl{down: map[string]bool{"s1:1": true}, reply: &fleetpb.AttachReply{
		Control:     []string{"c1:1", "c2:1"},
		Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: "c1", Address: "c1:1", Term: 5}},
	}}
	c := attach.NewClient(attach.ClientOptions{
		ID: "front-1", Incarnation: 2, DataCentre: "a", Control: fake, Logger: logging.Discard(),
		Seeds: func() []string { return []string{"s1:1", "s2:1"} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	g.Eventually(func() bool { _, ok := c.Dispatcher("cuefeed"); return ok }).Should(BeTrue())
	fake.mu.Lock()
	fake.down["s2:1"] = true
	fake.reply = &fleetpb.AttachReply{KnownIncarnation: 40, Dispatchers: []*fleetpb.Dispatcher{
		{Service: "cuefeed", Node: "old", Address: "old:1", Term: 4},
	}}
	fake.mu.Unlock()
	c.DispatcherStreamEnded("cuefeed")
	g.Eventually(func() uint64 {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		return fake.last.GetIncarnation()
	}, "3s").Should(BeEquivalentTo(41), "a host whose clock was set back exceeds the known incarnation")
	h, _ := c.Dispatcher("cuefeed")
	g.Expect(h.Node).To(Equal("c1"), "a lower term is ignored")
	c.Leave(ctx)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	g.Expect(fake.last.GetState()).To(Equal(fleetpb.NodeState_NODE_STATE_LEAVING))
}

// Guards against a list that misses a removal: a host that lost its dispatcher would send requests to
// a drained server.
func TestServersFollowUpdates(t *testing.T) {
	g := NewWithT(t)
	s := attach.NewServers()
	entry := func(name, address string) *dispatchpb.ServerEntry {
		return &dispatchpb.ServerEntry{Instance: name, Address: address, Slots: 6}
	}
	s.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Reset_: true, Changed: []*dispatchpb.ServerEntry{entry("b", "b:1"), entry("a", "a:1")}})
	s.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Removed: []string{"a"}, Changed: []*dispatchpb.ServerEntry{entry("c", "c:1"), entry("b", "b:2")}})
	list := s.Servers("cuefeed")
	g.Expect(list).To(HaveLen(2))
	g.Expect([]string{list[0].Instance, list[0].Address, list[1].Instance}).To(Equal([]string{"b", "b:2", "c"}))
	s.MarkDraining("cuefeed", "b")
	g.Expect(s.Servers("cuefeed")).To(HaveLen(1))
	g.Expect(s.Announce(context.Background(), backend.Server{})).To(MatchError(attach.ErrAnnouncementsRefused))
}

// Guards against an entry host that keeps a term which no control host names any longer: it would
// reject the current dispatcher, whose term may be lower, until it is restarted.
func TestUnconfirmedTermGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		naming := func(node string, term uint64) *fleetpb.AttachReply {
			return &fleetpb.AttachReply{Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: node, Address: node + ":1", Term: term}}}
		}
		fake := &fakeControl{reply: naming("c2", 9)}
		c := attach.NewClient(attach.ClientOptions{
			ID: "front-1", Incarnation: 2, DataCentre: "a", Control: fake, Logger: logging.Discard(),
			Seeds: func() []string { return []string{"s1:1"} },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = c.Run(ctx) }()
		defer func() { cancel(); <-done }()
		dispatcher := func() string { h, _ := c.Dispatcher("cuefeed"); return h.Node }
		time.Sleep(100 * time.Millisecond)
		g.Expect(dispatcher()).To(Equal("c2"))
		c.DispatcherStreamEnded("cuefeed")
		fake.mu.Lock()
		fake.reply = naming("c1", 5)
		fake.mu.Unlock()
		time.Sleep(time.Second)
		g.Expect(dispatcher()).To(Equal("c2"), "a former dispatcher that is named late is ignored")
		time.Sleep(time.Second)
		g.Expect(dispatcher()).To(Equal("c1"))
	})
}

// partitionedControl responds for control hosts that are split into two parts: each names only the
// control hosts of its own part.
type partitionedControl struct {
	mu      sync.Mutex
	named   map[string][]string
	replies map[string]*fleetpb.AttachReply
}

func (h *partitionedControl) Attach(_ context.Context, address string, _ *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := &fleetpb.AttachReply{Control: []string{address}, Dispatchers: h.replies[address].GetDispatchers()}
	for _, other := range h.named[address] {
		if other != address {
			reply.Control = append(reply.Control, other)
		}
	}
	return reply, nil
}

// Control hosts in the part without a majority name only each other. Guards against an entry host that
// asks only those named in the last response: it never leaves their part and never learns of the new
// dispatcher.
func TestClientThatSeeksLeavesTheHalfOfItsControlHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dispatched := func(by string, term uint64) *fleetpb.AttachReply {
			return &fleetpb.AttachReply{Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: by, Address: by, Term: term}}}
		}
		all := []string{"c1:1", "c2:1", "c3:1", "c4:1", "c5:1"}
		fake := &partitionedControl{named: map[string][]string{}, replies: map[string]*fleetpb.AttachReply{}}
		for _, c := range all {
			fake.named[c], fake.replies[c] = all, dispatched("c1:1", 5)
		}
		client := attach.NewClient(attach.ClientOptions{
			ID: "front-1", Incarnation: 3, DataCentre: "a", Control: fake, Logger: logging.Discard(),
			Seeds: func() []string { return []string{"c1:1", "c4:1", "c5:1"} },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = client.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(100 * time.Millisecond)
		fake.mu.Lock()
		minority, majority := all[:2], all[2:]
		for _, c := range minority {
			fake.named[c], fake.replies[c] = minority, &fleetpb.AttachReply{}
		}
		for _, c := range majority {
			fake.named[c], fake.replies[c] = majority, dispatched("c4:1", 9)
		}
		fake.mu.Unlock()
		client.DispatcherStreamEnded("cuefeed")
		time.Sleep(1500 * time.Millisecond)
		h, _ := client.Dispatcher("cuefeed")
		g.Expect(h.Node).To(Equal("c4:1"))
	})
}

// oneInformedControl responds for control hosts of which only one knows the current dispatcher, as in a
// network partition among them.
type oneInformedControl struct {
	knows string
	reply *fleetpb.AttachReply
}

func (s *oneInformedControl) Attach(_ context.Context, address string, _ *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	if address == s.knows {
		return s.reply, nil
	}
	return &fleetpb.AttachReply{}, nil
}

// Guards against an entry host that stays with a control host on the smaller side of a network
// partition: it would never learn of the new dispatcher and continue to use a list with servers that
// have drained since.
func TestClientThatSeeksTurnsToOtherControlHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		seeds := []string{"s1:1", "s2:1", "s3:1", "s4:1", "s5:1"}
		reply := &fleetpb.AttachReply{Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: "c1", Address: "c1:1", Term: 5}}}
		fake := &oneInformedControl{knows: seeds[2], reply: reply}
		c := attach.NewClient(attach.ClientOptions{
			ID: "front-1", Incarnation: 2, DataCentre: "a", Control: fake, Logger: logging.Discard(), Seeds: func() []string { return seeds },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = c.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(100 * time.Millisecond)
		h, _ := c.Dispatcher("cuefeed")
		g.Expect(h.Node).To(Equal("c1"))
		// The control host of this entry host is now cut off, and another one knows the successor.
		fake.knows = seeds[1]
		fake.reply = &fleetpb.AttachReply{Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: "c2", Address: "c2:1", Term: 9}}}
		c.DispatcherStreamEnded("cuefeed")
		// A draining server must get no new work after 2 s, and the drain may be confirmed immediately.
		time.Sleep(2 * time.Second)
		h, _ = c.Dispatcher("cuefeed")
		g.Expect(h.Node).To(Equal("c2"))
	})
}
