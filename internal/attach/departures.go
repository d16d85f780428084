package attach

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// departureRetention is how long a departure is kept. An entry host that received nothing for this long
// needs a new server list from a dispatcher.
const departureRetention = time.Minute

// departures records the backend servers that drain or have left, as known to one process. It is a pure
// state machine and not safe for concurrent use.
type departures struct {
	// log identifies this process: the numbers of different logs are not comparable.
	log uint64
	// last is the number of the latest departure.
	last    uint64
	entries map[string]departure
}

// departure covers all processes of one backend server up to an incarnation.
type departure struct {
	incarnation uint64
	number      uint64
	recordedAt  time.Time
	// confirmed is the state that this process has confirmed to the backend server; 0 before.
	confirmed backend.State
}

func newDepartures(log uint64) *departures {
	return &departures{log: log, entries: map[string]departure{}}
}

// record adds a departure and reports whether it was new.
func (d *departures) record(now time.Time, instance string, incarnation uint64) bool {
	if d.covers(instance, incarnation) {
		return false
	}
	d.last++
	d.entries[instance] = departure{incarnation: incarnation, number: d.last, recordedAt: now}
	return true
}

// covers reports whether the given process of the backend server is known to drain or to have left.
func (d *departures) covers(instance string, incarnation uint64) bool {
	e, ok := d.entries[instance]
	return ok && incarnation <= e.incarnation
}

// changesSince returns the departures after the number seen in the log. A process that names another
// log gets all departures that are kept.
func (d *departures) changesSince(log, seen uint64) *fleetpb.Departures {
	if log != d.log {
		seen = 0
	}
	changes := &fleetpb.Departures{Log: d.log, Seen: d.last}
	if seen >= d.last {
		return changes
	}
	for instance, e := range d.entries {
		if e.number > seen {
			changes.List = append(changes.List, &fleetpb.Departure{Instance: instance, Incarnation: e.incarnation})
		}
	}
	slices.SortFunc(changes.List, func(a, b *fleetpb.Departure) int {
		return int(d.entries[a.Instance].number) - int(d.entries[b.Instance].number)
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
