package membership

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Gossip answers an exchange. Errors: MalformedError.
func (r *Runner) Gossip(_ context.Context, request *fleetpb.GossipRequest) (*fleetpb.GossipReply, error) {
	var reply *fleetpb.GossipReply
	var out Outcome
	var err error
	r.locked(func(s *State, now time.Time) { reply, out, err = s.HandleRequest(now, request) })
	if err != nil {
		r.o.Logger.Warn("refused a request", "member", request.GetFrom().GetId(), "err", logging.Err(err))
		return nil, err
	}
	r.signal(out.NewerRevision)
	return reply, nil
}

// Probe answers a probe of this node, or probes another node for the sender.
func (r *Runner) Probe(ctx context.Context, request *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	if request.GetTarget() == "" || request.GetTarget() == r.o.Identity.ID {
		return r.answerProbe(), nil
	}
	if err := checkAddress("target_address", request.GetTargetAddress()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	direct := &fleetpb.ProbeRequest{From: r.o.Identity.ID, Target: request.GetTarget(), TargetAddress: request.GetTargetAddress()}
	reply, err := r.o.PeerClient.Probe(ctx, request.GetTargetAddress(), direct)
	if err != nil {
		// The sender asked whether this node reaches the target; that it does not is an answer.
		return &fleetpb.ProbeReply{}, nil
	}
	return reply, nil
}

func (r *Runner) answerProbe() *fleetpb.ProbeReply {
	reply := &fleetpb.ProbeReply{Ok: true}
	r.locked(func(s *State, _ time.Time) { reply.Incarnation = s.Self().GetIncarnation() })
	return reply
}

// Hosts answers an operator's question for this node's view of the fleet.
func (r *Runner) Hosts(context.Context, *fleetpb.HostsRequest) (*fleetpb.HostsReply, error) {
	reply := &fleetpb.HostsReply{}
	r.locked(func(s *State, now time.Time) { reply.Nodes = s.View(now) })
	return reply, nil
}

// Servers returns the backend servers of a service that were renewed within a minute, ordered by
// instance.
func (r *Runner) Servers(service string) (servers []backend.Server) {
	r.locked(func(s *State, now time.Time) { servers = s.Servers(now, service) })
	for i := range servers {
		servers[i].Cutoff = r.o.ServerCutoff
	}
	return servers
}

// AnnounceLocal records an announcement without regard to host sets, on hosts that hold the announcements
// of all services. Errors: MalformedError, SupersededError.
func (r *Runner) AnnounceLocal(server backend.Server) error {
	if err := checkAnnouncement(server); err != nil {
		return err
	}
	return r.announceHere(server)
}

// MarkServer records that a backend server drains or has left, whatever its service. An incarnation of 0
// means the known one. It returns the services of the entries that it found.
func (r *Runner) MarkServer(instance string, incarnation uint64, state backend.State) (services []string) {
	r.locked(func(s *State, now time.Time) { services = s.MarkServer(now, instance, incarnation, state) })
	return services
}

// EachServer calls the function for every entry of a backend server. The function must not call the runner.
func (r *Runner) EachServer(f func(backend.Server)) {
	r.locked(func(s *State, _ time.Time) {
		for _, e := range s.servers {
			f(e.Server)
		}
	})
}

// Announce records an announcement that a backend server made to this node now. A node outside
// the host set of the service forwards it to a member.
// Errors: MalformedError, SupersededError, UnknownServiceError, UnreachableSetError.
func (r *Runner) Announce(ctx context.Context, server backend.Server) error {
	if err := checkAnnouncement(server); err != nil {
		return err
	}
	fleet := r.o.Source.Fleet()
	if fleet == nil {
		return r.announceHere(server)
	}
	service, ok := fleet.Service(server.Service)
	if !ok {
		return &UnknownServiceError{Service: server.Service}
	}
	set := fleet.HostSet(service)
	own := func(h hostset.Host) bool { return h.ID == r.o.Identity.ID }
	if slices.ContainsFunc(set, own) {
		return r.announceHere(server)
	}
	return r.forward(ctx, server, set)
}

func (r *Runner) announceHere(server backend.Server) (err error) {
	r.locked(func(s *State, now time.Time) { err = s.Announce(madeAt(server, now), server) })
	return err
}

// madeAt is when the announcement was made; it may have been held back on its way.
func madeAt(server backend.Server, now time.Time) time.Time {
	if server.Renewed.IsZero() || server.Renewed.After(now) {
		return now
	}
	return server.Renewed
}

// forward passes an announcement to a member of the host set. The member's clock is read first,
// so that it can tell the age of the announcement without understating it.
func (r *Runner) forward(ctx context.Context, server backend.Server, set []hostset.Host) error {
	heard := madeAt(server, time.Now())
	attempts := 0
	for _, h := range set {
		if r.Eligibility(h.ID, server.Service) == hostset.Ineligible {
			continue
		}
		if r.forwardTo(ctx, server, heard, h) {
			return nil
		}
		if attempts++; attempts == forwardAttempts {
			break
		}
	}
	return &UnreachableHostSetError{Service: server.Service}
}

func (r *Runner) forwardTo(ctx context.Context, server backend.Server, heard time.Time, h hostset.Host) bool {
	var request *fleetpb.GossipRequest
	r.locked(func(s *State, now time.Time) { request = s.Request(now, h.ID) })
	reply, sent, err := r.call(ctx, h.FleetAddress, request)
	if err != nil {
		return false
	}
	read := time.Now()
	r.handleReply(sent, reply)
	server.Renewed = heard
	server.ReadySince = heard
	request.ReferenceMs = reply.GetClockMs()
	request.Servers = []*fleetpb.Server{agedMessage(read, &serverEntry{Server: server, version: 1})}
	_, _, err = r.call(ctx, h.FleetAddress, request)
	return err == nil
}

// MarkDraining records a drain signal that showed up in an answer, and passes it on.
func (r *Runner) MarkDraining(service, instance string) {
	r.locked(func(s *State, _ time.Time) { s.MarkDraining(service, instance) })
}

// Eligibility tells whether callers of the service should be sent to the node.
func (r *Runner) Eligibility(node, service string) hostset.Eligibility {
	m, ok := r.Member(node)
	switch {
	case !ok || !m.Ready || slices.Contains(m.Unreachable, service):
		return hostset.Ineligible
	case m.State == fleetpb.NodeState_NODE_STATE_ALIVE:
		return hostset.Eligible
	case m.State == fleetpb.NodeState_NODE_STATE_SUSPECT:
		return hostset.Suspect
	default:
		return hostset.Ineligible
	}
}

// Members returns all nodes that this node knows, itself included, ordered by id.
func (r *Runner) Members() (members []Member) {
	r.locked(func(s *State, _ time.Time) { members = s.Members() })
	return members
}

// Member returns one node; ok is false if this node does not know it.
func (r *Runner) Member(id string) (m Member, ok bool) {
	r.locked(func(s *State, _ time.Time) { m, ok = s.Member(id) })
	return m, ok
}

// Isolated tells whether no other node has answered this node for a while.
func (r *Runner) Isolated() (isolated bool) {
	r.locked(func(s *State, now time.Time) { isolated = s.Isolated(now) })
	return isolated
}

// SetRevision records the configuration revision in force.
func (r *Runner) SetRevision(revision uint64) {
	r.locked(func(s *State, now time.Time) { s.SetRevision(now, revision) })
}

// SetReady records whether this node serves callers.
func (r *Runner) SetReady(ready bool) {
	r.locked(func(s *State, now time.Time) { s.SetReady(now, ready) })
}

// SetUnreachable records the services that this node cannot reach at present.
func (r *Runner) SetUnreachable(services []string) {
	r.locked(func(s *State, now time.Time) { s.SetUnreachable(now, services) })
}
