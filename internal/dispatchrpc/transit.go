package dispatchrpc

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

const (
	// maxGrantTransit is how long a grant may have been on its way to a node that knows no newer departures of servers.
	// With the expiry of the grant and the way to the server, it stays below the 2 s within which a drain takes effect.
	maxGrantTransit = time.Second
	// maxDeparturesAge is how old a node's knowledge of departures may be for a grant that was longer on its way.
	maxDeparturesAge = 1500 * time.Millisecond
)

// streamClock returns the time since the stream began in milliseconds, always above 0.
func (c *channel) streamClock(now time.Time) uint64 {
	return uint64(max(now.Sub(c.openedAt), 0).Milliseconds()) + 1
}

// transitTime returns how long a message of the dispatcher may have been on its way: the time since the node sent the
// message that the dispatcher had received last, without the time for which the dispatcher held it. A message on a full
// link arrives late although the stream is never silent. It is 0 if the dispatcher does not say.
func (c *channel) transitTime(now time.Time, b *dispatchpb.DispatcherBatch) time.Duration {
	if b.NodeSentMs == 0 {
		return 0
	}
	elapsed := int64(c.streamClock(now)) - int64(b.NodeSentMs) - int64(b.NodeHeldMs)
	return time.Duration(max(elapsed, 0)) * time.Millisecond
}

// hasDeparted reports whether the server of a grant is known to drain or to have left. The grant may have been on its
// way for longer than that is known.
func (c *channel) hasDeparted(instance string) bool {
	if s, ok := c.listed(instance); ok {
		return s.State >= backend.Draining
	}
	departed := c.client.config.Departed
	return departed != nil && departed(c.service, instance)
}

// isOutdated reports whether a grant was on its way for so long that its server may have left meanwhile without the
// node's knowledge.
func (c *channel) isOutdated(now time.Time, transit time.Duration) bool {
	if transit <= maxGrantTransit {
		return false
	}
	known := c.client.config.ListAsOf
	return known == nil || now.Sub(known()) > maxDeparturesAge
}

// refuseOutdated gives an outdated grant back and refuses its request: another grant would arrive as late.
func (c *channel) refuseOutdated(now time.Time, q *queuedRequest, g *dispatchpb.Grant, transit time.Duration) {
	if ok, suppressed := c.client.logLimiter.Allow(now); ok {
		c.client.log.Warn("refused a request whose grant arrived too late; check the link of this host", "service", c.service,
			"instance", g.Instance, "transit_ms", transit.Milliseconds(), "queued_ms", now.Sub(q.queuedAt).Milliseconds(), "suppressed", suppressed)
	}
	c.outgoing.Completes = append(c.outgoing.Completes, completionToProto(g.Id, grant.Completion{Result: grant.Unused}))
	c.wakeWriter()
	c.resolve(q, acquireResult{problem: problem.New(problem.NoCapacity, problem.NotRun, "the dispatcher responds too late").After(time.Second)})
}
