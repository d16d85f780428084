package attach

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
)

// freshness tracks how current the departures of a control host are. A departure is confirmed by a
// majority of the control group, so a host that has asked a majority after the confirmation knows it.
// It is a pure state machine and not safe for concurrent use.
type freshness struct {
	// askedAt is when the latest question that a member has answered was sent, by fleet address.
	askedAt map[string]time.Time
}

// recordResponse records the response of a member to a question that was sent at the given time.
func (f *freshness) recordResponse(address string, sent time.Time) {
	if f.askedAt == nil {
		f.askedAt = map[string]time.Time{}
	}
	if sent.After(f.askedAt[address]) {
		f.askedAt[address] = sent
	}
}

// asOf returns the time up to which all confirmed departures are known, or the zero time. After a
// change of the control group, a majority of the former group is required as well, since it may still
// confirm.
func (f *freshness) asOf(fleet *hostset.Fleet) time.Time {
	if fleet == nil {
		return time.Time{}
	}
	latest := f.majorityAskedAt(fleet.Hosts)
	if len(fleet.PreviousHosts) > 0 {
		if former := f.majorityAskedAt(fleet.PreviousHosts); former.Before(latest) {
			latest = former
		}
	}
	return latest
}

// majorityAskedAt returns the latest time since which a majority of the group has been asked, or the
// zero time.
func (f *freshness) majorityAskedAt(group []hostset.Host) time.Time {
	if len(group) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(group))
	for _, h := range group {
		times = append(times, f.askedAt[h.FleetAddress])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(group)/2]
}
