package control

import (
	"fmt"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// unknownState is the state of a host that gossip has not heard of.
const unknownState = "unknown"

// settleFor is how long a change of hosts must have been in force on the voting groups before it.
// It exceeds the lease of a vote, since a voter that moved on may still be bound by an earlier vote.
const settleFor = 500 * time.Millisecond

// settlement is when the last change of hosts was first seen in force on the former voting groups.
type settlement struct {
	revision uint64
	at       time.Time
}

// admission checks what depends on the state of the fleet and is therefore no part of the
// deterministic validation. A second change of hosts waits until the first is in force on a majority
// of every voting group before it: elections need the majorities of the present and the former group,
// so a dispatcher elected two changes ago could otherwise hold its lease beside a new one.
func (l *Log) admission(d *configpb.Document, c *configpb.Change) *configuration.Rejection {
	if l.options.Fleet == nil || len(d.GetPreviousHosts()) == 0 || !configuration.ChangesHosts(d, c) {
		return nil
	}
	lagging := l.observeHosts(d, time.Now())
	if lagging == "" && time.Since(l.settled.at) >= settleFor {
		return nil
	}
	reason := fmt.Sprintf("the change of hosts at revision %d came into force a moment ago", d.GetHostsRevision())
	if lagging != "" {
		reason = fmt.Sprintf("the change of hosts at revision %d is not in force on a majority of the former voting group of service %s", d.GetHostsRevision(), lagging)
	}
	return &configuration.Rejection{
		Field:  "hosts",
		Reason: reason,
		Remedy: "wait until it is in force (config status --wait), then send the change again",
	}
}

// observeHosts notes when the last change of hosts is first seen in force on all former voting
// groups, and returns the name of a service whose group lags behind. The caller holds the lock.
func (l *Log) observeHosts(d *configpb.Document, now time.Time) (lagging string) {
	revisions := map[string]uint64{}
	for _, s := range l.options.Fleet.Statuses() {
		revisions[s.GetId()] = s.GetRevision()
	}
	fleet := hostset.FromDocument(d)
	for _, s := range fleet.Services {
		_, former := fleet.VotingGroups(s)
		reached := 0
		for _, h := range former {
			if revisions[h.ID] >= d.GetHostsRevision() {
				reached++
			}
		}
		if 2*reached <= len(former) && len(former) > 0 {
			return s.Name
		}
	}
	if l.settled.revision != d.GetHostsRevision() {
		l.settled = settlement{revision: d.GetHostsRevision(), at: now}
	}
	return ""
}

// watchHosts looks at the voting groups between changes, so that an operator need not wait for the
// settlement to begin with the next change.
func (l *Log) watchHosts() {
	if l.options.Fleet == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeHosts(l.ledger.document(), time.Now())
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
