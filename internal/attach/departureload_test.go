package attach_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// departureBound is the platform's bound on the time from the first announcement of a departure to its
	// confirmation.
	departureBound = 4 * time.Second
	// responseWait is how long a backend server waits for a response before it asks another control host.
	responseWait = time.Second
	// linkDelay is the time of a message between control hosts.
	linkDelay = time.Millisecond
)

// busyGroup is a control group whose hosts need processor time for each call and handle one at a time. It is the
// fleet of its hosts, as hostset.Source.
type busyGroup struct {
	fleet   *hostset.Fleet
	servers []*attach.Server
	// callCost is the processor time of a call at its receiver.
	callCost time.Duration

	mu sync.Mutex
	// freeAt is when the processor of each host has handled all calls so far.
	freeAt map[string]time.Time
	calls  int
	// marks counts the calls that tell a host of departures.
	marks int
}

func (b *busyGroup) Fleet() *hostset.Fleet { return b.fleet }

// stall keeps the processors of all hosts busy for a while.
func (b *busyGroup) stall(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.fleet.Hosts {
		b.freeAt[h.FleetAddress] = time.Now().Add(d)
	}
}

// handle waits until the host has handled one more call, with further entries that cost a tenth of a call each. The host
// handles it even if the caller gives up.
func (b *busyGroup) handle(ctx context.Context, address string, further int, work func(*attach.Server)) error {
	time.Sleep(linkDelay)
	b.mu.Lock()
	b.calls++
	if now := time.Now(); b.freeAt[address].Before(now) {
		b.freeAt[address] = now
	}
	b.freeAt[address] = b.freeAt[address].Add(b.callCost + time.Duration(further)*b.callCost/10)
	done := time.Until(b.freeAt[address])
	b.mu.Unlock()
	handled := make(chan struct{})
	time.AfterFunc(done, func() {
		work(b.servers[slices.IndexFunc(b.fleet.Hosts, func(h hostset.Host) bool { return h.FleetAddress == address })])
		close(handled)
	})
	select {
	case <-handled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *busyGroup) Mark(ctx context.Context, address string, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	b.mu.Lock()
	b.marks++
	b.mu.Unlock()
	var reply *fleetpb.MarkReply
	err := b.handle(ctx, address, len(r.GetFurther()), func(s *attach.Server) { reply, _ = s.Mark(context.Background(), r) })
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func (b *busyGroup) ListDepartures(ctx context.Context, address string, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	var reply *fleetpb.Departures
	err := b.handle(ctx, address, 0, func(s *attach.Server) { reply, _ = s.ListDepartures(context.Background(), r) })
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// startBusyGroup starts a control group of the given size, of which the first host dispatches.
func startBusyGroup(ctx context.Context, running *sync.WaitGroup, hosts int, callCost time.Duration) *busyGroup {
	b := &busyGroup{fleet: &hostset.Fleet{Services: []hostset.Service{{Name: "cuefeed"}}}, callCost: callCost, freeAt: map[string]time.Time{}}
	for i := range hosts {
		b.fleet.Hosts = append(b.fleet.Hosts, hostset.Host{ID: fmt.Sprintf("c%02d", i), FleetAddress: fmt.Sprintf("c%02d:1", i)})
	}
	first := b.fleet.Hosts[0]
	for i, h := range b.fleet.Hosts {
		b.servers = append(b.servers, startServer(attach.ServerOptions{
			ID: h.ID, Address: h.FleetAddress, Registry: &registry{servers: map[string]backend.Server{}}, Source: b, Peers: b,
			Elections:   elections{leadership.Holder{Node: first.ID, Address: first.FleetAddress, Term: 3}},
			Incarnation: uint64(10 + i), Revision: func() uint64 { return 9 }, Logger: logging.Discard(),
		}))
	}
	for _, s := range b.servers {
		running.Go(func() { _ = s.Run(ctx) })
	}
	return b
}

// depart announces the departure of a backend server to control hosts at random until one confirms it, and returns how
// long that took.
func (b *busyGroup) depart(random *rand.Rand, instance string) time.Duration {
	started := time.Now()
	leaving := backend.Server{Service: "cuefeed", Instance: instance, Incarnation: 5, Address: "10.0.0.1:80", DataCentre: "a", State: backend.Draining}
	for time.Since(started) < 2*departureBound {
		ctx, cancel := context.WithTimeout(context.Background(), responseWait)
		err := b.servers[random.IntN(len(b.servers))].Announce(ctx, leaving)
		cancel()
		if err == nil {
			break
		}
	}
	return time.Since(started)
}

// When many servers left together while control hosts were busy, no departure was confirmed: each one cost a call to
// every control host, calls that took too long were made again, and each server that got no response began anew at
// another control host.
func TestManyDeparturesAreConfirmedByBusyControlHosts(t *testing.T) {
	for _, c := range []struct {
		name     string
		callCost time.Duration
		leaving  int
		stall    time.Duration
	}{
		{"idle hosts", 100 * time.Microsecond, 270, 0},
		{"busy hosts", 3 * time.Millisecond, 270, 0},
		{"busy hosts after a stall", 3 * time.Millisecond, 60, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				var running, leaving sync.WaitGroup
				defer running.Wait()
				defer cancel()
				b := startBusyGroup(ctx, &running, 19, c.callCost)
				time.Sleep(5 * time.Second)
				b.mu.Lock()
				before := b.calls
				b.mu.Unlock()
				b.stall(c.stall)
				took := make([]time.Duration, c.leaving)
				for i := range took {
					random := rand.New(rand.NewPCG(32, uint64(i)))
					leaving.Go(func() { took[i] = b.depart(random, fmt.Sprint("i-", i)) })
				}
				leaving.Wait()
				slices.Sort(took)
				b.mu.Lock()
				t.Logf("%d calls, confirmed after %v in the median, %v at the most", b.calls-before, took[len(took)/2], took[len(took)-1])
				b.mu.Unlock()
				// Calls in progress end.
				time.Sleep(departureBound)
				NewWithT(t).Expect(took[len(took)-1]).To(BeNumerically("<", departureBound))
			})
		})
	}
}

// A draining server repeats its announcement until it ends, each time at another control host. If each of them told all
// others again, a release would cost control hosts more than anything else.
func TestRepeatedDeparturesNeedFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		b := startBusyGroup(ctx, &running, 19, time.Millisecond)
		time.Sleep(5 * time.Second)
		const leaving = 20
		random := rand.New(rand.NewPCG(32, 0))
		for i := range leaving {
			b.depart(random, fmt.Sprint("i-", i))
		}
		time.Sleep(time.Second)
		b.mu.Lock()
		b.marks = 0
		b.mu.Unlock()
		announcements := 0
		for range 4 {
			for i := range leaving {
				g.Expect(b.depart(random, fmt.Sprint("i-", i))).To(BeNumerically("<", time.Second))
				announcements++
			}
			time.Sleep(1500 * time.Millisecond)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		t.Logf("%d announcements, %d calls", announcements, b.marks)
		g.Expect(b.marks).To(BeNumerically("<=", announcements), "the dispatcher may have to be told")
	})
}

// formerPeers responds as a control host that knows only the first mark of a request.
type formerPeers struct {
	fakePeers
	marked map[string]bool
}

func (f *formerPeers) Mark(_ context.Context, _ string, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marked[r.GetInstance()] = true
	return &fleetpb.MarkReply{}, nil
}

// During an upgrade, a departure must not count as confirmed by a host that has not read it.
func TestFormerVersionsConfirmTheFirstMarkOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peers := &formerPeers{marked: map[string]bool{}}
		s := startServer(attach.ServerOptions{
			ID: "a", Address: "a:1", Registry: &registry{servers: map[string]backend.Server{}}, Source: source{}, Peers: peers,
			Elections: elections{leadership.Holder{Node: "b", Address: "b:1", Term: 3}}, Revision: func() uint64 { return 9 }, Logger: logging.Discard(),
		})
		var leaving sync.WaitGroup
		for i := range 20 {
			leaving.Go(func() {
				instance := fmt.Sprint("i-", i)
				g.Expect(s.RecordDeparture(context.Background(), backend.Departure{Instance: instance, Incarnation: 5, State: backend.Draining})).To(Succeed())
				peers.mu.Lock()
				defer peers.mu.Unlock()
				g.Expect(peers.marked[instance]).To(BeTrue())
			})
		}
		leaving.Wait()
	})
}
