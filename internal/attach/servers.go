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
)

// ErrNoAnnouncements means that announcements go to control hosts.
var ErrNoAnnouncements = errors.New("an attached host takes no announcements; announce to a control host")

// Servers is the registry of an attached entry host: the backend servers as its dispatchers listed
// them last. It is safe for concurrent use.
type Servers struct {
	mu sync.RWMutex
	// byService holds lists that are replaced whole.
	byService map[string][]backend.Server
}

var (
	_ backend.Registry       = (*Servers)(nil)
	_ dispatchrpc.ServerSink = (*Servers)(nil)
)

// NewServers returns an empty registry.
func NewServers() *Servers {
	return &Servers{byService: map[string][]backend.Server{}}
}

// TakeNews implements dispatchrpc.ServerSink.
func (s *Servers) TakeNews(service string, news *dispatchpb.ServerNews) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []backend.Server
	if !news.GetReset_() {
		list = slices.DeleteFunc(slices.Clone(s.byService[service]), func(b backend.Server) bool {
			return slices.Contains(news.GetRemoved(), b.Instance) ||
				slices.ContainsFunc(news.GetChanged(), func(e *dispatchpb.ServerEntry) bool { return e.GetInstance() == b.Instance })
		})
	}
	for _, e := range news.GetChanged() {
		list = append(list, backend.Server{
			Service: service, Instance: e.GetInstance(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
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
	return ErrNoAnnouncements
}

// MarkDraining implements backend.Registry; the dispatcher hears of it with the completion.
func (s *Servers) MarkDraining(service, instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byService[service] = slices.DeleteFunc(slices.Clone(s.byService[service]), func(b backend.Server) bool { return b.Instance == instance })
}
