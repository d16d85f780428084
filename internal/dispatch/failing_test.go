package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// scriptedService drives one machine in virtual time, with servers whose behaviour the test scripts.
type scriptedService struct {
	machine *dispatch.Machine
	now     time.Time
	servers []backend.Server
	nextID  uint64
	running []runningRequest
	// work is how long a request of a kind takes.
	work map[uint32]time.Duration
	// resets reports whether a server resets a request that arrives now.
	resets func(instance string, now time.Time) bool
	// truncates reports whether a server runs a request that arrives and truncates the response.
	truncates func(instance string) bool
	// sheds reports whether a server rejects a request that arrives.
	sheds func(instance string) bool
	// durationFactor multiplies the time of one request of a kind.
	durationFactor func(kind uint32) float64
	// serverFactor multiplies the time of a request at a server.
	serverFactor func(instance string) float64
	requests     map[uint64]dispatch.Request
	requestedAt  map[uint64]time.Time
	failed       map[bool]int
	served       map[uint32]int
	refused      map[problem.Kind]int
	// longestRefusalWait is the longest time from a request to its refusal.
	longestRefusalWait time.Duration
}

type runningRequest struct {
	id     uint64
	ends   time.Time
	took   time.Duration
	result grant.Result
}

const scriptStep = 2 * time.Millisecond

func newScriptedService(servers, slots int) *scriptedService {
	b := &scriptedService{
		now:            time.Unix(5_000, 0),
		resets:         func(string, time.Time) bool { return false },
		truncates:      func(string) bool { return false },
		sheds:          func(string) bool { return false },
		durationFactor: func(uint32) float64 { return 1 }, serverFactor: func(string) float64 { return 1 },
		requests: map[uint64]dispatch.Request{}, requestedAt: map[uint64]time.Time{},
		failed: map[bool]int{}, served: map[uint32]int{}, refused: map[problem.Kind]int{}, work: map[uint32]time.Duration{},
	}
	b.machine = dispatch.New(b.now, dispatch.Config{
		Service: "cuefeed", Term: 1, MinimumHealthyPercent: 70, MinimumOfStaying: true, RetryShare: 0.2, RetryFloor: 54,
		Shares: [priority.Count]float64{0, 0.2, 0.1},
	})
	for i := range servers {
		b.servers = append(b.servers, backend.Server{
			Service: "cuefeed", Instance: fmt.Sprintf("s%02d", i), Incarnation: 1, Address: "10.0.0.1:1", DataCentre: "a",
			State: backend.Ready, Slots: slots, Connections: 100, Renewed: b.now, ReadySince: b.now.Add(-time.Minute), Cutoff: time.Hour,
		})
	}
	for _, n := range []string{"n0", "n1", "n2"} {
		b.machine.Connect(b.now, n, "a", 1, nil, nil)
	}
	b.machine.SetServers(b.now, b.servers)
	return b
}

// sendRequest sends a request of a kind from one of the nodes.
func (b *scriptedService) sendRequest(kind uint32, p priority.Priority, idempotent bool, target, deadline time.Duration, purpose grant.Purpose) {
	b.nextID++
	q := dispatch.Request{
		ID: b.nextID, Kind: kind, Priority: p, Idempotent: idempotent, Target: target,
		Deadline: b.now.Add(deadline), Purpose: purpose, Fingerprint: b.nextID,
	}
	b.requests[q.ID], b.requestedAt[q.ID] = q, b.now
	b.machine.Acquire(b.now, b.node(q.ID), q)
	b.applyActions()
}

func (b *scriptedService) node(id uint64) string { return fmt.Sprint("n", id%3) }

func (b *scriptedService) applyActions() {
	for _, a := range append([]dispatch.Action(nil), b.machine.TakeActions()...) {
		q := b.requests[a.ID]
		switch a.Kind {
		case dispatch.Granted:
			took := time.Duration(float64(b.work[q.Kind]) * b.durationFactor(q.Kind) * b.serverFactor(a.Instance))
			r := runningRequest{id: a.ID, ends: b.now.Add(took), took: took, result: grant.OK}
			if b.resets(a.Instance, b.now) {
				r.ends, r.result = b.now.Add(2*time.Millisecond), grant.Broken
			} else if b.truncates(a.Instance) {
				r.result = grant.Broken
			} else if b.sheds(a.Instance) {
				r.ends, r.result = b.now.Add(2*time.Millisecond), grant.Shed
			}
			b.running = append(b.running, r)
		case dispatch.Refused:
			b.refused[a.Refusal]++
			b.longestRefusalWait = max(b.longestRefusalWait, b.now.Sub(b.requestedAt[a.ID]))
		}
	}
}

func (b *scriptedService) step() {
	b.now = b.now.Add(scriptStep)
	for i := 0; i < len(b.running); i++ {
		r := b.running[i]
		if r.ends.After(b.now) {
			continue
		}
		b.running = append(b.running[:i], b.running[i+1:]...)
		i--
		b.finish(r)
	}
	if b.now.UnixMilli()%20 == 0 {
		for _, n := range []string{"n0", "n1", "n2"} {
			b.machine.RecordContact(b.now, n, 1<<62)
		}
		b.machine.Tick(b.now)
		b.applyActions()
	}
}

func (b *scriptedService) finish(r runningRequest) {
	q := b.requests[r.id]
	b.machine.Complete(b.now, b.node(r.id), r.id, grant.Completion{Result: r.result, FirstByte: r.took, Total: r.took})
	b.applyActions()
	switch {
	case r.result == grant.OK:
		b.served[q.Kind]++
	case q.Purpose == grant.First && (q.Idempotent || r.result == grant.Shed):
		b.sendRequest(q.Kind, q.Priority, q.Idempotent, q.Target, q.Deadline.Sub(b.now), grant.Retry)
	default:
		b.failed[q.Idempotent]++
	}
}

func (b *scriptedService) run(d time.Duration, each func()) {
	for until := b.now.Add(d); b.now.Before(until); {
		b.step()
		each()
	}
}

const (
	firstKind  = 1
	secondKind = 2
)

// Each server resets nearly everything for 2.7 s of each 9 s, so that about a third of them do at any time.
// Non-idempotent work fails for good with a reset; only the first reset of an episode is unavoidable.
func TestEpisodesOfResetsCostLittleUnrepeatableWork(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(14, 6)
	random := rand.New(rand.NewPCG(7, 7))
	b.work[firstKind], b.work[secondKind] = 330*time.Millisecond, 440*time.Millisecond
	began := b.now
	phase := map[string]time.Duration{}
	for _, s := range b.servers {
		phase[s.Instance] = time.Duration(random.Int64N(int64(9 * time.Second)))
	}
	b.resets = func(instance string, now time.Time) bool {
		return (now.Sub(began)+phase[instance])%(9*time.Second) < 2700*time.Millisecond && random.Float64() < 0.85
	}
	sent := 0
	b.run(30*time.Second, func() {
		if random.Float64() < 16.4*scriptStep.Seconds() {
			b.sendRequest(firstKind, priority.Normal, true, 1200*time.Millisecond, 2*time.Second, grant.First)
		}
		if random.Float64() < 57.8*scriptStep.Seconds() {
			sent++
			b.sendRequest(secondKind, priority.Normal, false, 1200*time.Millisecond, 2500*time.Millisecond, grant.First)
		}
	})
	// 14 servers begin an episode every 9 s: 47 in 30 s. The bound allows one failure for each and as many
	// again.
	g.Expect(b.failed[false]).To(BeNumerically("<", 94), "of %d", sent)
	g.Expect(b.served[secondKind]).To(BeNumerically(">", sent*93/100))
}

// A failing server that the minimum keeps in rotation responds at once, so it always has a free slot. It
// must not attract the work for which the healthy servers have no free slot at the moment.
func TestFailingServersThatMustStayAttractNoWork(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(10, 6)
	random := rand.New(rand.NewPCG(3, 3))
	b.work[secondKind] = 400 * time.Millisecond
	bad := map[string]bool{"s00": true, "s01": true, "s02": true, "s03": true, "s04": true}
	b.resets = func(instance string, _ time.Time) bool { return bad[instance] }
	sent := 0
	// 60 requests/s of 0.4 s keep 24 of the 30 healthy slots busy.
	b.run(10*time.Second, func() {
		if random.Float64() < 60*scriptStep.Seconds() {
			sent++
			b.sendRequest(secondKind, priority.Normal, false, 1200*time.Millisecond, 2500*time.Millisecond, grant.First)
		}
	})
	g.Expect(b.failed[false]).To(BeNumerically("<", sent/10), "of %d", sent)
}

// When all servers reject about half of the arriving requests, pausing them would leave slots idle while
// work is queued.
func TestShedsOfAllServersLeaveNoSlotsIdle(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(14, 6)
	random := rand.New(rand.NewPCG(5, 5))
	b.work[secondKind] = 400 * time.Millisecond
	b.sheds = func(string) bool { return random.Float64() < 0.55 }
	sent := 0
	b.run(8*time.Second, func() {
		if random.Float64() < 75*scriptStep.Seconds() {
			sent++
			b.sendRequest(secondKind, priority.Normal, false, 1200*time.Millisecond, 2500*time.Millisecond, grant.First)
		}
	})
	// 45% are served at the first attempt, and the budget of 18% plus 18 in 10 s allows retries of some of
	// the rest.
	g.Expect(b.served[secondKind]).To(BeNumerically(">", sent*45/100), "of %d, refused %v", sent, b.refused)
	g.Expect(b.refused[problem.DeadlineUnmeetable]).To(BeZero())
}

// Short urgent work and long work share a service. By the latencies of the service as a whole, the short
// work would be refused although it could be served in time.
func TestShortWorkIsNotRefusedForTheLongOne(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(10, 6)
	random := rand.New(rand.NewPCG(9, 9))
	const short, long = 3, 4
	b.work[short], b.work[long] = 130*time.Millisecond, 1600*time.Millisecond
	b.run(20*time.Second, func() {
		if random.Float64() < 15*scriptStep.Seconds() {
			b.sendRequest(short, priority.Urgent, true, 500*time.Millisecond, time.Second, grant.First)
		}
		if random.Float64() < 45*scriptStep.Seconds() {
			b.sendRequest(long, priority.Background, true, 5*time.Second, 5*time.Second, grant.First)
		}
	})
	g.Expect(b.served[short]).To(BeNumerically(">", 270))
}

// Work that the queue cannot serve before its deadline must be refused on arrival, so that its caller can
// turn elsewhere, and must not be queued until the deadline is near.
func TestUnmeetableWorkIsRefusedOnArrival(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(10, 6)
	random := rand.New(rand.NewPCG(11, 11))
	b.work[secondKind] = 800 * time.Millisecond
	send := func(rate float64) func() {
		return func() {
			if random.Float64() < rate*scriptStep.Seconds() {
				b.sendRequest(secondKind, priority.Background, true, 4*time.Second, 5*time.Second, grant.First)
			}
		}
	}
	b.run(5*time.Second, send(40))
	b.run(10*time.Second, send(225))
	late := 0
	for kind, n := range b.refused {
		late += n
		g.Expect(kind).To(Equal(problem.DeadlineUnmeetable))
	}
	g.Expect(late).To(BeNumerically(">", 500))
	g.Expect(b.served[secondKind]).To(BeNumerically(">", 75*12*9/10), "the slots stay busy")
}

// Servers that operators remove must not keep the minimum high; otherwise nothing can be ejected after a
// release.
func TestPlannedLeavingDoesNotRaiseTheMinimum(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(20, 6)
	b.work[secondKind] = 100 * time.Millisecond
	for i := range 10 {
		b.servers[i].State = backend.Draining
	}
	b.machine.SetServers(b.now, b.servers)
	b.resets = func(instance string, _ time.Time) bool { return instance == "s15" }
	b.run(3*time.Second, func() {
		if b.now.UnixMilli()%10 == 0 {
			b.sendRequest(secondKind, priority.Normal, true, time.Second, 2*time.Second, grant.First)
		}
	})
	g.Expect(b.machine.Stats().Ejections + b.machine.Stats().Crashes).To(BeNumerically(">", 0))
	g.Expect(b.machine.Stats().EjectionsDenied).To(BeZero())
}

// A server that resets single requests has not crashed: its other requests continue. If the resets of two
// such servers were taken for crashes, a harmless request would count as poison and be refused for ten
// minutes.
func TestSingleResetsAreNoCrash(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(14, 6)
	random := rand.New(rand.NewPCG(13, 13))
	b.work[firstKind] = 440 * time.Millisecond
	bad := map[string]bool{"s01": true, "s04": true, "s07": true, "s09": true}
	b.resets = func(instance string, _ time.Time) bool { return bad[instance] && random.Float64() < 0.5 }
	b.run(10*time.Second, func() {
		if random.Float64() < 75*scriptStep.Seconds() {
			b.sendRequest(firstKind, priority.Normal, true, 1200*time.Millisecond, 2*time.Second, grant.First)
		}
	})
	g.Expect(b.machine.Stats().PoisonRequests).To(BeZero())
	g.Expect(b.refused[problem.PoisonRequest]).To(BeZero())
}

// Without events for the server that the dispatcher stops using, the log would not say why it gets no work.
func TestJudgementsAreTold(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(14, 6)
	b.work[secondKind] = 400 * time.Millisecond
	b.resets = func(instance string, _ time.Time) bool { return instance == "s03" }
	reported := map[string]bool{}
	b.run(6*time.Second, func() {
		if b.now.UnixMilli()%12 == 0 {
			b.sendRequest(secondKind, priority.Normal, true, 1200*time.Millisecond, 2500*time.Millisecond, grant.First)
		}
		for _, e := range b.machine.Events() {
			g.Expect(e.Instance).To(Equal("s03"))
			reported[e.Kind] = true
		}
	})
	g.Expect(reported).NotTo(BeEmpty())
}

// When most servers truncate 40% of their responses and the healthy ones cannot take all the work, the
// lossy ones must take the rest. If requests skipped them, slots would be idle while requests are refused.
func TestLossyServersServeWhatTheSoundOnesCannotTake(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(14, 3)
	random := rand.New(rand.NewPCG(17, 17))
	const urgent = 3
	b.work[firstKind], b.work[secondKind], b.work[urgent] = 300*time.Millisecond, 200*time.Millisecond, 60*time.Millisecond
	lossy := map[string]bool{}
	for _, s := range b.servers[:10] {
		lossy[s.Instance] = true
	}
	b.truncates = func(instance string) bool { return lossy[instance] && random.Float64() < 0.4 }
	sent := 0
	// 24/s of 0.3 s, 88/s of 0.2 s and 24/s of 60 ms keep 26 of the 42 slots busy.
	b.run(10*time.Second, func() {
		if random.Float64() < 24*scriptStep.Seconds() {
			sent++
			b.sendRequest(firstKind, priority.Normal, true, 1200*time.Millisecond, 2*time.Second, grant.First)
		}
		if random.Float64() < 88*scriptStep.Seconds() {
			sent++
			b.sendRequest(secondKind, priority.Normal, false, 600*time.Millisecond, 1500*time.Millisecond, grant.First)
		}
		if random.Float64() < 24*scriptStep.Seconds() {
			sent++
			b.sendRequest(urgent, priority.Urgent, true, 200*time.Millisecond, 500*time.Millisecond, grant.First)
		}
	})
	b.run(1500*time.Millisecond, func() {})
	// The healthy servers do 12 of the 26, and the lossy ones respond to 60% of the other 14.
	best := float64(sent) * (12 + 0.6*14) / 26
	served := b.served[firstKind] + b.served[secondKind] + b.served[urgent]
	g.Expect(served).To(BeNumerically(">", 0.9*best), "of %d, refused %v, failed %v", sent, b.refused, b.failed)
}

// A dispatcher that inspects all servers for each request needs several cores at 200 servers of which half
// fail; it loses its lease, and so does each successor.
func TestPlacementCostIsLinearInTheServers(t *testing.T) {
	g := NewWithT(t)
	cost := func(servers int) time.Duration {
		least := time.Hour
		for range 3 {
			b := newScriptedService(servers, 3)
			random := rand.New(rand.NewPCG(19, 19))
			b.work[firstKind], b.work[secondKind] = 460*time.Millisecond, 530*time.Millisecond
			b.resets = func(instance string, _ time.Time) bool {
				return instance < fmt.Sprintf("s%02d", servers/2) && random.Float64() < 0.8
			}
			began := time.Now()
			// The healthy half can do 2.9 requests a second for each server of the service.
			perStep := 5 * float64(servers) * scriptStep.Seconds()
			b.run(2*time.Second, func() {
				for n := perStep * random.ExpFloat64(); n > 1 || random.Float64() < n; n-- {
					b.sendRequest(uint32(1+b.nextID%2), priority.Normal, b.nextID%2 == 0, 1200*time.Millisecond, 2500*time.Millisecond, grant.First)
				}
			})
			least = min(least, time.Since(began)/time.Duration(b.nextID))
		}
		return least
	}
	few, many := cost(24), cost(144)
	// Linear growth is a factor of 6; the bound leaves room for noise.
	g.Expect(float64(many)/float64(few)).To(BeNumerically("<", 12), "%v a request at 24 servers, %v at 144", few, many)
}

// Old responses to another data centre must not make the failures of a server look like a bad path: the
// server would stay in rotation although no node of another data centre has used it since.
func TestOnlyLaterResponsesElsewhereShowABadPath(t *testing.T) {
	for name, c := range map[string]struct {
		responseAfter time.Duration
		state         string
	}{
		"response before the failures": {0, dispatch.ViewEjected},
		"response since the failures":  {20 * time.Millisecond, dispatch.ViewSuspect},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newScriptedService(4, 3)
			b.machine.Connect(b.now, "far", "b", 1, nil, nil)
			b.now = b.now.Add(dispatch.CollectionPeriod)
			b.machine.Tick(b.now)
			id := uint64(0)
			end := func(node string, result grant.Result) {
				id++
				b.machine.Acquire(b.now, node, dispatch.Request{
					ID: id, Priority: priority.Normal, Idempotent: true, Deadline: b.now.Add(time.Second), Exclude: []string{"s01", "s02", "s03"},
				})
				g.Expect(b.machine.TakeActions()).To(HaveLen(1))
				b.now = b.now.Add(5 * time.Millisecond)
				b.machine.Complete(b.now, node, id, grant.Completion{Result: result, FirstByte: 5 * time.Millisecond, Total: 5 * time.Millisecond})
			}
			if c.responseAfter == 0 {
				end("far", grant.OK)
			}
			b.now = b.now.Add(100 * time.Millisecond)
			end("n0", grant.Error)
			if c.responseAfter > 0 {
				b.now = b.now.Add(c.responseAfter)
				end("far", grant.OK)
			}
			b.now = b.now.Add(10 * time.Millisecond)
			end("n1", grant.Error)
			if c.responseAfter > 0 {
				end("n1", grant.Error)
			}
			g.Expect(b.machine.View(b.now).Servers[0].State).To(Equal(c.state))
		})
	}
}

// At low load, work must not go only to the servers that come first. Otherwise the state of the others
// stays unknown, and healthy servers are idle while requests at failing ones fail.
func TestIdleServersTakeTurns(t *testing.T) {
	g := NewWithT(t)
	b := newScriptedService(100, 3)
	random := rand.New(rand.NewPCG(23, 23))
	b.work[firstKind], b.work[secondKind] = 200*time.Millisecond, 200*time.Millisecond
	used := map[string]bool{}
	b.truncates = func(instance string) bool { used[instance] = true; return false }
	send := func() {
		if random.Float64() < 200*scriptStep.Seconds() {
			b.sendRequest(uint32(1+b.nextID%2), priority.Normal, b.nextID%2 == 0, time.Second, 2*time.Second, grant.First)
		}
	}
	b.run(4*time.Second, send)
	clear(used)
	b.run(2*time.Second, send)
	g.Expect(len(used)).To(BeNumerically(">=", 70), "of 100")
}
