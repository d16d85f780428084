package dispatchrpc

import "time"

const (
	// sessionsPerInterval is the number of streams that a process serves with heartbeats every
	// HeartbeatInterval. With more streams the pauses grow in proportion, so that the heartbeats of all streams
	// cost the same processor time.
	sessionsPerInterval = 64
	// maxHeartbeatInterval bounds the pauses. Nodes learn of a new dispatcher from the elections too, so a
	// frozen dispatcher is noticed sooner than by its silence.
	maxHeartbeatInterval = 4 * HeartbeatInterval
	// heartbeatSteps is the number of steps in which a pause changes per HeartbeatInterval, so that nodes are
	// not told of each node that connects.
	heartbeatSteps = 2
	// missedHeartbeats is the number of heartbeats after which a peer is unresponsive.
	missedHeartbeats = int(StreamTimeout / HeartbeatInterval)
)

// heartbeatInterval returns the longest pause between two messages on a stream that is not idle, for a process
// that serves the given number of streams.
func heartbeatInterval(sessions int) time.Duration {
	const step = HeartbeatInterval / heartbeatSteps
	wanted := HeartbeatInterval * time.Duration(sessions) / sessionsPerInterval
	return min(max(wanted.Truncate(step), HeartbeatInterval), maxHeartbeatInterval)
}

// heartbeatOrDefault returns the interval, or HeartbeatInterval before one is known.
func heartbeatOrDefault(interval time.Duration) time.Duration {
	if interval == 0 {
		return HeartbeatInterval
	}
	return interval
}

// streamTimeout is how long either side waits for a message on a stream that is not idle.
func streamTimeout(interval time.Duration) time.Duration {
	return time.Duration(missedHeartbeats) * heartbeatOrDefault(interval)
}

// setHeartbeat tells the node of a new interval.
func (sess *session) setHeartbeat(interval time.Duration) {
	if heartbeatOrDefault(sess.heartbeat) == interval {
		return
	}
	sess.heartbeat = interval
	sess.pending().HeartbeatMs = uint32(interval.Milliseconds())
}

// applyHeartbeat applies the interval of a message from the dispatcher. Out-of-range values are bounded.
func (a *streamActivity) applyHeartbeat(ms uint32) {
	if ms > 0 {
		a.heartbeat = min(max(time.Duration(ms)*time.Millisecond, HeartbeatInterval), maxHeartbeatInterval)
	}
}
