package attach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// pollInterval is the pause between two polls of the control group. pollInterval, departuresMaxAge,
	// a heartbeat and a few more heartbeats at other control hosts together stay below the 2 s within
	// which a drain takes effect.
	pollInterval = 300 * time.Millisecond
	// pollTimeout bounds the poll of one member.
	pollTimeout = 500 * time.Millisecond
	// responsiveFor is for how long after a poll a member that responded is preferred to others.
	responsiveFor = pollInterval + pollInterval/2
	// departuresMaxAge is the age at which departures no longer count as current. Departures of this
	// age mean that two polls in a row failed.
	departuresMaxAge = 800 * time.Millisecond
	// recoveryPeriod is how long after its start a control host without a complete file of departures counts towards no
	// majority that makes departures current, since it may have confirmed some before and lost them. In this time,
	// each draining server announces its drain twice.
	recoveryPeriod = 3 * time.Second
)

// tracker keeps the departures of a control host current.
type tracker struct {
	opts    *ServerOptions
	started time.Time

	mu         sync.Mutex
	departures *departures
	durability *durability
	recorded   *recordedDepartures
	freshness  freshness
	// seen is the position up to which the departures of each member were fetched, by fleet address.
	seen map[string]*fleetpb.DeparturesRequest
	// polling holds the fleet addresses of the members with a poll in progress.
	polling map[string]bool
	// entryHostCount is the number of ready entry hosts heard from within missedHostRetention.
	entryHostCount int
	// outdated is whether the departures were too old at the last check.
	outdated bool
}

// newTracker returns a tracker with the departures that are kept on disk. Errors are failures of the file system.
func newTracker(o *ServerOptions) (*tracker, error) {
	t := &tracker{
		opts: o, started: time.Now(), departures: newDepartures(o.Incarnation), durability: newDurability(), recorded: newRecordedDepartures(time.Now()),
		seen: map[string]*fleetpb.DeparturesRequest{}, polling: map[string]bool{},
	}
	if o.Departures != nil {
		if err := t.openFile(*o.Departures, t.started); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *tracker) run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { t.writeDepartures(ctx) })
	for {
		t.syncWithRegistry(time.Now())
		for _, address := range t.membersToPoll(time.Now()) {
			running.Go(func() { t.poll(ctx, address) })
		}
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			t.logFreshness(now)
		}
	}
}

// membersToPoll lists members of the control group without a poll in progress and records their polls as in
// progress.
func (t *tracker) membersToPoll(now time.Time) (list []string) {
	fleet := t.opts.Source.Fleet()
	if fleet == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	since := now.Add(-responsiveFor)
	targets := t.freshness.pollTargets(t.rotate(fleet.Hosts), since)
	if len(fleet.PreviousHosts) > 0 {
		targets = slices.Concat(targets, t.freshness.pollTargets(t.rotate(fleet.PreviousHosts), since))
	}
	for _, h := range targets {
		if h.FleetAddress != t.opts.Address && !t.polling[h.FleetAddress] {
			t.polling[h.FleetAddress] = true
			list = append(list, h.FleetAddress)
		}
	}
	return list
}

// rotate returns the hosts beginning with this one, so that the polls of all hosts are spread evenly.
func (t *tracker) rotate(hosts []hostset.Host) []hostset.Host {
	i := max(slices.IndexFunc(hosts, func(h hostset.Host) bool { return h.FleetAddress == t.opts.Address }), 0)
	return slices.Concat(hosts[i:], hosts[:i])
}

func (t *tracker) poll(ctx context.Context, address string) {
	t.mu.Lock()
	request := t.seen[address]
	t.mu.Unlock()
	if request == nil {
		request = &fleetpb.DeparturesRequest{}
	}
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := t.opts.Peers.ListDepartures(bounded, address, request)
	if err != nil {
		t.opts.Logger.Debug("could not fetch the departures of a control host", "address", address, "err", logging.Err(err))
	} else {
		t.mergeDepartures(time.Now(), address, reply)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.polling, address)
	if err != nil {
		return
	}
	t.seen[address] = &fleetpb.DeparturesRequest{Log: reply.GetLog(), Seen: reply.GetSeen()}
	if !reply.GetRecovering() {
		t.freshness.recordResponse(address, sent)
	}
}

// mergeDepartures records the departures that another control host reported.
func (t *tracker) mergeDepartures(now time.Time, address string, changes *fleetpb.Departures) {
	t.mu.Lock()
	t.recorded.add(now, address, changes)
	t.mu.Unlock()
	for _, e := range changes.GetList() {
		if membership.CheckDeparture(e.GetInstance(), e.GetIncarnation()) != nil {
			// A control host of a former version may have recorded what it should have refused.
			continue
		}
		if !t.hasDeparted(e.GetInstance(), e.GetIncarnation()) {
			// The server is out of use before others hear that this host has recorded the departure.
			t.opts.Registry.MarkServer(e.GetInstance(), e.GetIncarnation(), backend.Draining)
		}
		t.recordMark(now, e.GetInstance(), e.GetIncarnation())
	}
}

// recordedBy lists the fleet addresses of the members that are known to have recorded the departure of a process.
func (t *tracker) recordedBy(instance string, incarnation uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recorded.hosts(time.Now(), instance, incarnation)
}

// recordMark records the departure of a process of a backend server, also of one that the registry does not know
// yet: a control host that has just restarted may confirm it before gossip arrives. It reports whether the departure
// was not known, or known for so long that it was renewed.
func (t *tracker) recordMark(now time.Time, instance string, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(now, instance, incarnation)
}

// recordedIncarnation returns the highest incarnation of the server whose departure is recorded, or 0.
func (t *tracker) recordedIncarnation(instance string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departures.entries[instance].incarnation
}

// noteConfirmed records that this process has confirmed the state of a backend server that drains or has left.
func (t *tracker) noteConfirmed(instance string, incarnation uint64, state backend.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.departures.entries[instance]; ok && d.incarnation == incarnation {
		d.confirmed = max(d.confirmed, state)
		t.departures.entries[instance] = d
	}
}

// wasConfirmed reports whether this process has confirmed the state or a later one.
func (t *tracker) wasConfirmed(instance string, incarnation uint64, state backend.State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.departures.entries[instance]
	return ok && d.incarnation == incarnation && d.confirmed >= state
}

// hasDeparted reports whether the process of the backend server is known to drain or to have left.
func (t *tracker) hasDeparted(instance string, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departures.covers(instance, incarnation)
}

// syncWithRegistry records departures from the registry and marks entries that were announced after
// their departure.
func (t *tracker) syncWithRegistry(now time.Time) {
	var late []backend.Server
	serving := 0
	for _, h := range t.opts.Registry.EntryHosts() {
		if h.State == backend.Ready && now.Sub(h.Renewed) < missedHostRetention {
			serving++
		}
	}
	t.mu.Lock()
	t.entryHostCount = serving
	t.departures.expire(now)
	t.recorded.retain(func(instance string) bool { _, kept := t.departures.entries[instance]; return kept })
	t.opts.Registry.EachServer(func(b backend.Server) {
		switch {
		case b.State < backend.Draining && t.departures.covers(b.Instance, b.Incarnation):
			late = append(late, b)
		case b.State >= backend.Draining && !t.departures.covers(b.Instance, b.Incarnation):
			t.record(now, b.Instance, b.Incarnation)
		}
	})
	t.opts.Metrics.setDepartures(len(t.departures.entries), t.departures.countNotDurable(), !t.recovering(now))
	t.mu.Unlock()
	for _, b := range late {
		t.opts.Registry.MarkServer(b.Instance, b.Incarnation, backend.Draining)
		t.opts.Logger.Info("took out a backend server that was announced after its departure", "service", b.Service,
			"instance", b.Instance, "incarnation", b.Incarnation)
	}
}

// changesSince returns the departures that an entry host has not seen, and the age of the departures in
// milliseconds. The age is negative if no majority of the control group has responded yet.
func (t *tracker) changesSince(now time.Time, log, seen uint64) (changes *fleetpb.Departures, ageMs int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departures.changesSince(log, seen), t.age(now).Milliseconds()
}

// durableChangesSince returns the durable departures that another control host has not seen. What is not durable yet says
// nothing to others: this host might forget it.
func (t *tracker) durableChangesSince(now time.Time, log, seen uint64) *fleetpb.Departures {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.departures.durableChangesSince(now, log, seen)
	changes.Recovering = t.recovering(now)
	return changes
}

// entryHosts returns the number of entry hosts.
func (t *tracker) entryHosts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entryHostCount
}

// unknownAge stands for departures that were never current.
const unknownAge = -time.Millisecond

// age returns how long ago all confirmed departures were known, or unknownAge. The caller holds the
// mutex.
func (t *tracker) age(now time.Time) time.Duration {
	if !t.recovering(now) {
		t.freshness.recordResponse(t.opts.Address, now)
	}
	asOf := t.freshness.asOf(t.opts.Source.Fleet())
	if asOf.IsZero() {
		return unknownAge
	}
	return now.Sub(asOf)
}

// logFreshness logs when the departures become outdated and when they are current again.
func (t *tracker) logFreshness(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := t.age(now)
	outdated := age < 0 || age >= departuresMaxAge
	if outdated == t.outdated || age < 0 && t.recovering(now) {
		return
	}
	t.outdated = outdated
	if outdated {
		t.opts.Logger.Warn("no majority of the control group tells its departures; entry hosts should attach elsewhere", "age_ms", age.Milliseconds())
		return
	}
	t.opts.Logger.Info("departures are current", "age_ms", age.Milliseconds(), "known", len(t.departures.entries))
}
