package election

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// tickInterval is the interval at which due messages are checked for.
	tickInterval = 20 * time.Millisecond
	// callTimeout is the timeout of a call to another node.
	callTimeout = 300 * time.Millisecond
	// pollIntervalKnown and pollIntervalUnknown are the intervals between holder queries while a voter
	// names a dispatcher, and while none does.
	pollIntervalKnown   = time.Second
	pollIntervalUnknown = 200 * time.Millisecond
	// pollIntervalConnected is the time from a response of the dispatcher on its stream to the next holder
	// query. It exceeds the interval between two responses on an idle stream.
	pollIntervalConnected = 2 * time.Second
	// dispatcherExpiry is the time for which a report of a dispatcher is used.
	dispatcherExpiry = 3 * time.Second
	// sparesInterval is how often the spares are read.
	sparesInterval = 500 * time.Millisecond
	// maxPreferred is how many spares are preferred as dispatchers of a service. Each queries a voter whenever the
	// vote that was reported last would have ended, so that one of them campaigns before the first voter does.
	maxPreferred = 4
	// maxInFlightCalls is the maximum number of calls in flight.
	maxInFlightCalls = 256
)

// PeerClient sends election messages to other nodes. Tests replace it to delay and drop messages.
type PeerClient interface {
	Vote(ctx context.Context, address string, r *fleetpb.VoteRequest) (*fleetpb.VoteReply, error)
}

type poolClient struct {
	pool *transport.Pool
}

// NewPeerClient returns a PeerClient that uses the pool.
func NewPeerClient(pool *transport.Pool) PeerClient {
	return poolClient{pool}
}

func (c poolClient) Vote(ctx context.Context, address string, r *fleetpb.VoteRequest) (*fleetpb.VoteReply, error) {
	return fleetpb.NewDRPCFleetClient(c.pool.Conn(ctx, address)).Vote(ctx, r)
}

// Options configure a Runner.
type Options struct {
	// ID is this node's id.
	ID string
	// Incarnation is the start time of the process in milliseconds.
	Incarnation uint64
	Source      hostset.Source
	// FollowAllServices is set if this node learns the dispatchers of all services, including those whose
	// host set it is not in, since other nodes query it.
	FollowAllServices bool
	// Spares returns further nodes that may hold leases although they do not vote, such as control hosts outside
	// the control group. They campaign before the voters, which have other work. It may be nil.
	Spares     func() []hostset.Host
	PeerClient PeerClient
	Logger     *log.Logger
}

// Runner votes, campaigns and learns the dispatchers of all services. It implements leadership.Elections
// and serves the Vote RPC of the fleet service. It is safe for concurrent use.
type Runner struct {
	o Options
	// votesFrom is the time from which the voters of services that are new wait one VoteLease: the start of
	// the process for those of its first configuration, and the time of their configuration otherwise.
	votesFrom time.Time
	// callSlots limits the number of calls in flight.
	callSlots    chan struct{}
	callsRunning sync.WaitGroup

	mu        sync.Mutex
	fleet     *hostset.Fleet
	addresses map[string]string
	services  map[string]*serviceElection
	resigned  bool
	// spares are the nodes that Spares returned at sparesAt.
	spares   []hostset.Host
	sparesAt time.Time
}

// serviceElection is this node's state in the election of one service.
type serviceElection struct {
	service       string
	groups        VotingGroups
	isVoter       bool
	inHostSet     bool
	hostSet       []hostset.Host
	voter         *Voter
	candidate     *Candidate
	announcedTerm uint64
	lastReport    dispatcherReport
	// isPreferred is set if this node is among the preferred candidates.
	isPreferred bool
	// reportedFree is set if the last voter that was queried knew no holder.
	reportedFree bool
	nextPoll     time.Time
	// pollPosition, modulo the group size, is the index of the next voter to query; 0 before the first
	// query.
	pollPosition int
}

// dispatcherReport is the last report of a dispatcher that reached this node.
type dispatcherReport struct {
	node        string
	term        uint64
	confirmedAt time.Time
}

var (
	_ leadership.Elections = (*Runner)(nil)
	_ leadership.Observer  = (*Runner)(nil)
)

// NewRunner returns a runner. It must be called when the process starts, since the voters grant no votes
// for one VoteLease from then on. The runner campaigns and learns dispatchers while Run is active.
func NewRunner(o Options) *Runner {
	return &Runner{
		o:         o,
		votesFrom: time.Now(),
		callSlots: make(chan struct{}, maxInFlightCalls),
		addresses: map[string]string{},
		services:  map[string]*serviceElection{},
	}
}

// Run campaigns and learns the dispatchers until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.callsRunning.Wait()
	for {
		r.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshFleet(ctx)
	now := time.Now()
	r.refreshSpares(now)
	activeCount := 0
	for _, e := range r.services {
		activeCount += e.candidate.activeCount()
	}
	for _, e := range r.services {
		activeCount -= e.candidate.activeCount()
		e.candidate.activeElsewhere = activeCount
		r.sendRequests(ctx, e, e.candidate.Tick(now, uint64(max(now.UnixMilli(), 0)), e.busyFor(now, r.o.ID)))
		activeCount += e.candidate.activeCount()
		r.announceLease(ctx, e, now)
		r.pollVoter(ctx, e, now)
	}
}

// refreshFleet adopts a new configuration revision, if there is one. A service that is no longer configured
// is removed. Its lease is released, and this node's voter refuses renewals from then on.
//
// The work of a removed service may go on under other names, as when the number of shards changes. The voters
// of services that are new grant no vote for one lease, so that the leases of the former names have ended by
// then: any two majorities have a voter in common.
func (r *Runner) refreshFleet(ctx context.Context) {
	fleet := r.o.Source.Fleet()
	if fleet == nil || fleet == r.fleet {
		return
	}
	if r.fleet != nil {
		r.votesFrom = time.Now()
	}
	r.fleet = fleet
	for _, h := range slices.Concat(fleet.PreviousHosts, fleet.Hosts) {
		r.addresses[h.ID] = h.FleetAddress
	}
	for _, s := range fleet.Services {
		r.refreshService(s)
	}
	now := time.Now()
	for name, e := range r.services {
		if _, ok := fleet.Service(name); !ok {
			delete(r.services, name)
			r.sendRequests(ctx, e, e.candidate.Resign(now))
		}
	}
}

func (r *Runner) refreshService(s hostset.Service) {
	e, ok := r.services[s.Name]
	if !ok {
		e = &serviceElection{
			service:   s.Name,
			voter:     NewVoter(r.votesFrom),
			candidate: NewCandidate(s.Name, r.o.ID, r.o.Incarnation),
		}
		e.candidate.resigned = r.resigned
		r.services[s.Name] = e
	}
	current, previous := r.fleet.VotingGroups(s)
	e.groups = VotingGroups{Revision: r.fleet.HostsRevision, Current: hostIDs(current), Previous: hostIDs(previous)}
	e.isVoter = slices.Contains(e.groups.Voters(), r.o.ID)
	e.hostSet = r.fleet.HostSet(s)
	e.inHostSet = slices.Contains(hostIDs(e.hostSet), r.o.ID)
	e.voter.SetGroups(e.groups)
	e.candidate.SetGroups(e.groups)
	if r.o.Spares != nil {
		e.voter.AllowAnyCandidate()
		r.setPreferred(e)
	}
}

// refreshSpares updates the preferred candidates of each service.
func (r *Runner) refreshSpares(now time.Time) {
	if r.o.Spares == nil || now.Sub(r.sparesAt) < sparesInterval {
		return
	}
	r.sparesAt, r.spares = now, r.o.Spares()
	for _, h := range r.spares {
		r.addresses[h.ID] = h.FleetAddress
	}
	for _, e := range r.services {
		r.setPreferred(e)
	}
}

// setPreferred selects the preferred candidates of a service among the spares, by rendezvous hashing.
func (r *Runner) setPreferred(e *serviceElection) {
	ids := slices.DeleteFunc(hostIDs(r.spares), func(id string) bool { return slices.Contains(e.groups.Voters(), id) })
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(hostset.Score(e.service, b), hostset.Score(e.service, a)), cmp.Compare(a, b))
	})
	preferred := ids[:min(len(ids), maxPreferred)]
	e.candidate.SetPreferred(preferred)
	e.isPreferred = slices.Contains(preferred, r.o.ID)
}

// busyFor reports whether a campaign of this node could not succeed now: its voter is not free or, if it is no
// voter, the last voter that it queried knew a holder.
func (e *serviceElection) busyFor(now time.Time, self string) bool {
	if e.isVoter {
		return e.voter.BusyFor(now, self)
	}
	return !e.reportedFree
}

func hostIDs(hosts []hostset.Host) []string {
	list := make([]string, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.ID)
	}
	return list
}

// sendRequests sends requests to voters and handles the replies. It must be called with r.mu held.
func (r *Runner) sendRequests(ctx context.Context, e *serviceElection, requests []Request) {
	for len(requests) > 0 {
		request := requests[0]
		requests = requests[1:]
		if request.Voter == r.o.ID {
			reply := r.replyLocally(e, request.Message)
			requests = append(requests, e.candidate.OnReply(time.Now(), request, reply)...)
			continue
		}
		r.sendMessage(ctx, request.Voter, request.Message, func(reply *fleetpb.VoteReply) {
			r.recordReply(e, reply)
			r.sendRequests(ctx, e, e.candidate.OnReply(time.Now(), request, reply))
		})
	}
}

// sendMessage sends one message and passes the reply to onReply with r.mu held. The message is dropped if
// maxInFlightCalls are in flight.
func (r *Runner) sendMessage(ctx context.Context, node string, message *fleetpb.VoteRequest, onReply func(*fleetpb.VoteReply)) {
	address, ok := r.addresses[node]
	if !ok {
		return
	}
	select {
	case r.callSlots <- struct{}{}:
	default:
		return
	}
	r.callsRunning.Go(func() {
		defer func() { <-r.callSlots }()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := r.o.PeerClient.Vote(ctx, address, message)
		if err != nil {
			r.o.Logger.Debug("vote call failed", "service", message.GetService(), "node", node, "err", logging.Err(err))
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		onReply(reply)
	})
}

// announceLease notifies the host set of a new lease of this node.
func (r *Runner) announceLease(ctx context.Context, e *serviceElection, now time.Time) {
	lease, held := e.candidate.Held(now)
	if !held || lease.Term == e.announcedTerm {
		return
	}
	e.announcedTerm = lease.Term
	r.o.Logger.Info("this node dispatches the service", "service", e.service, "term", lease.Term)
	message := &fleetpb.VoteRequest{
		Service:       e.service,
		Candidate:     r.o.ID,
		Incarnation:   r.o.Incarnation,
		Term:          lease.Term,
		HostsRevision: e.groups.Revision,
		Announce:      true,
	}
	for _, h := range r.audience(e) {
		if h.ID != r.o.ID {
			r.sendMessage(ctx, h.ID, message, func(*fleetpb.VoteReply) {})
		}
	}
}

// audience returns the nodes that are told of a new lease: the host set, and the spares.
func (r *Runner) audience(e *serviceElection) []hostset.Host {
	hosts := slices.Clone(e.hostSet)
	for _, h := range r.spares {
		if !slices.ContainsFunc(hosts, func(known hostset.Host) bool { return known.ID == h.ID }) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// pollVoter queries the next voter for the dispatcher if a query is due.
func (r *Runner) pollVoter(ctx context.Context, e *serviceElection, now time.Time) {
	if now.Before(e.nextPoll) || !e.inHostSet && !r.o.FollowAllServices || len(e.groups.Current) == 0 {
		return
	}
	// If this voter does not respond, the next one is queried after the short interval.
	e.nextPoll = now.Add(jitter(pollIntervalUnknown))
	if _, held := e.candidate.Held(now); held {
		return
	}
	voter := e.nextVoter(r.o.ID)
	if voter == "" {
		return
	}
	message := &fleetpb.VoteRequest{Service: e.service, Candidate: r.o.ID, HostsRevision: e.groups.Revision}
	r.sendMessage(ctx, voter, message, func(reply *fleetpb.VoteReply) {
		r.recordReply(e, reply)
		e.reportedFree = isFree(reply)
		switch {
		case e.isPreferred && !e.reportedFree:
			// The vote ends then unless it is renewed.
			left := time.Duration(reply.GetLeftMs()) * time.Millisecond
			e.nextPoll = time.Now().Add(min(left, VoteLease) + tickInterval)
		case reply.GetHolding():
			e.nextPoll = time.Now().Add(jitter(pollIntervalKnown))
		}
	})
}

// nextVoter returns the voter to query, in rotation. Voters that did not vote for a new holder do not know
// it, and a random choice could select them repeatedly. It returns "" if there is no other voter.
func (e *serviceElection) nextVoter(self string) string {
	if e.pollPosition == 0 {
		// Nodes start at different voters.
		e.pollPosition = 1 + rand.IntN(len(e.groups.Current))
	}
	for range e.groups.Current {
		voter := e.groups.Current[e.pollPosition%len(e.groups.Current)]
		e.pollPosition++
		if voter != self {
			return voter
		}
	}
	return ""
}

// jitter returns d varied at random by up to 25%, so that the nodes of a fleet do not query in step.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
