package attach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// ErrAnnouncementsRefused means that announcements go to control hosts.
var ErrAnnouncementsRefused = errors.New("an attached host takes no announcements; announce to a control host")

// Servers is the registry of an attached entry host: the backend servers as its dispatchers listed
// them last. It is safe for concurrent use.
type Servers struct {
	mu sync.RWMutex
	// byService holds lists that are replaced whole.
	byService map[string][]backend.Server
	// departures outlive the lists, since a new dispatcher may not have heard of one yet.
	departures *departures
	// asOf is when all confirmed departures were known that the control hosts keep.
	asOf time.Time
}

var (
	_ backend.Registry       = (*Servers)(nil)
	_ dispatchrpc.ServerSink = (*Servers)(nil)
)

// NewServers returns an empty registry.
func NewServers() *Servers {
	return &Servers{byService: map[string][]backend.Server{}, departures: newDepartures(0)}
}

// ApplyUpdate implements dispatchrpc.ServerSink.
func (s *Servers) ApplyUpdate(service string, news *dispatchpb.ServerNews) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []backend.Server
	if news.GetReset_() && !s.continues(now) {
		// The dispatcher's list has no departures that the control hosts forgot meanwhile.
		s.asOf = time.Time{}
	}
	if !news.GetReset_() {
		list = slices.DeleteFunc(slices.Clone(s.byService[service]), func(b backend.Server) bool {
			return slices.Contains(news.GetRemoved(), b.Instance) ||
				slices.ContainsFunc(news.GetChanged(), func(e *dispatchpb.ServerEntry) bool { return e.GetInstance() == b.Instance })
		})
	}
	for _, e := range news.GetChanged() {
		if e.GetIncarnation() > 0 && s.departures.covers(e.GetInstance(), e.GetIncarnation()) {
			continue
		}
		list = append(list, backend.Server{
			Service: service, Instance: e.GetInstance(), Incarnation: e.GetIncarnation(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
			State: backend.Ready, Slots: int(e.GetSlots()), Connections: int(e.GetConnections()),
			Renewed: now, Cutoff: heldFor,
		})
	}
	slices.SortFunc(list, func(a, b backend.Server) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	s.byService[service] = list
}

// ApplyDepartures takes out the backend servers that drain or have left, as control hosts know them. All
// departures that were confirmed by asOf are known afterwards; a zero time says nothing of that.
func (s *Servers) ApplyDepartures(now, asOf time.Time, list []*fleetpb.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures.expire(now)
	fresh := false
	for _, d := range list {
		fresh = s.departures.record(now, d.GetInstance(), d.GetIncarnation()) || fresh
	}
	if asOf.After(s.asOf) && s.continues(asOf) {
		s.asOf = asOf
	}
	if !fresh {
		return
	}
	for service, servers := range s.byService {
		s.byService[service] = slices.DeleteFunc(slices.Clone(servers), func(b backend.Server) bool {
			return s.departures.covers(b.Instance, b.Incarnation)
		})
	}
}

// continues tells whether the control hosts still have every departure since the last time. The caller holds
// the mutex.
func (s *Servers) continues(asOf time.Time) bool {
	return s.asOf.IsZero() || asOf.Sub(s.asOf) < departureKeptFor/2
}

// CurrentAsOf is the time by which all confirmed departures were known, or the zero time.
func (s *Servers) CurrentAsOf() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.asOf
}

// heldFor is how long an entry may be used without news of the dispatcher. Only changes are told, so it
// bounds nothing in practice but the use of a list by a host that was cut off for a day.
const heldFor = 24 * time.Hour

// Servers implements backend.Registry.
func (s *Servers) Servers(service string) []backend.Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service]
}

// Announce implements backend.Registry. Errors: ErrNoAnnouncements.
func (s *Servers) Announce(context.Context, backend.Server) error {
	return ErrAnnouncementsRefused
}

// MarkDraining implements backend.Registry; the dispatcher hears of it with the completion.
func (s *Servers) MarkDraining(service, instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byService[service] = slices.DeleteFunc(slices.Clone(s.byService[service]), func(b backend.Server) bool { return b.Instance == instance })
}
