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
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// entryHostService is the service name under which the control hosts gossip the entry hosts. It is
	// not a valid service name, so no configured service can have it.
	entryHostService = "entry hosts"
	// HeartbeatExpiry is the age of the last heartbeat from which an entry host is no longer listed.
	HeartbeatExpiry = 2 * time.Second
	// missedHostRetention is how long an entry host whose heartbeats are missed may count as one that
	// still serves. Control hosts that are cut off reconnect in less time, and callers skip addresses
	// that fail.
	missedHostRetention = 30 * time.Second
	// maxSeparateFailures is the largest number of missed hosts that may plausibly have failed one by
	// one.
	maxSeparateFailures = 2
	// markInterval is the pause between two rounds of marks to control hosts that have not responded.
	markInterval = 50 * time.Millisecond
	// markTimeout bounds one call of Mark.
	markTimeout = 300 * time.Millisecond
)

// ErrNotConfirmed means that the dispatcher or a majority of the control group has not confirmed a
// departure.
var ErrNotConfirmed = errors.New("the control hosts could not be told; send it again, best to another control host")

// Registry is the membership of the control hosts.
type Registry interface {
	AnnounceLocal(s backend.Server) error
	Servers(service string) []backend.Server
	Members() []membership.Member
	MarkServer(instance string, incarnation uint64, state backend.State) []string
	// EachServer calls the function for every entry; the function must not call the registry.
	EachServer(func(backend.Server))
}

// Peers sends messages to other control hosts.
type Peers interface {
	Mark(ctx context.Context, address string, r *fleetpb.MarkRequest) error
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
	endpoints endpointCache
}

// NewServer returns a server. Run keeps its departures current.
func NewServer(o ServerOptions) *Server {
	o.Logger = o.Logger.WithPrefix("attach")
	return &Server{opts: o, tracker: newTracker(&o)}
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
	if err := s.opts.Registry.AnnounceLocal(backend.Server{
		Service: entryHostService, Instance: host.GetId(), Incarnation: host.GetIncarnation(),
		Address: host.GetEntryAddress(), DataCentre: host.GetDataCentre(), State: state,
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

// Mark marks a backend server as draining or left on request of another control host.
func (s *Server) Mark(_ context.Context, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	services := s.mark(r.GetInstance(), r.GetIncarnation(), backend.State(r.GetState()))
	s.opts.Logger.Info("marked a backend server on request of another control host", "instance", r.GetInstance(), "incarnation", r.GetIncarnation(),
		"state", backend.State(r.GetState()).String(), "services", services)
	return &fleetpb.MarkReply{}, nil
}

// mark records the departure at this control host and returns the services of the backend server.
func (s *Server) mark(instance string, incarnation uint64, state backend.State) (services []string) {
	now := time.Now()
	services = s.opts.Registry.MarkServer(instance, incarnation, state)
	switch {
	case incarnation == 0:
		// Only the registry knows which processes the mark covers.
		s.tracker.syncWithRegistry(now)
	case state >= backend.Draining:
		s.tracker.recordMark(now, instance, incarnation)
	}
	return services
}

// ListDepartures returns the departures that another control host has not seen.
func (s *Server) ListDepartures(_ context.Context, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	changes, _ := s.tracker.changesSince(time.Now(), r.GetLog(), r.GetSeen())
	return changes, nil
}

// RecordDeparture marks a backend server as draining or left and returns nil once the dispatchers of
// its services and a majority of the control group have confirmed the mark. Every other control host
// polls a majority before it reports its departures to an entry host as current, so within pollInterval
// and a heartbeat all hosts that may send requests to the server know it too. Errors: ErrNotConfirmed.
func (s *Server) RecordDeparture(ctx context.Context, instance string, incarnation uint64, state backend.State) error {
	started := time.Now()
	services := s.mark(instance, incarnation, state)
	request := &fleetpb.MarkRequest{Instance: instance, Incarnation: incarnation, State: fleetpb.ServerState(state)}
	c := &departureConfirmation{
		server: s, request: request, services: services, confirmedBy: map[string]bool{s.opts.Address: true},
		repeated: s.tracker.wasConfirmed(instance, incarnation, state),
	}
	for {
		if !c.confirmed() {
			c.sendMarks(ctx)
		}
		if c.confirmed() {
			s.tracker.noteConfirmed(instance, incarnation, state)
			s.opts.Metrics.observeDeparture(time.Since(started), nil)
			if c.repeated {
				return nil
			}
			s.opts.Logger.Info("took a backend server out", "instance", instance, "incarnation", incarnation,
				"state", state.String(), "services", services, "told", len(c.confirmedBy), "took_ms", time.Since(started).Milliseconds())
			return nil
		}
		timer := time.NewTimer(markInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			s.opts.Metrics.observeDeparture(time.Since(started), ctx.Err())
			c.logUnconfirmed(ctx, time.Since(started))
			return ErrNotConfirmed
		case <-timer.C:
		}
	}
}

// departureConfirmation is the state of one call of RecordDeparture.
type departureConfirmation struct {
	server   *Server
	request  *fleetpb.MarkRequest
	services []string
	// confirmedBy holds the fleet addresses of the control hosts that have confirmed the mark.
	confirmedBy map[string]bool
	// repeated is set if this process has confirmed the departure before. A draining server repeats it with
	// each announcement. Only the hosts that must confirm are then told again, in case they have restarted.
	repeated bool
}

// confirmed reports whether enough hosts have confirmed: a majority of the control group, also of the
// previous one after a change of hosts, and the dispatchers of all affected services.
func (c *departureConfirmation) confirmed() bool {
	fleet := c.server.opts.Source.Fleet()
	if fleet == nil || !c.hasMajority(fleet.Hosts) || len(fleet.PreviousHosts) > 0 && !c.hasMajority(fleet.PreviousHosts) {
		return false
	}
	for _, s := range fleet.Services {
		if !c.concerns(s.Name) {
			continue
		}
		if h, ok := c.server.opts.Elections.Dispatcher(s.Name); ok && !c.confirmedBy[h.Address] {
			return false
		}
	}
	return true
}

// logUnconfirmed logs why a departure was not confirmed before the context ended. A sender that disconnects says
// nothing about the control hosts, as when a server announces its departure again in its last moment.
func (c *departureConfirmation) logUnconfirmed(ctx context.Context, waited time.Duration) {
	fields := []any{"instance", c.request.GetInstance(), "repeated", c.repeated, "waited_ms", waited.Milliseconds(), "told", len(c.confirmedBy)}
	if errors.Is(ctx.Err(), context.Canceled) {
		c.server.opts.Logger.Info("the sender of a departure disconnected before it was confirmed", fields...)
		return
	}
	var group int
	var dispatchers []string
	if fleet := c.server.opts.Source.Fleet(); fleet != nil {
		group = len(fleet.Hosts)
		for _, part := range fleet.Services {
			h, ok := c.server.opts.Elections.Dispatcher(part.Name)
			if ok && c.concerns(part.Name) && !c.confirmedBy[h.Address] {
				dispatchers = append(dispatchers, part.Name+"="+h.Node)
			}
		}
	}
	c.server.opts.Logger.Warn("departure of a backend server was not confirmed",
		append(fields, "group", group, "missing", c.pendingControlHosts(), "missing_dispatchers", dispatchers)...)
}

// concerns reports whether the dispatchers of the shard may send requests to the backend server. All shards
// of a service count, since the number of shards may be changing.
func (c *departureConfirmation) concerns(shardName string) bool {
	return slices.Contains(c.services, shard.ServiceOf(shardName))
}

func (c *departureConfirmation) hasMajority(group []hostset.Host) bool {
	count := 0
	for _, h := range group {
		if c.confirmedBy[h.FleetAddress] {
			count++
		}
	}
	return 2*count > len(group)
}

// sendMarks sends the mark to every control host that has not confirmed it. It returns as soon as
// enough hosts have confirmed, or when all calls have ended.
func (c *departureConfirmation) sendMarks(ctx context.Context) {
	addresses := c.pendingControlHosts()
	done := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			// A mark is not cancelled when RecordDeparture returns, so that the other control hosts
			// also learn of it soon.
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), markTimeout)
			defer cancel()
			sent := time.Now()
			err := c.server.opts.Peers.Mark(bounded, address, c.request)
			c.server.opts.Metrics.observeMark(time.Since(sent), err)
			if err != nil {
				c.server.opts.Logger.Debug("could not mark a backend server at a control host", "address", address, "err", logging.Err(err))
				address = ""
			}
			done <- address
		}()
	}
	for range addresses {
		select {
		case address := <-done:
			if address != "" {
				c.confirmedBy[address] = true
			}
		case <-ctx.Done():
			return
		}
		if c.confirmed() {
			return
		}
	}
}

// pendingControlHosts lists the control hosts that have not confirmed the mark.
func (c *departureConfirmation) pendingControlHosts() []string {
	var list []string
	add := func(address string) {
		if address != "" && !c.confirmedBy[address] && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	if fleet := c.server.opts.Source.Fleet(); fleet != nil {
		for _, h := range slices.Concat(fleet.Hosts, fleet.PreviousHosts) {
			add(h.FleetAddress)
		}
		for _, part := range fleet.Services {
			if h, ok := c.server.opts.Elections.Dispatcher(part.Name); ok && c.concerns(part.Name) {
				add(h.Address)
			}
		}
	}
	if c.repeated {
		return list
	}
	for _, m := range c.server.opts.Registry.Members() {
		if m.State <= fleetpb.NodeState_NODE_STATE_SUSPECT {
			add(m.FleetAddress)
		}
	}
	return list
}

// Announce records an announcement of a backend server. For a draining server it returns nil once the
// departure is confirmed, as RecordDeparture does. Announcements of a process that has ended are
// accepted without effect. Errors: MalformedError, ErrNotConfirmed.
func (s *Server) Announce(ctx context.Context, b backend.Server) error {
	err := s.opts.Registry.AnnounceLocal(b)
	var superseded *membership.SupersededError
	switch {
	case errors.As(err, &superseded):
		s.opts.Logger.Debug("ignored an announcement of a superseded process", "service", b.Service, "instance", b.Instance, "known", superseded.Known)
		return nil
	case err != nil:
		return err
	case b.State == backend.Draining:
		return s.RecordDeparture(ctx, b.Instance, b.Incarnation, backend.Draining)
	case s.tracker.hasDeparted(b.Instance, b.Incarnation):
		s.opts.Registry.MarkServer(b.Instance, b.Incarnation, backend.Draining)
		return nil
	default:
		return nil
	}
}
