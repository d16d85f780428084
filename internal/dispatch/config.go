package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
)

// Times and limits of the dispatcher.
const (
	// GrantExpiry is how long a node may hold a grant before it sends the request.
	GrantExpiry = 250 * time.Millisecond
	// CollectionPeriod is how long a new dispatcher collects reports of outstanding grants before it grants
	// requests.
	CollectionPeriod = 150 * time.Millisecond
	// StreamGrace is how long the grants of a node keep their slots after its stream is lost. The node
	// needs up to 300 ms to detect the loss, and then closes its requests or reports them to the next
	// dispatcher.
	StreamGrace = time.Second
	// DeadAfter is how long a member must be confirmed dead before its autonomous share is used again.
	DeadAfter = 5 * time.Second
	// TickInterval is the interval at which Tick should be called.
	TickInterval = 20 * time.Millisecond
	// defaultWarmUp is the slow start of a server that returns to rotation and announces no warm-up.
	defaultWarmUp = 10 * time.Second
	// peakMinutes is how long the highest announced capacity is remembered for the percentage minimum.
	peakMinutes = 10
	// refusalRetryAfter is the retry delay sent with refusals that a later attempt may avoid.
	refusalRetryAfter = time.Second
)

// Member is one node of the host set of a service.
type Member struct {
	Node       string
	DataCentre string
	// Dead is set while the membership has confirmed that the node is dead.
	Dead bool
}

// Config holds the settings of a service.
type Config struct {
	Service string
	// Term is the term of the dispatcher's lease. It salts the hash of team names.
	Term uint64
	// MinimumHealthySlots is the absolute minimum healthy capacity; 0 selects MinimumHealthyPercent.
	MinimumHealthySlots int
	// MinimumHealthyPercent is relative to the highest announced capacity of the last 10 minutes.
	MinimumHealthyPercent int
	// MinimumOfStaying excludes servers that drain or have left from the announced capacity to which the
	// percentage refers. Without it they count for 10 minutes.
	MinimumOfStaying bool
	// Shares are the minimum shares of slot time by priority, from 0 to 1.
	Shares [priority.Count]float64
	// Targets are the target latencies by priority; 0 means that the priority has none.
	Targets [priority.Count]time.Duration
	// DefaultSlots applies to servers that announce no slots.
	DefaultSlots int
	// DefaultConnections applies to servers that announce no connection limit; 0 means no limit.
	DefaultConnections int
	// RetryShare and RetryFloor limit the retries and hedges within 10 s: the share of the granted
	// requests, and the number allowed in addition. 0 selects the default.
	RetryShare float64
	RetryFloor float64
	// Members is the host set.
	Members []Member
	// Part is the name of the dispatcher's shard, under which other dispatchers know its demand.
	Part string
	// UsageCap returns the usage cap of a team; nil if no team has one.
	UsageCap func(team string) usagecap.Limit
	// CapBound is how far usage caps may be exceeded.
	CapBound usagecap.Bound
}
