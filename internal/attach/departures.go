package attach

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// departureRetention is how long a departure is kept, also over restarts. An entry host that received nothing for this
	// long needs a new server list from a dispatcher.
	departureRetention = time.Minute
	// departureRenewal is the age from which a departure that is stated again is recorded anew. After each confirmation,
	// it is kept for at least the rest of departureRetention.
	departureRenewal = departureRetention / 2
)

// departures records the backend servers that drain or have left, as known to one process. It is a pure
// state machine and not safe for concurrent use.
type departures struct {
	// log identifies this process: the numbers of different logs are not comparable.
	log uint64
	// last is the number of the latest departure, lastDurable that of the latest one to become durable. They are counted
	// separately.
	last, lastDurable uint64
	entries           map[string]departure
}

// departure covers all processes of one backend server up to an incarnation.
type departure struct {
	incarnation uint64
	number      uint64
	recordedAt  time.Time
	// durableIncarnation is the highest incarnation whose departure is durable; 0 if none is.
	durableIncarnation uint64
	durableNumber      uint64
	// renewed is set while the departure is durable as of a former time only.
	renewed bool
	// confirmed is the state that this process has confirmed to the backend server; 0 before.
	confirmed backend.State
}

func newDepartures(log uint64) *departures {
	return &departures{log: log, entries: map[string]departure{}}
}

// record adds a departure, or renews one that is older than departureRenewal. It reports whether it did.
func (d *departures) record(now time.Time, instance string, incarnation uint64) bool {
	e := d.entries[instance]
	if d.covers(instance, incarnation) && now.Sub(e.recordedAt) < departureRenewal {
		return false
	}
	d.last++
	e.renewed = d.covers(instance, incarnation)
	e.incarnation, e.number, e.recordedAt = max(incarnation, e.incarnation), d.last, now
	e.confirmed = 0
	d.entries[instance] = e
	return true
}

// markDurable records that the departure of the processes up to the incarnation, as recorded at the given time or later,
// survives a loss of power.
func (d *departures) markDurable(instance string, incarnation uint64, recordedAt time.Time) {
	e, ok := d.entries[instance]
	if !ok || incarnation < e.durableIncarnation || incarnation == e.durableIncarnation && !e.renewed {
		return
	}
	d.lastDurable++
	e.durableIncarnation, e.durableNumber = incarnation, d.lastDurable
	e.renewed = e.renewed && recordedAt.UnixMilli() < e.recordedAt.UnixMilli()
	d.entries[instance] = e
}

// covers reports whether the given process of the backend server is known to drain or to have left.
func (d *departures) covers(instance string, incarnation uint64) bool {
	e, ok := d.entries[instance]
	return ok && incarnation <= e.incarnation
}

// isDurable reports whether the departure of the given process is durable as it was recorded last. An incarnation of 0
// stands for all processes whose departure is recorded.
func (d *departures) isDurable(instance string, incarnation uint64) bool {
	e, ok := d.entries[instance]
	if !ok {
		return incarnation == 0
	}
	return incarnation <= e.incarnation && e.durableIncarnation >= e.incarnation && !e.renewed
}

// countNotDurable returns how many departures are not durable as they were recorded last.
func (d *departures) countNotDurable() (count int) {
	for instance := range d.entries {
		if !d.isDurable(instance, 0) {
			count++
		}
	}
	return count
}

// changesSince returns the departures after the number seen in the log. A process that names another
// log gets all departures that are kept.
func (d *departures) changesSince(log, seen uint64) *fleetpb.Departures {
	return d.list(log, seen, d.last, func(e departure) (incarnation, number uint64) { return e.incarnation, e.number })
}

// durableChangesSince is changesSince for the durable departures, which have numbers of their own. It states their ages.
func (d *departures) durableChangesSince(now time.Time, log, seen uint64) *fleetpb.Departures {
	changes := d.list(log, seen, d.lastDurable, func(e departure) (incarnation, number uint64) { return e.durableIncarnation, e.durableNumber })
	for _, c := range changes.GetList() {
		e := d.entries[c.GetInstance()]
		c.AgeMs = now.Sub(e.recordedAt).Milliseconds()
		if e.renewed {
			c.AgeMs += departureRenewal.Milliseconds()
		}
	}
	return changes
}

func (d *departures) list(log, seen, last uint64, of func(departure) (incarnation, number uint64)) *fleetpb.Departures {
	if log != d.log {
		seen = 0
	}
	changes := &fleetpb.Departures{Log: d.log, Seen: last}
	if seen >= last {
		return changes
	}
	numbers := map[string]uint64{}
	for instance, e := range d.entries {
		if incarnation, number := of(e); number > seen {
			changes.List = append(changes.List, &fleetpb.Departure{Instance: instance, Incarnation: incarnation})
			numbers[instance] = number
		}
	}
	slices.SortFunc(changes.List, func(a, b *fleetpb.Departure) int {
		return int(numbers[a.Instance]) - int(numbers[b.Instance])
	})
	return changes
}

// expire drops departures that are older than departureRetention.
func (d *departures) expire(now time.Time) {
	for instance, e := range d.entries {
		if now.Sub(e.recordedAt) >= departureRetention {
			delete(d.entries, instance)
		}
	}
}
