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

	mu          sync.Mutex
	derivedFrom *configpb.Document
	fleet       *hostset.Fleet
}

// Fleet implements hostset.Source.
func (f *fleetSource) Fleet() *hostset.Fleet {
	d := f.document()
	if d == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.derivedFrom != d {
		f.derivedFrom = d
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
	// fleet is what hostSets and services were derived from.
	fleet    *hostset.Fleet
	services []string
	hostSets map[string][]hostset.Host
}

// Services lists the services whose host set contains this node.
func (d *dispatchSettings) Services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	return d.services
}

// refreshLocked recomputes the host sets after a new revision. It must be called with d.mu held.
func (d *dispatchSettings) refreshLocked() {
	fleet := d.source.Fleet()
	if fleet == d.fleet {
		return
	}
	d.fleet = fleet
	d.services = nil
	d.hostSets = map[string][]hostset.Host{}
	if fleet == nil {
		return
	}
	for _, s := range fleet.Services {
		hostSet := fleet.HostSet(s)
		d.hostSets[s.Name] = hostSet
		if slices.ContainsFunc(hostSet, func(h hostset.Host) bool { return h.ID == d.self }) {
			d.services = append(d.services, s.Name)
		}
	}
}

func (d *dispatchSettings) hostSet(service string) []hostset.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	return d.hostSets[service]
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
	for _, h := range d.hostSet(name) {
		member, known := d.members(h.ID)
		result.Members = append(result.Members, dispatch.Member{
			Node:       h.ID,
			DataCentre: h.DataCentre,
			// A host that is not known from gossip counts as dead, so that no share is reserved for it.
			Dead: !known || member.State == fleetpb.NodeState_NODE_STATE_DEAD,
		})
	}
	return result, true
}

// serviceSettings converts the configuration of a service. The members of the host set are left empty.
func serviceSettings(s *configpb.Service) dispatchrpc.ServiceSettings {
	result := dispatchrpc.ServiceSettings{
		MinimumHealthySlots:   int(s.GetMinimumHealthySlots()),
		MinimumHealthyPercent: int(s.GetMinimumHealthyPercent()),
		DefaultSlots:          int(s.GetSlotLimit()),
		DefaultConnections:    int(s.GetConnectionLimit()),
		Shards:                int(s.GetShards()),
	}
	for _, t := range s.GetPriorities() {
		rank := priority.FromProto(t.GetPriority())
		result.Shares[rank] = t.GetMinimumShare()
		result.Targets[rank] = time.Duration(t.GetTargetLatencyMs()) * time.Millisecond
	}
	return result
}
