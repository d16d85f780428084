package dispatchrpc

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// namedRate is the rate that a server named in its last response to this node.
type namedRate struct {
	// incarnation is that of the server at the time.
	incarnation uint64
	// rate is in requests per second from all nodes together.
	rate float64
	// share limits the requests that this node sends without a dispatcher to its part of the rate.
	share dispatch.RateLimit
}

// recordSignals records what a server said about itself in a response. The caller holds the mutex.
func (c *channel) recordSignals(now time.Time, instance string, done *grant.Completion) {
	if !done.Responded() {
		return
	}
	if !done.RateLimited {
		delete(c.autonomy.rates, instance)
		return
	}
	named := c.autonomy.rates[instance]
	if named == nil {
		named = &namedRate{}
		if c.autonomy.rates == nil {
			c.autonomy.rates = map[string]*namedRate{}
		}
		c.autonomy.rates[instance] = named
	}
	named.incarnation, named.rate = c.incarnation(instance), done.Rate
	settings, _ := c.client.config.Settings.Service(c.service)
	// Hosts that lose their dispatcher together begin at different times.
	named.share.Set(now, max(done.Rate, dispatch.MinRate)/float64(max(c.hostCount(settings), 1)), rand.Float64())
}

// incarnation returns the incarnation of a server as this node knows it; 0 if unknown.
func (c *channel) incarnation(instance string) uint64 {
	for _, s := range c.client.config.Registry.Servers(c.service) {
		if s.Instance == instance {
			return s.Incarnation
		}
	}
	return 0
}

// rateAllows reports whether this node may send a request to the server now without a dispatcher. What a former
// process of the server named does not count.
func (c *channel) rateAllows(now time.Time, s backend.Server) bool {
	named := c.autonomy.rates[s.Instance]
	if named == nil {
		return true
	}
	if named.incarnation != s.Incarnation {
		delete(c.autonomy.rates, s.Instance)
		return true
	}
	return named.share.Allows(now)
}

// ratesToProto lists the rates that servers named, for a new dispatcher. Rates of servers that are no longer listed
// are dropped.
func (c *channel) ratesToProto() (rates []*dispatchpb.ServerRate) {
	if len(c.autonomy.rates) == 0 {
		return nil
	}
	known := c.autonomy.rates
	c.autonomy.rates = map[string]*namedRate{}
	for _, s := range c.client.config.Registry.Servers(c.service) {
		if named := known[s.Instance]; named != nil && named.incarnation == s.Incarnation {
			c.autonomy.rates[s.Instance] = named
			rates = append(rates, &dispatchpb.ServerRate{Instance: s.Instance, Rate: named.rate})
		}
	}
	return rates
}
