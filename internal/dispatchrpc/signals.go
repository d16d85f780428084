package dispatchrpc

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// serverState is what a server said about itself in its last responses to this node.
type serverState struct {
	// incarnation is that of the server at the time.
	incarnation uint64
	// rate is what the server accepts in requests per second from all nodes together, if rateLimited is set.
	rateLimited bool
	rate        float64
	// share limits the requests that this node sends without a dispatcher to its part of the rate.
	share dispatch.RateLimit
	// pausedUntil is until when the server wants no requests from this node.
	pausedUntil time.Time
}

// recordSignals records what a server said about itself in a response. The caller holds the mutex.
func (c *channel) recordSignals(now time.Time, instance string, done *grant.Completion) {
	if !done.Responded() {
		return
	}
	state := c.serverStates[instance]
	if state == nil {
		if !done.RateLimited && done.Pause <= 0 {
			return
		}
		state = &serverState{}
		c.serverStates[instance] = state
	}
	if incarnation := c.incarnation(instance); incarnation != state.incarnation {
		*state = serverState{incarnation: incarnation}
	}
	if done.Pause > 0 {
		state.pausedUntil = now.Add(done.Pause)
	}
	state.rateLimited, state.rate = done.RateLimited, done.Rate
	if !done.RateLimited {
		state.share.Lift()
		return
	}
	settings, _ := c.client.config.Settings.Service(c.service)
	// Hosts that lose their dispatcher together begin at different times.
	state.share.Set(now, max(done.Rate, dispatch.MinRate)/float64(max(c.hostCount(settings), 1)), rand.Float64())
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

// serverAccepts reports whether the server accepts a request that this node sends now without a dispatcher, by what
// it said. What a former process of the server said does not count.
func (c *channel) serverAccepts(now time.Time, s backend.Server) bool {
	state := c.serverStates[s.Instance]
	if state == nil {
		return true
	}
	if state.incarnation != s.Incarnation {
		delete(c.serverStates, s.Instance)
		return true
	}
	return !now.Before(state.pausedUntil) && state.share.Allows(now)
}

// countRequest counts a request that this node sends to the server without a dispatcher.
func (c *channel) countRequest(now time.Time, instance string) {
	if state := c.serverStates[instance]; state != nil {
		state.share.Spend(now)
	}
}

// signalsToProto lists what servers said, as far as it applies, for a new dispatcher. It forgets the rest.
func (c *channel) signalsToProto(now time.Time) (signals []*dispatchpb.ServerSignals) {
	if len(c.serverStates) == 0 {
		return nil
	}
	known := c.serverStates
	c.serverStates = map[string]*serverState{}
	for _, s := range c.client.config.Registry.Servers(c.service) {
		state := known[s.Instance]
		if state == nil || state.incarnation != s.Incarnation || !state.rateLimited && !now.Before(state.pausedUntil) {
			continue
		}
		c.serverStates[s.Instance] = state
		signals = append(signals, &dispatchpb.ServerSignals{
			Instance: s.Instance, RateLimited: state.rateLimited, Rate: state.rate,
			PauseLeftMs: max(state.pausedUntil.Sub(now).Milliseconds(), 0),
		})
	}
	return signals
}
