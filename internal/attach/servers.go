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

// ErrAnnouncementsRefused means that announcements must be sent to control hosts.
var ErrAnnouncementsRefused = errors.New("an attached host takes no announcements; announce to a control host")

// Servers is the registry of an attached entry host: the backend servers as last listed by its
// dispatchers. It is safe for concurrent use.
type Servers struct {
	mu sync.RWMutex
	// byService holds lists that are replaced on a change, never modified in place.
	byService map[string][]backend.Server
	// departures are kept when a list is replaced, since a new dispatcher may not know one of them yet.
	departures *departures
	// asOf is the time up to which this host knows all confirmed departures that the control hosts still
	// keep.
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
func (s *Servers) ApplyUpdate(service string, update *dispatchpb.ServerNews) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []backend.Server
	if update.GetReset_() && !s.isContiguous(now) {
		// The dispatcher's list contains no server whose departure the control hosts have dropped in
		// the meantime, so the gap no longer matters.
		s.asOf = time.Time{}
	}
	if !update.GetReset_() {
		list = slices.DeleteFunc(slices.Clone(s.byService[service]), func(b backend.Server) bool {
			return slices.Contains(update.GetRemoved(), b.Instance) ||
				slices.ContainsFunc(update.GetChanged(), func(e *dispatchpb.ServerEntry) bool { return e.GetInstance() == b.Instance })
		})
	}
	for _, e := range update.GetChanged() {
		if e.GetIncarnation() > 0 && s.departures.covers(e.GetInstance(), e.GetIncarnation()) {
			continue
		}
		list = append(list, backend.Server{
			Service: service, Instance: e.GetInstance(), Incarnation: e.GetIncarnation(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
			State: backend.Ready, Slots: int(e.GetSlots()), Connections: int(e.GetConnections()),
			Renewed: now, Cutoff: listMaxAge,
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

// ApplyDepartures removes backend servers that drain or have left, as reported by a control host. All
// departures that were confirmed by asOf are known afterwards; if asOf is zero, some may be missing.
func (s *Servers) ApplyDepartures(now, asOf time.Time, list []*fleetpb.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures.expire(now)
	added := false
	for _, d := range list {
		added = s.departures.record(now, d.GetInstance(), d.GetIncarnation()) || added
	}
	if asOf.After(s.asOf) && s.isContiguous(asOf) {
		s.asOf = asOf
	}
	if !added {
		return
	}
	for service, servers := range s.byService {
		s.byService[service] = slices.DeleteFunc(slices.Clone(servers), func(b backend.Server) bool {
			return s.departures.covers(b.Instance, b.Incarnation)
		})
	}
}

// isContiguous reports whether the control hosts still keep every departure that was confirmed between
// s.asOf and the given time. The caller holds the mutex.
func (s *Servers) isContiguous(asOf time.Time) bool {
	return s.asOf.IsZero() || asOf.Sub(s.asOf) < departureRetention/2
}

// Departed reports whether a server is not listed since it drains or has left.
func (s *Servers) Departed(service, instance string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, departed := s.departures.entries[instance]
	return departed && !slices.ContainsFunc(s.byService[service], func(b backend.Server) bool { return b.Instance == instance })
}

// CurrentAsOf returns the time up to which all confirmed departures are known, or the zero time.
func (s *Servers) CurrentAsOf() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.asOf
}

// listMaxAge is how long an entry may be used without an update from the dispatcher. The dispatcher
// sends only changes, so in practice this limits only a host that was cut off for a day.
const listMaxAge = 24 * time.Hour

// Servers implements backend.Registry.
func (s *Servers) Servers(service string) []backend.Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service]
}

// Announce implements backend.Registry. Errors: ErrAnnouncementsRefused.
func (s *Servers) Announce(context.Context, backend.Server) error {
	return ErrAnnouncementsRefused
}

// MarkDraining implements backend.Registry; the dispatcher learns of it from the completion. The process of the server
// stays out when a dispatcher that does not know of it sends its list.
func (s *Servers) MarkDraining(service, instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.byService[service] {
		if b.Instance == instance && b.Incarnation > 0 {
			s.departures.record(time.Now(), instance, b.Incarnation)
		}
	}
	s.byService[service] = slices.DeleteFunc(slices.Clone(s.byService[service]), func(b backend.Server) bool { return b.Instance == instance })
}
