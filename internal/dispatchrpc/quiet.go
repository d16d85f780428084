package dispatchrpc

import (
	"time"

	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// pace is what a node tells its dispatcher about its next message. A stream on which the node had
// nothing in flight for a while is quiet: the node sends a message without Progress every
// QuietEvery, and the dispatcher answers each of them. The caller holds the channel's mutex.
type pace struct {
	// used is the last time at which the node had something in flight.
	used time.Time
	// quiet is set while the last message said that the stream is quiet.
	quiet bool
	// woke is when the stream was quiet last.
	woke time.Time
	// heardQuiet is set if the stream was quiet when the dispatcher was heard last.
	heardQuiet bool
}

// next chooses whether the next message says that the stream is quiet.
func (p *pace) next(now time.Time, inFlight bool) {
	if inFlight {
		p.used = now
	}
	was := p.quiet
	p.quiet = now.Sub(p.used) >= IdleAfter
	if was && !p.quiet {
		p.woke = now
	}
}

// interval is the longest pause before the next message.
func (p *pace) interval() time.Duration {
	if p.quiet {
		return IdleHeartbeatEvery
	}
	return HeartbeatEvery
}

// silent tells whether the dispatcher, which was heard last at the given time, has been silent for
// longer than it may be. A stream that woke up gives its dispatcher the time to answer.
func (p *pace) silent(now, heard time.Time) bool {
	if p.quiet {
		return now.Sub(heard) > IdleStreamTimeout
	}
	return now.Sub(later(heard, p.woke)) > StreamTimeout
}

// alone tells whether the node, which heard its dispatcher last at the given time, may use its own
// share. A dispatcher reserves the share of a quiet node only when the node missed QuietLimit, so the
// node must not use it before.
func (p *pace) alone(now, heard time.Time) bool {
	if p.heardQuiet {
		return now.Sub(heard) > IdleStreamTimeout
	}
	return now.Sub(heard) > AutonomousAfter
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// inFlight tells whether the node waits for grants, holds grants or has something to send.
func (c *channel) inFlight() bool {
	o := c.out
	return len(c.calls)+len(c.held)+len(o.Acquires)+len(o.Cancels)+len(o.Completes) > 0
}

// broken records that the dispatcher ended the stream: it has noticed the loss, or is gone.
func (c *channel) broken(now time.Time, stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream == stream && c.pace.heardQuiet {
		c.pace.heardQuiet = false
		c.heard = now
	}
}

// isQuiet tells whether a node's message says that the stream is quiet.
func isQuiet(b *dispatchpb.NodeBatch) bool {
	return b.Hello == nil && b.Progress == nil
}

// interval is the longest pause before the next message to the node. A quiet node gets answers only.
func (x *session) interval() time.Duration {
	if x.quiet {
		return IdleStreamTimeout
	}
	return HeartbeatEvery
}

// silent tells whether the node has been silent for longer than it may be.
func (x *session) silent(now time.Time) bool {
	if x.quiet {
		return now.Sub(x.heard) > IdleStreamTimeout
	}
	return now.Sub(x.heard) > StreamTimeout
}

// hear takes the pace of a node's message, and answers messages that change it or are quiet.
func (x *session) hear(now time.Time, b *dispatchpb.NodeBatch) {
	quiet := isQuiet(b)
	if quiet || x.quiet {
		x.signal()
	}
	x.quiet = quiet
	x.heard = now
}
