package app

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// fleetSource derives the hosts and services from the document in force, once per revision.
type fleetSource struct {
	document func() *configpb.Document

	mu    sync.Mutex
	from  *configpb.Document
	fleet *hostset.Fleet
}

// Fleet implements hostset.Source.
func (f *fleetSource) Fleet() *hostset.Fleet {
	d := f.document()
	if d == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.from != d {
		f.from = d
		f.fleet = hostset.FromDocument(d)
	}
	return f.fleet
}

// dispatchSettings derives the dispatchers' settings from the snapshot in force.
type dispatchSettings struct {
	self     string
	snapshot func() *configuration.Snapshot
	source   hostset.Source
	members  func(id string) (membership.Member, bool)

	mu sync.Mutex
	// fleet is the revision that sets and services were derived from.
	fleet    *hostset.Fleet
	services []string
	sets     map[string][]hostset.Host
}

// Services lists the services whose host set holds this node.
func (d *dispatchSettings) Services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return d.services
}

// refresh recomputes the host sets after a new revision.
func (d *dispatchSettings) refresh() {
	fleet := d.source.Fleet()
	if fleet == d.fleet {
		return
	}
	d.fleet = fleet
	d.services = nil
	d.sets = map[string][]hostset.Host{}
	if fleet == nil {
		return
	}
	for _, s := range fleet.Services {
		set := fleet.HostSet(s)
		d.sets[s.Name] = set
		if slices.ContainsFunc(set, func(h hostset.Host) bool { return h.ID == d.self }) {
			d.services = append(d.services, s.Name)
		}
	}
}

func (d *dispatchSettings) set(service string) []hostset.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return d.sets[service]
}

// Service returns the settings of one service.
func (d *dispatchSettings) Service(name string) (dispatchrpc.ServiceSettings, bool) {
	snapshot := d.snapshot()
	if snapshot == nil {
		return dispatchrpc.ServiceSettings{}, false
	}
	s, ok := snapshot.Service(name)
	if !ok {
		return dispatchrpc.ServiceSettings{}, false
	}
	result := serviceSettings(s)
	for _, h := range d.set(name) {
		member, known := d.members(h.ID)
		result.Members = append(result.Members, dispatch.Member{
			Node:       h.ID,
			DataCentre: h.DataCentre,
			// A host that was never heard keeps no share reserved.
			Dead: !known || member.State == fleetpb.NodeState_NODE_STATE_DEAD,
		})
	}
	return result, true
}

// serviceSettings returns what a service's configuration says, without the members of its host set.
func serviceSettings(s *configpb.Service) dispatchrpc.ServiceSettings {
	result := dispatchrpc.ServiceSettings{
		MinimumHealthySlots:   int(s.GetMinimumHealthySlots()),
		MinimumHealthyPercent: int(s.GetMinimumHealthyPercent()),
		DefaultSlots:          int(s.GetSlotLimit()),
		DefaultConnections:    int(s.GetConnectionLimit()),
	}
	for _, t := range s.GetPriorities() {
		rank := priority.FromProto(t.GetPriority())
		result.Shares[rank] = t.GetMinimumShare()
		result.Targets[rank] = time.Duration(t.GetTargetLatencyMs()) * time.Millisecond
	}
	return result
}
