package membership_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Runs are reproducible unless the command line sets another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newState(i int) *membership.State {
	return membership.NewState(epoch, membership.Identity{
		ID: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), EntryAddress: "127.0.0.1:2", FleetAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i),
		Role: "node", Incarnation: 100,
	}, rand.New(rand.NewPCG(1, uint64(i))))
}

// exchange runs a complete exchange with the given delays and returns the time at its end.
func exchange(t interface{ Fatal(...any) }, now time.Time, a, b *membership.State, there, back time.Duration) time.Time {
	request := a.Request(now, b.Self().Id)
	for i := 0; request != nil && i < 8; i++ {
		sent := now
		now = now.Add(there)
		reply, _, err := b.HandleRequest(now, proto.CloneOf(request))
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(back)
		out, err := a.HandleReply(now, sent, proto.CloneOf(reply))
		if err != nil {
			t.Fatal(err)
		}
		request = out.FollowUp
	}
	return now
}

// Guards against ages that are understated, ages that fall without a newer renewal, states that go
// back, and nodes that do not converge, under arbitrary delays and any order of exchanges,
// announcements, drains and restarts of the server.
func TestAgesAndStatesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		var states []*membership.State
		for i := range size {
			states = append(states, newState(i))
		}
		now := epoch.Add(time.Second)
		incarnation, announced := uint64(1), backend.Starting
		var renewed time.Time
		seen := make([]backend.Server, size)
		check := func() {
			for i, s := range states {
				servers := s.Servers(now, service)
				if len(servers) == 0 {
					continue
				}
				current, previous := servers[0], seen[i]
				seen[i] = current
				if current.Incarnation == incarnation && current.Renewed.After(renewed) {
					t.Fatalf("n%d reports a renewal at %v, but the last one was at %v", i, current.Renewed, renewed)
				}
				if current.Incarnation < previous.Incarnation || current.Incarnation == previous.Incarnation && (current.State < previous.State || current.Renewed.Before(previous.Renewed)) {
					t.Fatalf("n%d went from %+v back to %+v", i, previous, current)
				}
			}
		}
		delay := rapid.IntRange(0, 700)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(delay.Draw(t, "pause")) * time.Millisecond)
			a, b := rapid.IntRange(0, size-1).Draw(t, "a"), rapid.IntRange(0, size-1).Draw(t, "b")
			switch rapid.SampledFrom([]string{"exchange", "exchange", "exchange", "announce", "advance", "drain", "restart"}).Draw(t, "step") {
			case "exchange":
				if a != b {
					there, back := time.Duration(delay.Draw(t, "there"))*time.Millisecond, time.Duration(delay.Draw(t, "back"))*time.Millisecond
					now = exchange(t, now, states[a], states[b], there, back)
				}
			case "advance":
				announced = min(announced+1, backend.Draining)
			case "drain":
				states[a].MarkDraining(service, "s0")
			case "restart":
				incarnation++
				announced = backend.Starting
			case "announce":
				s := server("s0", announced)
				s.Incarnation = incarnation
				renewed = now
				if err := states[a].Announce(now, s); err != nil {
					t.Fatal(err)
				}
			}
			check()
		}
		for range 2 {
			for a := range size {
				for b := range size {
					if a != b {
						now = exchange(t, now, states[a], states[b], time.Millisecond, time.Millisecond)
					}
				}
			}
		}
		check()
		for i, s := range states {
			own, first := s.Servers(now, service), states[0].Servers(now, service)
			if now.Sub(renewed) > 20*time.Second {
				// Entries that are too old to be used are not passed on indefinitely.
				own, first = nil, nil
			}
			if len(own) != len(first) || len(own) == 1 && own[0].State != first[0].State {
				t.Fatalf("n%d sees %+v, n0 sees %+v", i, own, first)
			}
			if len(s.Members()) != size {
				t.Fatalf("n%d knows %d nodes", i, len(s.Members()))
			}
		}
	})
}

func snapshot(s *membership.State, now time.Time) string {
	return fmt.Sprintf("%+v %+v", s.Members(), s.Servers(now, service))
}

// Guards against malformed messages that change any state, and against messages that could exhaust the
// range of incarnations.
func TestMalformedMessagesHaveNoEffect(t *testing.T) {
	g := NewWithT(t)
	a, b := newState(0), newState(1)
	now := exchange(t, epoch.Add(time.Second), a, b, time.Millisecond, time.Millisecond)
	g.Expect(a.Announce(now, server("s0", backend.Ready))).To(Succeed())
	validNode := func() *fleetpb.Node {
		return &fleetpb.Node{Id: "n9", Incarnation: 7, State: fleetpb.NodeState_NODE_STATE_ALIVE, DataCentre: "dc0", FleetAddress: "127.0.0.1:9"}
	}
	validServer := func() *fleetpb.Server {
		return &fleetpb.Server{Service: service, Instance: "s9", Incarnation: 1, Address: "127.0.0.1:9", State: fleetpb.ServerState_SERVER_STATE_READY}
	}
	requests := map[string]func(r *fleetpb.GossipRequest){
		"no sender":               func(r *fleetpb.GossipRequest) { r.From = nil },
		"no id":                   func(r *fleetpb.GossipRequest) { r.From.Id = "" },
		"incarnation":             func(r *fleetpb.GossipRequest) { r.From.Incarnation = math.MaxUint64 },
		"node incarnation":        func(r *fleetpb.GossipRequest) { r.Nodes[0].Incarnation = 1 << 63 },
		"node version":            func(r *fleetpb.GossipRequest) { r.Nodes[0].Version = math.MaxUint64 },
		"node state":              func(r *fleetpb.GossipRequest) { r.Nodes[0].State = 99 },
		"node address":            func(r *fleetpb.GossipRequest) { r.Nodes[0].FleetAddress = "host:1" },
		"node age":                func(r *fleetpb.GossipRequest) { r.Nodes[0].AgeMs = -1 },
		"server address":          func(r *fleetpb.GossipRequest) { r.Servers[0].Address = "" },
		"server state":            func(r *fleetpb.GossipRequest) { r.Servers[0].State = 0 },
		"server age":              func(r *fleetpb.GossipRequest) { r.Servers[0].AgeMs = -5 },
		"server load":             func(r *fleetpb.GossipRequest) { r.Servers[0].Load = math.NaN() },
		"server slots":            func(r *fleetpb.GossipRequest) { r.Servers[0].Slots = math.MaxUint32 },
		"no reference":            func(r *fleetpb.GossipRequest) { r.ReferenceMs = 0 },
		"reference in the future": func(r *fleetpb.GossipRequest) { r.ReferenceMs = a.Clock(now) + 1 },
	}
	for name, corrupt := range requests {
		r := b.Request(now, "n0")
		r.Nodes, r.Servers, r.ReferenceMs = []*fleetpb.Node{validNode()}, []*fleetpb.Server{validServer()}, a.Clock(now)
		corrupt(r)
		before := snapshot(a, now)
		_, _, err := a.HandleRequest(now, r)
		g.Expect(err).To(HaveOccurred(), name)
		g.Expect(snapshot(a, now)).To(Equal(before), name)
	}
	replies := map[string]func(r *fleetpb.GossipReply){
		"no sender": func(r *fleetpb.GossipReply) { r.From = nil },
		"loads":     func(r *fleetpb.GossipReply) { r.Loads = nil },
		"keys":      func(r *fleetpb.GossipReply) { r.ServerKeys = []uint64{1, 2, 3} },
		"order": func(r *fleetpb.GossipReply) {
			r.ServerKeys, r.Ages, r.Loads = []uint64{2, 1}, []uint32{0, 0}, []byte{0, 0}
		},
		"node state": func(r *fleetpb.GossipReply) { r.Nodes = []*fleetpb.Node{validNode()}; r.Nodes[0].State = -1 },
	}
	for name, corrupt := range replies {
		reply, _, err := a.HandleRequest(now, b.Request(now, "n0"))
		g.Expect(err).NotTo(HaveOccurred())
		corrupt(reply)
		before := snapshot(b, now)
		_, err = b.HandleReply(now, now, reply)
		g.Expect(err).To(HaveOccurred(), name)
		g.Expect(snapshot(b, now)).To(Equal(before), name)
	}
	r := b.Request(now, "n0")
	r.Nodes, r.Servers, r.ReferenceMs = []*fleetpb.Node{validNode()}, []*fleetpb.Server{validServer()}, a.Clock(now)
	_, _, err := a.HandleRequest(now, r)
	g.Expect(err).NotTo(HaveOccurred(), "the message must be valid before it is corrupted")
}

// One entry of another writer that a member of another version has accepted must not keep a node from hearing of the
// other backend servers and of its peers.
func TestMalformedEntryDoesNotHideTheOthers(t *testing.T) {
	g := NewWithT(t)
	a, b := newState(0), newState(1)
	now := exchange(t, epoch.Add(time.Second), a, b, time.Millisecond, time.Millisecond)
	reply, _, err := a.HandleRequest(now, b.Request(now, "n0"))
	g.Expect(err).NotTo(HaveOccurred())
	entry := func(instance string, corrupt func(*fleetpb.Server)) *fleetpb.Server {
		m := &fleetpb.Server{Service: service, Instance: instance, Incarnation: 1, Address: "127.0.0.1:9", State: fleetpb.ServerState_SERVER_STATE_READY}
		corrupt(m)
		return m
	}
	reply.Servers = []*fleetpb.Server{
		entry("address", func(m *fleetpb.Server) { m.Address = "host:70000" }),
		entry("slots", func(m *fleetpb.Server) { m.Slots = math.MaxUint32 }),
		entry("incarnation", func(m *fleetpb.Server) { m.Incarnation = math.MaxUint64 }),
		entry("load", func(m *fleetpb.Server) { m.Load = math.NaN() }),
		entry("sound", func(*fleetpb.Server) {}),
	}
	_, err = b.HandleReply(now, now, reply)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Servers(now, service)).To(ConsistOf(HaveField("Instance", "sound")))
}

// Guards against announcements that bring back an old process of a backend server, or one that has
// left.
func TestSupersededAnnouncements(t *testing.T) {
	g := NewWithT(t)
	s := newState(0)
	now := epoch.Add(time.Second)
	fresh := server("s0", backend.Ready)
	fresh.Incarnation = 5
	g.Expect(s.Announce(now, fresh)).To(Succeed())
	g.Expect(s.Announce(now, server("s0", backend.Ready))).To(MatchError(ContainSubstring("higher incarnation")))
	fresh.State = backend.Left
	g.Expect(s.Announce(now, fresh)).To(Succeed())
	fresh.State = backend.Ready
	g.Expect(s.Announce(now, fresh)).NotTo(Succeed())
	fresh.Incarnation = 6
	g.Expect(s.Announce(now, fresh)).To(Succeed())
	g.Expect(s.Servers(now, service)[0].Usable(now)).To(BeTrue())
	g.Expect(s.Servers(now.Add(backend.Cutoff), service)[0].Usable(now.Add(backend.Cutoff))).To(BeFalse())
}

// Guards against a healthy node that stays suspect, against a node declared dead too early by a single
// data centre, and against a dead node that is never declared dead.
func TestSuspicion(t *testing.T) {
	g := NewWithT(t)
	a, b, c := newState(0), newState(1), newState(2)
	now := epoch.Add(time.Second)
	for range 2 {
		now = exchange(t, now, a, b, time.Millisecond, time.Millisecond)
		now = exchange(t, now, b, c, time.Millisecond, time.Millisecond)
		now = exchange(t, now, c, a, time.Millisecond, time.Millisecond)
	}
	target := membership.Target{ID: "n2", DataCentre: "dc2", Incarnation: c.Self().Incarnation}
	state := func(s *membership.State) fleetpb.NodeState { m, _ := s.Member("n2"); return m.State }
	began := now
	a.ProbeFailed(now.Add(time.Second/2), began.Add(-time.Second), target)
	g.Expect(state(a)).To(Equal(fleetpb.NodeState_NODE_STATE_ALIVE), "the node was heard from after the probe began")
	now = now.Add(time.Second / 2)
	a.ProbeFailed(now, began, target)
	g.Expect(state(a)).To(Equal(fleetpb.NodeState_NODE_STATE_SUSPECT))
	now = exchange(t, now, b, a, time.Millisecond, time.Millisecond)
	g.Expect(state(b)).To(Equal(fleetpb.NodeState_NODE_STATE_SUSPECT))
	now = exchange(t, now, c, a, time.Millisecond, time.Millisecond)
	g.Expect(state(a)).To(Equal(fleetpb.NodeState_NODE_STATE_ALIVE), "the suspect refuted the suspicion")
	g.Expect(c.Self().Incarnation).To(BeNumerically(">", 100))
	g.Expect(state(b)).To(Equal(fleetpb.NodeState_NODE_STATE_SUSPECT), "b has not received the refutation yet")
	target.Incarnation = 100
	b.ProbeFailed(now, now, target)
	g.Expect(state(b)).To(Equal(fleetpb.NodeState_NODE_STATE_DEAD), "two data centres agree")
	now = exchange(t, now, b, a, time.Millisecond, time.Millisecond)
	g.Expect(state(b)).To(Equal(fleetpb.NodeState_NODE_STATE_ALIVE), "the higher incarnation wins")
	target.Incarnation = c.Self().Incarnation
	a.ProbeFailed(now, now, target)
	for range 31 {
		now = exchange(t, now.Add(membership.SuspicionTimeout/31), a, b, time.Millisecond, time.Millisecond)
	}
	a.Tick(now)
	g.Expect(state(a)).To(Equal(fleetpb.NodeState_NODE_STATE_DEAD))
	d := newState(4)
	exchange(t, now, d, c, time.Millisecond, time.Millisecond)
	exchange(t, now, d, a, time.Millisecond, time.Millisecond)
	g.Expect(state(d)).To(Equal(fleetpb.NodeState_NODE_STATE_SUSPECT), "the suspicion of one data centre must not make another declare the node dead")
}
