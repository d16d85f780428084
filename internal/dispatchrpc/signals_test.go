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
		c.receiveGrant(now.Add(time.Second), &dispatchpb.Grant{Id: waiting.id, Instance: "s0"}, 0)
		g.Expect(waiting.granted()).To(BeEmpty())
		g.Expect(c.outgoing.Completes).To(HaveLen(1))
		g.Expect(grant.Result(c.outgoing.Completes[0].Result)).To(Equal(grant.Unused))
		last := c.outgoing.Acquires[len(c.outgoing.Acquires)-1]
		g.Expect(last.Exclude).To(Equal([]string{"s0"}))
		c.receiveGrant(now.Add(time.Second), &dispatchpb.Grant{Id: last.Id, Instance: "s1"}, 0)
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

// Hosts that lose their dispatcher together must keep the rate of a server together, and use it.
func TestHostsAloneKeepTheRateTogether(t *testing.T) {
	g := NewWithT(t)
	const hosts, rate, window, duration = 48, 10.0, 4 * time.Second, 20 * time.Second
	begin := time.Unix(1000, 0)
	var fleet []*channel
	for range hosts {
		c := disconnectedChannel(begin)
		c.client.config.Registry = c.client.config.Registry.(fixedRegistry)[:1]
		c.client.config.Settings = retryBounds{0.2, 56}
		c.client.config.Hosts = func() int { return hosts }
		c.recordSignals(begin, &heldGrant{server: grant.Server{Instance: "s0"}}, grant.ServerSignals{RateLimited: true, Rate: rate})
		fleet = append(fleet, c)
	}
	var sent []time.Time
	for now := begin; now.Before(begin.Add(duration)); now = now.Add(10 * time.Millisecond) {
		for _, c := range fleet {
			if s, ok := c.selectServer(now, &grant.Request{}); ok {
				c.countRequest(now, s.Instance)
				sent = append(sent, now)
			}
		}
	}
	most, first := 0, 0
	for last, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	g.Expect(float64(most)).To(BeNumerically("<=", 1.5*rate*window.Seconds()+5))
	g.Expect(float64(len(sent))).To(BeNumerically(">=", 0.8*rate*duration.Seconds()))
}

// What a former process said must not bind the next one at its place, nor be told to a new dispatcher.
func TestSignalsEndWithTheProcessOfTheServer(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := disconnectedChannel(now)
	former := &heldGrant{server: grant.Server{Instance: "s0"}, incarnation: 1}
	c.client.config.Registry.(fixedRegistry)[0].Incarnation = 1
	c.recordSignals(now, former, grant.ServerSignals{Draining: true, Pause: time.Minute})
	g.Expect(c.countSelected(now)).NotTo(HaveKey("s0"))
	g.Expect(c.wantsNoRequests(now, "s0")).To(BeTrue())
	g.Expect(c.signalsToProto(now)).To(HaveLen(1))
	c.client.config.Registry.(fixedRegistry)[0].Incarnation = 2
	g.Expect(c.wantsNoRequests(now, "s0")).To(BeFalse())
	g.Expect(c.countSelected(now)).To(HaveKey("s0"))
	g.Expect(c.signalsToProto(now)).To(BeEmpty())
}

// A long response that began before the server named its rate ended the limit at the host, as did one of its former
// process.
func TestHostsKeepWhatTheLatestResponseSaid(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := disconnectedChannel(now)
	c.client.config.Settings = retryBounds{0.2, 56}
	c.client.config.Registry.(fixedRegistry)[0].Incarnation = 2
	response := func(incarnation uint64) *heldGrant {
		return &heldGrant{channel: c, server: grant.Server{Instance: "s0"}, incarnation: incarnation}
	}
	c.recordSignals(now, response(2), grant.ServerSignals{RateLimited: true, Rate: 2})
	response(2).Complete(grant.Completion{Result: grant.OK, FirstByte: time.Millisecond, Total: time.Minute})
	response(1).Complete(grant.Completion{Result: grant.OK, ServerSignals: grant.ServerSignals{Draining: true}})
	reported := c.signalsToProto(now.Add(3 * time.Second))
	g.Expect(reported).To(HaveLen(1))
	g.Expect(reported[0].RateLimited).To(BeTrue())
	g.Expect(reported[0].Draining).To(BeFalse())
	g.Expect(reported[0].AgeMs).To(BeEquivalentTo(3000))
	response(2).Complete(grant.Completion{Result: grant.OK, FirstByte: time.Millisecond, Total: time.Millisecond})
	g.Expect(c.signalsToProto(now.Add(3 * time.Second))).To(BeEmpty())
}

// A server that took longer than a minute to leave got requests again once its departure was forgotten.
func TestServersThatTakeLongToLeaveGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := disconnectedChannel(now)
	c.client.config.Registry.(fixedRegistry)[0].Incarnation = 1
	c.recordSignals(now, &heldGrant{server: grant.Server{Instance: "s0"}, incarnation: 1}, grant.ServerSignals{Draining: true})
	now = now.Add(10 * time.Minute)
	g.Expect(c.wantsNoRequests(now, "s0")).To(BeTrue())
	g.Expect(c.signalsToProto(now)).To(HaveLen(1))
	g.Expect(c.countSelected(now)).NotTo(HaveKey("s0"))
}

// A host that kept its stream for days remembered every server that had left.
func TestHostsForgetServersThatLeftLongAgo(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := connectedChannel(now)
	for i := range 3000 {
		c.recordSignals(now, &heldGrant{server: grant.Server{Instance: fmt.Sprint("left", i)}, incarnation: 1}, grant.ServerSignals{Draining: true})
		now = now.Add(time.Minute)
	}
	g.Expect(len(c.serverStates)).To(BeNumerically("<", 100))
}

// A server that the host no longer lists, but that a dispatcher still grants, said that it leaves. It was ignored if the
// server had said something else before.
func TestUnlistedServersMaySayThatTheyLeave(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := connectedChannel(now)
	c.client.config.Settings = retryBounds{0.2, 56}
	c.recordSignals(now, &heldGrant{server: grant.Server{Instance: "gone"}, incarnation: 5}, grant.ServerSignals{RateLimited: true, Rate: 2})
	g.Expect(c.wantsNoRequests(now, "gone")).To(BeFalse())
	c.recordSignals(now, &heldGrant{server: grant.Server{Instance: "gone"}}, grant.ServerSignals{Draining: true})
	g.Expect(c.wantsNoRequests(now, "gone")).To(BeTrue())
}

// markedRegistry records which servers were marked as draining.
type markedRegistry struct {
	fixedRegistry
	marked []string
}

func (r *markedRegistry) MarkDraining(_, instance string) { r.marked = append(r.marked, instance) }

// The end of a response, long after the server said in its head that it leaves, took the next process out of the list.
func TestTheEndOfAResponseMarksNoServerAsDraining(t *testing.T) {
	g := NewWithT(t)
	c := disconnectedChannel(time.Now())
	registry := &markedRegistry{fixedRegistry: c.client.config.Registry.(fixedRegistry)}
	c.client.config.Registry = registry
	h := &heldGrant{channel: c, server: grant.Server{Instance: "s0"}, incarnation: 1}
	h.Complete(grant.Completion{Result: grant.OK, Total: time.Second, ServerSignals: grant.ServerSignals{Draining: true}})
	g.Expect(registry.marked).To(BeEmpty())
}
