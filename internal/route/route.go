// Package route defines what the request path reads from the accepted configuration.
package route

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// Match is the route that a request takes.
type Match struct {
	Route string
	// Service is empty if the requests are split among services.
	Service string
	// Split lists the services among which the requests are split, if there are several.
	Split      []SplitPart
	Priority   priority.Priority
	Idempotent bool
	// BodyLimit is the largest accepted request body in bytes.
	BodyLimit int64
	// DefaultDeadline applies when the caller states none.
	DefaultDeadline time.Duration
	// Timeout is the longest time until the caller has an answer, whatever its deadline; 0 means no bound.
	Timeout time.Duration
	// Attempts is the most backend servers that one request is sent to; 0 means the default.
	Attempts int
	// Keyless is set if non-idempotent requests need no key: each is sent to a backend server at most once.
	Keyless bool
	// TargetLatency is the latency within which the answer counts as good; 0 if the service has no target.
	TargetLatency time.Duration
	// TargetShare is the share of requests that must be good; 0 if the service has no target.
	TargetShare float64
}

// SplitPart is one service of a route whose requests are split.
type SplitPart struct {
	Service string
	// CumulativeShare is the sum of the shares up to this part; that of the last is 1.
	CumulativeShare float64
}

// ChooseService returns the service for a position from 0 to 1, exclusively.
func (m *Match) ChooseService(position float64) string {
	for _, p := range m.Split {
		if position < p.CumulativeShare {
			return p.Service
		}
	}
	return m.Service
}

// Team is a group of callers that share a quota.
type Team struct {
	ID string
	// Weight is the team's share relative to other teams, at least 1.
	Weight uint32
	// InFlightQuota bounds the team's requests in flight on this node.
	InFlightQuota uint32
	// Services lists what the team may call; empty means all.
	Services []string
}

// Snapshot is one immutable revision. It is safe for concurrent use.
type Snapshot interface {
	Revision() uint64
	// Match finds the route of a request; ok is false if there is none.
	Match(hostName, method, path string) (m Match, ok bool)
	// Team returns the team, or the default team's settings for an unknown one.
	Team(id string) Team
	// HasService tells whether the service is configured.
	HasService(service string) bool
}

// Source returns the snapshot in force, or nil before the first.
type Source interface {
	Current() Snapshot
}
