package app

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/adapter"
	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/capexchange"
	"github.com/tarragonmux/tarragonmux/internal/configuration/control"
	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/httpstop"
	"github.com/tarragonmux/tarragonmux/internal/inbound"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// adapterHeaderTimeout bounds how long a client of an adapter's listener may take to send its headers.
	adapterHeaderTimeout = 5 * time.Second
	// adapterIdleTimeout is the time after which idle connections to an adapter's listeners are closed. It exceeds
	// the interval of announcements. Thousands of callers that look up hosts would otherwise use up the
	// descriptors.
	adapterIdleTimeout = 5 * time.Second
	// adapterReadTimeout and adapterWriteTimeout bound a request to an adapter's listener and its response. A
	// configuration of 6 MB takes 24 s on a link of 2 Mbit/s.
	adapterReadTimeout  = 10 * time.Second
	adapterWriteTimeout = time.Minute
	// adapterMaxHeaderBytes bounds the headers of a request to an adapter's listener; typical ones have 300 bytes.
	adapterMaxHeaderBytes = 16 << 10
	// adapterBodyShare is the share of the process's memory that the request bodies at an adapter's listener may take
	// together, as a divisor.
	adapterBodyShare = 4
	// previousGroupPeriod is how long the previous control group takes part in elections after a change. It
	// exceeds the lease of a vote plus the time until all members know the new group.
	previousGroupPeriod = 3 * time.Second
)

// discoveryRoleModule provides the components of a process in a fleet with host discovery.
func discoveryRoleModule(s *settings.Settings) fx.Option {
	if s.Entry != nil {
		return attachedModule()
	}
	return controlHostModule()
}

// newLive returns the settings in force and reloads them while the process runs.
func newLive(lc fx.Lifecycle, b *background, o Options, s *settings.Settings, logger *log.Logger) *settings.Live {
	live := settings.NewLive(s, o.Reload, logger)
	startComponent(lc, b, "settings", func(ctx context.Context) error { return live.Run(ctx, o.Signals) })
	return live
}

// seedAddresses returns a function that lists the fleet addresses of the control replicas in the settings in
// force.
func seedAddresses(live *settings.Live) func() []string {
	return func() []string {
		replicas := live.Replicas()
		addresses := make([]string, 0, len(replicas))
		for _, r := range replicas {
			addresses = append(addresses, r.Address)
		}
		return addresses
	}
}

// controlHostModule provides the components of a control host, which stores the configuration, tracks all
// hosts and backend servers, and dispatches requests.
func controlHostModule() fx.Option {
	return fx.Options(
		controlModule(),
		fx.Provide(
			func(l *logHolder, r *agreement.Replica) hostset.Source {
				return &groupSource{document: l.document, replica: r}
			},
			newLive,
			func() *logHolder { return &logHolder{} },
			func() *gossipHolder { return &gossipHolder{} },
			func() revisionListener { return func(string, uint64) {} },
			newControlElections,
			newControlDispatcher,
			newAttachServer,
			newCapExchange,
		),
		fx.Invoke(registerControlHost, maintainControlGroup, maintainShards, serveFleet, serveControlAdapter),
	)
}

// groupSource derives the hosts that may run dispatchers from the control group, and the shards of the
// services, each of which has an election, from the document in force.
type groupSource struct {
	document func() *configpb.Document
	replica  *agreement.Replica

	mu          sync.Mutex
	derivedFrom *configpb.Document
	epoch       uint64
	// since is when this host first saw the current epoch.
	since time.Time
	// usesPrevious is set while the previous group still takes part in elections.
	usesPrevious bool
	fleet        *hostset.Fleet
}

// Fleet implements hostset.Source.
func (g *groupSource) Fleet() *hostset.Fleet {
	d, group := g.document(), g.replica.Group()
	if d == nil || group == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if group.GetEpoch() != g.epoch {
		g.since = now
	}
	usesPrevious := group.GetEpoch() > 1 && now.Sub(g.since) < previousGroupPeriod
	if g.fleet != nil && g.derivedFrom == d && g.epoch == group.GetEpoch() && g.usesPrevious == usesPrevious {
		return g.fleet
	}
	g.derivedFrom, g.epoch, g.usesPrevious = d, group.GetEpoch(), usesPrevious
	g.fleet = &hostset.Fleet{HostsRevision: group.GetEpoch(), LargeVotingGroups: true}
	for _, m := range group.GetMembers() {
		g.fleet.Hosts = append(g.fleet.Hosts, hostset.Host{ID: m.GetId(), FleetAddress: m.GetAddress()})
	}
	if usesPrevious {
		for _, m := range group.GetPrevious() {
			g.fleet.PreviousHosts = append(g.fleet.PreviousHosts, hostset.Host{ID: m.GetId(), FleetAddress: m.GetAddress()})
		}
	}
	for _, s := range d.GetServices() {
		for _, part := range shard.All(s.GetName(), int(s.GetShards())) {
			g.fleet.Services = append(g.fleet.Services, hostset.Service{Name: part.String()})
		}
	}
	return g.fleet
}

// documentSettings derives the settings of the dispatchers from a document. The entry hosts are not known in
// advance, so no shares are reserved for them.
type documentSettings struct {
	document func() *configpb.Document
	// retryShare is the fraction of a service's requests that retries and hedges may add; retryFloor is how
	// many may be added in 10 s beyond that.
	retryShare, retryFloor float64
	caps                   *capSettings
}

func newDocumentSettings(document func() *configpb.Document, s *settings.Settings) documentSettings {
	return documentSettings{document: document, retryShare: s.Discovery.RetryShare, retryFloor: s.Discovery.RetryFloor, caps: newCapSettings(s)}
}

// Services lists all services of the document.
func (d documentSettings) Services() []string {
	var names []string
	for _, s := range d.document().GetServices() {
		names = append(names, s.GetName())
	}
	return names
}

// Service returns the settings of one service.
func (d documentSettings) Service(name string) (dispatchrpc.ServiceSettings, bool) {
	document := d.document()
	for _, s := range document.GetServices() {
		if s.GetName() == name {
			settings := serviceSettings(s)
			settings.UsageCap, settings.CapBound = d.caps.usageCap(document), d.caps.bound
			settings.MinimumOfStaying = true
			settings.RetryShare, settings.RetryFloor = d.retryShare, d.retryFloor
			return settings, true
		}
	}
	return dispatchrpc.ServiceSettings{}, false
}

// newControlElections lets all control hosts dispatch, also those that are not members of the control group yet.
func newControlElections(lc fx.Lifecycle, b *background, s *settings.Settings, i incarnation, source hostset.Source, m *membership.Runner, pool *transport.Pool, logger *log.Logger) *election.Runner {
	options := electionOptions(s, i, source, pool, logger)
	options.FollowAllServices = true
	options.Spares = func() []hostset.Host {
		var hosts []hostset.Host
		for _, member := range m.Members() {
			if member.State == fleetpb.NodeState_NODE_STATE_ALIVE {
				hosts = append(hosts, hostset.Host{ID: member.ID, DataCentre: member.DataCentre, FleetAddress: member.FleetAddress})
			}
		}
		return hosts
	}
	return startElections(lc, b, options)
}

func newControlDispatcher(lc fx.Lifecycle, b *background, s *settings.Settings, holder *logHolder, m *membership.Runner, e *election.Runner, registry *prometheus.Registry, logger *log.Logger) *dispatchrpc.Server {
	running := func() []string { return attach.RunningEntryHosts(time.Now(), m) }
	return newDispatcher(lc, b, s, newDocumentSettings(holder.document, s), m, e, running, registry, logger)
}

func newAttachServer(lc fx.Lifecycle, b *background, i incarnation, s *settings.Settings, replica *agreement.Replica, m *membership.Runner, e *election.Runner, source hostset.Source, holder *logHolder, pool *transport.Pool, registry *prometheus.Registry, logger *log.Logger) (*attach.Server, error) {
	metrics, err := attach.NewServerMetrics(registry)
	if err != nil {
		return nil, err
	}
	server, err := attach.NewServer(attach.ServerOptions{
		ID:        s.ID,
		Address:   s.Fleet.Advertise,
		Registry:  m,
		Elections: e,
		Source:    source,
		Revision:  func() uint64 { return holder.document().GetRevision() },
		Peers:     attach.NewPeers(pool),
		Departures: &attach.DepartureFolder{
			FS:       storage.NewFS(),
			Path:     filepath.Join(s.DataFolder, "departures"),
			DiskLost: s.Discovery.Join && replica.OpenedEmpty(),
		},
		Incarnation: uint64(i),
		Metrics:     metrics,
		Logger:      logger,
	})
	if err != nil {
		return nil, err
	}
	startComponent(lc, b, "departures", server.Run)
	return server, nil
}

func registerControlHost(lc fx.Lifecycle, mux *transport.Mux, s *settings.Settings, m *membership.Runner, e *election.Runner, d *dispatchrpc.Server, a *attach.Server, caps *capexchange.Exchange, source hostset.Source, holder *logHolder, gossip *gossipHolder, components *controlComponents, b *background) error {
	holder.log = components.Log
	gossip.runner.Store(m)
	lc.Append(fx.StopHook(func(ctx context.Context) {
		m.Leave(ctx)
		e.Resign(ctx)
	}))
	service := &fleetService{id: s.ID, membership: m, elections: e, dispatcher: d, attach: a, caps: caps, source: source, drain: b.requestDrain}
	if err := mux.Register(service, fleetpb.DRPCFleetDescription{}); err != nil {
		return err
	}
	return mux.Register(d, dispatchpb.DRPCDispatcherDescription{})
}

// controlAdapter implements adapter.Control and adapter.Directory.
type controlAdapter struct {
	*attach.Server
	log *control.Log
	ttl time.Duration
}

// Supersede implements adapter.Control.
func (c controlAdapter) Supersede(ctx context.Context, d *configpb.Document, author string) error {
	return c.log.Supersede(ctx, d, author)
}

// Document implements adapter.Control.
func (c controlAdapter) Document(ctx context.Context) (*configpb.Document, error) {
	reply, err := c.log.Get(ctx, &configpb.GetRequest{})
	return reply.GetDocument(), err
}

// TTL implements adapter.Directory.
func (c controlAdapter) TTL() time.Duration { return c.ttl }

func serveControlAdapter(lc fx.Lifecycle, o Options, s *settings.Settings, b *background, a *attach.Server, components *controlComponents, budget *inbound.Budget, logger *log.Logger) {
	if o.Adapter == nil || s.Adapter == nil {
		return
	}
	controlAPI := controlAdapter{Server: a, log: components.Log, ttl: DirectoryTTL}
	serveAdapter(lc, o, s, b, budget, logger, "adapter.control", s.Adapter.Control, o.Adapter.ControlHandler(controlAPI))
	serveAdapter(lc, o, s, b, budget, logger, "adapter.directory", s.Adapter.Directory, o.Adapter.DirectoryHandler(controlAPI))
}

// serveAdapter serves a handler of the adapter at the address. It does nothing if the address is empty.
func serveAdapter(lc fx.Lifecycle, o Options, s *settings.Settings, b *background, budget *inbound.Budget, logger *log.Logger, field, address string, handler http.Handler) {
	if address == "" {
		return
	}
	memory := roundtrip.NewMemory(roundtrip.DefaultMemory)
	if s.Memory > 0 {
		memory = roundtrip.NewMemory(s.Memory / adapterBodyShare)
	}
	server := &http.Server{
		Handler:           budget.Handler(adapter.LimitBodies(handler, memory)),
		MaxHeaderBytes:    adapterMaxHeaderBytes,
		ReadHeaderTimeout: adapterHeaderTimeout,
		ReadTimeout:       adapterReadTimeout,
		WriteTimeout:      adapterWriteTimeout,
		IdleTimeout:       adapterIdleTimeout,
		ErrorLog:          logger.WithPrefix("adapter").StandardLog(),
		ConnContext:       inbound.Context,
		ConnState: func(conn net.Conn, state http.ConnState) {
			httpstop.ConnState(conn, state)
			inbound.ConnState(conn, state)
		},
	}
	var listener *httpstop.Listener
	lc.Append(fx.StartStopHook(
		func() error {
			l, err := o.Listen(address)
			if err != nil {
				return listenError(field, err)
			}
			listener = httpstop.NewListener(budget.Listen(l))
			b.run(field, func(ctx context.Context) error {
				if err := server.Serve(listener); !listener.Stopped() {
					return errors.Wrapf(err, "serve %s", field)
				}
				<-ctx.Done()
				return nil
			})
			return nil
		},
		func(ctx context.Context) error {
			if err := listener.Stop(ctx); err != nil {
				return errors.Wrapf(err, "finish the requests of %s", field)
			}
			return errors.WithStack(server.Shutdown(ctx))
		},
	))
}
