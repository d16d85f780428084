package app

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/admin"
	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/inbound"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

// incarnation is the start time of the process in milliseconds since 1970.
type incarnation uint64

// commonModule provides the components that every process has.
func commonModule() fx.Option {
	return fx.Options(
		fx.Provide(
			func(o Options) *log.Logger { return o.Logger },
			func() incarnation { return incarnation(time.Now().UnixMilli()) },
			admin.NewRegistry,
			func() *admin.Readiness { return admin.NewReadiness() },
			newBackground,
			newPool,
			transport.NewMux,
			feed.NewClient,
			newMembership,
			newInbound,
		),
		fx.Invoke(logViolations, serveAdmin),
	)
}

// newInbound returns the budget for the clients of all HTTP listeners of the process.
func newInbound(s *settings.Settings, registry *prometheus.Registry) (*inbound.Budget, error) {
	limits := inbound.Limits{
		Connections: s.Inbound.MaxConnections, AddressConnections: s.Inbound.MaxConnectionsPerAddress,
		Memory: s.Inbound.MaxMemory, AddressMemory: s.Inbound.MaxMemoryPerAddress,
	}
	budget := inbound.New(limits.WithDefaults(s.Memory, maxDescriptors()))
	return budget, errors.Wrap(registry.Register(budget), "register the metrics of the budget for clients")
}

// maxDescriptors returns how many descriptors the process may open, or 0 if that is not known.
func maxDescriptors() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}

func newPool(lc fx.Lifecycle, o Options) *transport.Pool {
	pool := transport.NewPool(o.Dialer)
	lc.Append(fx.StopHook(pool.Close))
	return pool
}

// logViolations writes every violated invariant to the log, since each is a defect of the program.
func logViolations(lc fx.Lifecycle, logger *log.Logger) {
	prefixed := logger.WithPrefix("invariant")
	var unsubscribe func()
	lc.Append(fx.StartStopHook(
		func() {
			unsubscribe = invariant.Subscribe(func(v invariant.Violation) {
				prefixed.Error("violated; report this as a defect", "name", v.Name, "detail", v.Detail)
			})
		},
		func() { unsubscribe() },
	))
}

func serveAdmin(lc fx.Lifecycle, o Options, s *settings.Settings, b *background, registry *prometheus.Registry, readiness *admin.Readiness, budget *inbound.Budget) {
	lc.Append(fx.StartHook(func() error {
		l, err := o.Listen(s.Admin.Address)
		if err != nil {
			return listenError("admin.address", err)
		}
		b.run("admin", func(ctx context.Context) error {
			return admin.Serve(ctx, l, admin.Handler(registry, readiness), budget)
		})
		return nil
	}))
}

// serveFleet opens the fleet listener. Its hook must run after all services have been registered.
func serveFleet(lc fx.Lifecycle, o Options, s *settings.Settings, b *background, mux *transport.Mux, logger *log.Logger) {
	lc.Append(fx.StartHook(func() error {
		l, err := o.Listen(s.Fleet.Address)
		if err != nil {
			return listenError("fleet.address", err)
		}
		b.run("fleet", func(ctx context.Context) error {
			return transport.Serve(ctx, l, mux, logger.WithPrefix("fleet"))
		})
		return nil
	}))
}

func listenError(field string, err error) error {
	return &settings.Error{Field: field, Reason: err.Error(), Remedy: "free the port or choose another address"}
}

// revisionListener is called with the address of a gossip peer that has a newer configuration revision.
type revisionListener func(address string, revision uint64)

// memberDiscovery has the sources from which a process discovers further members at run time.
type memberDiscovery struct {
	fx.In

	Live   *settings.Live `optional:"true"`
	Gossip *gossipHolder  `optional:"true"`
}

// gossipHolder breaks the cycle between the replica, which discovers its peers through gossip, and the
// membership, which reads the hosts from the replica.
type gossipHolder struct {
	runner atomic.Pointer[membership.Runner]
}

func (g *gossipHolder) members() []membership.Member {
	if runner := g.runner.Load(); runner != nil {
		return runner.Members()
	}
	return nil
}

func newMembership(lc fx.Lifecycle, b *background, discovery memberDiscovery, s *settings.Settings, i incarnation, source hostset.Source, pool *transport.Pool, logger *log.Logger, onRevision revisionListener) *membership.Runner {
	runner := membership.NewRunner(membership.Options{
		Identity: membership.Identity{
			ID:           s.ID,
			DataCentre:   s.DataCentre,
			EntryAddress: entryAddress(s),
			FleetAddress: s.Fleet.Advertise,
			Role:         role(s),
			Incarnation:  uint64(i),
		},
		Peers:        joinAddresses(s),
		Source:       source,
		PeerClient:   membership.NewPeerClient(pool),
		Logger:       logger.WithPrefix("membership"),
		Discover:     seedDiscovery(discovery.Live),
		ServerCutoff: serverCutoff(s),
		OnRevision:   func(p membership.PeerRevision) { onRevision(p.Address, p.Revision) },
	})
	startComponent(lc, b, "membership", runner.Run)
	return runner
}

// seedDiscovery returns a function that lists the seeds in force, or nil without host discovery.
func seedDiscovery(live *settings.Live) func() []string {
	if live == nil {
		return nil
	}
	return seedAddresses(live)
}

// serverCutoff returns the cutoff of the settings, or 0 without host discovery; 0 stands for the default.
func serverCutoff(s *settings.Settings) time.Duration {
	if s.Discovery == nil {
		return 0
	}
	return s.Discovery.ServerCutoff.D()
}

func entryAddress(s *settings.Settings) string {
	if s.Entry == nil {
		return ""
	}
	return s.Entry.Advertise
}

func role(s *settings.Settings) string {
	switch {
	case s.Entry == nil:
		return "control"
	case s.Control == nil:
		return "node"
	default:
		return "node-and-control"
	}
}

// joinAddresses lists the addresses through which to join the gossip: those of the peers and of the control
// replicas, which are members too.
func joinAddresses(s *settings.Settings) []string {
	addresses := append([]string(nil), s.Peers...)
	for _, replica := range s.ControlReplicas {
		if replica.Address != s.Fleet.Advertise {
			addresses = append(addresses, replica.Address)
		}
	}
	return addresses
}
