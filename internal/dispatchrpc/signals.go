package dispatchrpc

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

const (
	// signalRetention is how long what a server said applies without another response of it. A server that leaves
	// stays until its last request has ended, which takes ten minutes at most.
	signalRetention = time.Hour
	// unknownProcessRetention is the same for a server without an incarnation, whose next process cannot be told from
	// the one that spoke.
	unknownProcessRetention = time.Minute
	// forgetInterval is how often a node looks for what no longer applies, while it hears more.
	forgetInterval = 10 * time.Second
)

// serverState is what a server said about itself in its last responses to this node.
type serverState struct {
	// incarnation is that of the server at the time.
	incarnation uint64
	// heardAt is when the last of these responses arrived.
	heardAt time.Time
	// leaving is set once the server has said that it is draining.
	leaving bool
	// rate is what the server accepts in requests per second from all nodes together, if rateLimited is set.
	rateLimited bool
	rate        float64
	// share limits the requests that this node sends without a dispatcher to its part of the rate.
	share dispatch.RateLimit
	// pausedUntil is until when the server wants no requests from this node.
	pausedUntil time.Time
}

// applies reports whether anything that the server said still applies.
func (s *serverState) applies(now time.Time) bool {
	retention := signalRetention
	if s.incarnation == 0 {
		retention = unknownProcessRetention
	}
	return now.Before(s.pausedUntil) || (s.leaving || s.rateLimited) && now.Sub(s.heardAt) < retention
}

// recordSignals records what the server of a grant said about itself in the head of a response that arrived at the given
// time. The caller holds the mutex.
func (c *channel) recordSignals(arrived time.Time, h *heldGrant, signals grant.ServerSignals) {
	state := c.serverStates[h.server.Instance]
	if state != nil && h.incarnation != 0 && h.incarnation < state.incarnation {
		return
	}
	if state == nil || h.incarnation > state.incarnation {
		if signals == (grant.ServerSignals{}) {
			return
		}
		if arrived.Sub(c.statesCheckedAt) >= forgetInterval {
			c.forgetEndedStates(arrived)
		}
		state = &serverState{incarnation: h.incarnation}
		c.serverStates[h.server.Instance] = state
	}
	state.leaving = state.leaving || signals.Draining
	if signals.Pause > 0 {
		state.pausedUntil = latest(state.pausedUntil, arrived.Add(signals.Pause))
	}
	if arrived.Before(state.heardAt) {
		return
	}
	state.heardAt = arrived
	state.rateLimited, state.rate = signals.RateLimited, signals.Rate
	if !signals.RateLimited {
		state.share.Lift()
		return
	}
	settings, _ := c.client.config.Settings.Service(c.service)
	// Hosts that lose their dispatcher together begin at different times.
	state.share.Set(arrived, max(signals.Rate, dispatch.MinRate)/float64(max(c.hostCount(settings), 1)), rand.Float64())
}

// listed returns a server as this node knows it; ok is false if it is not listed.
func (c *channel) listed(instance string) (s backend.Server, ok bool) {
	for _, s := range c.client.config.Registry.Servers(c.service) {
		if s.Instance == instance {
			return s, true
		}
	}
	return backend.Server{}, false
}

// wantsNoRequests reports whether the server told this node that it leaves or asked it to pause. The dispatcher may not
// know it: it granted the request before it heard of that, took over in the meantime, or the server was not listed for
// a while.
func (c *channel) wantsNoRequests(now time.Time, instance string) bool {
	state := c.serverStates[instance]
	if state == nil || !state.applies(now) || !state.leaving && !now.Before(state.pausedUntil) {
		return false
	}
	s, ok := c.listed(instance)
	return !ok || s.Incarnation == state.incarnation
}

// serverAccepts reports whether the server accepts a request that this node sends now without a dispatcher, by what
// it said.
func (c *channel) serverAccepts(now time.Time, s backend.Server) bool {
	wait, ever := c.serverWait(now, s)
	return ever && wait == 0
}

// serverWait returns how long it takes until the server accepts a request that this node sends without a dispatcher, by
// what it said; ever is false if it leaves. What a former process of the server said does not count.
func (c *channel) serverWait(now time.Time, s backend.Server) (wait time.Duration, ever bool) {
	state := c.serverStates[s.Instance]
	if state == nil {
		return 0, true
	}
	if state.incarnation != s.Incarnation {
		delete(c.serverStates, s.Instance)
		return 0, true
	}
	return max(state.pausedUntil.Sub(now), state.share.Wait(now)), !state.leaving
}

// shortestWait returns how long it takes until a server accepts a request that this node sends without a dispatcher, by
// what the servers said; ok is false if there is no server.
func (c *channel) shortestWait(now time.Time, r *grant.Request) (shortest time.Duration, ok bool) {
	for _, s := range c.client.config.Registry.Servers(c.service) {
		if !s.Usable(now) || slices.Contains(r.Exclude, s.Instance) {
			continue
		}
		if wait, ever := c.serverWait(now, s); ever && (!ok || wait < shortest) {
			shortest, ok = wait, true
		}
	}
	return shortest, ok
}

// countRequest counts a request that this node sends to the server without a dispatcher.
func (c *channel) countRequest(now time.Time, instance string) {
	if state := c.serverStates[instance]; state != nil {
		state.share.Spend(now)
	}
}

// forgetEndedStates drops what no longer applies, and what former processes said.
func (c *channel) forgetEndedStates(now time.Time) {
	c.statesCheckedAt = now
	if len(c.serverStates) == 0 {
		return
	}
	incarnations := map[string]uint64{}
	for _, s := range c.client.config.Registry.Servers(c.service) {
		incarnations[s.Instance] = s.Incarnation
	}
	maps.DeleteFunc(c.serverStates, func(instance string, state *serverState) bool {
		current, listed := incarnations[instance]
		return !state.applies(now) || listed && current != state.incarnation
	})
}

// signalsToProto lists what servers said, as far as it applies, for a new dispatcher. It forgets the rest.
func (c *channel) signalsToProto(now time.Time) (signals []*dispatchpb.ServerSignals) {
	c.forgetEndedStates(now)
	for instance, state := range c.serverStates {
		signals = append(signals, &dispatchpb.ServerSignals{
			Instance: instance, Incarnation: state.incarnation, Draining: state.leaving,
			RateLimited: state.rateLimited, Rate: state.rate, PauseLeftMs: max(state.pausedUntil.Sub(now).Milliseconds(), 0),
			AgeMs: now.Sub(state.heardAt).Milliseconds(),
		})
	}
	return signals
}
