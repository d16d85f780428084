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
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// registry stores announcements without gossip.
type registry struct {
	mu      sync.Mutex
	servers map[string]backend.Server
	hosts   map[string]membership.EntryHost
	refuse  error
	// refuseServer is the error for announcements of backend servers.
	refuseServer error
	members      []membership.Member
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
	if r.refuseServer != nil {
		return r.refuseServer
	}
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
