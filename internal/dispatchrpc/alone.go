package dispatchrpc

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/dispatch/retrybudget"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

const (
	// sharesRefreshInterval is how often the autonomous shares are recomputed.
	sharesRefreshInterval = 500 * time.Millisecond
	// autonomousQueueLimit bounds the requests that are queued at this node while there is no dispatcher.
	autonomousQueueLimit = 4096
	// noServerTimeout is how long a request stays queued at a host that knows neither a dispatcher nor a
	// backend server. An election takes half of this time.
	noServerTimeout = time.Second
	// unknownMembersShare is how many slots of each server a host uses in autonomous mode if it does not
	// know the other hosts. Requests beyond the slots of a server wait in the server's own queue.
	unknownMembersShare = 1
	// lastViewTTL is how long after the last message of a lost dispatcher this host leaves out the servers
	// that were out of rotation in its last view. It is the duration of a first ejection, after which the
	// dispatcher would have tried them again.
	lastViewTTL = 5 * time.Second
	// avoidFailedFor is how long a host without a dispatcher prefers other servers to one that failed its
	// request.
	avoidFailedFor = 3 * time.Second
)

// autonomyState is the state of the autonomous mode.
type autonomyState struct {
	// shares is the number of slots that this node may use, by instance.
	shares   map[string]int
	sharesAt time.Time
	budget   retrybudget.Budget
	// rounding, from 0 to below 1 and drawn at random, is added to this host's part of the retry floor. It
	// decides whether the host may send a retry when its part is less than one.
	rounding float64
	// failedAt is when a server last failed a request that this host sent without a dispatcher, by
	// instance.
	failedAt map[string]time.Time
	// unreportedGrant is set if the node granted a request itself after the hello of its current stream and
	// before the response to that hello.
	unreportedGrant bool
	// logged is the result of autonomous that was logged last.
	logged bool
	// allowance is this host's part of the usage caps.
	allowance *usagecap.Allowance
}

// autonomous reports whether the node has been without a dispatcher for too long.
func (c *channel) autonomous(now time.Time) bool {
	return c.activity.autonomous(now, c.lastHeard)
}

// awaitingFirstResponse reports whether a stream was opened a moment ago and its dispatcher will probably
// respond soon. A request that the node grants itself in the meantime is missing from its hello, so the
// stream would have to be reopened. Under load, the same would happen to each new stream.
func (c *channel) awaitingFirstResponse(now time.Time) bool {
	return c.connected && !c.responded && c.unansweredStreams == 0 && now.Sub(c.openedAt) < StreamTimeout
}

// logAutonomyChange logs when the node starts and stops routing without a dispatcher. The caller holds the
// mutex.
func (c *channel) logAutonomyChange(now time.Time) {
	autonomous := c.autonomous(now)
	if autonomous == c.autonomy.logged {
		return
	}
	c.autonomy.logged = autonomous
	if autonomous {
		c.client.log.Warn("lost the dispatcher; placing requests alone", "service", c.service, "term", c.term,
			"silent_ms", now.Sub(c.lastHeard).Milliseconds(), "servers", len(c.client.config.Registry.Servers(c.service)))
		return
	}
	c.client.log.Info("follows a dispatcher again", "service", c.service, "term", c.term)
}

// sortedQueue returns the queued requests in the order in which they are served: by priority, then by
// deadline.
func (c *channel) sortedQueue() []*queuedRequest {
	list := make([]*queuedRequest, 0, len(c.queued))
	for _, q := range c.queued {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *queuedRequest) int {
		if a.request.Priority != b.request.Priority {
			return int(a.request.Priority) - int(b.request.Priority)
		}
		return a.request.Deadline.Compare(b.request.Deadline)
	})
	return list
}

// serveAutonomously grants queued requests from the node's own shares. The caller holds the mutex.
func (c *channel) serveAutonomously(now time.Time) {
	if len(c.queued) == 0 || c.awaitingFirstResponse(now) {
		return
	}
	c.refreshShares(now)
	for i, q := range c.sortedQueue() {
		if i >= autonomousQueueLimit {
			c.sendCancel(q)
			c.resolve(q, acquireResult{problem: problem.New(problem.QueueFull, problem.NotRun, "").After(time.Second)})
			continue
		}
		c.grantAutonomously(now, q)
	}
}

func (c *channel) grantAutonomously(now time.Time, q *queuedRequest) {
	extra := q.request.Purpose != grant.First
	if extra && (q.request.Purpose == grant.Hedge || !c.autonomy.budget.Allows(now)) {
		c.sendCancel(q)
		c.resolve(q, acquireResult{problem: problem.New(problem.NoCapacity, problem.NotRun, "")})
		return
	}
	if !extra && !q.counted && !c.takeAllowance(now, q) {
		return
	}
	s, ok := c.selectServer(now, &q.request)
	if !ok {
		if wait, known := c.shortestWait(now, &q.request); known && !now.Add(wait).Before(q.request.Deadline) {
			// Other hosts, or a dispatcher by then, may have room sooner than this host alone.
			wait = min(wait, noServerTimeout)
			c.sendCancel(q)
			c.resolve(q, acquireResult{problem: problem.New(problem.NoCapacity, problem.NotRun, "no backend server takes requests in time").After(wait)})
			return
		}
		if len(c.client.config.Registry.Servers(c.service)) == 0 && now.Sub(q.queuedAt) >= noServerTimeout {
			c.sendCancel(q)
			c.resolve(q, acquireResult{problem: problem.New(problem.NoCapacity, problem.NotRun, "no backend server is known and no dispatcher answers").After(noServerTimeout)})
		}
		return
	}
	c.sendCancel(q)
	c.autonomy.budget.Spend(now, extra)
	c.countRequest(now, s.Instance)
	c.autonomy.unreportedGrant = c.connected
	c.resolve(q, acquireResult{grant: c.addHeldGrant(now, q, s)})
}

// sendCancel withdraws a request that may already have been sent to a dispatcher that has not responded to
// it.
func (c *channel) sendCancel(q *queuedRequest) {
	if c.connected {
		c.outgoing.Cancels = append(c.outgoing.Cancels, &dispatchpb.Cancel{Id: q.id})
	}
}

// outInLastView reports whether the server was out of rotation in the last view and that view still
// applies.
func (c *channel) outInLastView(now time.Time, instance string) bool {
	return (c.ejected[instance] || c.crashed[instance]) && now.Sub(c.lastHeard) < lastViewTTL
}

// recordAutonomousResult records the result of a request that this host sent without a dispatcher. The
// caller holds the mutex.
func (c *channel) recordAutonomousResult(now time.Time, instance string, result grant.Result) {
	switch result {
	case grant.OK:
		delete(c.autonomy.failedAt, instance)
	case grant.Error, grant.Broken, grant.ConnectFailed, grant.Timeout:
		if c.autonomy.failedAt == nil {
			c.autonomy.failedAt = map[string]time.Time{}
		}
		maps.DeleteFunc(c.autonomy.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= avoidFailedFor })
		c.autonomy.failedAt[instance] = now
	}
}

// selectServer returns the server with the most free slots in this node's share and prefers servers that
// did not fail a request recently. It considers only servers whose announcement is fresh in this node's own
// view and that the last view does not keep out of rotation.
func (c *channel) selectServer(now time.Time, r *grant.Request) (best grant.Server, ok bool) {
	mostFree, ties, bestFailedRecently := 0, 0, false
	for _, s := range c.client.config.Registry.Servers(c.service) {
		if !s.Usable(now) || c.outInLastView(now, s.Instance) || slices.Contains(r.Exclude, s.Instance) || !c.serverAccepts(now, s) {
			continue
		}
		free := c.autonomy.shares[s.Instance] - c.heldCount(s.Instance)
		failedAt, known := c.autonomy.failedAt[s.Instance]
		failedRecently := known && now.Sub(failedAt) < avoidFailedFor
		if free <= 0 || mostFree > 0 && (failedRecently && !bestFailedRecently || failedRecently == bestFailedRecently && free < mostFree) {
			continue
		}
		ties++
		if free > mostFree || failedRecently != bestFailedRecently {
			mostFree, ties, bestFailedRecently = free, 1, failedRecently
		}
		// Ties are broken at random, because hosts that all chose the same one of several equal servers
		// would fill it first.
		if rand.IntN(ties) == 0 {
			best = grant.Server{
				Service: c.service, Instance: s.Instance, Address: s.Address, DataCentre: s.DataCentre,
				Autonomous: true, ListAge: c.listAge(now),
			}
		}
	}
	return best, mostFree > 0
}

// listAge returns the time since the node last knew of every drain of a server.
func (c *channel) listAge(now time.Time) time.Duration {
	asOf := c.heardAsOf
	if known := c.client.config.ListAsOf; known != nil {
		asOf = latest(asOf, known())
	}
	return now.Sub(asOf)
}

func (c *channel) heldCount(instance string) int {
	count := 0
	for _, h := range c.held {
		if h.server.Instance == instance {
			count++
		}
	}
	return count
}

func (c *channel) refreshShares(now time.Time) {
	if c.autonomy.shares != nil && now.Sub(c.autonomy.sharesAt) < sharesRefreshInterval {
		return
	}
	settings, ok := c.client.config.Settings.Service(c.service)
	if !ok {
		return
	}
	c.autonomy.sharesAt = now
	c.autonomy.budget.LimitAutonomous(settings.RetryShare, settings.RetryFloor, c.hostCount(settings), c.autonomy.rounding)
	c.autonomy.shares = map[string]int{}
	for _, s := range c.client.config.Registry.Servers(c.service) {
		slots := s.Slots
		if slots <= 0 {
			slots = settings.DefaultSlots
		}
		if s.Connections > 0 {
			slots = min(slots, s.Connections)
		}
		if len(settings.Members) == 0 {
			c.autonomy.shares[s.Instance] = min(slots, unknownMembersShare)
			continue
		}
		c.autonomy.shares[s.Instance] = dispatch.AutonomousSlots(c.service, s.Instance, c.client.config.Node, settings.Members, slots)
	}
}

// hostCount returns how many hosts may route requests of the service in autonomous mode; 0 if unknown.
func (c *channel) hostCount(settings ServiceSettings) int {
	switch {
	case len(settings.Members) > 0:
		return len(settings.Members)
	case c.client.config.Hosts != nil:
		return c.client.config.Hosts()
	default:
		return 0
	}
}

func (c *channel) hasShare(now time.Time) bool {
	c.refreshShares(now)
	for _, s := range c.client.config.Registry.Servers(c.service) {
		if s.Usable(now) && !c.outInLastView(now, s.Instance) && c.autonomy.shares[s.Instance] > 0 {
			return true
		}
	}
	return false
}

// serveAfterRelease serves the next queued requests when a slot of the node's share becomes free.
func (c *channel) serveAfterRelease(now time.Time) {
	if c.autonomous(now) {
		c.serveAutonomously(now)
	}
}

// refuseExpired refuses the requests whose deadline has passed.
func (c *channel) refuseExpired(now time.Time) {
	for _, q := range c.queued {
		if now.Before(q.request.Deadline) {
			continue
		}
		c.sendCancel(q)
		c.resolve(q, acquireResult{problem: problem.New(problem.DeadlinePassed, problem.NotRun, "")})
	}
}

// close refuses all queued requests when the channel ends.
func (c *channel) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, q := range c.queued {
		c.resolve(q, acquireResult{problem: problem.New(problem.ShuttingDown, problem.NotRun, "")})
	}
}
