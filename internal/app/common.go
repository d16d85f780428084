package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/admin"
	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

// incarnation is the start time of the process in milliseconds since 1970.
type incarnation uint64

// common provides what every process has.
func common() fx.Option {
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
		),
		fx.Invoke(logViolations, serveAdmin),
	)
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

func serveAdmin(lc fx.Lifecycle, o Options, s *settings.Settings, b *background, registry *prometheus.Registry, readiness *admin.Readiness) {
	lc.Append(fx.StartHook(func() error {
		l, err := o.Listen(s.Admin.Address)
		if err != nil {
			return listenError("admin.address", err)
		}
		b.run("admin", func(ctx context.Context) error {
			return admin.Serve(ctx, l, admin.Handler(registry, readiness))
		})
		return nil
	}))
}

// serveFleet opens the fleet listener. Its hook must be the last one that registers services.
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

// revisionHints receives news of newer configuration revisions from gossip.
type revisionHints func(address string, revision uint64)

// moreSeeds is how a process learns of further members at run time.
type moreSeeds struct {
	fx.In

	Live   *settings.Live `optional:"true"`
	Gossip *gossipHolder  `optional:"true"`
}

// gossipHolder breaks the cycle between the replica, which finds its peers through the gossip, and the
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

func newMembership(lc fx.Lifecycle, b *background, more moreSeeds, s *settings.Settings, i incarnation, source hostset.Source, pool *transport.Pool, logger *log.Logger, hints revisionHints) *membership.Runner {
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
		Discover:     discoverThrough(more.Live),
		ServerCutoff: serverCutoff(s),
		OnRevision:   func(p membership.PeerRevision) { hints(p.Address, p.Revision) },
	})
	start(lc, b, "membership", runner.Run)
	return runner
}

func discoverThrough(live *settings.Live) func() []string {
	if live == nil {
		return nil
	}
	return seedAddresses(live)
}

// serverCutoff returns 0, which is the default, unless the fleet discovers its hosts.
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

// joinAddresses lists where to join the gossip: the peers, and the control replicas, which are members too.
func joinAddresses(s *settings.Settings) []string {
	addresses := append([]string(nil), s.Peers...)
	for _, replica := range s.ControlReplicas {
		if replica.Address != s.Fleet.Advertise {
			addresses = append(addresses, replica.Address)
		}
	}
	return addresses
}
