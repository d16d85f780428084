package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	recoveryPollInterval = 100 * time.Millisecond
	probeDeadline        = 2 * time.Second
	maxConcurrentProbes  = 16
	// finalKeyCount is how many keys that have a response are sent again at the end.
	finalKeyCount = 60
)

// checkRecovery checks that within 10 s after the last fault all control replicas vote, all nodes are ready
// and list every stand-in as usable, and every route is served through every entry host.
func (e *environment) checkRecovery(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	e.network.HealAll()
	e.recorder.recordEvent("all faults ended")
	begin := time.Now()
	unrecovered := ""
	for round := 0; time.Since(begin) < maxRecoveryTime; round++ {
		if unrecovered = e.findUnrecovered(ctx, round); unrecovered == "" {
			took := time.Since(begin)
			if took > maxRecoveryTime {
				break
			}
			e.recorder.recordEvent("everything is served again after %v", took.Round(time.Millisecond))
			e.mu.Lock()
			e.counts.Recovery = took
			e.mu.Unlock()
			return
		}
		if !pause(ctx, recoveryPollInterval) {
			return
		}
	}
	e.recorder.reportFinding(newFinding(CheckRecovery, "%v after the last fault: %s", maxRecoveryTime, unrecovered))
}

// findUnrecovered describes a part of the fleet that has not recovered, or returns "".
func (e *environment) findUnrecovered(ctx context.Context, round int) string {
	for _, h := range e.fleet.Controls {
		p := h.Process()
		if p == nil {
			return h.ID + " does not run"
		}
		if s := p.Control().Replica.Status(); s.State != agreement.Voting {
			return fmt.Sprintf("%s is %s and not voting: %s", h.ID, s.State, s.Reason)
		}
	}
	for _, h := range e.fleet.Nodes {
		if p := h.Process(); p == nil || !p.Node().Store.Ready() {
			return h.ID + " is not ready"
		}
		if unregistered := e.findUnregistered(h.Process().Node().Membership); unregistered != "" {
			return h.ID + " knows no ready " + unregistered
		}
	}
	return e.probeRoutes(ctx, round)
}

// findUnregistered names a stand-in that the registry does not list as usable, or returns "".
func (e *environment) findUnregistered(registry backend.Registry) string {
	for service, servers := range e.fleet.Backends {
		usable := map[string]bool{}
		for _, s := range registry.Servers(service) {
			usable[s.Instance] = s.Usable(time.Now())
		}
		for _, s := range servers {
			if !usable[s.Instance()] {
				return s.Instance()
			}
		}
	}
	return ""
}

// probeRoutes sends a request for every route through every entry host and describes one that is not served.
func (e *environment) probeRoutes(ctx context.Context, round int) string {
	var mu sync.Mutex
	unserved := ""
	var running sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for i, h := range e.fleet.Nodes {
		for k, r := range e.user.Routes {
			running.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				o := e.probeRoute(ctx, e.entryAddress(i), fmt.Sprintf("%d-probe-%d-%d-%d", e.options.Seed, round, i, k), r)
				if !o.OK() {
					mu.Lock()
					defer mu.Unlock()
					unserved = fmt.Sprintf("%s through %s: status %d, kind %q, error %v", r.GetId(), h.ID, o.Status, o.Kind, o.Err)
				}
			})
		}
	}
	running.Wait()
	return unserved
}

func (e *environment) probeRoute(ctx context.Context, entry, id string, r *configpb.Route) load.Outcome {
	if r.GetIdempotent() {
		request := load.Request{ID: id, Method: http.MethodGet, Path: r.GetPathPrefix(), Deadline: probeDeadline}
		o := load.Send(ctx, e.client, entry, request)
		e.checkOutcome(o)
		return o
	}
	o := newOperation(id)
	e.outcomes.registerKey(o.key)
	return e.sendKeyed(ctx, entry, o.request(o.body), maxDeadline)
}

// runFinalChecks runs after all other work has ended. It resends completed keys, checks the final document
// and audits the logs of the stand-ins once more.
func (e *environment) runFinalChecks(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	e.resendCompletedKeys(ctx)
	e.recorder.reportFinding(e.checkFinalChanges(ctx))
	logs := e.serverLogs()
	e.recorder.reportFinding(e.outcomes.auditLogs(logs))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range logs {
		e.counts.Runs += l.Total.Started
	}
}

// resendCompletedKeys resends keys that have a response, with the original and with a different body.
func (e *environment) resendCompletedKeys(ctx context.Context) {
	random := rand.New(rand.NewPCG(e.options.Seed, 300))
	for _, key := range e.outcomes.sampleKeys(finalKeyCount) {
		o := newOperation(key)
		o.sent = finalIDOffset
		e.sendKeyed(ctx, e.entryAddress(random.IntN(nodeCount)), o.request(o.body), maxDeadline)
		e.recorder.reportFinding(e.awaitKeyReuseRefusal(ctx, e.entryAddress(random.IntN(nodeCount)), o))
	}
}

// finalIDOffset keeps the request ids of the final resends distinct from the earlier ones.
const finalIDOffset = 1000

// awaitKeyReuseRefusal sends the key with a different body until it is refused as key-reuse. It returns a
// finding if that takes longer than 10 s.
func (e *environment) awaitKeyReuseRefusal(ctx context.Context, entry string, o *operation) *finding {
	last := load.Outcome{}
	for begin := time.Now(); time.Since(begin) < maxRecoveryTime; {
		last = e.sendAltered(ctx, entry, o)
		if last.Kind == problem.KeyReuse || !pause(ctx, recoveryPollInterval) {
			return nil
		}
	}
	return newFinding(CheckKeyReuse, "key %s with another body is not refused as key-reuse through %s within %v: kind %q, error %v", o.key, entry, maxRecoveryTime, last.Kind, last.Err)
}

// checkFinalChanges checks that the final document contains all accepted changes and is in force on every
// node.
func (e *environment) checkFinalChanges(ctx context.Context) *finding {
	e.collectHistory(ctx)
	document, err := e.fleet.Operator.Get(ctx)
	if err != nil {
		return newFinding(CheckRecovery, "the final document cannot be read: %v", err)
	}
	if f := e.changes.checkFinal(e.firstRevision, document); f != nil {
		return f
	}
	for begin := time.Now(); ; {
		stale := e.findStaleNode(document.GetRevision())
		if stale == "" {
			return nil
		}
		if time.Since(begin) > maxRecoveryTime {
			return newFinding(CheckAcceptedChange, "%v after the last change: %s", maxRecoveryTime, stale)
		}
		if !pause(ctx, recoveryPollInterval) {
			return nil
		}
	}
}

func (e *environment) findStaleNode(revision uint64) string {
	for _, h := range e.fleet.Nodes {
		if got := h.Process().Node().Store.Revision(); got != revision {
			return fmt.Sprintf("%s has revision %d in force and not %d", h.ID, got, revision)
		}
	}
	return ""
}
