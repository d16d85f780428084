package app

import (
	"context"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/admin"
	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/burn"
	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/configuration/store"
	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/inbound"
	"github.com/tarragonmux/tarragonmux/internal/records"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// DirectoryTTL is how long callers may cache a response of the directory. Some callers keep it three
	// times as long, so it determines how long a leaving host must continue to accept connections.
	DirectoryTTL = time.Second
	// attachedReportInterval is how often an attached node checks and reports its readiness.
	attachedReportInterval = 100 * time.Millisecond
)

// attachedModule provides the components of a node that attaches to control hosts.
func attachedModule() fx.Option {
	return fx.Options(
		fx.Provide(
			newLive,
			newAttachClient,
			attach.NewServers,
			newAttachedStore,
			newAttachedGrants,
			newRecordsProposer,
			newClaimer,
			newRecorder,
			newAttachedEntry,
		),
		fx.Invoke(registerAttached, serveFleet, reportAttached, serveAttached),
	)
}

// storeHolder breaks the cycle between the attach client, which passes hints of newer revisions to the store,
// and the store, which gets the addresses of the control hosts from the attach client.
type storeHolder struct {
	store *store.Store
}

func newAttachClient(lc fx.Lifecycle, b *background, s *settings.Settings, live *settings.Live, i incarnation, servers *attach.Servers, pool *transport.Pool, registry *prometheus.Registry, logger *log.Logger) (*attach.Client, *storeHolder, error) {
	metrics, err := attach.NewMetrics(registry)
	if err != nil {
		return nil, nil, err
	}
	holder := &storeHolder{}
	client := attach.NewClient(attach.ClientOptions{
		ID:           s.ID,
		Incarnation:  uint64(i),
		DataCentre:   s.DataCentre,
		EntryAddress: s.Entry.Advertise,
		FleetAddress: s.Fleet.Advertise,
		Seeds:        seedAddresses(live),
		Control:      attach.NewControlClient(pool),
		OnRevision:   func(address string, revision uint64) { holder.store.Hint(address, revision) },
		Servers:      servers,
		Metrics:      metrics,
		Logger:       logger,
	})
	startComponent(lc, b, "attach", client.Run)
	return client, holder, nil
}

func newAttachedStore(lc fx.Lifecycle, b *background, s *settings.Settings, a *attach.Client, holder *storeHolder, client feed.Client, registry *prometheus.Registry, logger *log.Logger) (*store.Store, error) {
	metrics, err := store.NewMetrics(registry)
	if err != nil {
		return nil, err
	}
	folder := ""
	if s.DataFolder != "" {
		folder = filepath.Join(s.DataFolder, "configuration")
	}
	holder.store = store.New(store.Options{
		ID:         s.ID,
		DataCentre: s.DataCentre,
		Address:    s.Fleet.Advertise,
		Control:    controlAddresses(s),
		Discover:   a.ControlHosts,
		Client:     client,
		Folder:     folder,
		Metrics:    metrics,
		Logger:     logger.WithPrefix("configuration"),
	})
	startComponent(lc, b, "configuration", holder.store.Run)
	return holder.store, nil
}

// documentOrEmpty returns a function that returns the document in force, or an empty one before there is any.
func documentOrEmpty(st *store.Store) func() *configpb.Document {
	return func() *configpb.Document {
		if snapshot := st.Snapshot(); snapshot != nil {
			return snapshot.Document()
		}
		return configuration.Empty()
	}
}

func newAttachedGrants(lc fx.Lifecycle, b *background, s *settings.Settings, i incarnation, st *store.Store, a *attach.Client, servers *attach.Servers, pool *transport.Pool, logger *log.Logger) *dispatchrpc.Client {
	client := dispatchrpc.NewClient(dispatchrpc.ClientConfig{
		Node:        s.ID,
		DataCentre:  s.DataCentre,
		Incarnation: uint64(i),
		Settings:    newDocumentSettings(documentOrEmpty(st), s),
		Registry:    servers,
		Elections:   a,
		Pool:        pool,
		Sink:        servers,
		ListAsOf:    servers.CurrentAsOf,
		Departed:    servers.Departed,
		Hosts:       a.EntryHosts,
		Logger:      logger.WithPrefix("grants"),
	})
	startComponent(lc, b, "grants", client.Run)
	return client
}

func newAttachedEntry(o Options, s *settings.Settings, st *store.Store, grants *dispatchrpc.Client, servers *attach.Servers, claimer *records.Claimer, recorder *burn.Recorder, budget *inbound.Budget, registry *prometheus.Registry, logger *log.Logger) (*entry.Server, error) {
	requests, err := entry.NewMetrics(registry)
	if err != nil {
		return nil, err
	}
	cfg := entry.Config{
		Settings:  *s.Entry,
		Routes:    st,
		Grants:    grants,
		Claims:    claimer,
		Backends:  servers,
		Endpoints: func(string, string) []entry.Endpoint { return nil },
		Ready:     st.Ready,
		LeaveFor:  s.Discovery.LeaveFor.D(),
		StopAfter: s.Discovery.StopAfter.D(),
		Observer:  entry.Observers{requests, burnObserver{recorder}},
		Log:       logger,
		Pool:      backendPool(o, s),

		ConfigurationAge: st.Age,
		BodyMemory:       keptBodyMemory(s),
		Inbound:          budget,
	}
	if o.Adapter != nil {
		cfg.Dialect = o.Adapter.Dialect()
	}
	return entry.New(cfg)
}

func registerAttached(mux *transport.Mux, s *settings.Settings, st *store.Store, claimer *records.Claimer, recorder *burn.Recorder, b *background) error {
	if err := mux.Register(&attachedService{id: s.ID, claimer: claimer, recorder: recorder, drain: b.requestDrain}, fleetpb.DRPCFleetDescription{}); err != nil {
		return err
	}
	return mux.Register(st, configpb.DRPCFeedDescription{})
}

// reportAttached reports the readiness of this node to the control hosts and to the admin endpoint.
func reportAttached(lc fx.Lifecycle, b *background, st *store.Store, a *attach.Client, server *entry.Server, readiness *admin.Readiness) {
	readiness.Set("configuration", "starting")
	startComponent(lc, b, "report", func(ctx context.Context) error {
		ticker := time.NewTicker(attachedReportInterval)
		defer ticker.Stop()
		for {
			reason := ""
			if !st.Ready() {
				reason = "the newest revision is not known yet"
			}
			readiness.Set("configuration", reason)
			a.SetReady(st.Ready() && !server.Leaving())
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			case <-st.Changed():
			}
		}
	})
}

// serveAttached serves callers. Its hook must be the last one, so that the listener opens last and closes
// first.
func serveAttached(lc fx.Lifecycle, o Options, s *settings.Settings, b *background, st *store.Store, a *attach.Client, server *entry.Server, claimer *records.Claimer, readiness *admin.Readiness, budget *inbound.Budget, logger *log.Logger) {
	prefixed := logger.WithPrefix("entry")
	if o.Adapter != nil && s.Adapter != nil {
		ready := func() bool { return st.Ready() && !server.Leaving() }
		serveAdapter(lc, o, s, b, budget, logger, "adapter.ready", s.Adapter.Ready, o.Adapter.ReadyHandler(ready))
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := o.Listen(s.Entry.Address)
			if err != nil {
				return listenError("entry.address", err)
			}
			b.run("entry", func(context.Context) error {
				err := server.Serve(l)
				if err == nil {
					<-b.ctx.Done()
				}
				return err
			})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			readiness.Set("entry", "leaving")
			prefixed.Info("leaving; directing callers to other hosts")
			server.Leave()
			a.Leave(ctx)
			err := server.Shutdown(ctx)
			drainErr := claimer.Drain(ctx)
			claimer.Close()
			if err != nil {
				return errors.Wrap(err, "finish the requests in flight")
			}
			return errors.Wrap(drainErr, "record the last outcomes; the outcome of these requests will be reported as unknown when they are resent")
		},
	})
}

// attachedService serves the methods of fleetpb.Fleet that concern an attached node itself.
type attachedService struct {
	fleetpb.DRPCFleetUnimplementedServer
	id       string
	claimer  *records.Claimer
	recorder *burn.Recorder
	drain    func()
}

var _ fleetpb.DRPCFleetServer = (*attachedService)(nil)

// Attempt returns the state of an attempt of this node.
func (a *attachedService) Attempt(ctx context.Context, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	return a.claimer.Attempts().Attempt(ctx, r)
}

// Burn returns the service-level counts.
func (a *attachedService) Burn(context.Context, *fleetpb.BurnRequest) (*fleetpb.BurnReply, error) {
	return a.recorder.Reply(a.id, time.Now()), nil
}

// Drain shuts this process down gracefully.
func (a *attachedService) Drain(context.Context, *fleetpb.DrainRequest) (*fleetpb.DrainReply, error) {
	a.drain()
	return &fleetpb.DrainReply{}, nil
}
