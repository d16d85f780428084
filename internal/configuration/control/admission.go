package control

import (
	"fmt"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// unknownState is the state of a host that gossip has not heard of.
const unknownState = "unknown"

// admission checks what depends on the state of the fleet and is therefore no part of the
// deterministic validation: a second change of hosts waits until the first is in force on
// a majority of the nodes before it, since elections need the majorities of both lists.
func (l *Log) admission(d *configpb.Document, c *configpb.Change) *configuration.Rejection {
	if l.options.Fleet == nil || !configuration.ChangesHosts(d, c) {
		return nil
	}
	nodes, reached := l.reached(d)
	if 2*reached > nodes || nodes == 0 {
		return nil
	}
	return &configuration.Rejection{
		Field:  "hosts",
		Reason: fmt.Sprintf("the change of hosts at revision %d is in force on %d of the %d nodes before it", d.GetHostsRevision(), reached, nodes),
		Remedy: "wait until a majority of them has it in force (config status --wait), then send the change again",
	}
}

// reached counts the nodes before the last change of hosts, and those of them that have it in force.
func (l *Log) reached(d *configpb.Document) (nodes, reached int) {
	revisions := map[string]uint64{}
	for _, s := range l.options.Fleet.Statuses() {
		revisions[s.GetId()] = s.GetRevision()
	}
	for _, h := range d.GetPreviousHosts() {
		if h.GetRole() == configpb.HostRole_HOST_ROLE_CONTROL {
			continue
		}
		nodes++
		if revisions[h.GetId()] >= d.GetHostsRevision() {
			reached++
		}
	}
	return nodes, reached
}

// hostStatuses returns one status per configured host, and those of hosts that gossip knows besides.
func (l *Log) hostStatuses(d *configpb.Document) []*configpb.HostStatus {
	var statuses []*configpb.HostStatus
	heard := map[string]bool{}
	if l.options.Fleet != nil {
		statuses = append(statuses, l.options.Fleet.Statuses()...)
	}
	for _, s := range statuses {
		heard[s.GetId()] = true
	}
	for _, h := range d.GetHosts() {
		if !heard[h.GetId()] {
			statuses = append(statuses, &configpb.HostStatus{Id: h.GetId(), DataCentre: h.GetDataCentre(), State: unknownState})
		}
	}
	return statuses
}

// warnings names the services whose minimum is above their announced capacity.
func (l *Log) warnings(services []*configpb.Service) []string {
	if l.options.Capacity == nil {
		return nil
	}
	var warnings []string
	for _, s := range services {
		slots, known := l.options.Capacity.AnnouncedSlots(s.GetName())
		if known && uint64(s.GetMinimumHealthySlots()) > slots {
			warnings = append(warnings, fmt.Sprintf(
				"service %s: the minimum of %d healthy slots is above the announced %d; nothing can be ejected until more backend servers announce themselves or the minimum is lowered",
				s.GetName(), s.GetMinimumHealthySlots(), slots))
		}
	}
	return warnings
}

// servicesOf returns the services that a change puts.
func servicesOf(c *configpb.Change) []*configpb.Service {
	switch k := c.GetKind().(type) {
	case *configpb.Change_PutService:
		return []*configpb.Service{k.PutService}
	case *configpb.Change_ReplaceAll:
		return k.ReplaceAll.GetDocument().GetServices()
	default:
		return nil
	}
}
