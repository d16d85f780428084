package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
)

const (
	// stopTimeout bounds one graceful stop.
	stopTimeout = 30 * time.Second
	// Requests are sent to a leaving host while callers may still know its address, that is, for the
	// endpoints' time to live.
	leavingRequestCount = 5
	leavingPause        = 200 * time.Millisecond
	// leavingWorkTime keeps these requests in flight while the host leaves.
	leavingWorkTime = time.Second
)

// stopNode stops a node gracefully, checks the requests that it has in flight, and starts it again.
func (e *environment) stopNode(ctx context.Context, f Fault, h *localfleet.Host) {
	if h.Process() == nil {
		e.recorder.recordEvent("%s: %s does not run", f.Kind, h.ID)
		return
	}
	e.recordStart(f, h.ID)
	var leaving sync.WaitGroup
	leaving.Go(func() { e.sendToLeavingHost(ctx, f, h) })
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := h.Stop(bounded); err != nil && ctx.Err() == nil {
		e.recorder.reportFinding(newFinding(CheckShutdown, "%s did not stop gracefully: %v", h.ID, err))
	}
	leaving.Wait()
	if ctx.Err() == nil {
		e.startHost(ctx, h)
	}
	e.recordEnd(f, h.ID)
}

// sendToLeavingHost sends slow requests over new connections. Each must receive a response or a refusal.
func (e *environment) sendToLeavingHost(ctx context.Context, f Fault, h *localfleet.Host) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := range leavingRequestCount {
		r := load.Request{
			ID: fmt.Sprintf("%d-leaving-%d-%d", e.options.Seed, f.Start.Milliseconds(), i), Method: http.MethodGet,
			Path: e.idempotentPath(f.Service), Deadline: maxDeadline, Work: leavingWorkTime,
		}
		running.Go(func() {
			client := load.NewClient(e.dialer)
			defer client.CloseIdleConnections()
			o := load.Send(ctx, client, h.Settings.Entry.Address, r)
			e.checkOutcome(o)
			if ctx.Err() == nil {
				e.recorder.reportFinding(findAborted(h.ID, o))
			}
		})
		if !pause(ctx, leavingPause) {
			return
		}
	}
}

// findAborted reports a request that received neither a complete response nor a refusal from a leaving host.
func findAborted(host string, o load.Outcome) *finding {
	if o.Err == nil {
		return nil
	}
	return newFinding(CheckShutdown, "request %s to %s, which shuts down gracefully, was cut: %v", o.ID, host, o.Err)
}
