package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// exchangeEvery is the time between two exchanges. A renewal reaches 48 nodes in about a
	// second, which leaves a margin to the cut-off of 2.5 s.
	exchangeEvery = 100 * time.Millisecond
	// seedEvery is the time between two attempts to reach hosts that are not members.
	seedEvery = time.Second
	// maxExchanges bounds the exchanges under way at once.
	maxExchanges = 16
	// maxChain bounds the requests of one exchange.
	maxChain = 8
	// helperCount is how many members probe indirectly.
	helperCount = 3
	// indirectTimeout bounds the probe that a helper makes.
	indirectTimeout = 350 * time.Millisecond
	// forwardAttempts is how many members of a host set are tried with an announcement.
	forwardAttempts = 3
	// leaveCallsAtOnce bounds the calls under way at once that tell members of the departure.
	leaveCallsAtOnce = 16
)

// PeerClient sends messages to other processes. Tests replace it to delay and cut messages.
type PeerClient interface {
	Gossip(ctx context.Context, address string, r *fleetpb.GossipRequest) (*fleetpb.GossipReply, error)
	Probe(ctx context.Context, address string, r *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error)
}

type poolClient struct {
	pool *transport.Pool
}

// NewPeerClient returns a caller that uses the pool.
func NewPeerClient(pool *transport.Pool) PeerClient {
	return poolClient{pool}
}

func (c poolClient) client(ctx context.Context, address string) fleetpb.DRPCFleetClient {
	return fleetpb.NewDRPCFleetClient(c.pool.Conn(ctx, address))
}

func (c poolClient) Gossip(ctx context.Context, address string, r *fleetpb.GossipRequest) (*fleetpb.GossipReply, error) {
	return c.client(ctx, address).Gossip(ctx, r)
}

func (c poolClient) Probe(ctx context.Context, address string, r *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	return c.client(ctx, address).Probe(ctx, r)
}

// Options configure a Runner.
type Options struct {
	Identity Identity
	// Peers lists fleet addresses to join through.
	Peers []string
	// Discover lists further addresses to join through, which may change; nil means none.
	Discover   func() []string
	Source     hostset.Source
	PeerClient PeerClient
	Logger     *log.Logger
	// OnRevision is told when a peer has a newer configuration revision than this node; it must
	// not block and may be called often. It may be nil.
	OnRevision func(PeerRevision)
	// ServerCutoff is the age of the last renewal at which a backend server gets no new work; 0 means
	// the default of the backend package.
	ServerCutoff time.Duration
}

// Runner keeps a node's view of the fleet up to date. It implements backend.Registry and
// hostset.Health, and answers the Gossip and Probe calls of the fleet service. It is safe for
// concurrent use.
type Runner struct {
	o         Options
	exchanges chan struct{}

	mu    sync.Mutex
	state *State
}

var (
	_ backend.Registry = (*Runner)(nil)
	_ hostset.Health   = (*Runner)(nil)
)

// NewRunner returns a runner that knows only its own node. Run makes it exchange with others.
func NewRunner(o Options) *Runner {
	random := rand.New(rand.NewPCG(hostset.Score("membership", o.Identity.ID), o.Identity.Incarnation))
	return &Runner{
		o:         o,
		exchanges: make(chan struct{}, maxExchanges),
		state:     NewState(time.Now(), o.Identity, random),
	}
}

// Run exchanges with other members until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	nextSeed := time.Now()
	for {
		r.locked(func(s *State, now time.Time) { s.Tick(now) })
		r.startExchange(ctx, &running)
		if now := time.Now(); !now.Before(nextSeed) {
			nextSeed = now.Add(seedEvery)
			r.startSeed(ctx, &running)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Runner) locked(f func(s *State, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state, time.Now())
}

func (r *Runner) startExchange(ctx context.Context, running *sync.WaitGroup) {
	var target Target
	var ok bool
	r.locked(func(s *State, _ time.Time) { target, ok = s.NextTarget() })
	if ok {
		r.start(running, func() { r.check(ctx, target) })
	}
}

// start runs f unless too many exchanges are under way.
func (r *Runner) start(running *sync.WaitGroup, f func()) {
	select {
	case r.exchanges <- struct{}{}:
	default:
		return
	}
	running.Go(func() {
		defer func() { <-r.exchanges }()
		f()
	})
}

// check exchanges with a member and, if that fails, asks helpers whether they reach it.
func (r *Runner) check(ctx context.Context, t Target) {
	began := time.Now()
	if r.exchange(ctx, t.ID, t.Address) || ctx.Err() != nil {
		return
	}
	if r.reachedByHelpers(ctx, t) || ctx.Err() != nil {
		return
	}
	// A process that was frozen meanwhile has not given the member its time.
	if time.Since(began) > 3*ProbeTimeout {
		return
	}
	r.locked(func(s *State, now time.Time) { s.ProbeFailed(now, began, t) })
}

// exchange runs one exchange and tells whether the member with the id answered. An empty id
// stands for whoever answers at the address.
func (r *Runner) exchange(ctx context.Context, id, address string) bool {
	var request *fleetpb.GossipRequest
	r.locked(func(s *State, now time.Time) { request = s.Request(now, id) })
	for i := 0; request != nil && i < maxChain; i++ {
		reply, sent, err := r.call(ctx, address, request)
		if err != nil {
			r.o.Logger.Debug("exchange failed", "member", id, "address", address, "err", logging.Err(err))
			return i > 0
		}
		if id != "" && reply.GetFrom().GetId() != id {
			return false
		}
		follow := r.handleReply(sent, reply)
		if repeats(follow, request) {
			return true
		}
		request = follow
	}
	return true
}

// repeats tells whether a follow-up asks for the same entries again. They were refused, such as the
// word of one data centre that a node is dead.
func repeats(follow, former *fleetpb.GossipRequest) bool {
	return follow != nil && len(follow.GetNodes()) == 0 &&
		slices.Equal(follow.GetWantNodes(), former.GetWantNodes()) &&
		slices.Equal(follow.GetWantServers(), former.GetWantServers())
}

func (r *Runner) call(ctx context.Context, address string, request *fleetpb.GossipRequest) (*fleetpb.GossipReply, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := r.o.PeerClient.Gossip(ctx, address, request)
	return reply, sent, err
}

func (r *Runner) handleReply(sent time.Time, reply *fleetpb.GossipReply) (follow *fleetpb.GossipRequest) {
	var out Outcome
	var err error
	r.locked(func(s *State, now time.Time) { out, err = s.HandleReply(now, sent, reply) })
	if err != nil {
		r.o.Logger.Warn("refused a reply", "member", reply.GetFrom().GetId(), "err", logging.Err(err))
		return nil
	}
	r.signal(out.NewerRevision)
	return out.FollowUp
}

func (r *Runner) signal(p *PeerRevision) {
	if p != nil && p.Address != "" && r.o.OnRevision != nil {
		r.o.OnRevision(*p)
	}
}

// reachedByHelpers asks members of other data centres to probe the target. Without any helper the
// direct probe decides.
func (r *Runner) reachedByHelpers(ctx context.Context, t Target) bool {
	var helpers []Target
	r.locked(func(s *State, _ time.Time) { helpers = s.ProbeHelpers(t, helperCount) })
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	answers := make(chan bool, len(helpers))
	request := &fleetpb.ProbeRequest{From: r.o.Identity.ID, Target: t.ID, TargetAddress: t.Address}
	for _, h := range helpers {
		go func() {
			reply, err := r.o.PeerClient.Probe(ctx, h.Address, request)
			answers <- err == nil && reply.GetOk()
		}()
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// startSeed tries one host that is not a living member, so that a fleet that was split joins again.
func (r *Runner) startSeed(ctx context.Context, running *sync.WaitGroup) {
	candidates := r.seeds()
	if len(candidates) > 0 {
		address := candidates[rand.IntN(len(candidates))]
		r.start(running, func() { r.exchange(ctx, "", address) })
	}
}

func (r *Runner) seeds() []string {
	addresses := slices.Clone(r.o.Peers)
	if r.o.Discover != nil {
		addresses = append(addresses, r.o.Discover()...)
	}
	if fleet := r.o.Source.Fleet(); fleet != nil {
		for _, h := range fleet.Hosts {
			addresses = append(addresses, h.FleetAddress)
		}
	}
	skip := map[string]bool{r.o.Identity.FleetAddress: true, "": true}
	for _, m := range r.Members() {
		if m.State == fleetpb.NodeState_NODE_STATE_DEAD {
			addresses = append(addresses, m.FleetAddress)
		} else {
			skip[m.FleetAddress] = true
		}
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return skip[a] })
}

// Leave marks this node as leaving and tells every member directly. It returns when all were
// told or the context ends.
func (r *Runner) Leave(ctx context.Context) {
	var message *fleetpb.GossipRequest
	r.locked(func(s *State, now time.Time) {
		s.Leave(now)
		message = s.LeaveMessage(now)
	})
	var group errgroup.Group
	group.SetLimit(leaveCallsAtOnce)
	for _, m := range r.Members() {
		if m.ID == r.o.Identity.ID || m.State == fleetpb.NodeState_NODE_STATE_DEAD {
			continue
		}
		group.Go(func() error {
			// A member that cannot be told now learns it from the others.
			_, _, _ = r.call(ctx, m.FleetAddress, message)
			return nil
		})
	}
	_ = group.Wait()
}
