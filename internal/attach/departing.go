package attach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// askEvery is the pause between two rounds of questions to the control group. With currentFor, a
	// heartbeat and a few more at other control hosts it stays below the 2 s within which a drain takes effect.
	askEvery = 300 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 500 * time.Millisecond
	// currentFor is the age at which departures no longer count as current: two rounds in a row failed.
	currentFor = 800 * time.Millisecond
	// recoverFor is how long after its start a host does not speak for the departures that it may have
	// forgotten; servers that drain announce it twice meanwhile.
	recoverFor = 3 * time.Second
)

// departing keeps the departures of a control host current.
type departing struct {
	o       *ServerOptions
	started time.Time

	mu         sync.Mutex
	departures *departures
	currency   currency
	// seen is what each member of the group has told, by fleet address.
	seen map[string]*fleetpb.DeparturesRequest
	// asking holds the members whose answer is awaited.
	asking map[string]bool
	// hosts is how many entry hosts were heard in the last missedFor.
	hosts int
	// outdated is whether the last look found the departures too old.
	outdated bool
}

func newDeparting(o *ServerOptions) *departing {
	return &departing{
		o: o, started: time.Now(), departures: newDepartures(o.Incarnation),
		seen: map[string]*fleetpb.DeparturesRequest{}, asking: map[string]bool{},
	}
}

func (d *departing) run(ctx context.Context) error {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		d.sync(time.Now())
		for _, address := range d.members() {
			running.Go(func() { d.ask(ctx, address) })
		}
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.note(now)
		}
	}
}

// members lists the members of the control group that are to be asked now.
func (d *departing) members() (list []string) {
	fleet := d.o.Source.Fleet()
	if fleet == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range slices.Concat(fleet.Hosts, fleet.PreviousHosts) {
		if h.FleetAddress != d.o.Address && !d.asking[h.FleetAddress] {
			d.asking[h.FleetAddress] = true
			list = append(list, h.FleetAddress)
		}
	}
	return list
}

func (d *departing) ask(ctx context.Context, address string) {
	d.mu.Lock()
	request := d.seen[address]
	d.mu.Unlock()
	if request == nil {
		request = &fleetpb.DeparturesRequest{}
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := d.o.Peers.Departures(bounded, address, request)
	if err != nil {
		d.o.Logger.Debug("a control host did not tell its departures", "address", address, "err", logging.Err(err))
	} else {
		d.merge(time.Now(), reply)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.asking, address)
	if err != nil {
		return
	}
	d.seen[address] = &fleetpb.DeparturesRequest{Log: reply.GetLog(), Seen: reply.GetSeen()}
	if !reply.GetRecovering() {
		d.currency.answered(address, sent)
	}
}

// merge takes the departures that another control host told.
func (d *departing) merge(now time.Time, news *fleetpb.Departures) {
	for _, e := range news.GetList() {
		d.mu.Lock()
		fresh := d.departures.record(now, e.GetInstance(), e.GetIncarnation())
		d.mu.Unlock()
		if fresh {
			d.o.Registry.Mark(e.GetInstance(), e.GetIncarnation(), backend.Draining)
		}
	}
}

// sync takes departures from the registry, and marks entries that came after their departure.
func (d *departing) sync(now time.Time) {
	var late []backend.Server
	d.mu.Lock()
	d.departures.expire(now)
	d.hosts = 0
	d.o.Registry.Each(func(b backend.Server) {
		switch {
		case b.Service == entryHosts:
			if b.State == backend.Ready && now.Sub(b.Renewed) < missedFor {
				d.hosts++
			}
		case b.State >= backend.Draining:
			d.departures.record(now, b.Instance, b.Incarnation)
		case d.departures.covers(b.Instance, b.Incarnation):
			late = append(late, b)
		}
	})
	d.mu.Unlock()
	for _, b := range late {
		d.o.Registry.Mark(b.Instance, b.Incarnation, backend.Draining)
		d.o.Logger.Info("took out a backend server that was announced after its departure", "service", b.Service,
			"instance", b.Instance, "incarnation", b.Incarnation)
	}
}

// news returns what a process has not seen, and the age of the departures in milliseconds; it is negative if
// no majority of the control group was asked yet.
func (d *departing) news(now time.Time, log, seen uint64) (news *fleetpb.Departures, ageMs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	news = d.departures.since(log, seen)
	news.Recovering = d.recovering(now)
	return news, d.age(now).Milliseconds()
}

// entryHosts is how many entry hosts there are.
func (d *departing) entryHosts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts
}

func (d *departing) recovering(now time.Time) bool {
	return now.Sub(d.started) < recoverFor
}

// unknownAge stands for departures that were never current.
const unknownAge = -time.Millisecond

// age is how long ago all confirmed departures were known. The caller holds the mutex.
func (d *departing) age(now time.Time) time.Duration {
	if !d.recovering(now) {
		d.currency.answered(d.o.Address, now)
	}
	asOf := d.currency.asOf(d.o.Source.Fleet())
	if asOf.IsZero() {
		return unknownAge
	}
	return now.Sub(asOf)
}

// note logs when the departures become outdated and current again.
func (d *departing) note(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.age(now)
	outdated := old < 0 || old >= currentFor
	if outdated == d.outdated || old < 0 && d.recovering(now) {
		return
	}
	d.outdated = outdated
	if outdated {
		d.o.Logger.Warn("no majority of the control group tells its departures; entry hosts should attach elsewhere", "age_ms", old.Milliseconds())
		return
	}
	d.o.Logger.Info("departures are current", "age_ms", old.Milliseconds(), "known", len(d.departures.entries))
}
