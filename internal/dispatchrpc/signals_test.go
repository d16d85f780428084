package dispatchrpc

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// connectedChannel returns the channel of a host that follows a dispatcher since the given time and knows four servers.
func connectedChannel(now time.Time) *channel {
	c := disconnectedChannel(now)
	c.connected = true
	return c
}

// queue queues a request that may wait for the given time.
func (c *channel) queue(now time.Time, patience time.Duration) *queuedRequest {
	q := &queuedRequest{
		request:  grant.Request{Priority: priority.Normal, Deadline: now.Add(patience)},
		queuedAt: now, done: make(chan acquireResult, 1),
	}
	c.enqueue(now, q)
	return q
}

// granted returns the server of the queued request, or "" if it has none.
func (q *queuedRequest) granted() string {
	select {
	case a := <-q.done:
		if a.grant != nil {
			return a.grant.server.Instance
		}
	default:
	}
	return ""
}

// A grant that the dispatcher gave before it heard that the server wants no requests from this host sent one more
// request to it, as late as the grant arrived.
func TestLateGrantsOfServersThatWantNoRequestsAreReturned(t *testing.T) {
	for _, signals := range []grant.ServerSignals{{Pause: 2 * time.Second}, {Draining: true}} {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		c := connectedChannel(now)
		held := c.addHeldGrant(now, c.queue(now, time.Second), grant.Server{Instance: "s0"})
		waiting := c.queue(now, time.Second)
		c.recordSignals(now, held, signals)
		c.receiveGrant(now.Add(time.Second), &dispatchpb.Grant{Id: waiting.id, Instance: "s0"})
		g.Expect(waiting.granted()).To(BeEmpty())
		g.Expect(c.outgoing.Completes).To(HaveLen(1))
		g.Expect(grant.Result(c.outgoing.Completes[0].Result)).To(Equal(grant.Unused))
		last := c.outgoing.Acquires[len(c.outgoing.Acquires)-1]
		g.Expect(last.Exclude).To(Equal([]string{"s0"}))
		c.receiveGrant(now.Add(time.Second), &dispatchpb.Grant{Id: last.Id, Instance: "s1"})
		g.Expect(waiting.granted()).To(Equal("s1"))
	}
}

// A host without a dispatcher kept requests until their deadlines although no server took any before.
func TestHostsAloneRefuseWhatNoServerTakesInTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := disconnectedChannel(now)
	c.client.config.Settings = retryBounds{0.2, 56}
	for i, signals := range []grant.ServerSignals{
		{Pause: 3 * time.Second}, {Pause: 4 * time.Second}, {Draining: true}, {RateLimited: true, Rate: 0.2},
	} {
		c.recordSignals(now, &heldGrant{server: grant.Server{Instance: fmt.Sprint("s", i)}}, signals)
	}
	c.countRequest(now, "s3")
	short, long := c.queue(now, time.Second), c.queue(now, 10*time.Second)
	c.serveAutonomously(now)
	var refused acquireResult
	g.Expect(short.done).To(Receive(&refused))
	g.Expect(refused.problem.Outcome).To(Equal(problem.NotRun))
	g.Expect(refused.problem.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 3*time.Second)))
	g.Expect(long.granted()).To(BeEmpty())
	c.serveAutonomously(now.Add(3 * time.Second))
	g.Expect(long.granted()).To(Equal("s0"))
}
