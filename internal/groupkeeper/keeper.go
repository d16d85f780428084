// Package groupkeeper keeps the control group of a fleet that discovers its hosts complete: it grows the
// group that the seeds formed to the wanted size, and replaces members that stay away.
//
// A fleet is told the addresses of three control hosts at most. They form the first group. To lose n hosts
// at once it needs 2n+1 members, and after a loss a spare control host must take the place of the lost one
// before the next loss. Of the members that live, the one with the lowest id acts; the change itself is
// decided by the group, so two that act at once do no harm.
package groupkeeper

import (
	"slices"
	"strings"
	"time"
)

const (
	// Patience is how long a member must be away before it is replaced: longer than a restart and most
	// pauses, and short enough that a second loss meets a complete group.
	Patience = 2500 * time.Millisecond
	// pauseAfter is the time between two changes, in which a new member copies the state.
	pauseAfter = time.Second
)

// Host is one control host as the gossip knows it.
type Host struct {
	ID         string
	Address    string
	DataCentre string
	Alive      bool
}

// Change swaps a member for another host; Remove is empty if the group grows.
type Change struct {
	Remove string
	Add    Host
}

// Keeper plans changes of the group. It is a pure state machine and not safe for concurrent use.
type Keeper struct {
	self string
	size int
	// away holds since when a member is not alive.
	away map[string]time.Time
	last time.Time
}

// New returns the keeper of the host with the id; size is the wanted number of members.
func New(self string, size int, now time.Time) *Keeper {
	return &Keeper{self: self, size: size, away: map[string]time.Time{}, last: now}
}

// Next returns the change to make now; ok is false if there is none. Members are the ids of the group,
// hosts all control hosts that the gossip knows, this one included.
func (k *Keeper) Next(now time.Time, members []string, hosts []Host) (change Change, ok bool) {
	alive := map[string]bool{}
	for _, h := range hosts {
		alive[h.ID] = h.Alive
	}
	k.note(now, members, alive)
	if now.Sub(k.last) < pauseAfter || !k.acts(members, alive) {
		return Change{}, false
	}
	spare, found := pick(members, hosts)
	if !found {
		return Change{}, false
	}
	lost := k.lost(now, members)
	if lost == "" && len(members) >= k.size {
		return Change{}, false
	}
	k.last = now
	return Change{Remove: lost, Add: spare}, true
}

// note remembers since when members are away.
func (k *Keeper) note(now time.Time, members []string, alive map[string]bool) {
	for id := range k.away {
		if alive[id] || !slices.Contains(members, id) {
			delete(k.away, id)
		}
	}
	for _, id := range members {
		if _, known := k.away[id]; !alive[id] && !known {
			k.away[id] = now
		}
	}
}

// acts tells whether this host is the living member with the lowest id.
func (k *Keeper) acts(members []string, alive map[string]bool) bool {
	for _, id := range members {
		if alive[id] && id < k.self {
			return false
		}
	}
	return slices.Contains(members, k.self)
}

// lost returns the member that is away for longest and long enough, or "".
func (k *Keeper) lost(now time.Time, members []string) string {
	lost := ""
	for _, id := range members {
		since, away := k.away[id]
		if away && now.Sub(since) >= Patience && (lost == "" || since.Before(k.away[lost])) {
			lost = id
		}
	}
	return lost
}

// pick returns a living host outside the group, of the data centre with the fewest members.
func pick(members []string, hosts []Host) (best Host, ok bool) {
	count := map[string]int{}
	for _, h := range hosts {
		if slices.Contains(members, h.ID) {
			count[h.DataCentre]++
		}
	}
	for _, h := range hosts {
		if !h.Alive || slices.Contains(members, h.ID) {
			continue
		}
		fewer := count[h.DataCentre] - count[best.DataCentre]
		if !ok || fewer < 0 || fewer == 0 && strings.Compare(h.ID, best.ID) < 0 {
			best, ok = h, true
		}
	}
	return best, ok
}
