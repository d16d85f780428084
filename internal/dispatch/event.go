package dispatch

import "time"

// Event is a change in the dispatcher's assessment of a server, for the log.
type Event struct {
	Instance string
	// Kind is one of the event constants: ejected, suspended, held, deprioritized, limited, path blocked,
	// canary failed, returned, or rate limited and no longer limited.
	Kind string
	// Reason names the evidence, or the blocked path.
	Reason string
	// Failures is the current failure rate of the server. InFlight and Limit are its requests in flight and
	// their limit at the time of the event.
	Failures        float64
	InFlight, Limit int
	// Healthy and Minimum are the healthy capacity and its required minimum, in slots.
	Healthy, Minimum int
	// OutFor is how long the server has been out of rotation; 0 if it was in rotation.
	OutFor time.Duration
}

// The kinds of event.
const (
	eventEjected   = "ejected"
	eventSuspended = "suspended"
	eventHeld      = "held after a crash"
	// eventDeprioritized is recorded for a failing server that the minimum keeps in rotation and that
	// requests avoid while they can. The log and ServerCounts call such a server spared.
	eventDeprioritized = "spared, since the minimum keeps it"
	eventLimited       = "limited to one slot, since the minimum keeps it"
	eventBlocked       = "path blocked"
	eventReturned      = "returned"
	// eventRateLimited and eventRateLifted are recorded when a server begins and ceases to name a rate.
	eventRateLimited = "rate limited, as the server asks"
	eventRateLifted  = "rate no longer limited"
	// eventCanaryFailed is recorded for a server that was already out of rotation and stays out.
	eventCanaryFailed = "canary failed"
)

// maxPendingEvents bounds the events between two calls of Events; further ones are dropped.
const maxPendingEvents = 256

var causeNames = map[cause]string{
	causeStall: "stall", causeError: "errors", causeSlow: "slow answers", causeRefused: "refused connections",
	causeInherited: "ejected by the former dispatcher",
}

// recordEvent appends an event unless maxPendingEvents are pending.
func (m *Machine) recordEvent(now time.Time, s *server, kind, reason string) {
	if len(m.events) >= maxPendingEvents {
		return
	}
	out := time.Duration(0)
	if !s.outSince.IsZero() {
		out = now.Sub(s.outSince)
	}
	m.events = append(m.events, Event{
		Instance: s.Instance, Kind: kind, Reason: reason, Failures: s.failureRate.current(now),
		InFlight: len(s.inflight), Limit: s.limit(now), Healthy: m.healthyCapacity(now), Minimum: m.minimum(now), OutFor: out,
	})
}

// Events returns the events since the last call. The slice is valid until the next event.
func (m *Machine) Events() []Event {
	events := m.events
	m.events = m.events[:0]
	return events
}
