package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// model tracks what the nodes know, independently of the state of the machine.
type model struct {
	t           *rapid.T
	now         time.Time
	machine     *dispatch.Machine
	servers     []backend.Server
	nextID      map[string]uint64
	queued      map[string]map[uint64]dispatch.Request
	granted     map[string]map[uint64]string
	everGranted map[string]bool
}

func (m *model) applyActions() {
	for _, a := range slices.Clone(m.machine.TakeActions()) {
		key := fmt.Sprint(a.Node, "/", a.ID)
		switch a.Kind {
		case dispatch.Granted:
			q, asked := m.queued[a.Node][a.ID]
			if !asked || m.everGranted[key] {
				m.t.Fatalf("%s is granted twice or without a request", key)
			}
			if slices.Contains(q.Exclude, a.Instance) {
				m.t.Fatalf("%s is granted to the excluded server %s", key, a.Instance)
			}
			m.everGranted[key] = true
			delete(m.queued[a.Node], a.ID)
			m.granted[a.Node][a.ID] = a.Instance
		case dispatch.Refused:
			if m.everGranted[key] {
				m.t.Fatalf("%s is refused after its grant", key)
			}
			delete(m.queued[a.Node], a.ID)
		}
	}
	counts := map[string]int{}
	for _, held := range m.granted {
		for _, instance := range held {
			counts[instance]++
		}
	}
	for _, s := range m.servers {
		if counts[s.Instance] > min(s.Slots, s.Connections) {
			m.t.Fatalf("%s has %d requests with %d slots and %d connections", s.Instance, counts[s.Instance], s.Slots, s.Connections)
		}
	}
}

func pickRequest(t *rapid.T, held map[uint64]string) (uint64, bool) {
	ids := make([]uint64, 0, len(held))
	for id := range held {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0, false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// Any order of events must keep every invariant: the slots, single grants, the minimum and the budget.
func TestRandomEventsKeepTheInvariants(t *testing.T) {
	before := invariant.Total()
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: time.Unix(1000, 0), nextID: map[string]uint64{}, everGranted: map[string]bool{},
			queued: map[string]map[uint64]dispatch.Request{}, granted: map[string]map[uint64]string{}}
		names := []string{"n0", "n1", "n2"}
		config := dispatch.Config{Service: "x", MinimumHealthyPercent: rapid.IntRange(0, 100).Draw(t, "minimum"),
			Shares: [priority.Count]float64{0, 0.2, 0.1}}
		for i, n := range names {
			config.Members = append(config.Members, dispatch.Member{Node: n, DataCentre: fmt.Sprint("dc", i)})
		}
		m.machine = dispatch.New(m.now, config)
		for i := range 5 {
			m.servers = append(m.servers, backend.Server{Instance: fmt.Sprint("s", i), DataCentre: fmt.Sprint("dc", i%3), State: backend.Ready,
				Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Connections: rapid.IntRange(1, 4).Draw(t, "connections"), Renewed: m.now})
		}
		connect := func(n string) {
			m.granted[n], m.queued[n] = map[uint64]string{}, map[uint64]dispatch.Request{}
			m.machine.Connect(m.now, n, "dc"+n[1:], 1, nil, nil)
		}
		m.machine.SetServers(m.now, m.servers)
		for _, n := range names {
			connect(n)
		}
		node := rapid.SampledFrom(names)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.applyActions() },
			"acquire": func(t *rapid.T) {
				n := node.Draw(t, "node")
				for range rapid.IntRange(1, 6).Draw(t, "count") {
					m.nextID[n]++
					q := dispatch.Request{ID: m.nextID[n], Priority: priority.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
						Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Deadline: m.now.Add(time.Second),
						Fingerprint: rapid.Uint64Range(0, 5).Draw(t, "fingerprint"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
						Purpose: grant.Purpose(rapid.IntRange(0, 2).Draw(t, "purpose"))}
					if rapid.Bool().Draw(t, "excludes") {
						q.Exclude = []string{"s1"}
					}
					m.queued[n][q.ID] = q
					m.machine.Acquire(m.now, n, q)
				}
			},
			"repeat": func(t *rapid.T) {
				n := node.Draw(t, "node")
				m.machine.Acquire(m.now, n, dispatch.Request{ID: rapid.Uint64Range(0, m.nextID[n]).Draw(t, "id"), Deadline: m.now.Add(time.Second)})
			},
			"complete": func(t *rapid.T) {
				n := node.Draw(t, "node")
				id, ok := pickRequest(t, m.granted[n])
				if !ok {
					return
				}
				delete(m.granted[n], id)
				m.machine.Complete(m.now, n, id, grant.Completion{
					Result: grant.Result(rapid.IntRange(1, 8).Draw(t, "result")), ServerSignals: grant.ServerSignals{
						Draining:    rapid.IntRange(0, 30).Draw(t, "drain") == 0,
						RateLimited: rapid.IntRange(0, 10).Draw(t, "limited") == 0, Rate: rapid.Float64Range(0, 100).Draw(t, "rate"),
					},
					Total: time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond})
			},
			"cancel": func(t *rapid.T) {
				n := node.Draw(t, "node")
				for id := range m.queued[n] {
					delete(m.queued[n], id)
					m.machine.Cancel(m.now, n, id)
					break
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				for _, n := range names {
					m.machine.RecordContact(m.now, n, 1<<40)
				}
				m.machine.Tick(m.now)
			},
			"servers": func(t *rapid.T) {
				for i := range m.servers {
					if rapid.IntRange(0, 5).Draw(t, "renewed") > 0 {
						m.servers[i].Renewed = m.now
					}
				}
				i := rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")
				m.servers[i].State = rapid.SampledFrom([]backend.State{backend.Ready, backend.Ready, backend.Draining, backend.Starting}).Draw(t, "state")
				m.machine.SetServers(m.now, m.servers)
			},
			"reconnect": func(t *rapid.T) {
				n := node.Draw(t, "node")
				m.machine.Disconnect(m.now, n)
				m.applyActions()
				connect(n)
			},
		})
	})
	g := NewWithT(t)
	g.Expect(invariant.Total()).To(Equal(before))
}

// Nodes in autonomous mode that together use more than the slots would overload the servers.
func TestAutonomousSharesSumToTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []dispatch.Member
		for i := range rapid.IntRange(1, 60).Draw(t, "members") {
			members = append(members, dispatch.Member{Node: fmt.Sprint("n", i)})
		}
		slots := rapid.IntRange(0, 200).Draw(t, "slots")
		instance := rapid.String().Draw(t, "instance")
		sum := 0
		for _, m := range members {
			sum += dispatch.AutonomousSlots("x", instance, m.Node, members, slots)
		}
		if sum != slots {
			t.Fatalf("the shares sum to %d of %d slots", sum, slots)
		}
	})
}

// newCollectedMachine returns a machine with one node and one server, past the collection of outstanding
// grants.
func newCollectedMachine(slots int) (*dispatch.Machine, time.Time) {
	start := time.Unix(1000, 0)
	m := dispatch.New(start, dispatch.Config{Service: "x"})
	m.SetServers(start, []backend.Server{{Instance: "s", State: backend.Ready, Slots: slots, Renewed: start}})
	m.Connect(start, "n", "dc", 1, nil, nil)
	now := start.Add(dispatch.CollectionPeriod)
	m.Tick(now)
	return m, now
}

func acquire(m *dispatch.Machine, now time.Time, id uint64, change func(*dispatch.Request)) []dispatch.Action {
	q := dispatch.Request{ID: id, Priority: priority.Normal, Team: "a", Deadline: now.Add(time.Second), Idempotent: true}
	if change != nil {
		change(&q)
	}
	m.Acquire(now, "n", q)
	return slices.Clone(m.TakeActions())
}

// newStalledMachine lets three requests of one node wait for a long time at the only server, while another
// node is active. The first node confirms as many actions as given.
func newStalledMachine(received uint64) *dispatch.Machine {
	start := time.Unix(1000, 0)
	m := dispatch.New(start, dispatch.Config{Service: "x"})
	servers := []backend.Server{{Instance: "s", State: backend.Ready, Slots: 6, Renewed: start}}
	m.SetServers(start, servers)
	m.Connect(start, "n", "dc", 1, nil, nil)
	m.Connect(start, "o", "dc", 1, nil, nil)
	now := start.Add(dispatch.CollectionPeriod)
	m.Tick(now)
	for id := range uint64(3) {
		acquire(m, now, id+1, nil)
	}
	m.Acquire(now, "o", dispatch.Request{ID: 1, Deadline: now.Add(time.Second), Idempotent: true})
	m.Complete(now, "o", 1, grant.Completion{Result: grant.OK, Total: time.Millisecond})
	for range 80 {
		now = now.Add(dispatch.TickInterval)
		servers[0].Renewed = now
		m.SetServers(now, servers)
		m.RecordContact(now, "n", received)
		m.RecordContact(now, "o", 1)
		m.Tick(now)
	}
	return m
}

// The evidence of a single node may come from its own network path; it must not eject a server.
func TestOneNodeAloneDoesNotEject(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newStalledMachine(3).Stats().Ejections).To(BeZero())
}

// A node that receives nothing from the dispatcher never got its grants, so its requests without a response
// must not count as evidence.
func TestNodesThatReceiveNothingAreNoEvidence(t *testing.T) {
	g := NewWithT(t)
	run := func(received uint64) uint64 {
		start := time.Unix(1000, 0)
		m := dispatch.New(start, dispatch.Config{Service: "x"})
		servers := []backend.Server{{Instance: "s", State: backend.Ready, Slots: 6, Renewed: start}}
		m.SetServers(start, servers)
		now := start.Add(dispatch.CollectionPeriod)
		for _, n := range []string{"n", "o"} {
			m.Connect(start, n, "dc", 1, nil, nil)
			for id := range uint64(3) {
				m.Acquire(now, n, dispatch.Request{ID: id + 1, Deadline: now.Add(time.Second), Idempotent: true})
			}
		}
		for range 60 {
			now = now.Add(dispatch.TickInterval)
			servers[0].Renewed = now
			m.SetServers(now, servers)
			m.RecordContact(now, "n", received)
			m.RecordContact(now, "o", received)
			m.Tick(now)
		}
		return m.Stats().Ejections
	}
	g.Expect(run(3)).To(BeEquivalentTo(1))
	g.Expect(run(0)).To(BeZero())
}

// Retries beyond the budget would multiply the load of an overloaded service.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(1000)
	id := uint64(0)
	granted := 0
	for i := range 200 {
		id++
		acquire(m, now, id, nil)
		if i%2 == 0 {
			id++
			a := acquire(m, now, id, func(q *dispatch.Request) { q.Purpose = grant.Retry })
			if a[0].Kind == dispatch.Granted {
				granted++
			} else {
				g.Expect(a[0].Refusal).To(Equal(problem.NoCapacity))
			}
		}
	}
	g.Expect(granted).To(BeNumerically(">", 15))
	g.Expect(float64(granted)).To(BeNumerically("<=", 0.1*float64(200+granted)+3))
}

// Two dispatchers that grant within one period of 10 s after a change of dispatcher must stay within the
// bound together.
func TestTwoDispatchersKeepOneRetryBound(t *testing.T) {
	g := NewWithT(t)
	const share, floor = 0.2, 30
	now := time.Unix(1000, 0)
	requests, retries := 0, 0
	for term := range uint64(2) {
		m := dispatch.New(now, dispatch.Config{Service: "x", Term: term, RetryShare: share, RetryFloor: floor})
		m.SetServers(now, []backend.Server{{Instance: "s", State: backend.Ready, Slots: 1000, Renewed: now}})
		m.Connect(now, "n", "dc", 1, nil, nil)
		now = now.Add(dispatch.CollectionPeriod)
		m.Tick(now)
		for id := range uint64(100) {
			requests++
			acquire(m, now, 2*id+1, nil)
			if acquire(m, now, 2*id+2, func(q *dispatch.Request) { q.Purpose = grant.Retry })[0].Kind == dispatch.Granted {
				retries++
			}
		}
	}
	g.Expect(retries).To(BeNumerically(">", floor/2))
	g.Expect(float64(retries)).To(BeNumerically("<=", share*float64(requests)+floor))
}

// A full queue must drop the newest request of the team with the most queued requests, and none of another
// team.
func TestFullQueueDropsFromTheLargestTeam(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(1)
	acquire(m, now, 1, nil)
	for id := uint64(2); id < 258; id++ {
		g.Expect(acquire(m, now, id, nil)).To(BeEmpty())
	}
	refused := acquire(m, now, 258, nil)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].ID).To(BeEquivalentTo(258))
	dropped := acquire(m, now, 259, func(q *dispatch.Request) { q.Team = "b" })
	g.Expect(dropped).To(HaveLen(1))
	g.Expect(dropped[0].ID).To(BeEquivalentTo(257))
	g.Expect(dropped[0].Refusal).To(Equal(problem.QueueFull))
}

// A member that may be in autonomous mode must keep its share until it has been confirmed dead for DeadAfter.
func TestSharesOfUnresponsiveMembersAreKept(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	config := dispatch.Config{Service: "x", Members: []dispatch.Member{{Node: "n"}, {Node: "o"}}}
	servers := []backend.Server{{Instance: "s", State: backend.Ready, Slots: 4, Renewed: now}}
	m := dispatch.New(now, config)
	m.SetServers(now, servers)
	m.Connect(now, "n", "dc", 1, nil, nil)
	g.Expect(m.View(now).Servers[0].Limit).To(Equal(2))
	config.Members = []dispatch.Member{{Node: "n"}, {Node: "o", Dead: true}}
	m.Configure(now, config)
	g.Expect(m.View(now).Servers[0].Limit).To(Equal(2))
	now = now.Add(dispatch.DeadAfter)
	servers[0].Renewed = now
	m.SetServers(now, servers)
	g.Expect(m.View(now).Servers[0].Limit).To(Equal(4))
}

// BenchmarkGrant measures the decision on one request at the size of cuefeed.
func BenchmarkGrant(b *testing.B) {
	w := newSimulation(sizes[0], 1)
	w.run(time.Second)
	m, now, id := w.machine, w.now, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		m.Acquire(now, "n00", dispatch.Request{ID: id, Team: "a", Deadline: now.Add(time.Second), Idempotent: true, Fingerprint: id})
		m.Complete(now, "n00", id, grant.Completion{Result: grant.OK, Total: time.Millisecond})
		m.TakeActions()
	}
}
