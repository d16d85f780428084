package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	recoveryPoll  = 100 * time.Millisecond
	probeDeadline = 2 * time.Second
	probesAtOnce  = 16
	// finalKeys is how many answered keys are sent again at the end.
	finalKeys = 60
)

// recover checks that the fleet serves everything again within 10 s after the last fault.
func (e *environment) recover(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	e.network.HealAll()
	e.judge.note("all faults ended")
	begin := time.Now()
	missing := ""
	for round := 0; time.Since(begin) < recoveryBound; round++ {
		if missing = e.missing(ctx, round); missing == "" {
			took := time.Since(begin)
			if took > recoveryBound {
				break
			}
			e.judge.note("everything is served again after %v", took.Round(time.Millisecond))
			e.mu.Lock()
			e.counts.Recovery = took
			e.mu.Unlock()
			return
		}
		if !pause(ctx, recoveryPoll) {
			return
		}
	}
	e.judge.report(found(CheckRecovery, "%v after the last fault: %s", recoveryBound, missing))
}

// missing names something that is not as it should be, or "".
func (e *environment) missing(ctx context.Context, round int) string {
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
	}
	return e.probe(ctx, round)
}

// probe sends a request for every route through every entry host and names one that is not served.
func (e *environment) probe(ctx context.Context, round int) string {
	var mu sync.Mutex
	missing := ""
	var running sync.WaitGroup
	slots := make(chan struct{}, probesAtOnce)
	for i, h := range e.fleet.Nodes {
		for k, r := range e.user.Routes {
			running.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				o := e.probeRoute(ctx, e.entry(i), fmt.Sprintf("%d-probe-%d-%d-%d", e.options.Seed, round, i, k), r)
				if !o.OK() {
					mu.Lock()
					defer mu.Unlock()
					missing = fmt.Sprintf("%s through %s: status %d, kind %q, error %v", r.GetId(), h.ID, o.Status, o.Kind, o.Err)
				}
			})
		}
	}
	running.Wait()
	return missing
}

func (e *environment) probeRoute(ctx context.Context, entry, id string, r *configpb.Route) load.Outcome {
	if r.GetIdempotent() {
		request := load.Request{ID: id, Method: http.MethodGet, Path: r.GetPathPrefix(), Deadline: probeDeadline}
		o := load.Send(ctx, e.client, entry, request)
		e.sink(o)
		return o
	}
	o := newOperation(id)
	e.promises.begin(o.key)
	return e.send(ctx, entry, o.request(o.body), longestDeadline)
}

// finish compares everything once more after all work has ended.
func (e *environment) finish(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	e.resend(ctx)
	e.judge.report(e.finalChanges(ctx))
	logs := e.logs()
	e.judge.report(e.promises.audit(logs))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range logs {
		e.counts.Runs += l.Total.Started
	}
}

// resend sends answered keys again, with their own and with other bodies.
func (e *environment) resend(ctx context.Context) {
	random := rand.New(rand.NewPCG(e.options.Seed, 300))
	for _, key := range e.promises.sample(finalKeys) {
		o := newOperation(key)
		o.sent = finalIDs
		e.send(ctx, e.entry(random.IntN(nodeCount)), o.request(o.body), longestDeadline)
		e.judge.report(e.insist(ctx, e.entry(random.IntN(nodeCount)), o))
	}
}

// finalIDs keeps the ids of the last resends apart from the earlier ones.
const finalIDs = 1000

// insist sends the key with another body until it is refused as key-reuse, for at most 10 s.
func (e *environment) insist(ctx context.Context, entry string, o *operation) *finding {
	last := load.Outcome{}
	for begin := time.Now(); time.Since(begin) < recoveryBound; {
		last = e.sendAltered(ctx, entry, o)
		if last.Kind == problem.KeyReuse || !pause(ctx, recoveryPoll) {
			return nil
		}
	}
	return found(CheckKeyReuse, "key %s with another body is not refused as key-reuse through %s within %v: kind %q, error %v", o.key, entry, recoveryBound, last.Kind, last.Err)
}

// finalChanges checks that the final document, in force on every node, holds all accepted changes.
func (e *environment) finalChanges(ctx context.Context) *finding {
	e.learn(ctx)
	document, err := e.fleet.Operator.Get(ctx)
	if err != nil {
		return found(CheckRecovery, "the final document cannot be read: %v", err)
	}
	if f := e.changes.final(e.firstRevision, document); f != nil {
		return f
	}
	for begin := time.Now(); ; {
		behind := e.behind(document.GetRevision())
		if behind == "" {
			return nil
		}
		if time.Since(begin) > recoveryBound {
			return found(CheckAccepted, "%v after the last change: %s", recoveryBound, behind)
		}
		if !pause(ctx, recoveryPoll) {
			return nil
		}
	}
}

func (e *environment) behind(revision uint64) string {
	for _, h := range e.fleet.Nodes {
		if got := h.Process().Node().Store.Revision(); got != revision {
			return fmt.Sprintf("%s has revision %d in force and not %d", h.ID, got, revision)
		}
	}
	return ""
}
