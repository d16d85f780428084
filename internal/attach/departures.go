package attach

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// departureKeptFor is how long a departure is kept. An entry host that heard nothing for so long needs a new
// list of a dispatcher.
const departureKeptFor = time.Minute

// departures is what a process knows of backend servers that drain or have left. It is a pure state machine
// and not safe for concurrent use.
type departures struct {
	// log tells the numbers of this process from those of others.
	log uint64
	// last is the number of the latest departure.
	last    uint64
	entries map[string]departed
}

// departed is the departure of all starts of one backend server up to an incarnation.
type departed struct {
	incarnation uint64
	number      uint64
	at          time.Time
}

func newDepartures(log uint64) *departures {
	return &departures{log: log, entries: map[string]departed{}}
}

// record notes a departure and tells whether it was new.
func (d *departures) record(now time.Time, instance string, incarnation uint64) bool {
	if d.covers(instance, incarnation) {
		return false
	}
	d.last++
	d.entries[instance] = departed{incarnation: incarnation, number: d.last, at: now}
	return true
}

// covers tells whether the start of the backend server is known to drain or to have left.
func (d *departures) covers(instance string, incarnation uint64) bool {
	e, ok := d.entries[instance]
	return ok && incarnation <= e.incarnation
}

// since returns what a process has not seen that has the departures of the log up to the number.
func (d *departures) since(log, seen uint64) *fleetpb.Departures {
	if log != d.log {
		seen = 0
	}
	news := &fleetpb.Departures{Log: d.log, Seen: d.last}
	if seen >= d.last {
		return news
	}
	for instance, e := range d.entries {
		if e.number > seen {
			news.List = append(news.List, &fleetpb.Departure{Instance: instance, Incarnation: e.incarnation})
		}
	}
	slices.SortFunc(news.List, func(a, b *fleetpb.Departure) int {
		return int(d.entries[a.Instance].number) - int(d.entries[b.Instance].number)
	})
	return news
}

// expire forgets old departures.
func (d *departures) expire(now time.Time) {
	for instance, e := range d.entries {
		if now.Sub(e.at) >= departureKeptFor {
			delete(d.entries, instance)
		}
	}
}
