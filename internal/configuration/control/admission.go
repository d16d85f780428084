package control

import (
	"fmt"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// unknownHostState is the reported state of a configured host that is unknown to gossip.
const unknownHostState = "unknown"

// hostsInForcePeriod is how long a change of hosts must have been in force on the previous voting groups
// before the next one is admitted. It exceeds the lease of a vote, since a voter that has applied the
// change may still be bound by a vote that it gave before.
const hostsInForcePeriod = 500 * time.Millisecond

// inForceRecord is when the last change of hosts was first seen in force on the previous voting groups.
type inForceRecord struct {
	revision uint64
	since    time.Time
}

// checkHostsChange checks what depends on the state of the fleet and can therefore not be part of the
// deterministic validation. A change of hosts is rejected until the last one has been in force for
// hostsInForcePeriod on a majority of every voting group that it replaced. Elections need majorities of the
// current and the previous group only, so a dispatcher elected two changes ago could otherwise still hold
// its lease beside a new one.
func (l *Log) checkHostsChange(d *configpb.Document, c *configpb.Change) *configuration.Rejection {
	if l.options.Fleet == nil || len(d.GetPreviousHosts()) == 0 || !configuration.ChangesHosts(d, c) {
		return nil
	}
	laggingService := l.recordHostsInForce(d, time.Now())
	if laggingService == "" && time.Since(l.hostsInForce.since) >= hostsInForcePeriod {
		return nil
	}
	reason := fmt.Sprintf("the change of hosts at revision %d came into force a moment ago", d.GetHostsRevision())
	if laggingService != "" {
		reason = fmt.Sprintf("the change of hosts at revision %d is not in force on a majority of the former voting group of service %s", d.GetHostsRevision(), laggingService)
	}
	return &configuration.Rejection{
		Field:  "hosts",
		Reason: reason,
		Remedy: "wait until it is in force (config status --wait), then send the change again",
	}
}

// recordHostsInForce records when the last change of hosts is first seen in force on a majority of every
// previous voting group. It returns the name of a service whose group does not have it in force yet, or "".
// The caller must hold the mutex.
func (l *Log) recordHostsInForce(d *configpb.Document, now time.Time) (laggingService string) {
	revisions := map[string]uint64{}
	for _, s := range l.options.Fleet.Statuses() {
		revisions[s.GetId()] = s.GetRevision()
	}
	fleet := hostset.FromDocument(d)
	for _, s := range fleet.Services {
		_, previousGroup := fleet.VotingGroups(s)
		upToDate := 0
		for _, h := range previousGroup {
			if revisions[h.ID] >= d.GetHostsRevision() {
				upToDate++
			}
		}
		if 2*upToDate <= len(previousGroup) && len(previousGroup) > 0 {
			return s.Name
		}
	}
	if l.hostsInForce.revision != d.GetHostsRevision() {
		l.hostsInForce = inForceRecord{revision: d.GetHostsRevision(), since: now}
	}
	return ""
}

// refreshHostsInForce updates the record between changes. Otherwise hostsInForcePeriod would only begin with
// the operator's next change, which would always be rejected once.
func (l *Log) refreshHostsInForce() {
	if l.options.Fleet == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordHostsInForce(l.state.document(), time.Now())
}

// hostStatuses returns the statuses known from gossip and one for each configured host that gossip lacks.
func (l *Log) hostStatuses(d *configpb.Document) []*configpb.HostStatus {
	var statuses []*configpb.HostStatus
	reported := map[string]bool{}
	if l.options.Fleet != nil {
		statuses = append(statuses, l.options.Fleet.Statuses()...)
	}
	for _, s := range statuses {
		reported[s.GetId()] = true
	}
	for _, h := range d.GetHosts() {
		if !reported[h.GetId()] {
			statuses = append(statuses, &configpb.HostStatus{Id: h.GetId(), DataCentre: h.GetDataCentre(), State: unknownHostState})
		}
	}
	return statuses
}

// warnings returns a warning for each service whose minimum of healthy slots exceeds its announced capacity.
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

// servicesOf returns the services that a change adds or replaces.
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
