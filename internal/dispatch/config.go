package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// Times and limits of the dispatcher.
const (
	// GrantExpiry is how long a node may hold a grant before it sends the request.
	GrantExpiry = 250 * time.Millisecond
	// CollectionPeriod is how long a new dispatcher collects outstanding grants before it grants.
	CollectionPeriod = 150 * time.Millisecond
	// StreamGrace is how long the grants of a lost stream keep their slots. The node needs up to
	// 300 ms to notice the loss, and then closes its requests or reports them to the next dispatcher.
	StreamGrace = time.Second
	// DeadAfter is how long a member must be confirmed dead before its autonomous share is used again.
	DeadAfter = 5 * time.Second
	// TickInterval is how often Tick should be called.
	TickInterval = 20 * time.Millisecond
	// defaultWarmUp is used when a server announces no warm-up.
	defaultWarmUp = 10 * time.Second
	// queuePerSlot bounds the queue of one priority per announced slot.
	queuePerSlot = 50
	// queueFloor is the least bound of the queue of one priority.
	queueFloor = 256
	// teamBuckets bounds the fairness state of one priority.
	teamBuckets = 1024
	// peakMinutes is the span over which the announced capacity is remembered for the percentage minimum.
	peakMinutes = 10
	// refuseRetryAfter is the wait told with refusals that a later attempt may avoid.
	refuseRetryAfter = time.Second
)

// Member is one node of the host set of a service.
type Member struct {
	Node       string
	DataCentre string
	// Dead is set while the membership has confirmed that the node is dead.
	Dead bool
}

// Config is what operators set for a service.
type Config struct {
	Service string
	// Term of the dispatcher's lease. It salts the hash of teams.
	Term uint64
	// MinimumHealthySlots is the absolute minimum healthy capacity; 0 means that the percentage holds.
	MinimumHealthySlots int
	// MinimumHealthyPercent refers to the highest announced capacity of the last 10 minutes.
	MinimumHealthyPercent int
	// MinimumOfStaying leaves servers that drain or have left out of the announced capacity to which the
	// percentage refers. Without it they count for 10 minutes.
	MinimumOfStaying bool
	// Shares are the minimum shares of slot time by priority, 0 to 1.
	Shares [priority.Count]float64
	// Targets are the target latencies by priority; 0 means that the priority has none.
	Targets [priority.Count]time.Duration
	// DefaultSlots is used for servers that announce none.
	DefaultSlots int
	// DefaultConnections is used for servers that announce none; 0 means no limit.
	DefaultConnections int
	// RetryShare and RetryFloor bound the retries and hedges of 10 s: the share of the granted requests,
	// and what is allowed beyond it. 0 means the default.
	RetryShare float64
	RetryFloor float64
	// Members is the host set.
	Members []Member
}
