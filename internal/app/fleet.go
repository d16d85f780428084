package app

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/burn"
	"github.com/tarragonmux/tarragonmux/internal/capexchange"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/records"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// errNoNode is returned for calls that only a node can serve.
var errNoNode = errors.New("this process runs no node; send the call to a node")

// fleetService serves fleetpb.Fleet by passing each call to the component that owns the state. Components
// that this process does not run are nil; the membership is always set.
type fleetService struct {
	id         string
	membership *membership.Runner
	elections  *election.Runner
	dispatcher *dispatchrpc.Server
	claimer    *records.Claimer
	recorder   *burn.Recorder
	source     hostset.Source
	// attach is set on control hosts of a fleet with host discovery.
	attach *attach.Server
	// caps is set on control hosts of a fleet with host discovery.
	caps  *capexchange.Exchange
	drain func()
}

// errNoControl is returned for calls that only a control host of a fleet with host discovery can serve.
var errNoControl = errors.New("this process runs no control host of a fleet that discovers its hosts; send the call to a control host")

var _ fleetpb.DRPCFleetServer = (*fleetService)(nil)

// Gossip exchanges membership updates.
func (f *fleetService) Gossip(ctx context.Context, r *fleetpb.GossipRequest) (*fleetpb.GossipReply, error) {
	return f.membership.Gossip(ctx, r)
}

// Probe responds to a probe, or probes another member on behalf of the sender.
func (f *fleetService) Probe(ctx context.Context, r *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	return f.membership.Probe(ctx, r)
}

// Vote decides on the vote request of a candidate for the dispatcher role.
func (f *fleetService) Vote(ctx context.Context, r *fleetpb.VoteRequest) (*fleetpb.VoteReply, error) {
	if f.elections == nil {
		return nil, errNoNode
	}
	return f.elections.Vote(ctx, r)
}

// Attempt returns the state of an attempt of this node.
func (f *fleetService) Attempt(ctx context.Context, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	if f.claimer == nil {
		return nil, errNoNode
	}
	return f.claimer.Attempts().Attempt(ctx, r)
}

// Attach handles the heartbeat of an entry host, which is not a member of the gossip.
func (f *fleetService) Attach(ctx context.Context, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	if f.attach == nil {
		return nil, errNoControl
	}
	return f.attach.Attach(ctx, r)
}

// Mark records that a backend server is draining or has left.
func (f *fleetService) Mark(ctx context.Context, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	if f.attach == nil {
		return nil, errNoControl
	}
	return f.attach.Mark(ctx, r)
}

// ListDepartures lists departures for another control host, which polls to keep its own list current.
func (f *fleetService) ListDepartures(ctx context.Context, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	if f.attach == nil {
		return nil, errNoControl
	}
	return f.attach.ListDepartures(ctx, r)
}

// ShareDemand records the demand of teams that the dispatchers of another control host see.
func (f *fleetService) ShareDemand(_ context.Context, r *fleetpb.DemandReport) (*fleetpb.DemandReply, error) {
	if f.caps == nil {
		return nil, errNoControl
	}
	return f.caps.Receive(r), nil
}

// Burn returns the service-level counts.
func (f *fleetService) Burn(context.Context, *fleetpb.BurnRequest) (*fleetpb.BurnReply, error) {
	if f.recorder == nil {
		return nil, errNoNode
	}
	return f.recorder.Reply(f.id, time.Now()), nil
}

// Hosts lists the members as this process sees them.
func (f *fleetService) Hosts(context.Context, *fleetpb.HostsRequest) (*fleetpb.HostsReply, error) {
	reply := &fleetpb.HostsReply{}
	for _, m := range f.membership.Members() {
		reply.Nodes = append(reply.Nodes, memberProto(m))
	}
	return reply, nil
}

func memberProto(m membership.Member) *fleetpb.Node {
	return &fleetpb.Node{
		Id:                  m.ID,
		Incarnation:         m.Incarnation,
		State:               m.State,
		DataCentre:          m.DataCentre,
		EntryAddress:        m.EntryAddress,
		FleetAddress:        m.FleetAddress,
		Revision:            m.Revision,
		Ready:               m.Ready,
		UnreachableServices: m.Unreachable,
		Role:                m.Role,
		AgeMs:               lastHeardAgeMs(m),
	}
}

func lastHeardAgeMs(m membership.Member) int64 {
	if m.LastHeard.IsZero() {
		return -1
	}
	return time.Since(m.LastHeard).Milliseconds()
}

// Backends lists the backend servers, with the dispatcher's state of each server where this host dispatches
// the service.
func (f *fleetService) Backends(_ context.Context, r *fleetpb.BackendsRequest) (*fleetpb.BackendsReply, error) {
	if f.dispatcher == nil {
		return nil, errNoNode
	}
	reply := &fleetpb.BackendsReply{}
	for _, service := range f.services(r.GetService()) {
		view, _, dispatching := f.dispatcher.View(service)
		for _, s := range f.membership.Servers(service) {
			b := &fleetpb.Backend{Server: serverProto(s)}
			if dispatching {
				addDispatchState(b, view, s.Instance)
			}
			reply.Backends = append(reply.Backends, b)
		}
		for _, name := range f.shardNames(service) {
			if h, ok := f.elections.Dispatcher(name); ok {
				reply.Dispatchers = append(reply.Dispatchers, &fleetpb.DispatcherInfo{Service: name, Node: h.Node, Term: h.Term})
			}
		}
	}
	return reply, nil
}

func (f *fleetService) services(requested string) []string {
	if requested != "" {
		return []string{requested}
	}
	fleet := f.source.Fleet()
	if fleet == nil {
		return nil
	}
	names := make([]string, 0, len(fleet.Services))
	for _, s := range fleet.Services {
		if name := shard.ServiceOf(s.Name); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// shardNames returns the names under which the dispatchers of the service are elected.
func (f *fleetService) shardNames(service string) []string {
	fleet := f.source.Fleet()
	if fleet == nil {
		return nil
	}
	var names []string
	for _, s := range fleet.Services {
		if shard.ServiceOf(s.Name) == service {
			names = append(names, s.Name)
		}
	}
	return names
}

// addDispatchState adds the dispatcher's state of the instance, its requests in flight and its limit.
func addDispatchState(b *fleetpb.Backend, view dispatch.View, instance string) {
	for _, s := range view.Servers {
		if s.Instance == instance {
			b.Judgement = s.State
			b.InFlight = uint32(s.InFlight)
			b.Limit = uint32(s.Limit)
		}
	}
}

func serverProto(s backend.Server) *fleetpb.Server {
	return &fleetpb.Server{
		Service:     s.Service,
		Instance:    s.Instance,
		Incarnation: s.Incarnation,
		Address:     s.Address,
		DataCentre:  s.DataCentre,
		State:       fleetpb.ServerState(s.State),
		Slots:       uint32(s.Slots),
		Connections: uint32(s.Connections),
		AgeMs:       time.Since(s.Renewed).Milliseconds(),
		WarmUpMs:    s.WarmUp.Milliseconds(),
		Load:        s.Load,
	}
}

// Drain shuts this process down gracefully, or drains one backend server.
func (f *fleetService) Drain(_ context.Context, r *fleetpb.DrainRequest) (*fleetpb.DrainReply, error) {
	if r.GetService() == "" && r.GetInstance() == "" {
		f.drain()
		return &fleetpb.DrainReply{}, nil
	}
	for _, s := range f.membership.Servers(r.GetService()) {
		if s.Instance == r.GetInstance() {
			f.membership.MarkDraining(r.GetService(), r.GetInstance())
			return &fleetpb.DrainReply{}, nil
		}
	}
	return &fleetpb.DrainReply{Error: "the backend server " + r.GetService() + "/" + r.GetInstance() + " is not known; list them with: tarragonmux backends"}, nil
}
