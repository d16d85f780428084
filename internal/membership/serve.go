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

// Gossip replies to a request of an exchange. Errors: MalformedError, and SupersededError for a
// forwarded announcement.
func (r *Runner) Gossip(_ context.Context, request *fleetpb.GossipRequest) (*fleetpb.GossipReply, error) {
	var reply *fleetpb.GossipReply
	var out Outcome
	var err error
	r.withState(func(s *State, now time.Time) { reply, out, err = s.HandleRequest(now, request) })
	if err != nil {
		r.opts.Logger.Warn("rejected a gossip request", "member", request.GetFrom().GetId(), "err", logging.Err(err))
		return nil, err
	}
	r.notifyRevision(out.NewerRevision)
	return reply, nil
}

// Probe responds to a probe of this node, or probes another node on behalf of the sender.
func (r *Runner) Probe(ctx context.Context, request *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	if request.GetTarget() == "" || request.GetTarget() == r.opts.Identity.ID {
		return r.probeReply(), nil
	}
	if err := checkAddress("target_address", request.GetTargetAddress()); err != nil {
		return nil, err
	}
	if request.GetTargetAddress() == r.opts.Identity.FleetAddress {
		// The address was used again by this node; a probe would call this method without end.
		return &fleetpb.ProbeReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	defer cancel()
	direct := &fleetpb.ProbeRequest{From: r.opts.Identity.ID, Target: request.GetTarget(), TargetAddress: request.GetTargetAddress()}
	reply, err := r.opts.PeerClient.Probe(ctx, request.GetTargetAddress(), direct)
	if err != nil {
		// A reply without Ok tells the sender that this node does not reach the target.
		return &fleetpb.ProbeReply{}, nil
	}
	return reply, nil
}

func (r *Runner) probeReply() *fleetpb.ProbeReply {
	reply := &fleetpb.ProbeReply{Ok: true}
	r.withState(func(s *State, _ time.Time) { reply.Incarnation = s.Self().GetIncarnation() })
	return reply
}

// Hosts returns this node's view of the fleet to an operator.
func (r *Runner) Hosts(context.Context, *fleetpb.HostsRequest) (*fleetpb.HostsReply, error) {
	reply := &fleetpb.HostsReply{}
	r.withState(func(s *State, now time.Time) { reply.Nodes = s.View(now) })
	return reply, nil
}

// Servers returns the backend servers of a service that were renewed within a minute, ordered by
// instance.
func (r *Runner) Servers(service string) (servers []backend.Server) {
	r.withState(func(s *State, now time.Time) { servers = s.Servers(now, service) })
	for i := range servers {
		servers[i].Cutoff = r.opts.ServerCutoff
	}
	return servers
}

// AnnounceLocal records an announcement at this host, whatever the host set of the service. It is for
// hosts that hold the announcements of all services. Errors: MalformedError, SupersededError.
func (r *Runner) AnnounceLocal(server backend.Server) error {
	if err := checkAnnouncement(server); err != nil {
		return err
	}
	return r.recordAnnouncement(server)
}

// AnnounceEntryHost records the heartbeat that an entry host just sent to this node. Errors: MalformedError,
// SupersededError.
func (r *Runner) AnnounceEntryHost(h EntryHost) (err error) {
	r.withState(func(s *State, now time.Time) { err = s.AnnounceEntryHost(now, h) })
	return err
}

// EntryHosts returns the attached entry hosts whose last heartbeat is less than a minute old, ordered by id.
func (r *Runner) EntryHosts() (hosts []EntryHost) {
	r.withState(func(s *State, now time.Time) { hosts = s.EntryHosts(now) })
	return hosts
}

// MarkServer records that a backend server drains or has left, for all its services. An incarnation of
// 0 covers every known one. It returns the services of the matching entries.
func (r *Runner) MarkServer(instance string, incarnation uint64, state backend.State) (services []string) {
	r.withState(func(s *State, now time.Time) { services = s.MarkServer(now, instance, incarnation, state) })
	return services
}

// EachServer calls the function for every entry of a backend server. The function must not call the
// runner.
func (r *Runner) EachServer(f func(backend.Server)) {
	r.withState(func(s *State, _ time.Time) {
		for _, e := range s.servers.entries {
			f(e.Server)
		}
	})
}

// Announce records an announcement that a backend server just sent to this node. A node outside the
// host set of the service forwards it to a member of the set. Errors: MalformedError, SupersededError,
// UnknownServiceError, UnreachableHostSetError.
func (r *Runner) Announce(ctx context.Context, server backend.Server) error {
	if err := checkAnnouncement(server); err != nil {
		return err
	}
	fleet := r.opts.Source.Fleet()
	if fleet == nil {
		return r.recordAnnouncement(server)
	}
	service, ok := fleet.Service(server.Service)
	if !ok {
		return &UnknownServiceError{Service: server.Service}
	}
	set := fleet.HostSet(service)
	own := func(h hostset.Host) bool { return h.ID == r.opts.Identity.ID }
	if slices.ContainsFunc(set, own) {
		return r.recordAnnouncement(server)
	}
	return r.forward(ctx, server, set)
}

func (r *Runner) recordAnnouncement(server backend.Server) (err error) {
	// The source has a lock of its own and may ask for the members, so it is not called from within withState.
	fleet := r.opts.Source.Fleet()
	r.withState(func(s *State, now time.Time) {
		s.SetFleet(fleet)
		err = s.Announce(announcementTime(server, now), server)
	})
	return err
}

// announcementTime returns when the announcement was made; it may have been delayed on its way. A
// missing or future time counts as now.
func announcementTime(server backend.Server, now time.Time) time.Time {
	if server.Renewed.IsZero() || server.Renewed.After(now) {
		return now
	}
	return server.Renewed
}

// forward passes an announcement to a member of the host set. An exchange first reads the clock of the
// member; the announcement then states its age relative to that clock, so that it is not understated.
func (r *Runner) forward(ctx context.Context, server backend.Server, set []hostset.Host) error {
	announcedAt := announcementTime(server, time.Now())
	attempts := 0
	for _, h := range set {
		if r.Eligibility(h.ID, server.Service) == hostset.Ineligible {
			continue
		}
		if r.forwardTo(ctx, server, announcedAt, h) {
			return nil
		}
		if attempts++; attempts == forwardAttempts {
			break
		}
	}
	return &UnreachableHostSetError{Service: server.Service}
}

func (r *Runner) forwardTo(ctx context.Context, server backend.Server, announcedAt time.Time, h hostset.Host) bool {
	var request *fleetpb.GossipRequest
	r.withState(func(s *State, now time.Time) { request = s.Request(now, h.ID) })
	reply, sent, err := r.sendGossip(ctx, h.FleetAddress, request)
	if err != nil {
		return false
	}
	receivedAt := time.Now()
	r.handleReply(sent, reply)
	server.Renewed = announcedAt
	server.ReadySince = announcedAt
	request.ReferenceMs = reply.GetClockMs()
	request.Servers = []*fleetpb.Server{serverMessageWithAges(receivedAt, &serverEntry{Server: server, kind: fleetpb.EntryKind_ENTRY_KIND_BACKEND_SERVER, version: 1})}
	_, _, err = r.sendGossip(ctx, h.FleetAddress, request)
	return err == nil
}

// MarkDraining records a drain signal found in a response of the server and passes it on.
func (r *Runner) MarkDraining(service, instance string) {
	r.withState(func(s *State, _ time.Time) { s.MarkDraining(service, instance) })
}

// Eligibility reports whether callers of the service may be sent to the node.
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
	r.withState(func(s *State, _ time.Time) { members = s.Members() })
	return members
}

// Member returns one node; ok is false if this node does not know it.
func (r *Runner) Member(id string) (m Member, ok bool) {
	r.withState(func(s *State, _ time.Time) { m, ok = s.Member(id) })
	return m, ok
}

// Isolated reports whether no round trip with another node was completed within isolationTimeout.
func (r *Runner) Isolated() (isolated bool) {
	r.withState(func(s *State, now time.Time) { isolated = s.Isolated(now) })
	return isolated
}

// SetRevision records the configuration revision in force.
func (r *Runner) SetRevision(revision uint64) {
	r.withState(func(s *State, now time.Time) { s.SetRevision(now, revision) })
}

// SetReady records whether this node serves callers.
func (r *Runner) SetReady(ready bool) {
	r.withState(func(s *State, now time.Time) { s.SetReady(now, ready) })
}

// SetUnreachable records the services that this node currently cannot reach.
func (r *Runner) SetUnreachable(services []string) {
	r.withState(func(s *State, now time.Time) { s.SetUnreachable(now, services) })
}
