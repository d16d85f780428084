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
	// exchangeInterval is the time between two exchanges. At this rate a renewal reaches 48 nodes in
	// about a second, which leaves a margin to the cut-off of 2.5 s.
	exchangeInterval = 100 * time.Millisecond
	// seedInterval is the time between two attempts to reach a host that is not a live member.
	seedInterval = time.Second
	// maxConcurrentExchanges bounds the exchanges in progress.
	maxConcurrentExchanges = 16
	// maxRequestsPerExchange bounds the first request of an exchange and its follow-ups.
	maxRequestsPerExchange = 8
	// helperCount is the number of members that are asked to probe an unresponsive member.
	helperCount = 3
	// indirectTimeout bounds the probe that a helper sends to the target. It is shorter than
	// ProbeTimeout, so that the helper's reply still arrives in time.
	indirectTimeout = 350 * time.Millisecond
	// forwardAttempts is how many members of a host set are tried with one announcement.
	forwardAttempts = 3
	// maxConcurrentLeaveCalls bounds the concurrent calls that notify members of the departure.
	maxConcurrentLeaveCalls = 16
)

// PeerClient sends messages to other nodes. Tests replace it to delay and drop messages.
type PeerClient interface {
	Gossip(ctx context.Context, address string, r *fleetpb.GossipRequest) (*fleetpb.GossipReply, error)
	Probe(ctx context.Context, address string, r *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error)
}

type poolClient struct {
	pool *transport.Pool
}

// NewPeerClient returns a client that uses the connections of the pool.
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
	// Peers lists fleet addresses through which to join the fleet.
	Peers []string
	// Discover returns further addresses through which to join; they may change. It may be nil.
	Discover   func() []string
	Source     hostset.Source
	PeerClient PeerClient
	Logger     *log.Logger
	// OnRevision is called when a peer has a newer configuration revision than this node. It must not
	// block and may be called often. It may be nil.
	OnRevision func(PeerRevision)
	// ServerCutoff is the age of the last renewal from which a backend server gets no new work; 0 means
	// the default of the backend package.
	ServerCutoff time.Duration
}

// Runner keeps a node's view of the fleet up to date. It implements backend.Registry and
// hostset.Health, and serves the Gossip and Probe calls of the fleet service. It is safe for concurrent
// use.
type Runner struct {
	opts          Options
	exchangeSlots chan struct{}

	mu    sync.Mutex
	state *State
}

var (
	_ backend.Registry = (*Runner)(nil)
	_ hostset.Health   = (*Runner)(nil)
)

// NewRunner returns a runner that knows only its own node. Run starts the exchanges with others.
func NewRunner(o Options) *Runner {
	random := rand.New(rand.NewPCG(hostset.Score("membership", o.Identity.ID), o.Identity.Incarnation))
	return &Runner{
		opts:          o,
		exchangeSlots: make(chan struct{}, maxConcurrentExchanges),
		state:         NewState(time.Now(), o.Identity, random),
	}
}

// Run exchanges with other members until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	nextSeed := time.Now()
	for {
		r.withState(func(s *State, now time.Time) { s.Tick(now) })
		r.startExchange(ctx, &running)
		if now := time.Now(); !now.Before(nextSeed) {
			nextSeed = now.Add(seedInterval)
			r.startSeedExchange(ctx, &running)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Runner) withState(f func(s *State, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state, time.Now())
}

func (r *Runner) startExchange(ctx context.Context, running *sync.WaitGroup) {
	var target Target
	var ok bool
	r.withState(func(s *State, _ time.Time) { target, ok = s.NextTarget() })
	if ok {
		r.tryStart(running, func() { r.probeMember(ctx, target) })
	}
}

// tryStart runs f in a goroutine, or drops it if maxConcurrentExchanges are in progress.
func (r *Runner) tryStart(running *sync.WaitGroup, f func()) {
	select {
	case r.exchangeSlots <- struct{}{}:
	default:
		return
	}
	running.Go(func() {
		defer func() { <-r.exchangeSlots }()
		f()
	})
}

// probeMember runs an exchange with a member and, if that fails, asks helpers to probe it.
func (r *Runner) probeMember(ctx context.Context, t Target) {
	began := time.Now()
	if r.exchange(ctx, t.ID, t.Address) || ctx.Err() != nil {
		return
	}
	if r.reachedByHelpers(ctx, t) || ctx.Err() != nil {
		return
	}
	// A failed probe proves nothing if this process was suspended meanwhile.
	if time.Since(began) > 3*ProbeTimeout {
		return
	}
	r.withState(func(s *State, now time.Time) { s.ProbeFailed(now, began, t) })
}

// exchange runs one exchange and reports whether the member with the id responded. With an empty id,
// any node that responds at the address counts.
func (r *Runner) exchange(ctx context.Context, id, address string) bool {
	var request *fleetpb.GossipRequest
	r.withState(func(s *State, now time.Time) { request = s.Request(now, id) })
	for i := 0; request != nil && i < maxRequestsPerExchange; i++ {
		reply, sent, err := r.sendGossip(ctx, address, request)
		if err != nil {
			r.opts.Logger.Debug("gossip exchange failed", "member", id, "address", address, "err", logging.Err(err))
			return i > 0
		}
		if id != "" && reply.GetFrom().GetId() != id {
			return false
		}
		followUp := r.handleReply(sent, reply)
		if requestsSameEntries(followUp, request) {
			return true
		}
		request = followUp
	}
	return true
}

// requestsSameEntries reports whether a follow-up asks for the entries that were just requested. This
// happens if this node did not accept them, such as an entry in which a single data centre declares a
// node dead.
func requestsSameEntries(followUp, previous *fleetpb.GossipRequest) bool {
	return followUp != nil && len(followUp.GetNodes()) == 0 &&
		slices.Equal(followUp.GetWantNodes(), previous.GetWantNodes()) &&
		slices.Equal(followUp.GetWantServers(), previous.GetWantServers())
}

func (r *Runner) sendGossip(ctx context.Context, address string, request *fleetpb.GossipRequest) (*fleetpb.GossipReply, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := r.opts.PeerClient.Gossip(ctx, address, request)
	return reply, sent, err
}

func (r *Runner) handleReply(sent time.Time, reply *fleetpb.GossipReply) (followUp *fleetpb.GossipRequest) {
	var out Outcome
	var err error
	r.withState(func(s *State, now time.Time) { out, err = s.HandleReply(now, sent, reply) })
	if err != nil {
		r.opts.Logger.Warn("rejected a gossip reply", "member", reply.GetFrom().GetId(), "err", logging.Err(err))
		return nil
	}
	if out.Skipped != nil {
		r.opts.Logger.Warn("skipped a malformed entry of a backend server", "member", reply.GetFrom().GetId(), "err", logging.Err(out.Skipped))
	}
	r.notifyRevision(out.NewerRevision)
	return out.FollowUp
}

func (r *Runner) notifyRevision(p *PeerRevision) {
	if p != nil && p.Address != "" && r.opts.OnRevision != nil {
		r.opts.OnRevision(*p)
	}
}

// reachedByHelpers asks other members to probe the target and reports whether one of them reached it.
// Without any helper, it returns false, so that the failed direct probe alone decides.
func (r *Runner) reachedByHelpers(ctx context.Context, t Target) bool {
	var helpers []Target
	r.withState(func(s *State, _ time.Time) { helpers = s.ProbeHelpers(t, helperCount) })
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	responses := make(chan bool, len(helpers))
	request := &fleetpb.ProbeRequest{From: r.opts.Identity.ID, Target: t.ID, TargetAddress: t.Address}
	for _, h := range helpers {
		go func() {
			reply, err := r.opts.PeerClient.Probe(ctx, h.Address, request)
			responses <- err == nil && reply.GetOk()
		}()
	}
	for range helpers {
		if <-responses {
			return true
		}
	}
	return false
}

// startSeedExchange starts an exchange with one host that is not a live member, so that the parts of a
// split fleet join again.
func (r *Runner) startSeedExchange(ctx context.Context, running *sync.WaitGroup) {
	candidates := r.seedAddresses()
	if len(candidates) > 0 {
		address := candidates[rand.IntN(len(candidates))]
		r.tryStart(running, func() { r.exchange(ctx, "", address) })
	}
}

func (r *Runner) seedAddresses() []string {
	addresses := slices.Clone(r.opts.Peers)
	if r.opts.Discover != nil {
		addresses = append(addresses, r.opts.Discover()...)
	}
	if fleet := r.opts.Source.Fleet(); fleet != nil {
		for _, h := range fleet.Hosts {
			addresses = append(addresses, h.FleetAddress)
		}
	}
	skip := map[string]bool{r.opts.Identity.FleetAddress: true, "": true}
	for _, m := range r.Members() {
		if m.State == fleetpb.NodeState_NODE_STATE_DEAD {
			addresses = append(addresses, m.FleetAddress)
		} else {
			skip[m.FleetAddress] = true
		}
	}
	return slices.DeleteFunc(addresses, func(a string) bool { return skip[a] })
}

// Leave marks this node as leaving and notifies every member directly. It returns when all calls have
// ended or the context is cancelled.
func (r *Runner) Leave(ctx context.Context) {
	var message *fleetpb.GossipRequest
	r.withState(func(s *State, now time.Time) {
		s.Leave(now)
		message = s.LeaveMessage(now)
	})
	var group errgroup.Group
	group.SetLimit(maxConcurrentLeaveCalls)
	for _, m := range r.Members() {
		if m.ID == r.opts.Identity.ID || m.State == fleetpb.NodeState_NODE_STATE_DEAD {
			continue
		}
		group.Go(func() error {
			// A member that cannot be notified now learns it by gossip.
			_, _, _ = r.sendGossip(ctx, m.FleetAddress, message)
			return nil
		})
	}
	_ = group.Wait()
}
