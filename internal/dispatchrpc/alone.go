package dispatchrpc

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

const (
	// sharesEvery is how often the autonomous shares are computed.
	sharesEvery = 500 * time.Millisecond
	// waitLimit bounds the calls that wait at this node while there is no dispatcher.
	waitLimit = 4096
	// hopelessAfter is how long a call waits at a host that knows neither a dispatcher nor a backend
	// server; an election takes half of it.
	hopelessAfter = time.Second
	// attachedShare is how many slots of a server a host may use alone if it does not know the other
	// hosts. Requests beyond the slots of a server wait in its own queue.
	attachedShare = 1
	// verdictFor is how long the last view of a lost dispatcher keeps servers out: the time of a first
	// ejection, after which the dispatcher would have tried them again.
	verdictFor = 5 * time.Second
	// avoidAlone is how long a host without a dispatcher prefers other servers to one that failed it.
	avoidAlone = 3 * time.Second
)

// alone is the state of the autonomous mode.
type alone struct {
	shares     map[string]int
	computedAt time.Time
	budget     dispatch.Budget
	// rounding decides whether this host has the retry of which each host has a part.
	rounding float64
	// failed is when a server failed a request of this host that no dispatcher placed.
	failed map[string]time.Time
	// unreported is set by a grant between the hello of a stream and its first answer.
	unreported bool
	// noted is the autonomy that was logged last.
	noted bool
}

// autonomous tells whether the node has had no dispatcher for too long.
func (c *channel) autonomous(now time.Time) bool {
	return c.pace.alone(now, c.heard)
}

// joining tells whether a stream was opened a moment ago and its dispatcher will probably answer soon. A
// grant that the node gives itself meanwhile is not in its hello, so the stream would be opened anew; under
// load each new one would meet the same.
func (c *channel) joining(now time.Time) bool {
	return c.linked && !c.answered && c.fruitless == 0 && now.Sub(c.opened) < StreamTimeout
}

// noteAutonomy logs when the node begins and ends to route without a dispatcher. The caller holds the mutex.
func (c *channel) noteAutonomy(now time.Time) {
	is := c.autonomous(now)
	if is == c.alone.noted {
		return
	}
	c.alone.noted = is
	if is {
		c.client.log.Warn("lost the dispatcher; placing requests alone", "service", c.service, "term", c.term,
			"silent_ms", now.Sub(c.heard).Milliseconds(), "servers", len(c.client.config.Registry.Servers(c.service)))
		return
	}
	c.client.log.Info("follows a dispatcher again", "service", c.service, "term", c.term)
}

// waiting returns the calls in the order in which they are served.
func (c *channel) waiting() []*call {
	list := make([]*call, 0, len(c.calls))
	for _, k := range c.calls {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b *call) int {
		if a.request.Priority != b.request.Priority {
			return int(a.request.Priority) - int(b.request.Priority)
		}
		return a.request.Deadline.Compare(b.request.Deadline)
	})
	return list
}

// serveAlone grants waiting calls out of the node's own shares. The caller holds the mutex.
func (c *channel) serveAlone(now time.Time) {
	if len(c.calls) == 0 || c.joining(now) {
		return
	}
	c.refreshShares(now)
	for i, k := range c.waiting() {
		if i >= waitLimit {
			c.withdraw(k)
			c.finish(k, answer{problem: problem.New(problem.QueueFull, problem.NotRun, "").After(time.Second)})
			continue
		}
		c.grantAlone(now, k)
	}
}

func (c *channel) grantAlone(now time.Time, k *call) {
	extra := k.request.Purpose != grant.First
	if extra && (k.request.Purpose == grant.Hedge || !c.alone.budget.Allows(now)) {
		c.withdraw(k)
		c.finish(k, answer{problem: problem.New(problem.NoCapacity, problem.NotRun, "")})
		return
	}
	s, ok := c.placeAlone(now, &k.request)
	if !ok {
		if len(c.client.config.Registry.Servers(c.service)) == 0 && now.Sub(k.asked) >= hopelessAfter {
			c.withdraw(k)
			c.finish(k, answer{problem: problem.New(problem.NoCapacity, problem.NotRun, "no backend server is known and no dispatcher answers").After(hopelessAfter)})
		}
		return
	}
	c.withdraw(k)
	c.alone.budget.Spend(now, extra)
	c.alone.unreported = c.linked
	c.finish(k, answer{grant: c.hold(now, k, s)})
}

// withdraw takes back a call that may already have been sent to a dispatcher that has not answered.
func (c *channel) withdraw(k *call) {
	if c.linked {
		c.out.Cancels = append(c.out.Cancels, &dispatchpb.Cancel{Id: k.id})
	}
}

// judgedOut tells whether the last view keeps the server out.
func (c *channel) judgedOut(now time.Time, instance string) bool {
	return (c.ejected[instance] || c.crashed[instance]) && now.Sub(c.heard) < verdictFor
}

// noteAlone remembers how a request ended that no dispatcher placed. The caller holds the mutex.
func (c *channel) noteAlone(now time.Time, instance string, result grant.Result) {
	switch result {
	case grant.OK:
		delete(c.alone.failed, instance)
	case grant.Error, grant.Broken, grant.ConnectFailed, grant.Timeout:
		if c.alone.failed == nil {
			c.alone.failed = map[string]time.Time{}
		}
		maps.DeleteFunc(c.alone.failed, func(_ string, at time.Time) bool { return now.Sub(at) >= avoidAlone })
		c.alone.failed[instance] = now
	}
}

// placeAlone chooses the server with the most free slots of this node's share, one that has not failed it
// lately if there is any. A server is used only while its announcement is fresh in this node's own view and
// it was not judged out.
func (c *channel) placeAlone(now time.Time, r *grant.Request) (best grant.Server, ok bool) {
	most, ties, bestAvoided := 0, 0, false
	for _, s := range c.client.config.Registry.Servers(c.service) {
		if !s.Usable(now) || c.judgedOut(now, s.Instance) || slices.Contains(r.Exclude, s.Instance) {
			continue
		}
		free := c.alone.shares[s.Instance] - c.heldAt(s.Instance)
		failed, known := c.alone.failed[s.Instance]
		avoided := known && now.Sub(failed) < avoidAlone
		if free <= 0 || most > 0 && (avoided && !bestAvoided || avoided == bestAvoided && free < most) {
			continue
		}
		ties++
		if free > most || avoided != bestAvoided {
			most, ties, bestAvoided = free, 1, avoided
		}
		// Hosts that choose the same server among equals would fill it first.
		if rand.IntN(ties) == 0 {
			best = grant.Server{
				Service: c.service, Instance: s.Instance, Address: s.Address, DataCentre: s.DataCentre,
				Autonomous: true, ListAge: c.listAge(now),
			}
		}
	}
	return best, most > 0
}

// listAge is how long ago the node last knew of every drain of a server.
func (c *channel) listAge(now time.Time) time.Duration {
	asOf := c.heard
	if known := c.client.config.ListAsOf; known != nil {
		asOf = later(asOf, known())
	}
	return now.Sub(asOf)
}

func (c *channel) heldAt(instance string) int {
	count := 0
	for _, l := range c.held {
		if l.server.Instance == instance {
			count++
		}
	}
	return count
}

func (c *channel) refreshShares(now time.Time) {
	if c.alone.shares != nil && now.Sub(c.alone.computedAt) < sharesEvery {
		return
	}
	settings, ok := c.client.config.Settings.Service(c.service)
	if !ok {
		return
	}
	c.alone.computedAt = now
	c.alone.budget.LimitAutonomous(settings.RetryShare, settings.RetryFloor, c.hosts(settings), c.alone.rounding)
	c.alone.shares = map[string]int{}
	for _, s := range c.client.config.Registry.Servers(c.service) {
		slots := s.Slots
		if slots <= 0 {
			slots = settings.DefaultSlots
		}
		if s.Connections > 0 {
			slots = min(slots, s.Connections)
		}
		if len(settings.Members) == 0 {
			c.alone.shares[s.Instance] = min(slots, attachedShare)
			continue
		}
		c.alone.shares[s.Instance] = dispatch.AutonomousSlots(c.service, s.Instance, c.client.config.Node, settings.Members, slots)
	}
}

// hosts is how many hosts may place work of the service alone; 0 if it is not known.
func (c *channel) hosts(settings ServiceSettings) int {
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
		if s.Usable(now) && !c.judgedOut(now, s.Instance) && c.alone.shares[s.Instance] > 0 {
			return true
		}
	}
	return false
}

// freedAlone serves the next call when a slot of the node's share becomes free.
func (c *channel) freedAlone(now time.Time) {
	if c.autonomous(now) {
		c.serveAlone(now)
	}
}

// expire refuses the calls whose deadline passed.
func (c *channel) expire(now time.Time) {
	for _, k := range c.calls {
		if now.Before(k.request.Deadline) {
			continue
		}
		c.withdraw(k)
		c.finish(k, answer{problem: problem.New(problem.DeadlinePassed, problem.NotRun, "")})
	}
}

// close refuses all calls when the channel ends.
func (c *channel) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, k := range c.calls {
		c.finish(k, answer{problem: problem.New(problem.ShuttingDown, problem.NotRun, "")})
	}
}
