package standin

import "time"

// Faults selects the simulated faults. The zero value is a healthy server.
type Faults struct {
	// StallWork suspends all work without a response, while the health and load endpoints still respond.
	StallWork bool `json:"stall_work,omitempty"`
	// FlapMS alternates between serving and stalling work, each for this many milliseconds; 0 means no
	// flapping.
	FlapMS int64 `json:"flap_ms,omitempty"`
	// SlowFactor multiplies the work time; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// RefuseInbound resets all connections, and new ones immediately, while announcements continue.
	RefuseInbound bool `json:"refuse_inbound,omitempty"`
	// DropResponses runs work but never responds, as in a network partition from the server to the nodes.
	DropResponses bool `json:"drop_answers,omitempty"`
	// RefuseOutbound stops announcements, while work is still served.
	RefuseOutbound bool `json:"refuse_outbound,omitempty"`
	// ErrorShare is the fraction of requests that get status 500 after their work, 0 to 1.
	ErrorShare float64 `json:"error_share,omitempty"`
	// TruncateShare is the fraction of responses whose body is truncated to half its length, 0 to 1.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// RateLimit is the rate in requests per second that each response to work names, as that which the server
	// accepts from all hosts together; 0 means that it names none.
	RateLimit float64 `json:"rate_limit,omitempty"`
	// PauseMS makes the server reject all work and ask each host to pause for this many milliseconds; 0 means no.
	PauseMS int64 `json:"pause_ms,omitempty"`
	// ReportUnhealthy makes the health endpoint report a healthy server as unhealthy.
	ReportUnhealthy bool `json:"report_unhealthy,omitempty"`
	// ReportIdle makes the load endpoint and the announcements report a load of 0.
	ReportIdle bool `json:"report_idle,omitempty"`
}

// stalled reports whether work is stalled at the given time after the faults were set.
func (f Faults) stalled(since time.Duration) bool {
	if f.FlapMS <= 0 {
		return f.StallWork
	}
	period := time.Duration(f.FlapMS) * time.Millisecond
	return (since/period)%2 == 1
}

// validate returns a message about the first invalid field, or "" if there is none.
func (f Faults) validate() string {
	switch {
	case f.FlapMS < 0:
		return "flap_ms must not be negative"
	case f.SlowFactor < 0:
		return "slow_factor must not be negative"
	case f.ErrorShare < 0 || f.ErrorShare > 1:
		return "error_share must be 0 to 1"
	case f.PauseMS < 0:
		return "pause_ms must not be negative"
	case f.RateLimit < 0:
		return "rate_limit must not be negative"
	case f.TruncateShare < 0 || f.TruncateShare > 1:
		return "truncate_share must be 0 to 1"
	default:
		return ""
	}
}
