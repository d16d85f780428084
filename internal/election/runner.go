package election

import (
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
	// tickEvery is the time between two looks at what is due.
	tickEvery = 20 * time.Millisecond
	// callTimeout bounds a message to a voter.
	callTimeout = 300 * time.Millisecond
	// pollKnown and pollUnknown are the times between two questions to a voter.
	pollKnown   = time.Second
	pollUnknown = 200 * time.Millisecond
	// pollServed is the time from an answer of the dispatcher on its stream to the next question to
	// a voter. It exceeds the pause between two answers on a quiet stream.
	pollServed = 2 * time.Second
	// confirmedFor is how long word of a dispatcher is believed.
	confirmedFor = 3 * time.Second
	// maxCalls bounds the messages under way at once.
	maxCalls = 256
)

// PeerClient sends messages to voters. Tests replace it to delay and cut messages.
type PeerClient interface {
	Vote(ctx context.Context, address string, r *fleetpb.VoteRequest) (*fleetpb.VoteReply, error)
}

type poolCaller struct {
	pool *transport.Pool
}

// NewPeerClient returns a PeerClient that uses the pool.
func NewPeerClient(pool *transport.Pool) PeerClient {
	return poolCaller{pool}
}

func (c poolCaller) Vote(ctx context.Context, address string, r *fleetpb.VoteRequest) (*fleetpb.VoteReply, error) {
	return fleetpb.NewDRPCFleetClient(c.pool.Conn(ctx, address)).Vote(ctx, r)
}

// Options configure a Runner.
type Options struct {
	// ID is this node's id.
	ID string
	// Incarnation is the start time of the process in milliseconds.
	Incarnation uint64
	Source      hostset.Source
	// FollowAllServices is set if this node learns the dispatchers of all services, also where it is not in the
	// host set, since others ask it.
	FollowAllServices bool
	PeerClient        PeerClient
	Logger            *log.Logger
}

// Runner votes, campaigns and learns the dispatchers of all services. It implements
// leadership.Elections and answers the Vote call of the fleet service. It is safe for concurrent use.
type Runner struct {
	o       Options
	started time.Time
	// calls bounds the messages under way.
	calls   chan struct{}
	running sync.WaitGroup

	mu        sync.Mutex
	fleet     *hostset.Fleet
	addresses map[string]string
	services  map[string]*contest
	resigned  bool
}

// contest is the election of one service as seen by this node.
type contest struct {
	service   string
	groups    Groups
	votes     bool
	member    bool
	set       []hostset.Host
	voter     *Voter
	candidate *Candidate
	announced uint64
	known     word
	nextPoll  time.Time
	// turn is the position in the voting group of the next voter to ask; 0 before the first.
	turn int
}

// word is what this node heard of the dispatcher.
type word struct {
	node      string
	term      uint64
	confirmed time.Time
}

var (
	_ leadership.Elections = (*Runner)(nil)
	_ leadership.Observer  = (*Runner)(nil)
)

// NewRunner returns a runner. It must be made when the process starts, since voters are silent for
// one lease from then on. Run makes it campaign and learn.
func NewRunner(o Options) *Runner {
	return &Runner{
		o:         o,
		started:   time.Now(),
		calls:     make(chan struct{}, maxCalls),
		addresses: map[string]string{},
		services:  map[string]*contest{},
	}
}

// Run campaigns and learns until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	defer r.running.Wait()
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
	r.refresh()
	now := time.Now()
	active := 0
	for _, c := range r.services {
		active += c.candidate.active()
	}
	for _, c := range r.services {
		active -= c.candidate.active()
		c.candidate.loaded = active > 0
		holder, _, _, bound := c.voter.Holder(now)
		occupied := c.votes && bound && holder != r.o.ID
		r.send(ctx, c, c.candidate.Tick(now, uint64(max(now.UnixMilli(), 0)), occupied))
		active += c.candidate.active()
		r.announce(ctx, c, now)
		r.poll(ctx, c, now)
	}
}

// refresh takes in a new configuration revision.
func (r *Runner) refresh() {
	fleet := r.o.Source.Fleet()
	if fleet == nil || fleet == r.fleet {
		return
	}
	r.fleet = fleet
	for _, h := range slices.Concat(fleet.PreviousHosts, fleet.Hosts) {
		r.addresses[h.ID] = h.FleetAddress
	}
	for _, s := range fleet.Services {
		r.refreshService(s)
	}
	now := time.Now()
	for name, c := range r.services {
		_, _, _, bound := c.voter.Holder(now)
		if _, ok := fleet.Service(name); !ok && !bound {
			delete(r.services, name)
		}
	}
}

func (r *Runner) refreshService(s hostset.Service) {
	c, ok := r.services[s.Name]
	if !ok {
		c = &contest{
			service:   s.Name,
			voter:     NewVoter(r.started),
			candidate: NewCandidate(s.Name, r.o.ID, r.o.Incarnation),
		}
		c.candidate.resigned = r.resigned
		r.services[s.Name] = c
	}
	current, previous := r.fleet.VotingGroups(s)
	c.groups = Groups{Revision: r.fleet.HostsRevision, Current: ids(current), Previous: ids(previous)}
	c.votes = slices.Contains(c.groups.Voters(), r.o.ID)
	c.set = r.fleet.HostSet(s)
	c.member = slices.Contains(ids(c.set), r.o.ID)
	c.voter.SetGroups(c.groups)
	c.candidate.SetGroups(c.groups)
}

func ids(hosts []hostset.Host) []string {
	list := make([]string, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h.ID)
	}
	return list
}

// send delivers messages to voters; the mutex is held.
func (r *Runner) send(ctx context.Context, c *contest, requests []Request) {
	for len(requests) > 0 {
		request := requests[0]
		requests = requests[1:]
		if request.Voter == r.o.ID {
			reply := r.vote(c, request.Message)
			requests = append(requests, c.candidate.OnReply(time.Now(), request, reply)...)
			continue
		}
		r.call(ctx, request.Voter, request.Message, func(reply *fleetpb.VoteReply) {
			r.learn(c, reply)
			r.send(ctx, c, c.candidate.OnReply(time.Now(), request, reply))
		})
	}
}

// call sends one message and passes the reply on with the mutex held. A message beyond the bound is dropped.
func (r *Runner) call(ctx context.Context, node string, message *fleetpb.VoteRequest, then func(*fleetpb.VoteReply)) {
	address, ok := r.addresses[node]
	if !ok {
		return
	}
	select {
	case r.calls <- struct{}{}:
	default:
		return
	}
	r.running.Go(func() {
		defer func() { <-r.calls }()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := r.o.PeerClient.Vote(ctx, address, message)
		if err != nil {
			r.o.Logger.Debug("no answer to a vote request", "service", message.GetService(), "node", node, "err", logging.Err(err))
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		then(reply)
	})
}

// announce tells the host set about a new lease of this node.
func (r *Runner) announce(ctx context.Context, c *contest, now time.Time) {
	lease, held := c.candidate.Held(now)
	if !held || lease.Term == c.announced {
		return
	}
	c.announced = lease.Term
	r.o.Logger.Info("this node dispatches the service", "service", c.service, "term", lease.Term)
	message := &fleetpb.VoteRequest{
		Service:       c.service,
		Candidate:     r.o.ID,
		Incarnation:   r.o.Incarnation,
		Term:          lease.Term,
		HostsRevision: c.groups.Revision,
		Announce:      true,
	}
	for _, h := range c.set {
		if h.ID != r.o.ID {
			r.call(ctx, h.ID, message, func(*fleetpb.VoteReply) {})
		}
	}
}

// poll asks a voter who dispatches the service.
func (r *Runner) poll(ctx context.Context, c *contest, now time.Time) {
	if now.Before(c.nextPoll) || !c.member && !r.o.FollowAllServices || len(c.groups.Current) == 0 {
		return
	}
	// A voter that does not answer is followed by another one soon.
	c.nextPoll = now.Add(jitter(pollUnknown))
	if _, held := c.candidate.Held(now); held {
		return
	}
	voter := c.nextVoter(r.o.ID)
	if voter == "" {
		return
	}
	message := &fleetpb.VoteRequest{Service: c.service, Candidate: r.o.ID, HostsRevision: c.groups.Revision}
	r.call(ctx, voter, message, func(reply *fleetpb.VoteReply) {
		r.learn(c, reply)
		if reply.GetHolding() {
			c.nextPoll = time.Now().Add(jitter(pollKnown))
		}
	})
}

// nextVoter returns the voter to ask, in turn: the voters that did not vote for a new holder do not know
// it, and asked at random they could be asked again and again. It returns "" if there is no other voter.
func (c *contest) nextVoter(self string) string {
	if c.turn == 0 {
		// Nodes begin at different voters.
		c.turn = 1 + rand.IntN(len(c.groups.Current))
	}
	for range c.groups.Current {
		voter := c.groups.Current[c.turn%len(c.groups.Current)]
		c.turn++
		if voter != self {
			return voter
		}
	}
	return ""
}

// jitter keeps the nodes of a fleet from asking in step.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
