package baseline

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/dispatch/retrybudget"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// HedgeDelay is the fixed delay before a hedge.
const HedgeDelay = 100 * time.Millisecond

// Source selects servers on one node.
type Source struct {
	registry backend.Registry

	mu       sync.Mutex
	random   *rand.Rand
	counts   Counts
	outliers outlierDetector
	// retries limits the retries and hedges of this node as the dispatcher does for the fleet.
	retries retrybudget.Budget
}

var _ grant.Source = (*Source)(nil)

// New returns a source that uses the given counts: OwnCounts for the node's own view, or the one
// SharedCounts of all nodes. The seed makes the selection repeatable.
func New(registry backend.Registry, counts Counts, seed uint64) *Source {
	return &Source{
		registry: registry,
		random:   rand.New(rand.NewPCG(seed, seed)),
		counts:   counts,
		outliers: outlierDetector{records: map[string]*outlierRecord{}},
	}
}

// Acquire selects a server at once.
func (s *Source) Acquire(_ context.Context, r grant.Request) (grant.Grant, error) {
	return s.acquire(time.Now(), r)
}

func (s *Source) acquire(now time.Time, r grant.Request) (grant.Grant, error) {
	if !now.Before(r.Deadline) {
		return nil, problem.New(problem.DeadlinePassed, problem.NotRun, "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	extra := r.Purpose != grant.First
	if extra && !s.retries.Allows(now) {
		return nil, problem.New(problem.NoCapacity, problem.NotRun, "")
	}
	servers := s.registry.Servers(r.Service)
	chosen, ok := s.selectServer(now, servers, r.Exclude)
	if !ok {
		return nil, problem.New(problem.NoCapacity, problem.NotRun, "").After(time.Second)
	}
	s.retries.Spend(now, extra)
	s.counts.Add(now, chosen.Instance, 1)
	return &heldGrant{
		source: s, total: len(servers), expires: now.Add(dispatch.GrantExpiry),
		server: grant.Server{
			Service: r.Service, Instance: chosen.Instance, Address: chosen.Address, DataCentre: chosen.DataCentre,
		},
	}, nil
}

// selectServer returns the less loaded of two random usable servers.
func (s *Source) selectServer(now time.Time, servers []backend.Server, exclude []string) (best backend.Server, ok bool) {
	usable := make([]backend.Server, 0, len(servers))
	for _, x := range servers {
		if x.Usable(now) && !s.outliers.ejected(now, x.Instance) && !slices.Contains(exclude, x.Instance) {
			usable = append(usable, x)
		}
	}
	if len(usable) == 0 {
		return best, false
	}
	first := usable[s.random.IntN(len(usable))]
	second := usable[s.random.IntN(len(usable))]
	if s.counts.InFlight(now, second.Instance) < s.counts.InFlight(now, first.Instance) {
		return second, true
	}
	return first, true
}

// HedgeDelay returns a fixed delay.
func (s *Source) HedgeDelay(string) time.Duration { return HedgeDelay }

func (s *Source) complete(now time.Time, h *heldGrant, c grant.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Add(now, h.server.Instance, -1)
	s.outliers.recordCompletion(now, h.server.Instance, c.Result, h.total)
	if c.Draining {
		s.registry.MarkDraining(h.server.Service, h.server.Instance)
	}
}

// heldGrant is a grant of a Source.
type heldGrant struct {
	source  *Source
	server  grant.Server
	expires time.Time
	total   int
	once    sync.Once
}

func (h *heldGrant) Server() grant.Server { return h.server }

func (h *heldGrant) Expires() time.Time { return h.expires }

func (h *heldGrant) FirstByte() {}

// Signals implements grant.Grant.
func (h *heldGrant) Signals(grant.ServerSignals) {}

// Advised returns a channel that is never closed: a node does not learn what other nodes see.
func (h *heldGrant) Advised() <-chan struct{} { return nil }

func (h *heldGrant) Complete(c grant.Completion) {
	h.once.Do(func() { h.source.complete(time.Now(), h, c) })
}
