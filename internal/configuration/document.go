package configuration

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// DefaultTeam is the id of the team whose settings apply to unknown teams.
const DefaultTeam = "default"

// Empty returns the document of revision 0, before the first change.
func Empty() *configpb.Document {
	return &configpb.Document{}
}

// Canonical returns a copy of the document in canonical order: each section by name or id, and
// priorities from urgent to background. The copy shares the items with the original, except
// services whose priorities have to be reordered.
func Canonical(d *configpb.Document) *configpb.Document {
	c := shallowCopy(d)
	c.DataCentres = sortedBy(d.GetDataCentres(), dataCentreKey)
	c.Hosts = sortedBy(d.GetHosts(), hostKey)
	c.Services = sortedBy(d.GetServices(), serviceKey)
	c.Routes = sortedBy(d.GetRoutes(), routeKey)
	c.Teams = sortedBy(d.GetTeams(), teamKey)
	for i, s := range c.Services {
		c.Services[i] = canonicalService(s)
	}
	return c
}

// shareUnchanged replaces the services, routes and teams of next that equal those of d by these and returns next. So
// former documents, of which a control host keeps several, take little memory although operators send whole ones. Both
// documents must be canonical, and the sections of next must not be in use elsewhere.
func shareUnchanged(d, next *configpb.Document) *configpb.Document {
	shareEqual(d.GetServices(), next.GetServices(), serviceKey)
	shareEqual(d.GetRoutes(), next.GetRoutes(), routeKey)
	shareEqual(d.GetTeams(), next.GetTeams(), teamKey)
	return next
}

// shareEqual replaces the items of next that equal the item of former with the same key. Both must be sorted by key.
func shareEqual[T proto.Message](former, next []T, key func(T) string) {
	at := 0
	for i, item := range next {
		for at < len(former) && key(former[at]) < key(item) {
			at++
		}
		if at < len(former) && key(former[at]) == key(item) && proto.Equal(former[at], item) {
			next[i] = former[at]
		}
	}
}

// shallowCopy copies the document; the copy shares all sections.
func shallowCopy(d *configpb.Document) *configpb.Document {
	return &configpb.Document{
		Revision:      d.GetRevision(),
		DataCentres:   d.GetDataCentres(),
		Hosts:         d.GetHosts(),
		Services:      d.GetServices(),
		Routes:        d.GetRoutes(),
		Teams:         d.GetTeams(),
		PreviousHosts: d.GetPreviousHosts(),
		HostsRevision: d.GetHostsRevision(),
		Version:       d.GetVersion(),
		Source:        d.GetSource(),
		RequiresKeys:  d.GetRequiresKeys(),
	}
}

// WithoutSource returns the document without the operator's text, which only control replicas need. The copy
// shares all sections.
func WithoutSource(d *configpb.Document) *configpb.Document {
	if len(d.GetSource()) == 0 {
		return d
	}
	c := shallowCopy(d)
	c.Source = nil
	return c
}

// EntryWithoutSource returns the entry without the operator's text in the document that it may hold.
func EntryWithoutSource(e *configpb.Entry) *configpb.Entry {
	superseding := e.GetChange().GetSupersede().GetDocument()
	if len(superseding.GetSource()) == 0 {
		return e
	}
	return &configpb.Entry{
		Revision: e.GetRevision(), RequestId: e.GetRequestId(), Author: e.GetAuthor(), TimeMs: e.GetTimeMs(),
		Change: &configpb.Change{Kind: &configpb.Change_Supersede{Supersede: &configpb.Supersede{Document: WithoutSource(superseding)}}},
	}
}

func canonicalService(s *configpb.Service) *configpb.Service {
	byPriority := func(a, b *configpb.PriorityTarget) int { return cmp.Compare(a.GetPriority(), b.GetPriority()) }
	if slices.IsSortedFunc(s.GetPriorities(), byPriority) {
		return s
	}
	c := proto.CloneOf(s)
	slices.SortStableFunc(c.Priorities, byPriority)
	return c
}

func dataCentreKey(d *configpb.DataCentre) string { return d.GetName() }
func hostKey(h *configpb.Host) string             { return h.GetId() }
func serviceKey(s *configpb.Service) string       { return s.GetName() }
func routeKey(r *configpb.Route) string           { return r.GetId() }
func teamKey(t *configpb.Team) string             { return t.GetId() }

func sortedBy[T any](items []T, key func(T) string) []T {
	c := slices.Clone(items)
	slices.SortStableFunc(c, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return c
}

// find looks up an item in a section that is in canonical order.
func find[T any](items []T, key func(T) string, id string) (item T, ok bool) {
	i, ok := search(items, key, id)
	if !ok {
		return item, false
	}
	return items[i], true
}

func search[T any](items []T, key func(T) string, id string) (int, bool) {
	return slices.BinarySearchFunc(items, id, func(item T, id string) int { return strings.Compare(key(item), id) })
}

// put returns a copy of the section with the item added or replaced.
func put[T any](items []T, key func(T) string, item T) []T {
	i, found := search(items, key, key(item))
	if found {
		c := slices.Clone(items)
		c[i] = item
		return c
	}
	c := make([]T, 0, len(items)+1)
	c = append(c, items[:i]...)
	c = append(c, item)
	return append(c, items[i:]...)
}

// remove returns the section without the item, as a copy if it contained the item.
func remove[T any](items []T, key func(T) string, id string) []T {
	i, found := search(items, key, id)
	if !found {
		return items
	}
	c := make([]T, 0, len(items)-1)
	c = append(c, items[:i]...)
	return append(c, items[i+1:]...)
}

// DefaultService returns a service with the settings that apply where an operator's format sets none.
func DefaultService(name string) *configpb.Service {
	s := &configpb.Service{Name: name, MinimumHealthyPercent: defaultMinimumHealthyPercent, SlotLimit: 1, ConnectionLimit: 1}
	for i, share := range defaultMinimumShares {
		s.Priorities = append(s.Priorities, &configpb.PriorityTarget{
			Priority:        configpb.Priority_PRIORITY_URGENT + configpb.Priority(i),
			TargetLatencyMs: defaultTargetLatency.Milliseconds(),
			TargetShare:     defaultTargetShare,
			MinimumShare:    share,
		})
	}
	return s
}

const (
	// defaultMinimumHealthyPercent is the percentage of the announced slots below which nothing is ejected.
	defaultMinimumHealthyPercent = 70
	// defaultTargetLatency applies to routes that set no target latency.
	defaultTargetLatency = time.Second
	// defaultTargetShare is the share of requests that must succeed within the target latency.
	defaultTargetShare = 0.99
)

// defaultMinimumShares are the shares of slot time reserved for urgent, normal and background requests.
var defaultMinimumShares = [...]float64{0, 0.2, 0.1}
