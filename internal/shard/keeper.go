package shard

import "time"

const (
	// serversPerShard is the number of backend servers above which a service is divided further. Beyond about
	// a hundred servers, pooling more of them hardly shortens queues, while the cost of each decision and of a
	// takeover grows.
	serversPerShard = 160
	// shrinkShare is the share of serversPerShard that the servers of fewer shards must not exceed for the
	// number of shards to decrease. The difference prevents a service at the limit from alternating.
	shrinkShare = 0.75
	// maxShards bounds the number of shards of a service.
	maxShards = 64
	// stableFor is how long the number of servers must call for a change. At the start of a fleet and after
	// the loss of all control hosts, the servers announce themselves within this time.
	stableFor = 2 * time.Second
)

// Keeper decides when the number of shards of a service changes. It does no I/O and is not safe for
// concurrent use.
type Keeper struct {
	// wanted is the number of shards that the last observations of a service called for, and since is when
	// they began to.
	wanted map[string]int
	since  map[string]time.Time
}

// NewKeeper returns a keeper without observations.
func NewKeeper() *Keeper {
	return &Keeper{wanted: map[string]int{}, since: map[string]time.Time{}}
}

// Next returns the number of shards to change to; ok is false if the current one stays. servers is the
// number of usable backend servers of the service.
func (k *Keeper) Next(now time.Time, service string, current, servers int) (count int, ok bool) {
	current = max(current, 1)
	count = target(current, servers)
	if k.wanted[service] != count {
		k.wanted[service], k.since[service] = count, now
	}
	return count, count != current && now.Sub(k.since[service]) >= stableFor
}

// target returns the number of shards for a number of servers.
func target(current, servers int) int {
	if servers == 0 {
		// Announcements are missing rather than servers.
		return current
	}
	needed := min((servers+serversPerShard-1)/serversPerShard, maxShards)
	if needed >= current {
		return needed
	}
	const shrunk = int(serversPerShard * shrinkShare)
	return min(current, max(needed, (servers+shrunk-1)/shrunk))
}
