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
	slowFactor        = 10
	flapPeriod        = 500 * time.Millisecond
	faultyShare       = 0.3
	crashRequestPause = 100 * time.Millisecond
	maxCrashRequests  = 12
	// restartTimeout bounds the start of one host.
	restartTimeout = 20 * time.Second
)

// injectFaults injects the faults drawn from the seed and returns when all have ended and been repaired.
func (e *environment) injectFaults(ctx context.Context) {
	schedule := DrawSchedule(e.options.Seed, e.options.FaultDuration, e.fleetSize())
	var running sync.WaitGroup
	for _, f := range schedule {
		running.Go(func() {
			if !pause(ctx, f.Start-time.Since(e.recorder.start)) {
				return
			}
			e.mu.Lock()
			e.counts.Faults++
			e.counts.ByKind[f.Kind]++
			e.mu.Unlock()
			e.inject(ctx, f)
		})
	}
	running.Wait()
}

func (e *environment) fleetSize() FleetSize {
	return FleetSize{Nodes: nodeCount, Controls: controlCount, DataCentres: len(e.user.DataCentres), Backends: instanceCounts}
}

// inject injects one fault, waits for its duration, and ends it.
func (e *environment) inject(ctx context.Context, f Fault) {
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
		e.recordStart(f, e.server(f).Instance())
		e.server(f).Crash()
	case Drain, Vanish:
		e.checkNoNewWork(ctx, f)
	case CrashRequest:
		e.sendCrashRequests(ctx, f)
	case Flood:
		e.flood(ctx, f)
	default:
		e.injectServerFault(ctx, f)
	}
}

func (e *environment) recordStart(f Fault, target string) {
	e.recorder.recordEvent("%s %s for %v", f.Kind, target, f.Duration)
}

func (e *environment) recordEnd(f Fault, target string) {
	e.recorder.recordEvent("%s %s ended", f.Kind, target)
}

func (e *environment) restart(ctx context.Context, f Fault, h *localfleet.Host, loseDisk bool) {
	e.recordStart(f, h.ID)
	e.mu.Lock()
	e.down[h.ID]++
	e.mu.Unlock()
	h.Kill()
	if loseDisk {
		if err := h.LoseDisk(); err != nil {
			e.recorder.reportFinding(newFinding(CheckEvidence, "the disk of %s could not be removed: %v", h.ID, err))
		}
	}
	pause(ctx, f.Duration)
	e.mu.Lock()
	e.down[h.ID]--
	up := e.down[h.ID] == 0
	e.mu.Unlock()
	if up && ctx.Err() == nil {
		e.startHost(ctx, h)
	}
	e.recordEnd(f, h.ID)
}

func (e *environment) startHost(ctx context.Context, h *localfleet.Host) {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	if err := h.Start(ctx); err != nil {
		e.recorder.reportFinding(newFinding(CheckRecovery, "%s could not be started again: %v", h.ID, err))
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
	e.recorder.recordEvent("%s: no node dispatches %s", f.Kind, e.service(f.Service))
}

func (e *environment) freeze(ctx context.Context, f Fault, h *localfleet.Host) {
	e.recordStart(f, h.ID)
	e.network.Freeze(h.ID, true)
	pause(ctx, f.Duration)
	e.network.Freeze(h.ID, false)
	e.recordEnd(f, h.ID)
}

func (e *environment) cutHosts(ctx context.Context, f Fault) {
	from, to := e.hosts()[f.Target].ID, e.hosts()[f.Other].ID
	e.recordStart(f, from+" to "+to)
	e.network.Cut(from, to)
	pause(ctx, f.Duration)
	e.network.Heal(from, to)
	e.recordEnd(f, from+" to "+to)
}

// cutDataCentre blocks all traffic that the hosts and stand-ins of a data centre send to any others.
func (e *environment) cutDataCentre(ctx context.Context, f Fault) {
	name := e.user.DataCentres[f.Target]
	inside, outside := e.splitByDataCentre(name)
	e.recordStart(f, "out of "+name)
	for _, from := range inside {
		for _, to := range outside {
			e.network.Cut(from, to)
		}
	}
	pause(ctx, f.Duration)
	for _, from := range inside {
		for _, to := range outside {
			e.network.Heal(from, to)
		}
	}
	e.recordEnd(f, "out of "+name)
}

func (e *environment) splitByDataCentre(dataCentre string) (inside, outside []string) {
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

// injectServerFault sets the fault of a stand-in for the duration of f.
func (e *environment) injectServerFault(ctx context.Context, f Fault) {
	kinds := map[Kind]standin.Faults{
		Stall:         {StallWork: true},
		Slow:          {SlowFactor: slowFactor},
		Flap:          {FlapMS: flapPeriod.Milliseconds()},
		Refuse:        {RefuseInbound: true},
		DropResponses: {DropResponses: true},
		Errors:        {ErrorShare: faultyShare},
		Truncate:      {TruncateShare: faultyShare},
	}
	s := e.server(f)
	e.recordStart(f, s.Instance())
	s.SetFaults(kinds[f.Kind])
	pause(ctx, f.Duration)
	s.SetFaults(standin.Faults{})
	e.recordEnd(f, s.Instance())
}

// checkNoNewWork drains a stand-in or stops its announcements, and checks that it receives no new work after
// 3 s.
func (e *environment) checkNoNewWork(ctx context.Context, f Fault) {
	s := e.server(f)
	e.recordStart(f, s.Instance())
	if f.Kind == Drain {
		// Drain sets the state immediately and then waits for accepted work. The cancelled context skips this
		// wait.
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_ = s.Drain(ended)
		defer e.restartDrained(s)
	} else {
		s.SetFaults(standin.Faults{RefuseOutbound: true})
		defer s.SetFaults(standin.Faults{})
	}
	if !pause(ctx, noNewWorkAfter) {
		return
	}
	arrivals := s.Arrivals()
	for watched := time.Now(); time.Since(watched) < f.Duration-noNewWorkAfter; {
		e.recorder.reportFinding(e.findNewWork(f, s, arrivals))
		if !pause(ctx, sampleInterval) {
			return
		}
	}
	e.mu.Lock()
	e.counts.NoNewWorkChecks++
	e.mu.Unlock()
	e.recordEnd(f, s.Instance())
}

// restartDrained restarts a drained stand-in, since a draining incarnation never receives work again.
func (e *environment) restartDrained(s *standin.Server) {
	s.Resume()
	s.Crash()
}

func (e *environment) findNewWork(f Fault, s *standin.Server, before int) *finding {
	if now := s.Arrivals(); now != before {
		return newFinding(CheckNoNewWork, "%s got %d requests more than %v after %s began", s.Instance(), now-before, noNewWorkAfter, f.Kind)
	}
	return nil
}

// sendCrashRequests repeatedly sends a request that crashes its server. It rotates through the entry hosts.
func (e *environment) sendCrashRequests(ctx context.Context, f Fault) {
	path := fmt.Sprintf("%s/crash-%d", e.idempotentPath(f.Service), f.Start.Milliseconds())
	e.recordStart(f, path)
	deadline := time.Now().Add(f.Duration)
	for i := 0; i < maxCrashRequests && time.Now().Before(deadline); i++ {
		id := fmt.Sprintf("%d-crash-%d-%d", e.options.Seed, f.Start.Milliseconds(), i)
		r := load.Request{ID: id, Method: http.MethodGet, Path: path, Deadline: time.Second, Crash: true}
		e.checkOutcome(load.Send(ctx, e.client, e.entryAddress(i), r))
		if !pause(ctx, crashRequestPause) {
			return
		}
	}
	e.recordEnd(f, path)
}

func (e *environment) idempotentPath(service int) string {
	for _, r := range e.user.Routes {
		if r.GetIdempotent() && r.GetService() == e.service(service) {
			return r.GetPathPrefix()
		}
	}
	return ""
}

func (e *environment) entryAddress(i int) string {
	return e.fleet.Nodes[i%len(e.fleet.Nodes)].Settings.Entry.Address
}

// flood sends the least urgent work at a multiple of the capacity of the service, then the most urgent work.
func (e *environment) flood(ctx context.Context, f Fault) {
	service := e.service(f.Service)
	rate := floodFactor * float64(instanceCounts[f.Service]*slotsPerServer) / floodWork.Seconds()
	for _, urgent := range []bool{false, true} {
		name := floodName(service, urgent)
		e.recordStart(f, name)
		e.load.SetRate(name, rate)
		pause(ctx, f.Duration/2)
		e.load.SetRate(name, 0)
	}
	e.recordEnd(f, service)
}
