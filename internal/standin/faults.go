package standin

import "time"

// Faults are the faults in force. The zero value is a healthy server.
type Faults struct {
	// StallWork holds all work without an answer while health and load are answered.
	StallWork bool `json:"stall_work,omitempty"`
	// FlapMS alternates StallWork off and on, each for this many milliseconds; 0 means no flapping.
	FlapMS int64 `json:"flap_ms,omitempty"`
	// SlowFactor multiplies the work time; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// RefuseInbound breaks all connections and closes new ones at once, while announcements go on.
	RefuseInbound bool `json:"refuse_inbound,omitempty"`
	// DropResponses runs work but never answers: the network from the server to the nodes is cut.
	DropResponses bool `json:"drop_answers,omitempty"`
	// RefuseOutbound stops announcements, while work is served.
	RefuseOutbound bool `json:"refuse_outbound,omitempty"`
	// ErrorShare is the share of requests that are answered with status 500 after their work, 0 to 1.
	ErrorShare float64 `json:"error_share,omitempty"`
	// TruncateShare is the share of answers that break off half way, 0 to 1.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// ReportUnhealthy makes the health endpoint report a healthy server as unhealthy.
	ReportUnhealthy bool `json:"report_unhealthy,omitempty"`
	// ReportIdle makes the load endpoint and the announcements report no load.
	ReportIdle bool `json:"report_idle,omitempty"`
}

// stalled tells whether work is held at the given time since the faults were set.
func (f Faults) stalled(since time.Duration) bool {
	if f.FlapMS <= 0 {
		return f.StallWork
	}
	period := time.Duration(f.FlapMS) * time.Millisecond
	return (since/period)%2 == 1
}

// validate returns what is wrong, or "".
func (f Faults) validate() string {
	switch {
	case f.FlapMS < 0:
		return "flap_ms must not be negative"
	case f.SlowFactor < 0:
		return "slow_factor must not be negative"
	case f.ErrorShare < 0 || f.ErrorShare > 1:
		return "error_share must be 0 to 1"
	case f.TruncateShare < 0 || f.TruncateShare > 1:
		return "truncate_share must be 0 to 1"
	default:
		return ""
	}
}
