package dispatchrpc

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
)

// Intervals and timeouts of the streams between nodes and dispatchers.
const (
	// HeartbeatInterval is the longest pause between two messages in either direction of a stream that is
	// not idle.
	HeartbeatInterval = 100 * time.Millisecond
	// StreamTimeout is how long either side waits for a message before it closes the stream.
	StreamTimeout = 300 * time.Millisecond
	// IdleAfter is how long a node must have nothing in flight before its stream is idle.
	IdleAfter = 2 * time.Second
	// IdleHeartbeatInterval is the longest pause between two messages from a node on an idle stream. With
	// 48 nodes, heartbeats every HeartbeatInterval on idle streams would cost a dispatcher 50 KB/s.
	IdleHeartbeatInterval = time.Second
	// IdleStreamTimeout is how long either side waits for a message before it closes an idle stream.
	IdleStreamTimeout = IdleHeartbeatInterval + StreamTimeout
	// ViewInterval is how often a dispatcher compares its view with the one that each node has.
	ViewInterval = 500 * time.Millisecond
	// ViewResendInterval is how often a dispatcher sends a view that has not changed.
	ViewResendInterval = 5 * time.Second
	// AutonomousAfter is how long a node is without a dispatcher before it becomes autonomous.
	AutonomousAfter = 300 * time.Millisecond
	// MinHedgeDelay is the shortest delay before a hedge.
	MinHedgeDelay = 30 * time.Millisecond
	// countsLogInterval is how often a dispatcher logs how many servers get no requests.
	countsLogInterval = time.Second
	// registryPollInterval is how often a dispatcher reads the servers from the registry.
	registryPollInterval = 100 * time.Millisecond
	// reconnectDelay is the mean pause before a node tries to reach a dispatcher again.
	reconnectDelay = 20 * time.Millisecond
)

// ServiceSettings are the settings of one service that operators control.
type ServiceSettings struct {
	// MinimumHealthySlots is an absolute number; 0 means that MinimumHealthyPercent applies.
	MinimumHealthySlots   int
	MinimumHealthyPercent int
	// MinimumOfStaying excludes servers that are draining or have left from the base of the percentage.
	MinimumOfStaying bool
	// Shares are the minimum shares of slot time by priority, from 0 to 1.
	Shares [priority.Count]float64
	// Targets are the target latencies by priority; 0 means none.
	Targets [priority.Count]time.Duration
	// DefaultSlots and DefaultConnections apply to servers that announce none.
	DefaultSlots       int
	DefaultConnections int
	// RetryShare and RetryFloor limit retries and hedges; 0 means the default.
	RetryShare, RetryFloor float64
	// Shards is the number of dispatchers among which the service is divided; 0 means 1.
	Shards int
	// UsageCap returns the usage cap of a team; nil if no team has one. CapBound is how far caps may be exceeded.
	UsageCap func(team string) usagecap.Limit
	CapBound usagecap.Bound
	// Members is the host set of the service, in the same order on every node. Callers must not modify it.
	Members []dispatch.Member
}

// Settings provides the settings in force. Implementations must be safe for concurrent use, and calls must
// be cheap.
type Settings interface {
	// Services lists the services whose host set includes this node.
	Services() []string
	// Service returns the settings of one service; ok is false if there is none.
	Service(name string) (s ServiceSettings, ok bool)
}

// hasShard reports whether the service is divided in the way of which the shard is a part.
func (s ServiceSettings) hasShard(part shard.Shard) bool {
	return part.Count == max(s.Shards, 1)
}

// dispatchConfig returns the settings of one shard. Absolute limits of the service are divided evenly.
func (s ServiceSettings) dispatchConfig(part shard.Shard, term uint64) dispatch.Config {
	return dispatch.Config{
		Service:               part.Service,
		Term:                  term,
		MinimumHealthySlots:   (s.MinimumHealthySlots + part.Count - 1) / part.Count,
		MinimumHealthyPercent: s.MinimumHealthyPercent,
		MinimumOfStaying:      s.MinimumOfStaying,
		Shares:                s.Shares,
		Targets:               s.Targets,
		DefaultSlots:          s.DefaultSlots,
		DefaultConnections:    s.DefaultConnections,
		RetryShare:            s.RetryShare,
		RetryFloor:            s.RetryFloor / float64(part.Count),
		Members:               s.Members,
		Part:                  part.String(),
		UsageCap:              s.UsageCap,
		CapBound:              s.CapBound,
	}
}
