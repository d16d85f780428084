package attach

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
)

// sparePolls is how many members may fail to respond to a poll before it reaches no majority.
const sparePolls = 2

// freshness tracks how current the departures of a control host are. A departure is confirmed by a
// majority of the control group, so a host that has polled a majority after the confirmation knows it.
// It is a pure state machine and not safe for concurrent use.
type freshness struct {
	// polledAt is when the latest poll to which a member has responded was sent, by fleet address.
	polledAt map[string]time.Time
}

// recordResponse records the response of a member to a poll that was sent at the given time.
func (f *freshness) recordResponse(address string, sent time.Time) {
	if f.polledAt == nil {
		f.polledAt = map[string]time.Time{}
	}
	if sent.After(f.polledAt[address]) {
		f.polledAt[address] = sent
	}
}

// asOf returns the time up to which all confirmed departures are known, or the zero time. After a
// change of the control group, a majority of the former group is required as well, since it may still
// confirm departures.
func (f *freshness) asOf(fleet *hostset.Fleet) time.Time {
	if fleet == nil {
		return time.Time{}
	}
	latest := f.majorityPolledAt(fleet.Hosts)
	if len(fleet.PreviousHosts) > 0 {
		if former := f.majorityPolledAt(fleet.PreviousHosts); former.Before(latest) {
			latest = former
		}
	}
	return latest
}

// majorityPolledAt returns the latest time since which a majority of the group has been polled, or the
// zero time.
func (f *freshness) majorityPolledAt(group []hostset.Host) time.Time {
	if len(group) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(group))
	for _, h := range group {
		times = append(times, f.polledAt[h.FleetAddress])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(group)/2]
}

// pollTargets selects the members of a group to poll, given in the order of preference: those that suffice for a
// majority with some to spare, first the ones that responded to a poll since the given time. It selects all of them if
// too few did.
func (f *freshness) pollTargets(group []hostset.Host, since time.Time) []hostset.Host {
	enough := len(group)/2 + 1 + sparePolls
	responsive := make([]hostset.Host, 0, len(group))
	for _, h := range group {
		if f.polledAt[h.FleetAddress].After(since) {
			responsive = append(responsive, h)
		}
	}
	if len(responsive) < enough {
		return group
	}
	return responsive[:enough]
}
