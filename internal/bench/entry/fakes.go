package entry

import (
	"context"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/route"
)

const (
	service = "bench"
	// grantTime is how long a grant is valid, as from a dispatcher.
	grantTime = 250 * time.Millisecond
	// hedgeDelay is far above the latencies of the bench, so that hedges are prepared and never sent.
	hedgeDelay = time.Second
)

// routes maps everything to one idempotent route.
type routes struct{ urgent bool }

func (r routes) Current() route.Snapshot { return r }
func (routes) Revision() uint64          { return 1 }
func (routes) HasService(string) bool    { return true }
func (routes) Team(string) route.Team {
	return route.Team{ID: "default", Weight: 1, InFlightQuota: 1 << 16}
}

func (r routes) Match(_, _, _ string) (route.Match, bool) {
	m := route.Match{Route: "bench", Service: service, Priority: priority.Normal, Idempotent: true, DefaultDeadline: requestTimeout}
	if r.urgent {
		m.Priority = priority.Urgent
	}
	return m, true
}

// grants grants the same server at once.
type grants struct{ address string }

type grantOf struct {
	server  grant.Server
	expires time.Time
}

func (g *grants) HedgeDelay(string) time.Duration { return hedgeDelay }

func (g *grants) Acquire(context.Context, grant.Request) (grant.Grant, error) {
	return &grantOf{
		server:  grant.Server{Service: service, Instance: "bench", Address: g.address, DataCentre: "a"},
		expires: time.Now().Add(grantTime),
	}, nil
}

func (g *grantOf) Server() grant.Server      { return g.server }
func (g *grantOf) Expires() time.Time        { return g.expires }
func (g *grantOf) FirstByte()                {}
func (g *grantOf) Advised() <-chan struct{}  { return nil }
func (g *grantOf) Complete(grant.Completion) {}

// noClaims refuses claims; the bench sends idempotent work only.
type noClaims struct{}

func (noClaims) Claim(context.Context, attempt.Operation) (attempt.Result, error) {
	return attempt.Result{}, problem.New(problem.RecordsUnavailable, problem.NotRun, "")
}

// noBackends takes no announcements.
type noBackends struct{}

func (noBackends) Servers(string) []backend.Server                { return nil }
func (noBackends) Announce(context.Context, backend.Server) error { return nil }
func (noBackends) MarkDraining(string, string)                    {}
