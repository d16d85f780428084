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

// tracker keeps the departures of a control host current.
type tracker struct {
	o       *ServerOptions
	started time.Time

	mu         sync.Mutex
	departures *departures
	freshness  freshness
	// seen is what each member of the group has told, by fleet address.
	seen map[string]*fleetpb.DeparturesRequest
	// asking holds the members whose answer is awaited.
	asking map[string]bool
	// hosts is how many entry hosts were heard in the last missedFor.
	hosts int
	// outdated is whether the last look found the departures too old.
	outdated bool
}

func newTracker(o *ServerOptions) *tracker {
	return &tracker{
		o: o, started: time.Now(), departures: newDepartures(o.Incarnation),
		seen: map[string]*fleetpb.DeparturesRequest{}, asking: map[string]bool{},
	}
}

func (t *tracker) run(ctx context.Context) error {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		t.sync(time.Now())
		for _, address := range t.members() {
			running.Go(func() { t.ask(ctx, address) })
		}
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			t.note(now)
		}
	}
}

// members lists the members of the control group that are to be asked now.
func (t *tracker) members() (list []string) {
	fleet := t.o.Source.Fleet()
	if fleet == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range slices.Concat(fleet.Hosts, fleet.PreviousHosts) {
		if h.FleetAddress != t.o.Address && !t.asking[h.FleetAddress] {
			t.asking[h.FleetAddress] = true
			list = append(list, h.FleetAddress)
		}
	}
	return list
}

func (t *tracker) ask(ctx context.Context, address string) {
	t.mu.Lock()
	request := t.seen[address]
	t.mu.Unlock()
	if request == nil {
		request = &fleetpb.DeparturesRequest{}
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := t.o.Peers.ListDepartures(bounded, address, request)
	if err != nil {
		t.o.Logger.Debug("a control host did not tell its departures", "address", address, "err", logging.Err(err))
	} else {
		t.merge(time.Now(), reply)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.asking, address)
	if err != nil {
		return
	}
	t.seen[address] = &fleetpb.DeparturesRequest{Log: reply.GetLog(), Seen: reply.GetSeen()}
	if !reply.GetRecovering() {
		t.freshness.answered(address, sent)
	}
}

// merge takes the departures that another control host told.
func (t *tracker) merge(now time.Time, news *fleetpb.Departures) {
	for _, e := range news.GetList() {
		t.mu.Lock()
		fresh := t.departures.record(now, e.GetInstance(), e.GetIncarnation())
		t.mu.Unlock()
		if fresh {
			t.o.Registry.MarkServer(e.GetInstance(), e.GetIncarnation(), backend.Draining)
		}
	}
}

// sync takes departures from the registry, and marks entries that came after their departure.
func (t *tracker) sync(now time.Time) {
	var late []backend.Server
	t.mu.Lock()
	t.departures.expire(now)
	t.hosts = 0
	t.o.Registry.EachServer(func(b backend.Server) {
		switch {
		case b.Service == entryHosts:
			if b.State == backend.Ready && now.Sub(b.Renewed) < missedFor {
				t.hosts++
			}
		case b.State >= backend.Draining:
			t.departures.record(now, b.Instance, b.Incarnation)
		case t.departures.covers(b.Instance, b.Incarnation):
			late = append(late, b)
		}
	})
	t.mu.Unlock()
	for _, b := range late {
		t.o.Registry.MarkServer(b.Instance, b.Incarnation, backend.Draining)
		t.o.Logger.Info("took out a backend server that was announced after its departure", "service", b.Service,
			"instance", b.Instance, "incarnation", b.Incarnation)
	}
}

// news returns what a process has not seen, and the age of the departures in milliseconds; it is negative if
// no majority of the control group was asked yet.
func (t *tracker) news(now time.Time, log, seen uint64) (news *fleetpb.Departures, ageMs int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	news = t.departures.since(log, seen)
	news.Recovering = t.recovering(now)
	return news, t.age(now).Milliseconds()
}

// entryHosts is how many entry hosts there are.
func (t *tracker) entryHosts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts
}

func (t *tracker) recovering(now time.Time) bool {
	return now.Sub(t.started) < recoverFor
}

// unknownAge stands for departures that were never current.
const unknownAge = -time.Millisecond

// age is how long ago all confirmed departures were known. The caller holds the mutex.
func (t *tracker) age(now time.Time) time.Duration {
	if !t.recovering(now) {
		t.freshness.answered(t.o.Address, now)
	}
	asOf := t.freshness.asOf(t.o.Source.Fleet())
	if asOf.IsZero() {
		return unknownAge
	}
	return now.Sub(asOf)
}

// note logs when the departures become outdated and current again.
func (t *tracker) note(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.age(now)
	outdated := old < 0 || old >= currentFor
	if outdated == t.outdated || old < 0 && t.recovering(now) {
		return
	}
	t.outdated = outdated
	if outdated {
		t.o.Logger.Warn("no majority of the control group tells its departures; entry hosts should attach elsewhere", "age_ms", old.Milliseconds())
		return
	}
	t.o.Logger.Info("departures are current", "age_ms", old.Milliseconds(), "known", len(t.departures.entries))
}
