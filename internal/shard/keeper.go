package shard

import (
	"math"
	"time"
)

const (
	// serversPerShard is the number of backend servers for one shard. Beyond about a hundred servers, pooling
	// more of them hardly shortens queues, while the cost of each decision and of a takeover grows.
	serversPerShard = 160
	// growShare and shrinkShare are the shares of serversPerShard that the servers of each shard must exceed, or
	// with fewer shards must not exceed, for a division to change. A service that replaces its servers has up to
	// half as many more for some seconds, and each change costs the time of an election.
	growShare   = 1.5
	shrinkShare = 0.75
	// maxShards bounds the number of shards of a service.
	maxShards = 64
	// settleFor is how long the number of servers must not rise before the first division, since at the start
	// of a fleet they announce themselves one after the other. stableFor is how long they must call for a later
	// change.
	settleFor = time.Second
	stableFor = 10 * time.Second
)

// Keeper decides when the number of shards of a service changes. It does no I/O and is not safe for
// concurrent use.
type Keeper struct {
	services map[string]*observation
}

// observation is what a keeper remembers of a service.
type observation struct {
	// wanted is the number of shards that the last observations called for, since when they did, and servers
	// the number of servers in the last one.
	wanted  int
	since   time.Time
	servers int
	// single is set once a service that has never been divided has announced all its servers.
	single bool
}

// NewKeeper returns a keeper without observations.
func NewKeeper() *Keeper {
	return &Keeper{services: map[string]*observation{}}
}

// Next returns the number of shards to change to; ok is false if the current one stays. A current number of 0
// means that the service has never been divided. servers is the number of usable backend servers.
func (k *Keeper) Next(now time.Time, service string, current, servers int) (count int, ok bool) {
	o := k.services[service]
	if o == nil {
		o = &observation{since: now}
		k.services[service] = o
	}
	if current == 0 && o.single {
		current = 1
	}
	count = target(current, servers)
	announcing := current == 0 && servers > o.servers
	if o.wanted != count || announcing {
		o.wanted, o.since = count, now
	}
	o.servers = servers
	wait := stableFor
	if current == 0 {
		wait = settleFor
	}
	if now.Sub(o.since) < wait {
		return count, false
	}
	o.single = o.single || current == 0 && count == 1
	return count, count != max(current, 1)
}

// target returns the number of shards for a number of servers.
func target(current, servers int) int {
	if servers == 0 {
		// Announcements are missing rather than servers.
		return current
	}
	size := float64(serversPerShard)
	switch perShard := float64(servers) / float64(max(current, 1)); {
	case current == 0:
	case perShard > growShare*serversPerShard:
	case current > 1 && float64(servers) <= shrinkShare*serversPerShard*float64(current-1):
		size *= shrinkShare
	default:
		return current
	}
	return min(int(math.Ceil(float64(servers)/size)), maxShards)
}
