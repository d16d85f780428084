package dispatchrpc

import (
	"time"

	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// streamActivity decides whether a node's stream is idle, which determines how often the node sends. A
// stream is idle when the node had nothing in flight for IdleAfter: the node then sends a message without
// Progress every IdleHeartbeatInterval, and the dispatcher responds to each of them. The caller holds the
// channel's mutex.
type streamActivity struct {
	// lastInFlight is the last time at which the node had something in flight.
	lastInFlight time.Time
	// idle is set if the node's last message marked the stream as idle.
	idle bool
	// resumedAt is when the stream last stopped being idle.
	resumedAt time.Time
	// heardIdle is set if the stream was idle when the dispatcher was last heard from.
	heardIdle bool
	// heartbeat is the longest pause between messages while the stream is not idle, as the dispatcher set it; 0
	// before it did.
	heartbeat time.Duration
}

// beginStream resets the activity for a new stream. Its first message counts as not idle; without requests the
// next one does, since after a takeover all nodes open their streams at the same time.
func (a *streamActivity) beginStream(now time.Time, inFlight bool) {
	a.idle, a.heartbeat = false, 0
	a.lastInFlight = now
	if !inFlight {
		a.lastInFlight = now.Add(-IdleAfter)
	}
}

// update decides whether the next message marks the stream as idle.
func (a *streamActivity) update(now time.Time, inFlight bool) {
	if inFlight {
		a.lastInFlight = now
	}
	was := a.idle
	a.idle = now.Sub(a.lastInFlight) >= IdleAfter
	if was && !a.idle {
		a.resumedAt = now
	}
}

// interval returns the longest pause before the next message.
func (a *streamActivity) interval() time.Duration {
	if a.idle {
		return IdleHeartbeatInterval
	}
	return heartbeatOrDefault(a.heartbeat)
}

// unresponsive reports whether the dispatcher, last heard from at lastHeard, has sent nothing for longer
// than allowed. After a stream stops being idle, its dispatcher has the same time to respond.
func (a *streamActivity) unresponsive(now, lastHeard time.Time) bool {
	if a.idle {
		return now.Sub(lastHeard) > IdleStreamTimeout
	}
	return now.Sub(latest(lastHeard, a.resumedAt)) > streamTimeout(a.heartbeat)
}

// autonomous reports whether the node, which last heard from its dispatcher at lastHeard, may use its own
// share. A dispatcher reserves the share of an idle node only after it has heard nothing from the node for
// IdleStreamTimeout, so the node must not use it earlier.
func (a *streamActivity) autonomous(now, lastHeard time.Time) bool {
	if a.heardIdle {
		return now.Sub(lastHeard) > IdleStreamTimeout
	}
	return now.Sub(lastHeard) > max(AutonomousAfter, streamTimeout(a.heartbeat))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// inFlight reports whether the node has queued requests, holds grants or has something to send.
func (c *channel) inFlight() bool {
	o := c.outgoing
	return len(c.queued)+len(c.held)+len(o.Acquires)+len(o.Cancels)+len(o.Completes) > 0
}

// recordStreamEnd records that the dispatcher ended the stream: it has either noticed the loss of the
// node's messages or stopped. If the stream was idle, the node becomes autonomous AutonomousAfter from now
// instead of after the longer timeout of an idle stream.
func (c *channel) recordStreamEnd(now time.Time, streamID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streamID == streamID && c.activity.heardIdle {
		c.activity.heardIdle = false
		c.lastHeard = now
	}
}

// isIdle reports whether a message from a node marks the stream as idle.
func isIdle(b *dispatchpb.NodeBatch) bool {
	return b.Hello == nil && b.Progress == nil
}

// interval returns the longest pause before the next message to the node. An idle node gets responses only.
func (sess *session) interval() time.Duration {
	if sess.idle {
		return IdleStreamTimeout
	}
	return heartbeatOrDefault(sess.heartbeat)
}

// unresponsive reports whether the node has sent nothing for longer than allowed.
func (sess *session) unresponsive(now time.Time) bool {
	if sess.idle {
		return now.Sub(sess.lastHeard) > IdleStreamTimeout
	}
	return now.Sub(sess.lastHeard) > streamTimeout(sess.heartbeat)
}

// recordMessage records the time of a message from the node and whether the stream is idle. It triggers a
// response to messages on an idle stream and to the first message after it.
func (sess *session) recordMessage(now time.Time, b *dispatchpb.NodeBatch) {
	idle := isIdle(b)
	if idle || sess.idle {
		sess.wakeWriter()
	}
	sess.idle = idle
	sess.lastHeard = now
	sess.nodeSentMs = b.SentMs
}
