package election

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// ErrUnknownService is returned for a service that is not in this node's configuration.
var ErrUnknownService = errors.New("the service is not configured on this node; check which revision is in force")

// Vote handles a vote request, a holder query or an announcement. Errors: ErrUnknownService.
func (r *Runner) Vote(ctx context.Context, request *fleetpb.VoteRequest) (*fleetpb.VoteReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Releases of votes outlive the call.
	r.refreshFleet(context.WithoutCancel(ctx))
	e, ok := r.services[request.GetService()]
	if !ok {
		return nil, ErrUnknownService
	}
	if request.GetAnnounce() {
		r.recordDispatcher(e, request.GetCandidate(), request.GetTerm())
		e.voter.ConfirmHolder(request.GetCandidate(), request.GetTerm())
	}
	return r.replyLocally(e, request), nil
}

// replyLocally returns the reply of this node's voter. If the node is not a voter, or the request is an
// announcement, the reply names the dispatcher that this node knows.
func (r *Runner) replyLocally(e *serviceElection, request *fleetpb.VoteRequest) *fleetpb.VoteReply {
	now := time.Now()
	if e.isVoter && !request.GetAnnounce() {
		return e.voter.Vote(now, request)
	}
	reply := &fleetpb.VoteReply{HostsRevision: e.groups.Revision}
	if h, ok := r.knownDispatcher(e, now); ok {
		reply.Holder = h.Node
		reply.Term = h.Term
		reply.Holding = true
	}
	return reply
}

// recordReply records the holder that a voter reported, if the holder has shown that it holds the lease. A
// candidate that only has votes so far may fail, and its term may be above that of the holder; if it were
// recorded, reports of the holder would be refused.
func (r *Runner) recordReply(e *serviceElection, reply *fleetpb.VoteReply) {
	if reply.GetHolding() {
		r.recordDispatcher(e, reply.GetHolder(), reply.GetTerm())
	}
}

// recordDispatcher records a report that the node is the dispatcher of the term. Reports of lower terms are
// refused until the last report expires.
func (r *Runner) recordDispatcher(e *serviceElection, node string, term uint64) {
	now := time.Now()
	if _, listed := r.addresses[node]; !listed || term == 0 || term >= maxTerm {
		return
	}
	fresh := now.Sub(e.lastReport.confirmedAt) < dispatcherExpiry
	if fresh && term < e.lastReport.term {
		return
	}
	e.lastReport = dispatcherReport{node: node, term: term, confirmedAt: now}
}

// DispatcherResponded records a response of the dispatcher on its stream and postpones the next query to a
// voter. It implements leadership.Observer.
func (r *Runner) DispatcherResponded(service, node string, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.services[service]
	if !ok {
		return
	}
	r.recordDispatcher(e, node, term)
	if e.lastReport.node == node && e.lastReport.term == term {
		e.nextPoll = time.Now().Add(jitter(pollIntervalConnected))
	}
}

// DispatcherStreamEnded moves the next query to a voter forward. It implements leadership.Observer.
func (r *Runner) DispatcherStreamEnded(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.services[service]
	if !ok {
		return
	}
	if soon := time.Now().Add(jitter(pollIntervalUnknown)); e.nextPoll.After(soon) {
		e.nextPoll = soon
	}
}

// Held returns this node's lease on the service; ok is false if it holds none or if it has expired.
func (r *Runner) Held(service string) (l leadership.Lease, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.services[service]
	if !ok {
		return leadership.Lease{}, false
	}
	return e.candidate.Held(time.Now())
}

// Dispatcher returns the dispatcher of the service that this node knows; ok is false if it knows none.
func (r *Runner) Dispatcher(service string) (h leadership.Holder, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.services[service]
	if !ok {
		return leadership.Holder{}, false
	}
	return r.knownDispatcher(e, time.Now())
}

func (r *Runner) knownDispatcher(e *serviceElection, now time.Time) (h leadership.Holder, ok bool) {
	if lease, held := e.candidate.Held(now); held {
		return r.newHolder(r.o.ID, lease.Term), true
	}
	if node, term, ok := e.voter.Dispatcher(now); ok && term >= e.lastReport.term && node != r.o.ID {
		return r.newHolder(node, term), true
	}
	if e.lastReport.node != "" && e.lastReport.node != r.o.ID && now.Sub(e.lastReport.confirmedAt) < dispatcherExpiry {
		return r.newHolder(e.lastReport.node, e.lastReport.term), true
	}
	return leadership.Holder{}, false
}

func (r *Runner) newHolder(node string, term uint64) leadership.Holder {
	return leadership.Holder{Node: node, Address: r.addresses[node], Term: term}
}

// Resign releases all leases and ends the candidacies of this process. Its voters continue to vote. Resign
// returns when no calls are in flight any more or the context ends.
func (r *Runner) Resign(ctx context.Context) {
	r.mu.Lock()
	r.resigned = true
	for _, e := range r.services {
		r.sendRequests(ctx, e, e.candidate.Resign(time.Now()))
	}
	r.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for len(r.callSlots) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
