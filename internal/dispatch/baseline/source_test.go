package baseline_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch/baseline"
	"github.com/tarragonmux/tarragonmux/internal/grant"
)

type registry []backend.Server

func (r registry) Servers(string) []backend.Server                { return r }
func (r registry) Announce(context.Context, backend.Server) error { return nil }
func (r registry) MarkDraining(string, string)                    {}

func servers(count int) registry {
	var list registry
	for i := range count {
		list = append(list, backend.Server{
			Service: "x", Instance: fmt.Sprint("s", i), State: backend.Ready, Slots: 4, Renewed: time.Now().Add(time.Hour),
		})
	}
	return list
}

func acquire(g *WithT, s *baseline.Source, purpose grant.Purpose, exclude ...string) grant.Grant {
	h, err := s.Acquire(context.Background(), grant.Request{
		Service: "x", Deadline: time.Now().Add(time.Second), Exclude: exclude, Purpose: purpose,
	})
	g.Expect(err).NotTo(HaveOccurred())
	return h
}

// A baseline that spreads requests badly would make the comparison with the dispatcher unfair.
func TestRequestsAreSpread(t *testing.T) {
	g := NewWithT(t)
	s := baseline.New(servers(8), baseline.OwnCounts{}, 1)
	counts := map[string]int{}
	for range 80 {
		counts[acquire(g, s, grant.First).Server().Instance]++
	}
	g.Expect(counts).To(HaveLen(8))
	for name, count := range counts {
		g.Expect(count).To(BeNumerically("~", 10, 4), name)
	}
}

// With shared counts a node must see the requests of the other nodes.
func TestSharedCountsShowOtherNodes(t *testing.T) {
	g := NewWithT(t)
	shared := baseline.NewSharedCounts(0)
	first, second := baseline.New(servers(2), shared, 1), baseline.New(servers(2), shared, 2)
	for range 20 {
		acquire(g, first, grant.First, "s1")
	}
	for range 10 {
		acquire(g, second, grant.First)
	}
	now := time.Now()
	g.Expect(shared.InFlight(now, "s0")).To(BeNumerically("<", 25))
	g.Expect(shared.InFlight(now, "s1")).To(BeNumerically(">", 5))
}

// A baseline without a working ejection would make the comparison unfair; one without a bound would eject
// all servers.
func TestFailingServersAreEjectedUpToHalf(t *testing.T) {
	g := NewWithT(t)
	s := baseline.New(servers(4), baseline.OwnCounts{}, 1)
	for range 200 {
		h := acquire(g, s, grant.First)
		h.Complete(grant.Completion{Result: grant.Error})
		h.Complete(grant.Completion{Result: grant.Error})
	}
	seen := map[string]int{}
	for range 50 {
		seen[acquire(g, s, grant.First).Server().Instance]++
	}
	g.Expect(seen).To(HaveLen(2))
}

// Unlimited retries of the baselines would distort the comparison under overload.
func TestRetriesAreLimited(t *testing.T) {
	g := NewWithT(t)
	s := baseline.New(servers(4), baseline.OwnCounts{}, 1)
	granted := 0
	for range 20 {
		if _, err := s.Acquire(context.Background(), grant.Request{Service: "x", Deadline: time.Now().Add(time.Second), Purpose: grant.Retry}); err == nil {
			granted++
		}
	}
	g.Expect(granted).To(BeNumerically("<=", 4))
}
