// Package route defines what the request path reads from the accepted configuration.
package route

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
)

// Match is the route that applies to a request.
type Match struct {
	Route string
	// Service is empty if requests are split among several services.
	Service string
	// Split lists the services among which requests are split, if there are several.
	Split      []SplitPart
	Priority   priority.Priority
	Idempotent bool
	// BodyLimit is the largest accepted request body in bytes.
	BodyLimit int64
	// DefaultDeadline applies when the caller specifies none.
	DefaultDeadline time.Duration
	// Timeout limits the time until the caller gets a response, whatever its deadline; 0 means no limit.
	Timeout time.Duration
	// Attempts is the maximum number of backend servers that one request is sent to; 0 means the default.
	Attempts int
	// Keyless is set if non-idempotent requests need no idempotency key. Each is then sent to a backend
	// server at most once.
	Keyless bool
	// Public is set if requests need no key even where the configuration requires keys.
	Public bool
	// TargetLatency is the latency within which a response counts as good; 0 if the service has no target.
	TargetLatency time.Duration
	// TargetShare is the share of requests that must be good; 0 if the service has no target.
	TargetShare float64
}

// SplitPart is one service of a route that splits requests among services.
type SplitPart struct {
	Service string
	// CumulativeShare is the sum of the shares up to and including this part; it is 1 for the last part.
	CumulativeShare float64
}

// ChooseService returns the service for a position in the interval [0, 1).
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
	// InFlightQuota limits the team's requests in flight on this node.
	InFlightQuota uint32
	// Services lists the services that the team may call; empty means all.
	Services []string
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority    priority.Priority
	HasPriority bool
	// Limit is the team's usage cap over all hosts together.
	Limit usagecap.Limit
}

// Snapshot is one immutable revision of the configuration. It is safe for concurrent use.
type Snapshot interface {
	Revision() uint64
	// Match returns the route of a request; ok is false if there is none.
	Match(hostName, method, path string) (m Match, ok bool)
	// Team returns the team, or the settings of the default team if the id is unknown.
	Team(id string) Team
	// RequiresKeys reports whether requests of routes that are not public need the key of a team.
	RequiresKeys() bool
	// TeamOfKey returns the team that holds the key; ok is false if there is none.
	TeamOfKey(key string) (team Team, ok bool)
	// HasService reports whether the service is configured.
	HasService(service string) bool
}

// Source provides the snapshot in force; Current returns nil until there is one.
type Source interface {
	Current() Snapshot
}
