// Package grant defines how the request path asks for a backend server.
//
// Implementations are the dispatcher's client, the autonomous mode of a node and
// the baselines that benchmarks compare with.
package grant

import (
	"context"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// Purpose tells why a grant is asked for.
type Purpose uint8

// The purposes of a grant. Retries and hedges are paid from the fleet-wide budget.
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
	// Weight of the team in fair queueing; 0 means 1.
	Weight   uint32
	Deadline time.Time
	// Kind tells work of different length apart, such as the hash of the route; 0 if it is not known.
	Kind uint32
	// Target is the latency within which the answer counts as good; 0 means that of the priority.
	Target time.Duration
	// Fingerprint identifies requests that are the same work: route and key, or route, path and body hash.
	Fingerprint uint64
	Idempotent  bool
	// Exclude lists instances that this request must not use again.
	Exclude []string
	Purpose Purpose
}

// Server is the backend server that a grant names.
type Server struct {
	Service  string
	Instance string
	// Address is ip:port.
	Address    string
	DataCentre string
	// Autonomous is set if the node chose the server without a dispatcher.
	Autonomous bool
	// ListAge is how long ago the list was known to be current from which the node chose alone.
	ListAge time.Duration
}

// Result tells how the granted request ended.
type Result uint8

// The results of a granted request.
const (
	// OK is a whole answer with a status below 500.
	OK Result = iota + 1
	// Error is a whole answer with a status of 500 or above.
	Error
	// ConnectFailed means that no connection could be opened.
	ConnectFailed
	// Broken means that the connection broke before the answer was whole.
	Broken
	// Shed means that the server rejected the request before running it.
	Shed
	// Timeout means that the deadline passed without a whole answer.
	Timeout
	// Cancelled means that the caller went away or that another attempt won.
	Cancelled
	// Unused means that the grant was given back before any byte was sent.
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

// Completion reports the end of a granted request.
type Completion struct {
	Result Result
	// FirstByte is the time from sending to the first byte of the answer; 0 if none came.
	FirstByte time.Duration
	// Total is the time from sending to the end.
	Total time.Duration
	// Draining is set when the server signalled that it is draining.
	Draining bool
}

// Grant is the permission to send one request to one backend server.
type Grant interface {
	Server() Server
	// Expires is the time until which the request may be sent; later the holder must complete it as Unused.
	Expires() time.Time
	// FirstByte reports that the answer began.
	FirstByte()
	// Advised is closed when the request should be retried elsewhere at once, since the server was ejected.
	Advised() <-chan struct{}
	// Complete ends the grant and frees its slot. Only the first call counts.
	Complete(Completion)
}

// Source hands out grants. Errors are *problem.Problem with the outcome not-run.
type Source interface {
	Acquire(ctx context.Context, r Request) (Grant, error)
	// HedgeDelay returns how long to wait for a first byte before hedging, or 0 to not hedge.
	HedgeDelay(service string) time.Duration
}
