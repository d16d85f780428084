package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

const (
	slowFactor   = 10
	flapPeriod   = 500 * time.Millisecond
	badShare     = 0.3
	resendPause  = 100 * time.Millisecond
	crashResends = 12
	// restartTimeout bounds the start of one host.
	restartTimeout = 20 * time.Second
)

// faults brings the faults of the seed about and returns when all have ended and been repaired.
func (e *environment) faults(ctx context.Context) {
	schedule := Draw(e.options.Seed, e.options.For, e.shape())
	var running sync.WaitGroup
	for _, f := range schedule {
		running.Go(func() {
			if !pause(ctx, f.At-time.Since(e.judge.began)) {
				return
			}
			e.mu.Lock()
			e.counts.Faults++
			e.counts.ByKind[f.Kind]++
			e.mu.Unlock()
			e.strike(ctx, f)
		})
	}
	running.Wait()
}

func (e *environment) shape() Shape {
	return Shape{Nodes: nodeCount, Controls: controlCount, DataCentres: len(e.user.DataCentres), Backends: instances}
}

// strike brings one fault about, waits, and ends it.
func (e *environment) strike(ctx context.Context, f Fault) {
	switch f.Kind {
	case KillNode:
		e.restart(ctx, f, e.fleet.Nodes[f.Target], false)
	case StopNode:
		e.stopNode(ctx, f, e.fleet.Nodes[f.Target])
	case KillControl:
		e.restart(ctx, f, e.fleet.Controls[f.Target], false)
	case LoseDisk:
		e.restart(ctx, f, e.fleet.Controls[f.Target], true)
	case KillDispatcher:
		e.killDispatcher(ctx, f)
	case FreezeNode:
		e.freeze(ctx, f, e.fleet.Nodes[f.Target])
	case FreezeControl:
		e.freeze(ctx, f, e.fleet.Controls[f.Target])
	case CutHosts:
		e.cutHosts(ctx, f)
	case CutDataCentre:
		e.cutDataCentre(ctx, f)
	case Crash:
		e.note(f, e.server(f).Instance())
		e.server(f).Crash()
	case Drain, Vanish:
		e.quiet(ctx, f)
	case CrashRequest:
		e.crashRequest(ctx, f)
	case Flood:
		e.flood(ctx, f)
	default:
		e.disturb(ctx, f)
	}
}

func (e *environment) note(f Fault, target string) {
	e.judge.note("%s %s for %v", f.Kind, target, f.For)
}

func (e *environment) ended(f Fault, target string) {
	e.judge.note("%s %s ended", f.Kind, target)
}

func (e *environment) restart(ctx context.Context, f Fault, h *localfleet.Host, loseDisk bool) {
	e.note(f, h.ID)
	e.mu.Lock()
	e.down[h.ID]++
	e.mu.Unlock()
	h.Kill()
	if loseDisk {
		if err := h.LoseDisk(); err != nil {
			e.judge.report(found(CheckProof, "the disk of %s could not be removed: %v", h.ID, err))
		}
	}
	pause(ctx, f.For)
	e.mu.Lock()
	e.down[h.ID]--
	up := e.down[h.ID] == 0
	e.mu.Unlock()
	if up && ctx.Err() == nil {
		e.start(ctx, h)
	}
	e.ended(f, h.ID)
}

func (e *environment) start(ctx context.Context, h *localfleet.Host) {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	if err := h.Start(ctx); err != nil {
		e.judge.report(found(CheckRecovery, "%s could not be started again: %v", h.ID, err))
	}
}

// killDispatcher kills the node that dispatches the service.
func (e *environment) killDispatcher(ctx context.Context, f Fault) {
	for _, h := range e.fleet.Nodes {
		p := h.Process()
		if p == nil {
			continue
		}
		if _, _, ok := p.Node().Dispatcher.View(e.service(f.Service)); ok {
			e.restart(ctx, f, h, false)
			return
		}
	}
	e.judge.note("%s: no node dispatches %s", f.Kind, e.service(f.Service))
}

func (e *environment) freeze(ctx context.Context, f Fault, h *localfleet.Host) {
	e.note(f, h.ID)
	e.network.Freeze(h.ID, true)
	pause(ctx, f.For)
	e.network.Freeze(h.ID, false)
	e.ended(f, h.ID)
}

func (e *environment) cutHosts(ctx context.Context, f Fault) {
	from, to := e.hosts()[f.Target].ID, e.hosts()[f.Other].ID
	e.note(f, from+" to "+to)
	e.network.Cut(from, to)
	pause(ctx, f.For)
	e.network.Heal(from, to)
	e.ended(f, from+" to "+to)
}

// cutDataCentre stops what the hosts and stand-ins of a data centre send to all others.
func (e *environment) cutDataCentre(ctx context.Context, f Fault) {
	name := e.user.DataCentres[f.Target]
	inside, outside := e.places(name)
	e.note(f, "out of "+name)
	for _, from := range inside {
		for _, to := range outside {
			e.network.Cut(from, to)
		}
	}
	pause(ctx, f.For)
	for _, from := range inside {
		for _, to := range outside {
			e.network.Heal(from, to)
		}
	}
	e.ended(f, "out of "+name)
}

func (e *environment) places(dataCentre string) (inside, outside []string) {
	add := func(id, where string) {
		if where == dataCentre {
			inside = append(inside, id)
			return
		}
		outside = append(outside, id)
	}
	for _, h := range e.hosts() {
		add(h.ID, h.DataCentre)
	}
	for _, servers := range e.fleet.Backends {
		for _, s := range servers {
			add(s.Instance(), s.Server().DataCentre)
		}
	}
	return inside, outside
}

// disturb sets the faults of a stand-in.
func (e *environment) disturb(ctx context.Context, f Fault) {
	kinds := map[Kind]standin.Faults{
		Stall:       {StallWork: true},
		Slow:        {SlowFactor: slowFactor},
		Flap:        {FlapMS: flapPeriod.Milliseconds()},
		Refuse:      {RefuseInbound: true},
		DropAnswers: {DropResponses: true},
		Errors:      {ErrorShare: badShare},
		Truncate:    {TruncateShare: badShare},
	}
	s := e.server(f)
	e.note(f, s.Instance())
	s.SetFaults(kinds[f.Kind])
	pause(ctx, f.For)
	s.SetFaults(standin.Faults{})
	e.ended(f, s.Instance())
}

// quiet drains a stand-in or stops its announcements, and checks that it gets no new work after 3 s.
func (e *environment) quiet(ctx context.Context, f Fault) {
	s := e.server(f)
	e.note(f, s.Instance())
	if f.Kind == Drain {
		// Drain sets the state at once and waits for accepted work only as long as its context allows.
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_ = s.Drain(ended)
		defer e.returnDrained(s)
	} else {
		s.SetFaults(standin.Faults{RefuseOutbound: true})
		defer s.SetFaults(standin.Faults{})
	}
	if !pause(ctx, noNewWorkAfter) {
		return
	}
	arrivals := s.Arrivals()
	for watched := time.Now(); time.Since(watched) < f.For-noNewWorkAfter; {
		e.judge.report(e.newWork(f, s, arrivals))
		if !pause(ctx, sampleEvery) {
			return
		}
	}
	e.mu.Lock()
	e.counts.Quiet++
	e.mu.Unlock()
	e.ended(f, s.Instance())
}

// returnDrained starts a drained stand-in anew, since an incarnation that drains never gets work again.
func (e *environment) returnDrained(s *standin.Server) {
	s.Resume()
	s.Crash()
}

func (e *environment) newWork(f Fault, s *standin.Server, before int) *finding {
	if now := s.Arrivals(); now != before {
		return found(CheckQuiet, "%s got %d requests more than %v after %s began", s.Instance(), now-before, noNewWorkAfter, f.Kind)
	}
	return nil
}

// crashRequest sends one request that crashes its server again and again through all entry hosts.
func (e *environment) crashRequest(ctx context.Context, f Fault) {
	path := fmt.Sprintf("%s/crash-%d", e.idempotentPath(f.Service), f.At.Milliseconds())
	e.note(f, path)
	deadline := time.Now().Add(f.For)
	for i := 0; i < crashResends && time.Now().Before(deadline); i++ {
		id := fmt.Sprintf("%d-crash-%d-%d", e.options.Seed, f.At.Milliseconds(), i)
		r := load.Request{ID: id, Method: http.MethodGet, Path: path, Deadline: time.Second, Crash: true}
		e.sink(load.Send(ctx, e.client, e.entry(i), r))
		if !pause(ctx, resendPause) {
			return
		}
	}
	e.ended(f, path)
}

func (e *environment) idempotentPath(service int) string {
	for _, r := range e.user.Routes {
		if r.GetIdempotent() && r.GetService() == e.service(service) {
			return r.GetPathPrefix()
		}
	}
	return ""
}

func (e *environment) entry(i int) string {
	return e.fleet.Nodes[i%len(e.fleet.Nodes)].Settings.Entry.Address
}

// flood sends the least urgent work far beyond the capacity of the service, then the most urgent.
func (e *environment) flood(ctx context.Context, f Fault) {
	service := e.service(f.Service)
	rate := floodFactor * float64(instances[f.Service]*slotsEach) / floodWork.Seconds()
	for _, urgent := range []bool{false, true} {
		name := floodName(service, urgent)
		e.note(f, name)
		e.load.SetRate(name, rate)
		pause(ctx, f.For/2)
		e.load.SetRate(name, 0)
	}
	e.ended(f, service)
}
