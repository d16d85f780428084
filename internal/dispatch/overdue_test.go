package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// steadyService is a machine whose servers respond to requests of one node and kind.
type steadyService struct {
	*dispatch.Machine
	now    time.Time
	nextID uint64
}

// newSteadyService returns a service that has responded to requests within 100 ms for some seconds.
func newSteadyService() *steadyService {
	now := time.Unix(1000, 0)
	var servers []backend.Server
	for _, name := range []string{"a", "b", "c", "d"} {
		servers = append(servers, backend.Server{Instance: name, State: backend.Ready, Slots: 2, Renewed: now, Cutoff: time.Hour})
	}
	s := &steadyService{Machine: dispatch.New(now, dispatch.Config{Service: "x", MinimumHealthyPercent: 50, RetryShare: 0.2, RetryFloor: 30}), now: now}
	s.SetServers(now, servers)
	s.Connect(now, "n", "dc", 1, nil, nil)
	s.pass(dispatch.CollectionPeriod)
	for range 100 {
		s.run(100 * time.Millisecond)
	}
	return s
}

// pass advances the time in ticks, with a heartbeat of the node before each. It returns the ids of the
// requests that the node is advised to retry.
func (s *steadyService) pass(d time.Duration) (advised []uint64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(dispatch.TickInterval)
		s.RecordContact(s.now, "n", 1<<40)
		s.Tick(s.now)
		for _, a := range s.TakeActions() {
			if a.Kind == dispatch.Advised {
				advised = append(advised, a.ID)
			}
		}
	}
	return advised
}

func (s *steadyService) acquire(change func(*dispatch.Request)) uint64 {
	s.nextID++
	r := dispatch.Request{ID: s.nextID, Kind: 1, Deadline: s.now.Add(2 * time.Second), Idempotent: true}
	if change != nil {
		change(&r)
	}
	s.Acquire(s.now, "n", r)
	return s.nextID
}

// run passes one request through the service.
func (s *steadyService) run(d time.Duration) {
	id := s.acquire(nil)
	s.pass(d)
	s.FirstByte(s.now, "n", id)
	s.Complete(s.now, "n", id, grant.Completion{Result: grant.OK, FirstByte: d, Total: d})
}

// A server with few slots may hang on one request at a time, which is too little evidence to eject it. The
// request must not wait for its deadline.
func TestSingleRequestThatHangsIsRetried(t *testing.T) {
	g := NewWithT(t)
	s := newSteadyService()
	id := s.acquire(nil)
	g.Expect(s.pass(150*time.Millisecond)).To(BeEmpty(), "responses usually take 100 ms")
	g.Expect(s.pass(850 * time.Millisecond)).To(Equal([]uint64{id}))
}

// While several servers hang, some responses arrive just before the deadlines. They must not raise the time
// after which further requests that hang are retried.
func TestSlowResponsesDoNotPostponeRetries(t *testing.T) {
	g := NewWithT(t)
	s := newSteadyService()
	for i := range 80 {
		d := 100 * time.Millisecond
		if i%6 == 0 {
			d = 900 * time.Millisecond
		}
		s.run(d)
	}
	id := s.acquire(nil)
	g.Expect(s.pass(150 * time.Millisecond)).To(BeEmpty())
	g.Expect(s.pass(850 * time.Millisecond)).To(Equal([]uint64{id}))
}

// Work that must not repeat has no second attempt, and the budget belongs to requests that have failed.
func TestOverdueRequestsAreNotAlwaysRetried(t *testing.T) {
	g := NewWithT(t)
	s := newSteadyService()
	s.acquire(func(r *dispatch.Request) { r.Idempotent, r.Keyless = false, true })
	g.Expect(s.pass(time.Second)).To(BeEmpty(), "not idempotent")

	s = newSteadyService()
	for range 30 {
		id := s.acquire(func(r *dispatch.Request) { r.Purpose = grant.Retry })
		s.Complete(s.now, "n", id, grant.Completion{Result: grant.OK, FirstByte: time.Millisecond, Total: time.Millisecond})
	}
	s.acquire(nil)
	g.Expect(s.pass(time.Second)).To(BeEmpty(), "more than half of the retry budget is used")
}

// Work without a claim is sent at once. If the time that a claim may take were subtracted from its age, its
// server would be suspected a quarter of a second late and get more work meanwhile.
func TestWorkWithoutClaimIsOverdueInTime(t *testing.T) {
	g := NewWithT(t)
	for _, keyless := range []bool{true, false} {
		s := newSteadyService()
		s.acquire(func(r *dispatch.Request) { r.Idempotent, r.Keyless = false, keyless })
		s.pass(400 * time.Millisecond)
		suspects := 0
		for _, server := range s.View(s.now).Servers {
			if server.State == dispatch.ViewSuspect {
				suspects++
			}
		}
		g.Expect(suspects == 1).To(Equal(keyless))
	}
}
