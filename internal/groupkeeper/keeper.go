// Package groupkeeper keeps the control group of a fleet with host discovery at its target size. It grows the
// group that the seeds formed, and replaces members that stay unavailable.
//
// The settings of a fleet name at most three control hosts as seeds; these form the first group. To tolerate
// the loss of n hosts at once, the group needs 2n+1 members, and after a loss a spare control host must
// replace the lost member before the next loss. The alive member with the lowest id proposes changes. The
// group itself decides each change by consensus, so two hosts that propose at the same time do no harm.
package groupkeeper

import (
	"slices"
	"strings"
	"time"
)

const (
	// ReplaceAfter is how long a member must be unavailable before it is replaced. It is longer than a
	// restart and most process pauses, and short enough that the group is complete again before a second
	// loss.
	ReplaceAfter = 2500 * time.Millisecond
	// changeInterval is the minimum time between two changes, in which a new member copies the state.
	changeInterval = time.Second
)

// Host is a control host as reported by gossip.
type Host struct {
	ID         string
	Address    string
	DataCentre string
	Alive      bool
}

// Change replaces a member of the group by another host, or adds a host if Remove is empty.
type Change struct {
	Remove string
	Add    Host
}

// Keeper selects the changes of the group to propose. It does no I/O and is not safe for concurrent use.
type Keeper struct {
	self string
	size int
	// awaySince maps the id of each unavailable member to the time when it was first seen as not alive.
	awaySince map[string]time.Time
	// lastChange is when a change was last returned; at first, when the keeper was created.
	lastChange time.Time
}

// New returns the keeper of the host whose id is self; size is the target number of members.
func New(self string, size int, now time.Time) *Keeper {
	return &Keeper{self: self, size: size, awaySince: map[string]time.Time{}, lastChange: now}
}

// NextChange returns the change to propose now; ok is false if there is none. Members are the ids of the
// current group; hosts are all control hosts known from gossip, including this one.
func (k *Keeper) NextChange(now time.Time, members []string, hosts []Host) (change Change, ok bool) {
	alive := map[string]bool{}
	for _, h := range hosts {
		alive[h.ID] = h.Alive
	}
	k.updateAway(now, members, alive)
	if now.Sub(k.lastChange) < changeInterval || !k.isActingMember(members, alive) {
		return Change{}, false
	}
	spare, found := selectSpare(members, hosts)
	if !found {
		return Change{}, false
	}
	remove := k.memberToReplace(now, members)
	if remove == "" && len(members) >= k.size {
		return Change{}, false
	}
	k.lastChange = now
	return Change{Remove: remove, Add: spare}, true
}

// updateAway records since when each member has been unavailable.
func (k *Keeper) updateAway(now time.Time, members []string, alive map[string]bool) {
	for id := range k.awaySince {
		if alive[id] || !slices.Contains(members, id) {
			delete(k.awaySince, id)
		}
	}
	for _, id := range members {
		if _, known := k.awaySince[id]; !alive[id] && !known {
			k.awaySince[id] = now
		}
	}
}

// isActingMember reports whether this host is the alive member with the lowest id.
func (k *Keeper) isActingMember(members []string, alive map[string]bool) bool {
	for _, id := range members {
		if alive[id] && id < k.self {
			return false
		}
	}
	return slices.Contains(members, k.self)
}

// memberToReplace returns the member that has been unavailable longest, if for at least ReplaceAfter, or "".
func (k *Keeper) memberToReplace(now time.Time, members []string) string {
	longest := ""
	for _, id := range members {
		since, away := k.awaySince[id]
		if away && now.Sub(since) >= ReplaceAfter && (longest == "" || since.Before(k.awaySince[longest])) {
			longest = id
		}
	}
	return longest
}

// selectSpare returns an alive host outside the group, from the data centre with the fewest members; among
// equal hosts, the one with the lowest id.
func selectSpare(members []string, hosts []Host) (best Host, ok bool) {
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
