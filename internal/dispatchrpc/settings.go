package dispatchrpc

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// Times of streams between nodes and dispatchers.
const (
	// HeartbeatEvery is the longest pause between two messages in either direction of a stream that
	// is not quiet.
	HeartbeatEvery = 100 * time.Millisecond
	// StreamTimeout is the silence after which either side gives a stream up.
	StreamTimeout = 300 * time.Millisecond
	// IdleAfter is how long a node has nothing in flight before its stream is quiet.
	IdleAfter = 2 * time.Second
	// IdleHeartbeatEvery is the longest pause between two messages of a node on a quiet stream. With 48 nodes
	// the heartbeats of idle streams would otherwise cost a dispatcher 50 KB/s.
	IdleHeartbeatEvery = time.Second
	// IdleStreamTimeout is the silence after which either side gives a quiet stream up.
	IdleStreamTimeout = IdleHeartbeatEvery + StreamTimeout
	// ViewEvery is how often a dispatcher compares its view with the one that each node has.
	ViewEvery = 500 * time.Millisecond
	// ViewResendEvery is how often a dispatcher sends a view that has not changed.
	ViewResendEvery = 5 * time.Second
	// AutonomousAfter is the time without a dispatcher after which a node routes on its own.
	AutonomousAfter = 300 * time.Millisecond
	// MinHedgeDelay is the least delay before a hedge.
	MinHedgeDelay = 30 * time.Millisecond
	// censusEvery is how often a dispatcher logs how many servers get no work.
	censusEvery = time.Second
	// serversEvery is how often the dispatcher takes the registry's view.
	serversEvery = 100 * time.Millisecond
	// reconnectAfter is the pause before a node tries to reach a dispatcher again.
	reconnectAfter = 20 * time.Millisecond
)

// ServiceSettings are what operators set for one service.
type ServiceSettings struct {
	// MinimumHealthySlots is absolute; 0 means that MinimumHealthyPercent holds.
	MinimumHealthySlots   int
	MinimumHealthyPercent int
	// MinimumOfStaying leaves servers that drain or have left out of what the percentage refers to.
	MinimumOfStaying bool
	// Shares are the minimum shares of slot time by priority, 0 to 1.
	Shares [priority.Count]float64
	// Targets are the target latencies by priority; 0 means none.
	Targets [priority.Count]time.Duration
	// DefaultSlots and DefaultConnections hold for servers that announce none.
	DefaultSlots       int
	DefaultConnections int
	// RetryShare and RetryFloor bound retries and hedges; 0 means the default.
	RetryShare, RetryFloor float64
	// Members is the host set of the service, in the same order on every node. Callers must not change it.
	Members []dispatch.Member
}

// Settings gives the settings in force. It must be safe for concurrent use and cheap.
type Settings interface {
	// Services lists the services whose host set holds this node.
	Services() []string
	// Service returns the settings of one service; ok is false if there is none.
	Service(name string) (s ServiceSettings, ok bool)
}

func (s ServiceSettings) config(service string, term uint64) dispatch.Config {
	return dispatch.Config{
		Service:               service,
		Term:                  term,
		MinimumHealthySlots:   s.MinimumHealthySlots,
		MinimumHealthyPercent: s.MinimumHealthyPercent,
		MinimumOfStaying:      s.MinimumOfStaying,
		Shares:                s.Shares,
		Targets:               s.Targets,
		DefaultSlots:          s.DefaultSlots,
		DefaultConnections:    s.DefaultConnections,
		RetryShare:            s.RetryShare,
		RetryFloor:            s.RetryFloor,
		Members:               s.Members,
	}
}
