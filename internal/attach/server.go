package attach

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// HeartbeatExpiry is the age of the last heartbeat from which an entry host is no longer listed.
	HeartbeatExpiry = 2 * time.Second
	// missedHostRetention is how long an entry host whose heartbeats are missed may count as one that
	// still serves. Control hosts that are cut off reconnect in less time, and callers skip addresses
	// that fail.
	missedHostRetention = 30 * time.Second
	// maxSeparateFailures is the largest number of missed hosts that may plausibly have failed one by
	// one.
	maxSeparateFailures = 2
)

// Registry is the membership of the control hosts.
type Registry interface {
	AnnounceLocal(s backend.Server) error
	AnnounceEntryHost(h membership.EntryHost) error
	EntryHosts() []membership.EntryHost
	Members() []membership.Member
	MarkServer(instance string, incarnation uint64, state backend.State) []string
	// EachServer calls the function for every backend server; the function must not call the registry.
	EachServer(func(backend.Server))
}

// Peers sends messages to other control hosts.
type Peers interface {
	Mark(ctx context.Context, address string, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error)
	ListDepartures(ctx context.Context, address string, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	ID        string
	Address   string
	Registry  Registry
	Elections leadership.Elections
	// Source returns the members of the control group as its hosts.
	Source   hostset.Source
	Revision func() uint64
	Peers    Peers
	// Departures is where departures are kept over restarts; nil keeps them in memory only.
	Departures *DepartureFolder
	// Incarnation is the start time of the process in milliseconds.
	Incarnation uint64
	// Metrics may be nil.
	Metrics *ServerMetrics
	Logger  *log.Logger
}

// Server is the control host side: it tracks the entry hosts and records departures of backend servers.
// It is safe for concurrent use.
type Server struct {
	opts      ServerOptions
	tracker   *tracker
	marker    *marker
	endpoints endpointCache
}

// NewServer returns a server with the departures that it has kept. Run keeps them current and writes them to disk. Errors
// are failures of the file system.
func NewServer(o ServerOptions) (*Server, error) {
	o.Logger = o.Logger.WithPrefix("attach")
	t, err := newTracker(&o)
	if err != nil {
		return nil, err
	}
	return &Server{opts: o, tracker: t, marker: newMarker(&o)}, nil
}

// Run keeps the departures current until the context is cancelled.
func (s *Server) Run(ctx context.Context) error {
	return s.tracker.run(ctx)
}

// Attach records the heartbeat of an entry host and returns the state of the fleet that it needs.
func (s *Server) Attach(_ context.Context, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	host := r.GetHost()
	if host == nil {
		return nil, errors.New("the heartbeat names no host; upgrade the sender")
	}
	state := backend.Starting
	switch {
	case host.GetState() >= fleetpb.NodeState_NODE_STATE_LEAVING:
		state = backend.Draining
	case host.GetReady():
		state = backend.Ready
	}
	if err := s.opts.Registry.AnnounceEntryHost(membership.EntryHost{
		ID: host.GetId(), Incarnation: host.GetIncarnation(), Address: host.GetEntryAddress(), DataCentre: host.GetDataCentre(), State: state,
	}); err != nil {
		var superseded *membership.SupersededError
		if !errors.As(err, &superseded) {
			return nil, err
		}
		// The host's clock was set back before it started, so its incarnation is too low.
		reply := s.reply(r)
		reply.KnownIncarnation = superseded.Known
		return reply, nil
	}
	s.endpoints.noteHeartbeat(host.GetId(), state)
	return s.reply(r), nil
}

func (s *Server) reply(r *fleetpb.AttachRequest) *fleetpb.AttachReply {
	reply := &fleetpb.AttachReply{Revision: s.opts.Revision(), Control: []string{s.opts.Address}}
	reply.EntryHosts = uint32(s.tracker.entryHosts())
	reply.Departures, reply.DeparturesAgeMs = s.tracker.changesSince(time.Now(), r.GetDeparturesLog(), r.GetDeparturesSeen())
	for _, m := range s.opts.Registry.Members() {
		if m.State == fleetpb.NodeState_NODE_STATE_ALIVE && m.FleetAddress != s.opts.Address {
			reply.Control = append(reply.Control, m.FleetAddress)
		}
	}
	fleet := s.opts.Source.Fleet()
	if fleet == nil {
		return reply
	}
	for _, service := range fleet.Services {
		if h, ok := s.opts.Elections.Dispatcher(service.Name); ok {
			reply.Dispatchers = append(reply.Dispatchers, &fleetpb.Dispatcher{
				Service: service.Name, Node: h.Node, Address: h.Address, Term: h.Term,
			})
		}
	}
	return reply
}

// Mark marks backend servers as draining or left on request of another control host.
//
// One without an incarnation covers every process that this host knows, so it is ignored if the caller no longer waits:
// a host that was paused reads it late, and may know a process that has started since.
func (s *Server) Mark(ctx context.Context, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	further := r.GetFurther()[:min(len(r.GetFurther()), maxFurtherMarks)]
	first := &fleetpb.Mark{Instance: r.GetInstance(), Incarnation: r.GetIncarnation(), State: r.GetState(), KnownIncarnation: r.GetKnownIncarnation()}
	marks := append([]*fleetpb.Mark{first}, further...)
	withoutIncarnation := slices.ContainsFunc(marks, func(m *fleetpb.Mark) bool { return m.GetIncarnation() == 0 })
	tooLate := withoutIncarnation && callerGone(ctx)
	var added []string
	var recorded []*fleetpb.Mark
	for _, m := range marks {
		if tooLate && m.GetIncarnation() == 0 {
			s.opts.Logger.Info("ignored a mark of another control host that no longer waits", "instance", m.GetInstance())
			continue
		}
		if err := membership.CheckDeparture(m.GetInstance(), max(m.GetIncarnation(), m.GetKnownIncarnation())); err != nil {
			s.opts.Logger.Warn("ignored a mark of another control host", "instance", m.GetInstance(), "err", logging.Err(err))
			continue
		}
		if _, isNew := s.mark(m); isNew {
			added = append(added, m.GetInstance())
		}
		if m.GetState() >= fleetpb.ServerState_SERVER_STATE_DRAINING {
			recorded = append(recorded, m)
		}
	}
	if len(added) > 0 {
		s.opts.Logger.Info("marked backend servers on request of another control host", "instances", added, "marks", len(marks))
	}
	bounded, cancel := context.WithTimeout(ctx, markDurableWait)
	defer cancel()
	return &fleetpb.MarkReply{Further: uint32(len(further)), NotDurable: !s.tracker.awaitDurable(bounded, recorded)}, nil
}

// mark records the departure at this control host. It returns the services of the backend server, and whether the
// departure was not known.
func (s *Server) mark(m *fleetpb.Mark) (services []string, isNew bool) {
	now := time.Now()
	instance, incarnation, state := m.GetInstance(), m.GetIncarnation(), backend.State(m.GetState())
	services = s.opts.Registry.MarkServer(instance, incarnation, state)
	switch {
	case incarnation == 0 && state >= backend.Draining:
		// The registry knows which processes the mark covers. It may know the server at other hosts only, or nowhere after a
		// restart.
		s.tracker.syncWithRegistry(now)
		isNew = s.tracker.recordMark(now, instance, max(m.GetKnownIncarnation(), backend.UnstatedIncarnation))
		return services, isNew || len(services) > 0
	case state >= backend.Draining:
		return services, s.tracker.recordMark(now, instance, incarnation)
	default:
		return services, false
	}
}

// ListDepartures returns the departures that another control host has not seen.
func (s *Server) ListDepartures(_ context.Context, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	return s.tracker.durableChangesSince(time.Now(), r.GetLog(), r.GetSeen()), nil
}

// Announce records an announcement of a backend server. For a draining server it returns nil once the
// departure is confirmed, as RecordDeparture does. Announcements of a process that has ended are
// accepted without effect. Errors: MalformedError, ErrNotConfirmed.
func (s *Server) Announce(ctx context.Context, b backend.Server) error {
	late := b.State < backend.Draining && s.tracker.hasDeparted(b.Instance, b.Incarnation)
	if late {
		// The server must not be in use even for a moment.
		b.State = backend.Draining
	}
	err := s.opts.Registry.AnnounceLocal(b)
	s.opts.Metrics.observeRefusal(err)
	var superseded *membership.SupersededError
	switch {
	case errors.As(err, &superseded):
		s.opts.Logger.Debug("ignored an announcement of a superseded process", "service", b.Service, "instance", b.Instance, "known", superseded.Known)
		return nil
	case err != nil:
		return err
	case late:
		s.opts.Logger.Debug("an announcement came after the departure of its sender", "service", b.Service, "instance", b.Instance)
		return nil
	case b.State == backend.Draining:
		return s.RecordDeparture(ctx, backend.Departure{Instance: b.Instance, Incarnation: b.Incarnation, State: backend.Draining})
	case s.tracker.hasDeparted(b.Instance, b.Incarnation):
		// It departed in the meantime.
		s.opts.Registry.MarkServer(b.Instance, b.Incarnation, backend.Draining)
		return nil
	default:
		return nil
	}
}

// EntryUnreadable counts an announcement or withdrawal that could not be read.
func (s *Server) EntryUnreadable() {
	s.opts.Metrics.observeUnreadable()
}

// RunningEntryHosts returns the ids of the entry hosts that serve callers and whose last heartbeat is recent.
func RunningEntryHosts(now time.Time, r Registry) []string {
	var ids []string
	for _, host := range r.EntryHosts() {
		if host.State == backend.Ready && now.Sub(host.Renewed) < HeartbeatExpiry {
			ids = append(ids, host.ID)
		}
	}
	return ids
}
