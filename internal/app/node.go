package app

import (
	"context"
	"net"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/admin"
	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/burn"
	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/configuration/store"
	"github.com/tarragonmux/tarragonmux/internal/dispatchmetrics"
	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/inbound"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/records"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// nodeReportInterval is how often the node reports its revision, its readiness and the services that it
	// cannot reach.
	nodeReportInterval = 100 * time.Millisecond
	// burnRollInterval is how often the recorder checks whether the current service-level bucket has ended.
	burnRollInterval = time.Second
	// burnSaveInterval is how often the service-level counts are written to the data folder.
	burnSaveInterval = 30 * time.Second
)

// nodeComponents are the components of a node that benchmarks and tests inspect.
type nodeComponents struct {
	Store      *store.Store
	Membership *membership.Runner
	Elections  *election.Runner
	Dispatcher *dispatchrpc.Server
	Grants     grant.Source
	Claimer    *records.Claimer
	Recorder   *burn.Recorder
	Entry      *entry.Server
}

// GrantsFactory returns a source of grants that uses the components of a node, and a function to run in the
// background, which may be nil.
type GrantsFactory func(n GrantComponents) (grant.Source, func(context.Context) error)

// GrantComponents are the components of a node that a source of grants may use.
type GrantComponents struct {
	ID         string
	DataCentre string
	Settings   dispatchrpc.Settings
	Membership *membership.Runner
	Client     *dispatchrpc.Client
}

func nodeModule() fx.Option {
	return fx.Options(
		fx.Provide(
			newStore,
			func(s *store.Store) hostset.Source {
				return &fleetSource{document: func() *configpb.Document { return documentOrNil(s) }}
			},
			func(s *store.Store) revisionListener { return s.Hint },
			newElections,
			newDispatchSettings,
			newNodeDispatcher,
			newGrantClient,
			newGrantSource,
			newRecordsProposer,
			newClaimer,
			newRecorder,
			newDirectory,
			newEntryServer,
			newNodeComponents,
		),
		fx.Invoke(registerNode, serveFleet, reportNode, serveEntry),
	)
}

// documentOrNil returns the document in force, or nil before there is any.
func documentOrNil(s *store.Store) *configpb.Document {
	snapshot := s.Snapshot()
	if snapshot == nil {
		return nil
	}
	return snapshot.Document()
}

func newStore(lc fx.Lifecycle, b *background, s *settings.Settings, client feed.Client, registry *prometheus.Registry, logger *log.Logger) (*store.Store, error) {
	metrics, err := store.NewMetrics(registry)
	if err != nil {
		return nil, err
	}
	folder := ""
	if s.DataFolder != "" {
		folder = filepath.Join(s.DataFolder, "configuration")
	}
	configStore := store.New(store.Options{
		ID:         s.ID,
		DataCentre: s.DataCentre,
		Address:    s.Fleet.Advertise,
		Control:    controlAddresses(s),
		Peers:      s.Peers,
		Client:     client,
		Folder:     folder,
		Metrics:    metrics,
		Logger:     logger.WithPrefix("configuration"),
	})
	startComponent(lc, b, "configuration", configStore.Run)
	return configStore, nil
}

func controlAddresses(s *settings.Settings) []string {
	addresses := make([]string, 0, len(s.ControlReplicas))
	for _, replica := range s.ControlReplicas {
		addresses = append(addresses, replica.Address)
	}
	return addresses
}

func newElections(lc fx.Lifecycle, b *background, s *settings.Settings, i incarnation, source hostset.Source, pool *transport.Pool, logger *log.Logger) *election.Runner {
	return startElections(lc, b, electionOptions(s, i, source, pool, logger))
}

func electionOptions(s *settings.Settings, i incarnation, source hostset.Source, pool *transport.Pool, logger *log.Logger) election.Options {
	return election.Options{
		ID:          s.ID,
		Incarnation: uint64(i),
		Source:      source,
		PeerClient:  election.NewPeerClient(pool),
		Logger:      logger.WithPrefix("election"),
	}
}

func startElections(lc fx.Lifecycle, b *background, o election.Options) *election.Runner {
	runner := election.NewRunner(o)
	startComponent(lc, b, "election", runner.Run)
	return runner
}

func newDispatchSettings(s *settings.Settings, st *store.Store, source hostset.Source, m *membership.Runner) dispatchrpc.Settings {
	return &dispatchSettings{self: s.ID, snapshot: func() *configuration.Snapshot { return st.Snapshot() }, source: source, members: m.Member}
}

func newNodeDispatcher(lc fx.Lifecycle, b *background, s *settings.Settings, ds dispatchrpc.Settings, m *membership.Runner, e *election.Runner, registry *prometheus.Registry, logger *log.Logger) *dispatchrpc.Server {
	return newDispatcher(lc, b, s, ds, m, e, nil, registry, logger)
}

// newDispatcher returns the dispatchers of this process. running lists the entry hosts of a fleet with host discovery; nil
// otherwise.
func newDispatcher(lc fx.Lifecycle, b *background, s *settings.Settings, ds dispatchrpc.Settings, m *membership.Runner, e *election.Runner, running func() []string, registry *prometheus.Registry, logger *log.Logger) *dispatchrpc.Server {
	server := dispatchrpc.NewServer(dispatchrpc.ServerConfig{
		Node:       s.ID,
		Settings:   ds,
		Registry:   m,
		Elections:  e,
		EntryHosts: running,
		Logger:     logger.WithPrefix("dispatch"),
	})
	registry.MustRegister(dispatchmetrics.NewCollector(server, ds.Services))
	startComponent(lc, b, "dispatcher", server.Run)
	return server
}

func newGrantClient(lc fx.Lifecycle, b *background, s *settings.Settings, i incarnation, ds dispatchrpc.Settings, m *membership.Runner, e *election.Runner, pool *transport.Pool, local *dispatchrpc.Server, logger *log.Logger) *dispatchrpc.Client {
	client := dispatchrpc.NewClient(dispatchrpc.ClientConfig{
		Node:        s.ID,
		DataCentre:  s.DataCentre,
		Incarnation: uint64(i),
		Settings:    ds,
		Registry:    m,
		Elections:   e,
		Pool:        pool,
		Local:       local,
		Logger:      logger.WithPrefix("grants"),
	})
	startComponent(lc, b, "grants", client.Run)
	return client
}

func newGrantSource(lc fx.Lifecycle, b *background, o Options, s *settings.Settings, ds dispatchrpc.Settings, m *membership.Runner, client *dispatchrpc.Client) grant.Source {
	if o.Grants == nil {
		return client
	}
	source, run := o.Grants(GrantComponents{ID: s.ID, DataCentre: s.DataCentre, Settings: ds, Membership: m, Client: client})
	if run != nil {
		startComponent(lc, b, "baseline", run)
	}
	return source
}

func newRecordsProposer(s *settings.Settings, pool *transport.Pool, logger *log.Logger) agreement.Proposer {
	return agreement.NewProposer(agreement.ProposerConfig{
		ID:         s.ID,
		FirstGroup: groupMembers(s),
		Client:     agreement.NewTransportClient(pool),
		Logger:     logger.WithPrefix("records"),
	})
}

func groupMembers(s *settings.Settings) []agreement.Member {
	members := make([]agreement.Member, 0, len(s.ControlReplicas))
	for _, replica := range s.ControlReplicas {
		members = append(members, agreement.Member{ID: replica.ID, Address: replica.Address})
	}
	return members
}

func newClaimer(s *settings.Settings, i incarnation, proposer agreement.Proposer, pool *transport.Pool, logger *log.Logger) *records.Claimer {
	return records.New(records.Options{
		Node:        s.ID,
		Incarnation: uint64(i),
		Address:     s.Fleet.Advertise,
		Proposer:    proposer,
		PeerClient:  records.NewPeerClient(pool),
		Logger:      logger.WithPrefix("records"),
	})
}

func newRecorder(lc fx.Lifecycle, b *background, s *settings.Settings, logger *log.Logger) *burn.Recorder {
	recorder := burn.NewRecorder(time.Now())
	prefixed := logger.WithPrefix("burn")
	if s.DataFolder != "" {
		if err := recorder.Load(s.DataFolder, time.Now()); err != nil {
			prefixed.Warn("starting with empty counts", "err", logging.Err(err))
		}
	}
	save := func() {
		if s.DataFolder == "" {
			return
		}
		if err := recorder.Save(s.DataFolder, s.ID, time.Now()); err != nil {
			prefixed.Warn("could not save the counts", "err", logging.Err(err))
		}
	}
	startComponent(lc, b, "burn", func(ctx context.Context) error { return maintainBurnCounts(ctx, recorder, save) })
	lc.Append(fx.StopHook(save))
	return recorder
}

// maintainBurnCounts starts new service-level buckets and saves the counts at their intervals until the
// context ends.
func maintainBurnCounts(ctx context.Context, recorder *burn.Recorder, save func()) error {
	roll := time.NewTicker(burnRollInterval)
	defer roll.Stop()
	saveTicker := time.NewTicker(burnSaveInterval)
	defer saveTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-roll.C:
			recorder.RollBucket(now)
		case <-saveTicker.C:
			save()
		}
	}
}

func newDirectory(s *settings.Settings, source hostset.Source, m *membership.Runner) *hostset.Directory {
	return hostset.NewDirectory(source, m, s.Entry.EndpointTTL.D())
}

func newEntryServer(o Options, s *settings.Settings, st *store.Store, grants grant.Source, claimer *records.Claimer, m *membership.Runner, directory *hostset.Directory, recorder *burn.Recorder, budget *inbound.Budget, registry *prometheus.Registry, logger *log.Logger) (*entry.Server, error) {
	requests, err := entry.NewMetrics(registry)
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Config{
		Settings:         *s.Entry,
		Routes:           st,
		Grants:           grants,
		Claims:           claimer,
		Backends:         m,
		Endpoints:        endpointsFunc(directory),
		Ready:            st.Ready,
		ConfigurationAge: st.Age,
		Observer:         entry.Observers{requests, burnObserver{recorder}},
		Log:              logger,
		Pool:             backendPool(o, s),
		BodyMemory:       keptBodyMemory(s),
		Inbound:          budget,
	})
}

// keptBodyMemoryShare is the share of the process's memory that kept request bodies may take together, as a divisor. Of
// 184 MB, the smallest entry hosts, it holds 64 bodies of 360 KB.
const keptBodyMemoryShare = 8

func keptBodyMemory(s *settings.Settings) *roundtrip.Memory {
	if s.Memory <= 0 {
		return nil
	}
	return roundtrip.NewMemory(s.Memory / keptBodyMemoryShare)
}

// responseMemoryShare is the share of the process's memory that responses of backend servers may take together, as a
// divisor.
const responseMemoryShare = 8

func backendPool(o Options, s *settings.Settings) roundtrip.Config {
	cfg := roundtrip.Config{Dial: backendDial(o)}
	if s.Memory > 0 {
		cfg.Memory = roundtrip.NewMemory(s.Memory / responseMemoryShare)
	}
	return cfg
}

func backendDial(o Options) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return o.BackendDialer.DialContext(ctx, "tcp", address)
	}
}

func endpointsFunc(directory *hostset.Directory) entry.Endpoints {
	return func(service, caller string) []entry.Endpoint {
		chosen, _ := directory.Endpoints(service, caller)
		result := make([]entry.Endpoint, 0, len(chosen))
		for _, e := range chosen {
			result = append(result, entry.Endpoint{Address: e.Address, DataCentre: e.DataCentre})
		}
		return result
	}
}

func newNodeComponents(st *store.Store, m *membership.Runner, e *election.Runner, d *dispatchrpc.Server, g grant.Source, c *records.Claimer, r *burn.Recorder, server *entry.Server) *nodeComponents {
	return &nodeComponents{Store: st, Membership: m, Elections: e, Dispatcher: d, Grants: g, Claimer: c, Recorder: r, Entry: server}
}

func registerNode(mux *transport.Mux, s *settings.Settings, components *nodeComponents, source hostset.Source, b *background) error {
	service := &fleetService{
		id:         s.ID,
		membership: components.Membership,
		elections:  components.Elections,
		dispatcher: components.Dispatcher,
		claimer:    components.Claimer,
		recorder:   components.Recorder,
		source:     source,
		drain:      b.requestDrain,
	}
	if err := mux.Register(service, fleetpb.DRPCFleetDescription{}); err != nil {
		return err
	}
	if s.Control == nil {
		if err := mux.Register(components.Store, configpb.DRPCFeedDescription{}); err != nil {
			return err
		}
	}
	return mux.Register(components.Dispatcher, dispatchpb.DRPCDispatcherDescription{})
}

// reportNode reports the revision in force, the readiness and the unreachable services of this node to the
// fleet.
func reportNode(lc fx.Lifecycle, b *background, components *nodeComponents, client *dispatchrpc.Client, ds dispatchrpc.Settings, readiness *admin.Readiness) {
	readiness.Set("configuration", "starting")
	startComponent(lc, b, "report", func(ctx context.Context) error {
		ticker := time.NewTicker(nodeReportInterval)
		defer ticker.Stop()
		for {
			components.reportState(client, ds, readiness)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			case <-components.Store.Changed():
			}
		}
	})
}

func (n *nodeComponents) reportState(client *dispatchrpc.Client, ds dispatchrpc.Settings, readiness *admin.Readiness) {
	ready := n.Store.Ready()
	reason := ""
	if !ready {
		reason = "the newest revision is not known yet"
	}
	readiness.Set("configuration", reason)
	n.Membership.SetRevision(n.Store.Revision())
	n.Membership.SetReady(ready && !n.Entry.Leaving())
	var unreachable []string
	for _, service := range ds.Services() {
		if !client.CanAcquire(service) {
			unreachable = append(unreachable, service)
		}
	}
	n.Membership.SetUnreachable(unreachable)
}

// serveEntry serves callers. Its hook must be the last one, so that the listener opens last and closes first.
func serveEntry(lc fx.Lifecycle, o Options, s *settings.Settings, b *background, components *nodeComponents, readiness *admin.Readiness, logger *log.Logger) {
	prefixed := logger.WithPrefix("entry")
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := o.Listen(s.Entry.Address)
			if err != nil {
				return listenError("entry.address", err)
			}
			b.run("entry", func(context.Context) error { return components.serveCallers(b, l) })
			return nil
		},
		OnStop: func(ctx context.Context) error {
			readiness.Set("entry", "leaving")
			prefixed.Info("leaving; directing callers to other hosts")
			return components.leaveFleet(ctx)
		},
	})
}

// serveCallers serves the listener. Unless that fails, it returns when the process ends.
func (n *nodeComponents) serveCallers(b *background, l net.Listener) error {
	err := n.Entry.Serve(l)
	if err == nil {
		<-b.ctx.Done()
	}
	return err
}

// leaveFleet removes the node from the fleet without interrupting requests in flight.
func (n *nodeComponents) leaveFleet(ctx context.Context) error {
	n.Entry.Leave()
	n.Membership.Leave(ctx)
	err := n.Entry.Shutdown(ctx)
	n.Elections.Resign(ctx)
	drainErr := n.Claimer.Drain(ctx)
	n.Claimer.Close()
	if err != nil {
		return errors.Wrap(err, "finish the requests in flight")
	}
	return errors.Wrap(drainErr, "record the last outcomes; the outcome of these requests will be reported as unknown when they are resent")
}
