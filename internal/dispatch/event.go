package dispatch

import "time"

// Event is one change of what the dispatcher believes of a server, for the log.
type Event struct {
	Instance string
	// Kind happened: ejected, suspended, held, spared, limited, path blocked, canary failed, returned.
	Kind string
	// Reason names the evidence, or the path of a blocked one.
	Reason string
	// Failures is the recent share of failures; InFlight and Limit are the requests at the moment.
	Failures        float64
	InFlight, Limit int
	// Healthy and Minimum are the healthy capacity and the least allowed, in slots.
	Healthy, Minimum int
	// OutFor is how long the server has been out of rotation; 0 if it was not.
	OutFor time.Duration
}

// What can happen to a server.
const (
	eventEjected   = "ejected"
	eventSuspended = "suspended"
	eventHeld      = "held after a crash"
	eventSpared    = "spared, since the minimum keeps it"
	eventLimited   = "limited to one slot, since the minimum keeps it"
	eventBlocked   = "path blocked"
	eventReturned  = "returned"
	// eventCanaryFailed keeps a server out that already was.
	eventCanaryFailed = "canary failed"
)

// maxEvents bounds the events between two calls of Events.
const maxEvents = 256

var causeNames = map[cause]string{
	causeStall: "stall", causeError: "errors", causeSlow: "slow answers", causeRefused: "refused connections",
	causeInherited: "ejected by the former dispatcher",
}

// note records an event.
func (m *Machine) note(now time.Time, s *server, what, why string) {
	if len(m.events) >= maxEvents {
		return
	}
	out := time.Duration(0)
	if !s.outSince.IsZero() {
		out = now.Sub(s.outSince)
	}
	m.events = append(m.events, Event{
		Instance: s.Instance, Kind: what, Reason: why, Failures: s.failing.share(now),
		InFlight: len(s.inflight), Limit: s.limit(now), Healthy: m.healthyCapacity(now), Minimum: m.minimum(now), OutFor: out,
	})
}

// Events returns the events since the last call. The slice is valid until the next event.
func (m *Machine) Events() []Event {
	events := m.events
	m.events = m.events[:0]
	return events
}
