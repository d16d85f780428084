package election

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// ErrUnknownService means that this node's configuration does not have the service.
var ErrUnknownService = errors.New("the service is not configured on this node; check which revision is in force")

// Vote answers a request for a vote, a question or an announcement. Errors: ErrUnknownService.
func (r *Runner) Vote(_ context.Context, request *fleetpb.VoteRequest) (*fleetpb.VoteReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	c, ok := r.services[request.GetService()]
	if !ok {
		return nil, ErrUnknownService
	}
	if request.GetAnnounce() {
		r.hear(c, request.GetCandidate(), request.GetTerm())
		c.voter.Confirm(request.GetCandidate(), request.GetTerm())
	}
	return r.vote(c, request), nil
}

// vote answers for this node's voter, or with what the node knows if it is no voter.
func (r *Runner) vote(c *contest, request *fleetpb.VoteRequest) *fleetpb.VoteReply {
	now := time.Now()
	if c.votes && !request.GetAnnounce() {
		return c.voter.Vote(now, request)
	}
	reply := &fleetpb.VoteReply{HostsRevision: c.groups.Revision}
	if h, ok := r.dispatcher(c, now); ok {
		reply.Holder = h.Node
		reply.Term = h.Term
		reply.Holding = true
	}
	return reply
}

// learn takes in who holds the lease. A candidate that has only got votes so far may fail, and its term
// may be above that of the holder, who would not be believed afterwards.
func (r *Runner) learn(c *contest, reply *fleetpb.VoteReply) {
	if reply.GetHolding() {
		r.hear(c, reply.GetHolder(), reply.GetTerm())
	}
}

// hear records word of a dispatcher. Older terms are refused while newer word is fresh.
func (r *Runner) hear(c *contest, node string, term uint64) {
	now := time.Now()
	if _, listed := r.addresses[node]; !listed || term == 0 || term >= maxTerm {
		return
	}
	fresh := now.Sub(c.known.confirmed) < confirmedFor
	if fresh && term < c.known.term {
		return
	}
	c.known = word{node: node, term: term, confirmed: now}
}

// DispatcherResponded takes the word of a dispatcher that answers on its stream. It implements leadership.Observer.
func (r *Runner) DispatcherResponded(service, node string, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.services[service]
	if !ok {
		return
	}
	r.hear(c, node, term)
	if c.known.node == node && c.known.term == term {
		c.nextPoll = time.Now().Add(jitter(pollServed))
	}
}

// DispatcherStreamEnded makes this node ask a voter soon. It implements leadership.Observer.
func (r *Runner) DispatcherStreamEnded(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.services[service]
	if !ok {
		return
	}
	if soon := time.Now().Add(jitter(pollUnknown)); c.nextPoll.After(soon) {
		c.nextPoll = soon
	}
}

// Held returns this node's lease on the service; ok is false if it holds none or if it has run out.
func (r *Runner) Held(service string) (l leadership.Lease, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.services[service]
	if !ok {
		return leadership.Lease{}, false
	}
	return c.candidate.Held(time.Now())
}

// Dispatcher returns the dispatcher as far as this node knows; ok is false if it knows none.
func (r *Runner) Dispatcher(service string) (h leadership.Holder, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.services[service]
	if !ok {
		return leadership.Holder{}, false
	}
	return r.dispatcher(c, time.Now())
}

func (r *Runner) dispatcher(c *contest, now time.Time) (h leadership.Holder, ok bool) {
	if lease, held := c.candidate.Held(now); held {
		return r.holder(r.o.ID, lease.Term), true
	}
	if node, term, ok := c.voter.Dispatcher(now); ok && term >= c.known.term && node != r.o.ID {
		return r.holder(node, term), true
	}
	if c.known.node != "" && c.known.node != r.o.ID && now.Sub(c.known.confirmed) < confirmedFor {
		return r.holder(c.known.node, c.known.term), true
	}
	return leadership.Holder{}, false
}

func (r *Runner) holder(node string, term uint64) leadership.Holder {
	return leadership.Holder{Node: node, Address: r.addresses[node], Term: term}
}

// Resign gives all leases back and ends the candidacies of this process. Its voters go on. It
// returns when the voters were told or the context ends.
func (r *Runner) Resign(ctx context.Context) {
	r.mu.Lock()
	r.resigned = true
	for _, c := range r.services {
		r.send(ctx, c, c.candidate.Resign(time.Now()))
	}
	r.mu.Unlock()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for len(r.calls) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
