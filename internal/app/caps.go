package app

import (
	"slices"
	"sync"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/tarragonmux/tarragonmux/internal/capexchange"
	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// capSettings derives the usage caps of teams from a document.
type capSettings struct {
	bound usagecap.Bound

	mu sync.Mutex
	// derivedFrom is the document for which hasCaps was last worked out, since a document may have 60,000 teams.
	derivedFrom *configpb.Document
	hasCaps     bool
}

func newCapSettings(s *settings.Settings) *capSettings {
	return &capSettings{bound: usagecap.Bound{
		Window: s.UsageCaps.Window.D(), Overage: s.UsageCaps.Overage, Slack: s.UsageCaps.Slack,
	}}
}

// usageCap returns the function that returns the usage cap of a team in the document, or nil if no team has one.
func (c *capSettings) usageCap(d *configpb.Document) func(team string) usagecap.Limit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.derivedFrom != d {
		c.derivedFrom = d
		c.hasCaps = slices.ContainsFunc(d.GetTeams(), func(t *configpb.Team) bool { return t.GetRateLimit() > 0 })
	}
	if !c.hasCaps {
		return nil
	}
	return func(team string) usagecap.Limit { return configuration.UsageCap(d, team) }
}

// newCapExchange exchanges the demand of teams among the control hosts that dispatch a service.
func newCapExchange(lc fx.Lifecycle, b *background, s *settings.Settings, holder *logHolder, e *election.Runner, d *dispatchrpc.Server, pool *transport.Pool, logger *log.Logger) *capexchange.Exchange {
	services := newDocumentSettings(holder.document, s)
	exchange := capexchange.New(capexchange.Options{
		Local:  d,
		Peers:  func() []string { return otherDispatchers(s.ID, services, e) },
		Client: capexchange.NewClient(pool),
		Logger: logger,
	})
	startComponent(lc, b, "caps", exchange.Run)
	return exchange
}

// otherDispatchers returns the fleet addresses of the other control hosts that dispatch a shard of a service.
func otherDispatchers(self string, services documentSettings, e *election.Runner) []string {
	var addresses []string
	for _, part := range dispatchrpc.Parts(services) {
		if h, ok := e.Dispatcher(part); ok && h.Node != self && !slices.Contains(addresses, h.Address) {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}
