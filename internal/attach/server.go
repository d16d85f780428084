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
	// entryHosts is the service under which the control hosts gossip the entry hosts. No configured
	// service can have the name, since it is not a valid one.
	entryHosts = "entry hosts"
	// HeartbeatExpiry is the age of the last heartbeat at which an entry host is no longer listed.
	HeartbeatExpiry = 2 * time.Second
	// missedFor is how long an entry host that is no longer heard counts as one that may still serve. Control
	// hosts that are cut off are back in less, and callers pass over addresses that fail them.
	missedFor = 30 * time.Second
	// fewMissed is up to how many missed hosts may well have failed, one by one.
	fewMissed = 2
	// markEvery is the pause between two rounds of marks to control hosts that have not answered.
	markEvery = 50 * time.Millisecond
	// markTimeout bounds one mark.
	markTimeout = 300 * time.Millisecond
)

// ErrNotConfirmed means that the dispatcher or a majority of the control group could not be told.
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
	// Source has the members of the control group as its hosts.
	Source   hostset.Source
	Revision func() uint64
	Peers    Peers
	// Incarnation is the start time of the process in milliseconds.
	Incarnation uint64
	Logger      *log.Logger
}

// Server is the control hosts' side: it knows the entry hosts and takes backend servers out. It is
// safe for concurrent use.
type Server struct {
	o       ServerOptions
	tracker *tracker
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server {
	o.Logger = o.Logger.WithPrefix("attach")
	return &Server{o: o, tracker: newTracker(&o)}
}

// Run keeps the departures current until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return s.tracker.run(ctx)
}

// Attach records the heartbeat of an entry host and tells it what it needs.
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
	if err := s.o.Registry.AnnounceLocal(backend.Server{
		Service: entryHosts, Instance: host.GetId(), Incarnation: host.GetIncarnation(),
		Address: host.GetEntryAddress(), DataCentre: host.GetDataCentre(), State: state,
	}); err != nil {
		var superseded *membership.SupersededError
		if !errors.As(err, &superseded) {
			return nil, err
		}
		// The host's clock was set back before it started.
		reply := s.reply(r)
		reply.KnownIncarnation = superseded.Known
		return reply, nil
	}
	return s.reply(r), nil
}

func (s *Server) reply(r *fleetpb.AttachRequest) *fleetpb.AttachReply {
	reply := &fleetpb.AttachReply{Revision: s.o.Revision(), Control: []string{s.o.Address}}
	reply.EntryHosts = uint32(s.tracker.entryHosts())
	reply.Departures, reply.DeparturesAgeMs = s.tracker.news(time.Now(), r.GetDeparturesLog(), r.GetDeparturesSeen())
	for _, m := range s.o.Registry.Members() {
		if m.State == fleetpb.NodeState_NODE_STATE_ALIVE && m.FleetAddress != s.o.Address {
			reply.Control = append(reply.Control, m.FleetAddress)
		}
	}
	fleet := s.o.Source.Fleet()
	if fleet == nil {
		return reply
	}
	for _, service := range fleet.Services {
		if h, ok := s.o.Elections.Dispatcher(service.Name); ok {
			reply.Dispatchers = append(reply.Dispatchers, &fleetpb.Dispatcher{
				Service: service.Name, Node: h.Node, Address: h.Address, Term: h.Term,
			})
		}
	}
	return reply
}

// Endpoints lists the entry hosts that serve callers at present. If more are missed than heard, the control hosts
// have lost their own links rather than most entry hosts at once, so the missed ones are listed as well.
func (s *Server) Endpoints(now time.Time) []hostset.Endpoint {
	var heard, missed []hostset.Endpoint
	for _, h := range s.o.Registry.Servers(entryHosts) {
		endpoint := hostset.Endpoint{Node: h.Instance, Address: h.Address, DataCentre: h.DataCentre}
		silent := now.Sub(h.Renewed)
		switch {
		case h.State != backend.Ready:
		case silent < HeartbeatExpiry:
			heard = append(heard, endpoint)
		case silent < missedFor:
			missed = append(missed, endpoint)
		}
	}
	if len(missed) > max(len(heard), fewMissed) {
		return append(heard, missed...)
	}
	return heard
}

// Mark records the mark of another control host.
func (s *Server) Mark(_ context.Context, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	services := s.o.Registry.MarkServer(r.GetInstance(), r.GetIncarnation(), backend.State(r.GetState()))
	s.tracker.sync(time.Now())
	s.o.Logger.Info("marked a backend server for another control host", "instance", r.GetInstance(), "incarnation", r.GetIncarnation(),
		"state", backend.State(r.GetState()).String(), "services", services)
	return &fleetpb.MarkReply{}, nil
}

// ListDepartures answers another control host that keeps its departures current.
func (s *Server) ListDepartures(_ context.Context, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	news, _ := s.tracker.news(time.Now(), r.GetLog(), r.GetSeen())
	return news, nil
}

// RecordDeparture marks a backend server as draining or gone and returns nil once the dispatchers of its services and a
// majority of the control group know. Every other control host asks a majority before it tells an entry host
// that its departures are current, so within askEvery and a heartbeat all hosts that may place work know, too.
// Errors: ErrNotBinding.
func (s *Server) RecordDeparture(ctx context.Context, instance string, incarnation uint64, state backend.State) error {
	services := s.o.Registry.MarkServer(instance, incarnation, state)
	s.tracker.sync(time.Now())
	request := &fleetpb.MarkRequest{Instance: instance, Incarnation: incarnation, State: fleetpb.ServerState(state)}
	t := &takeOut{server: s, request: request, services: services, told: map[string]bool{s.o.Address: true}}
	for {
		if !t.binding() {
			t.round(ctx)
		}
		if t.binding() {
			s.o.Logger.Info("took a backend server out", "instance", instance, "incarnation", incarnation,
				"state", state.String(), "services", services, "told", len(t.told))
			return nil
		}
		timer := time.NewTimer(markEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
			s.o.Logger.Warn("could not take a backend server out", "instance", instance, "told", len(t.told))
			return ErrNotConfirmed
		case <-timer.C:
		}
	}
}

// takeOut is the state of one RecordDeparture.
type takeOut struct {
	server   *Server
	request  *fleetpb.MarkRequest
	services []string
	// told holds the fleet addresses that have answered.
	told map[string]bool
}

// binding tells whether the hosts that have answered are enough.
func (t *takeOut) binding() bool {
	fleet := t.server.o.Source.Fleet()
	if fleet == nil || !t.majority(fleet.Hosts) || len(fleet.PreviousHosts) > 0 && !t.majority(fleet.PreviousHosts) {
		return false
	}
	for _, service := range t.services {
		if h, ok := t.server.o.Elections.Dispatcher(service); ok && !t.told[h.Address] {
			return false
		}
	}
	return true
}

func (t *takeOut) majority(group []hostset.Host) bool {
	count := 0
	for _, h := range group {
		if t.told[h.FleetAddress] {
			count++
		}
	}
	return 2*count > len(group)
}

// round marks the server at every control host that has not answered. It returns as soon as the marks
// are enough, or when all calls have ended.
func (t *takeOut) round(ctx context.Context) {
	addresses := t.open()
	done := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			// A mark goes on when the answer was given, so that the other control hosts know soon.
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), markTimeout)
			defer cancel()
			if err := t.server.o.Peers.Mark(bounded, address, t.request); err != nil {
				t.server.o.Logger.Debug("a control host could not be told of a backend server", "address", address, "err", logging.Err(err))
				address = ""
			}
			done <- address
		}()
	}
	for range addresses {
		select {
		case address := <-done:
			if address != "" {
				t.told[address] = true
			}
		case <-ctx.Done():
			return
		}
		if t.binding() {
			return
		}
	}
}

// open lists the control hosts that have not answered.
func (t *takeOut) open() []string {
	var list []string
	add := func(address string) {
		if address != "" && !t.told[address] && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	if fleet := t.server.o.Source.Fleet(); fleet != nil {
		for _, h := range slices.Concat(fleet.Hosts, fleet.PreviousHosts) {
			add(h.FleetAddress)
		}
	}
	for _, m := range t.server.o.Registry.Members() {
		if m.State <= fleetpb.NodeState_NODE_STATE_SUSPECT {
			add(m.FleetAddress)
		}
	}
	return list
}

// Announce records what a backend server says about itself. That of a draining server returns nil once
// it binds, as RecordDeparture does. Announcements of a process that has ended are taken without effect.
// Errors: MalformedError, ErrNotBinding.
func (s *Server) Announce(ctx context.Context, b backend.Server) error {
	err := s.o.Registry.AnnounceLocal(b)
	var superseded *membership.SupersededError
	switch {
	case errors.As(err, &superseded):
		s.o.Logger.Debug("ignored an announcement of an ended process", "service", b.Service, "instance", b.Instance, "known", superseded.Known)
		return nil
	case err != nil:
		return err
	case b.State == backend.Draining:
		return s.RecordDeparture(ctx, b.Instance, b.Incarnation, backend.Draining)
	default:
		return nil
	}
}
