package attach

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
)

// freshness tells how current the departures of a control host are. A departure is confirmed by a majority of
// the control group, so a host that has asked a majority after that knows it. It is a pure state machine and
// not safe for concurrent use.
type freshness struct {
	// asked is when each member was asked that has answered, by fleet address.
	asked map[string]time.Time
}

// answered records the answer of a member to a question that was sent at the given time.
func (c *freshness) answered(address string, sent time.Time) {
	if c.asked == nil {
		c.asked = map[string]time.Time{}
	}
	if sent.After(c.asked[address]) {
		c.asked[address] = sent
	}
}

// asOf returns the time up to which all confirmed departures are known, or the zero time. After a change of the
// group a majority of the former one counts as well, since it may still confirm.
func (c *freshness) asOf(fleet *hostset.Fleet) time.Time {
	if fleet == nil {
		return time.Time{}
	}
	latest := c.majority(fleet.Hosts)
	if len(fleet.PreviousHosts) > 0 {
		if former := c.majority(fleet.PreviousHosts); former.Before(latest) {
			latest = former
		}
	}
	return latest
}

// majority returns the latest time by which a majority of the group was asked.
func (c *freshness) majority(group []hostset.Host) time.Time {
	if len(group) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(group))
	for _, h := range group {
		times = append(times, c.asked[h.FleetAddress])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(group)/2]
}
