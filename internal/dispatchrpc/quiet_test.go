package dispatchrpc

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// Heartbeats every 100 ms on idle streams cost a dispatcher of 48 nodes several times its budget. A stream
// that counts as idle with requests in flight detects a lost node late.
func TestStreamIsIdleOnlyWithoutRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newChannel(&Client{}, "s", func() {})
	first := &queuedRequest{request: grant.Request{}, done: make(chan acquireResult, 1)}
	c.enqueue(now, first)
	_, streamID := c.beginStream(now, "s")
	c.resolve(first, acquireResult{})
	check := func(at time.Duration, idle bool, interval time.Duration) {
		b, pause := c.takeBatch(now.Add(at), streamID)
		g.Expect(isIdle(b)).To(Equal(idle), "after %v", at)
		g.Expect(pause).To(Equal(interval), "after %v", at)
	}
	check(0, false, HeartbeatInterval)
	check(IdleAfter-time.Millisecond, false, HeartbeatInterval)
	check(IdleAfter, true, IdleHeartbeatInterval)
	q := &queuedRequest{request: grant.Request{}, done: make(chan acquireResult, 1)}
	c.enqueue(now, q)
	check(IdleAfter+time.Second, false, HeartbeatInterval)
	check(10*IdleAfter, false, HeartbeatInterval)
	c.resolve(q, acquireResult{})
	check(11*IdleAfter, true, IdleHeartbeatInterval)
}

// After a takeover all nodes open their streams at the same time. Those without requests must not send
// heartbeats every 100 ms first, which cost a dispatcher of some hundred nodes its lease.
func TestNewStreamWithoutRequestsIsIdleAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := newChannel(&Client{}, "s", func() {})
	hello, streamID := c.beginStream(now, "s")
	g.Expect(isIdle(hello)).To(BeFalse())
	b, pause := c.takeBatch(now.Add(HeartbeatInterval), streamID)
	g.Expect(isIdle(b)).To(BeTrue())
	g.Expect(pause).To(Equal(IdleHeartbeatInterval))
}

// An idle node that gets no response closes a working stream. A node that gets none when it stops being
// idle waits for the next message at the interval of idle streams.
func TestIdleNodeGetsResponses(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	sess := &session{wake: make(chan struct{}, 1)}
	busy := &dispatchpb.NodeBatch{Progress: &dispatchpb.Progress{}}
	sess.recordMessage(now, busy)
	g.Expect(sess.wake).NotTo(Receive())
	sess.recordMessage(now, &dispatchpb.NodeBatch{})
	g.Expect(sess.wake).To(Receive())
	sess.recordMessage(now, busy)
	g.Expect(sess.wake).To(Receive())
	g.Expect(sess.interval()).To(Equal(HeartbeatInterval))
}

// A stream that stops being idle must not be closed because nothing was received while it was idle, nor be
// kept longer than any other stream if the dispatcher does not respond.
func TestResumedStreamGivesTheDispatcherTimeToRespond(t *testing.T) {
	g := NewWithT(t)
	lastHeard := time.Now()
	a := streamActivity{lastInFlight: lastHeard.Add(-IdleAfter)}
	a.update(lastHeard, false)
	g.Expect(a.unresponsive(lastHeard.Add(IdleStreamTimeout), lastHeard)).To(BeFalse())
	g.Expect(a.unresponsive(lastHeard.Add(IdleStreamTimeout+1), lastHeard)).To(BeTrue())
	resumed := lastHeard.Add(900 * time.Millisecond)
	a.update(resumed, true)
	g.Expect(a.unresponsive(resumed.Add(StreamTimeout), lastHeard)).To(BeFalse())
	g.Expect(a.unresponsive(resumed.Add(StreamTimeout+1), lastHeard)).To(BeTrue())
}

// A node that uses its own share before the dispatcher has reserved it sends a server more requests than it
// has slots. The test drops all messages of the node from the time lost on.
func TestShareIsReservedBeforeANodeUsesIt(t *testing.T) {
	g := NewWithT(t)
	begin := time.Now()
	for lost := time.Duration(0); lost < 2*IdleAfter; lost += 70 * time.Millisecond {
		a := streamActivity{lastInFlight: begin}
		sess := &session{wake: make(chan struct{}, 1), lastHeard: begin}
		lastHeard := begin
		due := begin
		for at := time.Duration(0); at < 4*IdleAfter; at += 10 * time.Millisecond {
			now := begin.Add(at)
			if !now.Before(due) {
				a.update(now, at > lost+100*time.Millisecond)
				due = now.Add(a.interval())
				if at < lost {
					batch := &dispatchpb.NodeBatch{}
					if !a.idle {
						batch.Progress = &dispatchpb.Progress{}
					}
					sess.recordMessage(now, batch)
					lastHeard, a.heardIdle = now, a.idle
				}
			}
			if a.autonomous(now, lastHeard) {
				g.Expect(sess.unresponsive(now)).To(BeTrue(), "lost after %v, autonomous after %v", lost, at)
			}
		}
		g.Expect(a.autonomous(begin.Add(4*IdleAfter), lastHeard)).To(BeTrue())
	}
}
