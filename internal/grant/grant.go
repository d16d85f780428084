// Package grant defines how the request path obtains a backend server for each request.
//
// Implementations are the dispatcher's client, the autonomous mode of a node and the baselines that
// benchmarks compare with.
package grant

import (
	"context"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// Purpose is the reason for which a grant is requested.
type Purpose uint8

// The purposes of a grant. Retries and hedges are charged to the fleet-wide retry budget.
const (
	First Purpose = iota
	Retry
	Hedge
)

// Request asks for one backend server.
type Request struct {
	Service  string
	Priority priority.Priority
	Team     string
	// Weight is the weight of the team in fair queueing; 0 means 1.
	Weight   uint32
	Deadline time.Time
	// Kind distinguishes kinds of work that differ in duration, for example by a hash of the route; 0 if
	// unknown.
	Kind uint32
	// Target is the latency within which a response counts as good; 0 means the target of the priority.
	Target time.Duration
	// Fingerprint identifies requests for the same work: a hash of route and key, or of route, path and
	// body.
	Fingerprint uint64
	Idempotent  bool
	// Keyless is set if the request is not idempotent and waits for no claim, so that it is sent as soon as it
	// is granted.
	Keyless bool
	// Exclude lists the instances that this request must not use again.
	Exclude []string
	Purpose Purpose
}

// Server is the backend server that a grant names.
type Server struct {
	Service  string
	Instance string
	// Address has the form ip:port.
	Address    string
	DataCentre string
	// Autonomous is set if the node chose the server without a dispatcher.
	Autonomous bool
	// ListAge is the time since the server list of an autonomous node was last known to be current.
	ListAge time.Duration
}

// Result is the outcome of a granted request.
type Result uint8

// The results of a granted request.
const (
	// OK is a complete response with a status below 500.
	OK Result = iota + 1
	// Error is a complete response with a status of 500 or above.
	Error
	// ConnectFailed means that no connection could be opened.
	ConnectFailed
	// Broken means that the connection broke before the response was complete.
	Broken
	// Shed means that the server rejected the request before running it.
	Shed
	// Timeout means that the deadline passed before the response was complete.
	Timeout
	// Cancelled means that the caller disconnected or that another attempt won.
	Cancelled
	// Unused means that the grant was returned before any byte was sent.
	Unused
)

var resultNames = map[Result]string{
	OK: "ok", Error: "error", ConnectFailed: "connect failed", Broken: "broken", Shed: "shed",
	Timeout: "timeout", Cancelled: "cancelled", Unused: "unused",
}

// String returns the name used in log lines.
func (r Result) String() string {
	return resultNames[r]
}

// ServerSignals is what a server says about itself in a response.
type ServerSignals struct {
	// Draining is set when the server signalled that it is draining.
	Draining bool
	// RateLimited is set if the server names the rate of requests that it accepts from all nodes together. Rate is
	// that rate in requests per second.
	RateLimited bool
	Rate        float64
	// Pause is how long the server wants no requests from this node; 0 if it does not say.
	Pause time.Duration
}

// Completion reports the end of a granted request.
type Completion struct {
	Result Result
	// FirstByte is the time from sending to the first byte of the response; 0 if none arrived.
	FirstByte time.Duration
	// Total is the time from sending to the end.
	Total time.Duration
	// ServerSignals are those of the response; zero without one.
	ServerSignals
}

// HasHead reports whether the head of a response arrived, so that missing signals mean that the server no longer sends
// them.
func (c *Completion) HasHead() bool {
	return c.Result == OK || c.Result == Error || c.Result == Shed || c.ServerSignals != (ServerSignals{})
}

// HeadAge returns for how long the head of the response has been known at the end of the request.
func (c *Completion) HeadAge() time.Duration {
	return c.Total - c.FirstByte
}

// Grant is the permission to send one request to one backend server.
type Grant interface {
	Server() Server
	// Expires returns the time until which the request may be sent. After it, the holder must complete the
	// grant as Unused.
	Expires() time.Time
	// FirstByte reports that the response has begun.
	FirstByte()
	// Signals reports what the server says about itself in the head of its response, which may end much later.
	Signals(ServerSignals)
	// Advised returns a channel that is closed when the request should be retried on another server
	// immediately, because its own server was ejected.
	Advised() <-chan struct{}
	// Complete ends the grant and frees its slot. Later calls have no effect.
	Complete(Completion)
}

// Source provides grants. Errors are *problem.Problem with the outcome not-run.
type Source interface {
	Acquire(ctx context.Context, r Request) (Grant, error)
	// HedgeDelay returns how long to wait for a first byte before hedging, or 0 if requests must not be
	// hedged.
	HedgeDelay(service string) time.Duration
}
