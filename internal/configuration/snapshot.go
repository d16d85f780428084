package configuration

import (
	"sync/atomic"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Snapshot is one compiled revision. It is immutable and safe for concurrent use; lookups
// take no locks and allocate nothing.
type Snapshot struct {
	document *configpb.Document
	routes   routeTable
	teams    teamTable
	keys     keyTable
	services map[string]*configpb.Service
}

var _ route.Snapshot = (*Snapshot)(nil)

// Compile builds the snapshot of a document. The document must be in canonical order and
// must not be modified afterwards.
func Compile(d *configpb.Document) *Snapshot {
	services := serviceTable(d.GetServices())
	return &Snapshot{
		document: d,
		routes:   compileRoutes(d.GetRoutes(), services),
		teams:    compileTeams(d.GetTeams()),
		keys:     compileKeys(d.GetTeams()),
		services: services,
	}
}

// Advance builds the snapshot of the document that results from the change. It shares with s
// what the change does not affect.
func (s *Snapshot) Advance(d *configpb.Document, c *configpb.Change) *Snapshot {
	next := &Snapshot{document: d, routes: s.routes, teams: s.teams, keys: s.keys, services: s.services}
	switch k := c.GetKind().(type) {
	case *configpb.Change_PutDataCentre, *configpb.Change_PutHost, *configpb.Change_DeleteHost:
	case *configpb.Change_PutTeam:
		next.teams = s.teams.withTeam(k.PutTeam)
		next.keys = s.keys.withTeamReplaced(s.configuredTeam(k.PutTeam.GetId()), k.PutTeam)
	case *configpb.Change_DeleteTeam:
		next.teams = s.teams.withoutTeam(k.DeleteTeam)
		next.keys = s.keys.withTeamReplaced(s.configuredTeam(k.DeleteTeam), nil)
	case *configpb.Change_PutRoute:
		next.routes = s.routes.withHostsRebuilt(d.GetRoutes(), s.services, s.routeHostName(k.PutRoute.GetId()), k.PutRoute.GetHostName())
	case *configpb.Change_DeleteRoute:
		next.routes = s.routes.withHostsRebuilt(d.GetRoutes(), s.services, s.routeHostName(k.DeleteRoute))
	case *configpb.Change_SetShards:
		next.services = serviceTable(d.GetServices())
	case *configpb.Change_PutService, *configpb.Change_DeleteService:
		next.services = serviceTable(d.GetServices())
		next.routes = compileRoutes(d.GetRoutes(), next.services)
	default:
		return Compile(d)
	}
	return next
}

func serviceTable(services []*configpb.Service) map[string]*configpb.Service {
	table := make(map[string]*configpb.Service, len(services))
	for _, s := range services {
		table[s.GetName()] = s
	}
	return table
}

// configuredTeam returns the team as the document has it, or nil.
func (s *Snapshot) configuredTeam(id string) *configpb.Team {
	t, _ := find(s.document.GetTeams(), teamKey, id)
	return t
}

func (s *Snapshot) routeHostName(routeID string) string {
	r, _ := find(s.document.GetRoutes(), routeKey, routeID)
	return r.GetHostName()
}

// Revision returns the revision of the document.
func (s *Snapshot) Revision() uint64 { return s.document.GetRevision() }

// Document returns the document that the snapshot was compiled from. It must not be modified.
func (s *Snapshot) Document() *configpb.Document { return s.document }

// Hosts returns the hosts in force, by id. It must not be modified.
func (s *Snapshot) Hosts() []*configpb.Host { return s.document.GetHosts() }

// PreviousHosts returns the hosts before the last change of hosts. An election needs a majority of the
// current hosts and a majority of the previous ones.
func (s *Snapshot) PreviousHosts() []*configpb.Host { return s.document.GetPreviousHosts() }

// HostsRevision returns the revision of the last change of hosts.
func (s *Snapshot) HostsRevision() uint64 { return s.document.GetHostsRevision() }

// Service returns the settings of a service; ok is false if it is not configured.
func (s *Snapshot) Service(name string) (service *configpb.Service, ok bool) {
	service, ok = s.services[name]
	return service, ok
}

// HasService reports whether the service is configured.
func (s *Snapshot) HasService(name string) bool {
	_, ok := s.services[name]
	return ok
}

// Match finds the route of a request: routes of the host name take precedence over routes without
// one, then the longest path prefix wins, then a route that lists the method.
func (s *Snapshot) Match(hostName, method, path string) (route.Match, bool) {
	return s.routes.match(hostName, method, path)
}

// Team returns the team. For an unknown id it returns the team DefaultTeam, so that all unknown
// teams share one quota.
func (s *Snapshot) Team(id string) route.Team { return s.teams.get(id) }

// Holder holds the snapshot in force. Any number of goroutines may read it, but only one may write it.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

var _ route.Source = (*Holder)(nil)

// Current returns the snapshot in force, or nil before the first.
func (h *Holder) Current() route.Snapshot {
	if s := h.current.Load(); s != nil {
		return s
	}
	return nil
}

// Snapshot returns the snapshot in force with its whole document, or nil before the first.
func (h *Holder) Snapshot() *Snapshot { return h.current.Load() }

// Set puts the snapshot in force and returns true. If its revision is not above the one in force,
// Set changes nothing, reports a violated invariant and returns false.
func (h *Holder) Set(next *Snapshot) bool {
	if current := h.current.Load(); current != nil {
		if !invariant.Check(next.Revision() > current.Revision(), "configuration.revision-rises", "revision %d after %d", next.Revision(), current.Revision()) {
			return false
		}
	}
	h.current.Store(next)
	return true
}
