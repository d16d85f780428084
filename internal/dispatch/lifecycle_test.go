package dispatch_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// A server that vanished must get no new work within 3 s, even if the dispatcher receives no update about
// it.
func TestVanishedServersGetNoNewWork(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(2)
	now = now.Add(backend.Cutoff)
	m.Tick(now)
	g.Expect(acquire(m, now, 1, nil)).To(BeEmpty())
}

// A server whose announcements are missed may still run its requests. They must be neither given up nor sent
// elsewhere because of that.
func TestWorkOfAServerThatIsNotHeardGoesOn(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(2)
	g.Expect(acquire(m, now, 1, func(r *dispatch.Request) { r.Idempotent, r.Keyless, r.Deadline = false, true, now.Add(10*time.Second) })).To(HaveLen(1))
	for range 250 {
		now = now.Add(dispatch.TickInterval)
		m.RecordContact(now, "n", 1<<40)
		m.SetServers(now, nil)
		m.Tick(now)
		g.Expect(m.TakeActions()).To(BeEmpty())
	}
	m.SetServers(now, []backend.Server{{Instance: "s", State: backend.Ready, Slots: 2, Renewed: now}})
	g.Expect(m.View(now).Servers[0].InFlight).To(Equal(1))
	m.Complete(now, "n", 1, grant.Completion{Result: grant.OK, Total: 5 * time.Second})
	g.Expect(m.View(now).Servers[0].InFlight).To(BeZero())
}

// A server that signals in a response that it drains must get no new work from then on.
func TestDrainingServersGetNoNewWork(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(2)
	g.Expect(acquire(m, now, 1, nil)[0].Kind).To(Equal(dispatch.Granted))
	m.Complete(now, "n", 1, grant.Completion{Result: grant.OK, Total: time.Millisecond, ServerSignals: grant.ServerSignals{Draining: true}})
	g.Expect(acquire(m, now, 2, nil)).To(BeEmpty())
	g.Expect(m.View(now).Servers[0].State).To(Equal(dispatch.ViewDraining))
}

// A server that sheds everything at once looks idle; it must not attract the work of the others.
func TestSheddingServersArePaused(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(4)
	id := uint64(0)
	shed := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		id++
		if a := acquire(m, now, id, nil); len(a) > 0 && a[0].Kind == dispatch.Granted {
			m.Complete(now, "n", id, grant.Completion{Result: grant.Shed, Total: time.Millisecond})
			shed++
		}
		m.Cancel(now, "n", id)
	}
	g.Expect(shed).To(BeNumerically("<", 12))
}

// A new server that gets all its slots at once fails while it is cold.
func TestNewServersStartSlowly(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(2)
	fresh := backend.Server{Instance: "t", State: backend.Ready, Slots: 11, WarmUp: 10 * time.Second, ReadySince: now}
	limit := func(after time.Duration) int {
		at := now.Add(after)
		fresh.Renewed = at
		m.SetServers(at, []backend.Server{fresh})
		servers := m.View(at).Servers
		return servers[len(servers)-1].Limit
	}
	g.Expect(limit(0)).To(Equal(1))
	g.Expect(limit(5 * time.Second)).To(Equal(6))
	g.Expect(limit(10 * time.Second)).To(Equal(11))
}

// The grants of a lost node must be freed after StreamGrace and not before, while its requests may still
// run.
func TestGrantsOfALostNodeAreFreedAfterTheGrace(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(1)
	g.Expect(acquire(m, now, 1, nil)).To(HaveLen(1))
	m.Disconnect(now, "n")
	m.Connect(now, "o", "dc", 1, nil, nil)
	m.Acquire(now, "o", dispatch.Request{ID: 1, Deadline: now.Add(5 * time.Second)})
	m.Tick(now.Add(dispatch.StreamGrace - time.Millisecond))
	g.Expect(m.TakeActions()).To(BeEmpty())
	m.Tick(now.Add(dispatch.StreamGrace + 200*time.Millisecond))
	actions := m.TakeActions()
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(dispatch.Granted))
}

// Bad servers that the former dispatcher had ejected must not get work from the new one at once, except for a
// canary.
func TestEjectionsAreInherited(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var servers []backend.Server
	for _, name := range []string{"a", "b", "c", "d"} {
		servers = append(servers, backend.Server{Instance: name, State: backend.Ready, Slots: 2, Renewed: now})
	}
	m := dispatch.New(now, dispatch.Config{Service: "x", MinimumHealthyPercent: 75})
	m.SetServers(now, servers)
	m.Connect(now, "n", "dc", 1, nil, []string{"a", "b"})
	m.Tick(now.Add(dispatch.CollectionPeriod))
	var states []string
	for _, s := range m.View(now.Add(dispatch.CollectionPeriod)).Servers {
		states = append(states, s.State)
	}
	// The minimum allows one of the two.
	g.Expect(states).To(Equal([]string{dispatch.ViewProbation, dispatch.ViewReady, dispatch.ViewReady, dispatch.ViewReady}))
}

// An inherited ejection of unknown age must not start a wait at each change of dispatcher: if these come in
// quick succession, the server gets no work for good.
func TestInheritedVerdictsAreTestedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var servers []backend.Server
	for _, name := range []string{"a", "b", "c", "d"} {
		servers = append(servers, backend.Server{Instance: name, State: backend.Ready, Slots: 2, Renewed: now, Cutoff: time.Hour})
	}
	m := dispatch.New(now, dispatch.Config{Service: "x", MinimumHealthyPercent: 25})
	m.SetServers(now, servers)
	m.Connect(now, "n", "dc", 1, nil, []string{"a"})
	now = now.Add(dispatch.CollectionPeriod)
	m.Tick(now)
	g.Expect(m.View(now).Servers[0].State).To(Equal(dispatch.ViewProbation))
	granted := map[string]int{}
	for id := range uint64(4) {
		m.Acquire(now, "n", dispatch.Request{ID: id + 1, Deadline: now.Add(time.Second), Idempotent: true})
	}
	for _, a := range m.TakeActions() {
		granted[a.Instance]++
	}
	g.Expect(granted["a"]).To(Equal(1), "one canary, and no other work")
}

// If healthy servers vanish, ejected ones must return at once to keep the minimum.
func TestEjectedServersReturnWhenOthersVanish(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(sizes[0], 1)
	loadMixed(w, 0.3)
	w.run(warmUp)
	w.servers["s00"].stalled = flap(w.now, time.Hour)
	w.run(time.Second)
	g.Expect(w.ejectedAt).To(HaveKey("s00"))
	w.names = slices.DeleteFunc(w.names, func(name string) bool { return name >= "s08" })
	w.run(200 * time.Millisecond)
	v := w.machine.View(w.now)
	g.Expect(v.Minimum).To(Equal(51))
	g.Expect(v.Servers[0].State).NotTo(Equal(dispatch.ViewEjected))
}

// Work whose deadline cannot be met must be refused at once, so that the caller can react.
func TestUnmeetableRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	m, now := newCollectedMachine(1)
	refused := acquire(m, now, 1, func(q *dispatch.Request) { q.Deadline = now })
	g.Expect(refused[0].Refusal).To(Equal(problem.DeadlineUnmeetable))
	acquire(m, now, 2, nil)
	acquire(m, now, 3, func(q *dispatch.Request) { q.Deadline = now.Add(300 * time.Millisecond) })
	m.Tick(now.Add(400 * time.Millisecond))
	actions := m.TakeActions()
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].ID).To(BeEquivalentTo(3))
	excluded := acquire(m, now, 4, func(q *dispatch.Request) { q.Exclude = []string{"s"} })
	g.Expect(excluded).To(BeEmpty(), "waits for a free slot first")
	m.Complete(now, "n", 2, grant.Completion{Result: grant.OK, Total: time.Millisecond})
	g.Expect(m.TakeActions()[0].Refusal).To(Equal(problem.NoCapacity))
}

// Two requests that were on a server when it crashed must be retried on different servers, so that the next
// crash shows which of them causes it.
func TestCrashSuspectsAreKeptApart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	servers := []backend.Server{
		{Instance: "a", State: backend.Ready, Slots: 2, Renewed: now},
		{Instance: "b", State: backend.Ready, Slots: 8, Renewed: now, Load: 1},
		{Instance: "c", State: backend.Ready, Slots: 2, Renewed: now},
	}
	m := dispatch.New(now, dispatch.Config{Service: "x"})
	m.SetServers(now, servers)
	m.Connect(now, "n", "dc", 1, nil, nil)
	now = now.Add(dispatch.CollectionPeriod)
	send := func(id, fingerprint uint64, exclude ...string) string {
		a := acquire(m, now, id, func(q *dispatch.Request) { q.Fingerprint, q.Exclude = fingerprint, exclude })
		g.Expect(a).To(HaveLen(1))
		return a[0].Instance
	}
	for fingerprint := range uint64(2) {
		g.Expect(send(fingerprint+1, fingerprint+1, "b", "c")).To(Equal("a"))
	}
	for id := range uint64(2) {
		m.Complete(now, "n", id+1, grant.Completion{Result: grant.Broken, Total: time.Millisecond})
	}
	// By utilisation alone both would go to b.
	g.Expect(send(3, 1)).NotTo(Equal(send(4, 2)))
}

// Truncated responses of servers that continue to respond are not crashes, and a request that got a
// response recently is not the one that crashes servers. Either mistake would cause harmless work to be
// refused for 10 min.
func TestHarmlessRequestsAreNotPoison(t *testing.T) {
	for name, responseBetween := range map[string]bool{"truncated responses": true, "present at two crashes": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(1000, 0)
			m := dispatch.New(now, dispatch.Config{Service: "x"})
			m.SetServers(now, []backend.Server{
				{Instance: "a", State: backend.Ready, Slots: 4, Renewed: now},
				{Instance: "b", State: backend.Ready, Slots: 4, Renewed: now},
			})
			m.Connect(now, "n", "dc", 1, nil, nil)
			now = now.Add(dispatch.CollectionPeriod)
			id := uint64(0)
			end := func(result grant.Result, fingerprint uint64, exclude string) {
				id++
				a := acquire(m, now, id, func(q *dispatch.Request) { q.Fingerprint, q.Exclude = fingerprint, []string{exclude} })
				g.Expect(a).To(HaveLen(1))
				g.Expect(a[0].Kind).To(Equal(dispatch.Granted), "request %d", id)
				m.Complete(now, "n", id, grant.Completion{Result: result, Total: time.Millisecond})
				now = now.Add(time.Millisecond)
			}
			end(grant.OK, 7, "b")
			for _, exclude := range []string{"b", "a"} {
				end(grant.Broken, 7, exclude)
				if responseBetween {
					end(grant.OK, 8, exclude)
				}
				end(grant.Broken, 7, exclude)
			}
			g.Expect(m.Stats().PoisonRequests).To(BeZero())
			if responseBetween {
				g.Expect(m.Stats().Crashes).To(BeZero())
			}
		})
	}
}
