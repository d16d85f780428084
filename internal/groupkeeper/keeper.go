// Package groupkeeper makes every control host of a fleet with host discovery a member of the control group, and
// replaces members that stay unavailable.
//
// The settings of a fleet name at most three control hosts as seeds; these form the first group. With a smaller
// group than all control hosts, a network partition may leave a majority of the group on the side of few control
// hosts, where most of the fleet does not reach it: the fleet would then neither learn what is confirmed there nor
// follow the dispatchers elected there. With all control hosts as members, the side of the majority of the control
// hosts decides.
//
// A member that is lost stays in the group until another host can take its place, since the members that remain
// would otherwise be a smaller majority. Only from a group of even size is it removed without a successor: a group
// with one member less then tolerates as many losses. The alive member with the lowest id proposes changes. The
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
	changeInterval = 500 * time.Millisecond
)

// Host is a control host as reported by gossip.
type Host struct {
	ID         string
	Address    string
	DataCentre string
	Alive      bool
}

// Change replaces a member of the group by another host, adds a host if Remove is empty, or removes a member if
// Add is nil.
type Change struct {
	Remove string
	Add    *Host
}

// Keeper selects the changes of the group to propose. It does no I/O and is not safe for concurrent use.
type Keeper struct {
	self string
	// unavailableSince maps the id of each unavailable member to the time when it was first seen as not alive.
	unavailableSince map[string]time.Time
	// lastChange is when a change was last returned; at first, when the keeper was created.
	lastChange time.Time
}

// New returns the keeper of the host whose id is self.
func New(self string, now time.Time) *Keeper {
	return &Keeper{self: self, unavailableSince: map[string]time.Time{}, lastChange: now}
}

// NextChange returns the change to propose now; ok is false if there is none. Members are the ids of the
// current group; hosts are all control hosts known from gossip, including this one.
func (k *Keeper) NextChange(now time.Time, members []string, hosts []Host) (change Change, ok bool) {
	alive := map[string]bool{}
	for _, h := range hosts {
		alive[h.ID] = h.Alive
	}
	k.updateUnavailable(now, members, alive)
	if now.Sub(k.lastChange) < changeInterval || !k.isProposer(members, alive) {
		return Change{}, false
	}
	change, ok = k.selectChange(k.memberToReplace(now, members), members, hosts)
	if ok {
		k.lastChange = now
	}
	return change, ok
}

// selectChange returns the change for the lost member, which may be "".
func (k *Keeper) selectChange(lost string, members []string, hosts []Host) (change Change, ok bool) {
	newcomer, found := selectNewcomer(members, hosts)
	switch {
	case found && lost != "":
		return Change{Remove: lost, Add: &newcomer}, true
	case found && len(k.unavailableSince) == 0:
		// While a member is unavailable, the newcomer may be its successor.
		return Change{Add: &newcomer}, true
	case !found && lost != "" && len(members)%2 == 0:
		return Change{Remove: lost}, true
	default:
		return Change{}, false
	}
}

// updateUnavailable records since when each member has been unavailable.
func (k *Keeper) updateUnavailable(now time.Time, members []string, alive map[string]bool) {
	for id := range k.unavailableSince {
		if alive[id] || !slices.Contains(members, id) {
			delete(k.unavailableSince, id)
		}
	}
	for _, id := range members {
		if _, known := k.unavailableSince[id]; !alive[id] && !known {
			k.unavailableSince[id] = now
		}
	}
}

// isProposer reports whether this host is the alive member with the lowest id.
func (k *Keeper) isProposer(members []string, alive map[string]bool) bool {
	for _, id := range members {
		if alive[id] && id < k.self {
			return false
		}
	}
	return slices.Contains(members, k.self)
}

// Proposes reports whether the host whose id is self proposes changes on behalf of the group: it is the alive
// member with the lowest id. Several hosts may do so while their views differ.
func Proposes(self string, members []string, hosts []Host) bool {
	k := Keeper{self: self}
	alive := map[string]bool{}
	for _, h := range hosts {
		alive[h.ID] = h.Alive
	}
	return k.isProposer(members, alive)
}

// memberToReplace returns the member that has been unavailable longest, if for at least ReplaceAfter, or "".
func (k *Keeper) memberToReplace(now time.Time, members []string) string {
	longest := ""
	for _, id := range members {
		since, unavailable := k.unavailableSince[id]
		if unavailable && now.Sub(since) >= ReplaceAfter && (longest == "" || since.Before(k.unavailableSince[longest])) {
			longest = id
		}
	}
	return longest
}

// selectNewcomer returns an alive host outside the group, from the data centre with the fewest members; among
// equal hosts, the one with the lowest id.
func selectNewcomer(members []string, hosts []Host) (best Host, ok bool) {
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
