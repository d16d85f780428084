package decisions

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/app"
	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/internal/bench/netem"
	"github.com/tarragonmux/tarragonmux/internal/bench/scenario"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/dispatch/baseline"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

const (
	startTimeout = time.Minute
	// sharedCountsDelay is the age of the counts that the shared baseline sees: one gossip interval of the
	// design.
	sharedCountsDelay = 500 * time.Millisecond
	callerCount       = 100
	// maxDeadline bounds the number of requests in flight. The process holds both ends of every connection
	// and would otherwise run out of file descriptors.
	maxDeadline = 2 * time.Second
	// floodWorkTime is the work time of a request during floods. It is longer than usual to lower the
	// rate that occupies every slot.
	floodWorkTime = 250 * time.Millisecond
	// settleTime is how long a load runs before a measurement, and how long the fleet has to recover after
	// a fault.
	settleTime = 2 * time.Second
)

// variant is one way to select a server for a request.
type variant struct {
	name   string
	grants func() app.GrantsFactory
}

var (
	variantDispatchers = variant{"dispatchers", func() app.GrantsFactory { return nil }}
	variantOwnCounts   = variant{"own", func() app.GrantsFactory {
		return baselineFactory(func() baseline.Counts { return baseline.OwnCounts{} })
	}}
	variantSharedCounts = variant{"shared", func() app.GrantsFactory {
		shared := baseline.NewSharedCounts(sharedCountsDelay)
		return baselineFactory(func() baseline.Counts { return shared })
	}}
)

func baselineFactory(counts func() baseline.Counts) app.GrantsFactory {
	return func(p app.GrantComponents) (grant.Source, func(context.Context) error) {
		return baseline.New(p.Membership, counts(), rand.Uint64()), nil
	}
}

// environment is the running fleet of one experiment.
type environment struct {
	options Options
	user    scenario.User
	variant variant
	scale   float64
	network *netem.Network
	fleet   *localfleet.Fleet
	random  *rand.Rand
	// service is the user's first service, which the experiments measure. slots is the number of its slots
	// over all servers, and workTime the mean work time of its requests.
	service  string
	slots    int
	workTime time.Duration
}

func newEnvironment(ctx context.Context, o Options, user scenario.User, v variant, scale float64) (*environment, error) {
	network := netem.New(netem.InterDataCentreDelay(user.OneWay))
	config := user.Fleet(o.Nodes, 3)
	config.Network = network
	config.Grants = v.grants()
	config.Logger = o.Logger
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "start the fleet of %s", user.Name)
	}
	b := user.Backends[0]
	return &environment{
		options: o, user: user, variant: v, scale: scale, network: network, fleet: fleet,
		random:  rand.New(rand.NewPCG(o.Seed, 7)),
		service: b.Service, slots: b.Instances * b.Slots, workTime: b.WorkTime,
	}, nil
}

func (e *environment) close() {
	e.fleet.Kill()
}

func (e *environment) progress(format string, args ...any) {
	if e.options.Progress != nil {
		fmt.Fprintf(e.options.Progress, format+"\n", args...)
	}
}

func (e *environment) scaleDuration(nominal time.Duration) time.Duration {
	return time.Duration(float64(nominal) * e.scale)
}

// scaleTrials returns the scaled number of trials, at least 2.
func (e *environment) scaleTrials(nominal int) int {
	return max(2, int(float64(nominal)*e.scale+0.5))
}

// capacity returns the requests per second that keep every slot of the service occupied.
func (e *environment) capacity() float64 {
	return float64(e.slots) / e.workTime.Seconds()
}

func (e *environment) backends() []*standin.Server {
	return e.fleet.Backends[e.service]
}

// lengthenWork makes each request take longer, so that a flood needs fewer requests.
func (e *environment) lengthenWork() {
	e.workTime = floodWorkTime
}

// Load classes of the service under experiment.
const (
	urgent     = "urgent"
	normal     = "normal"
	background = "background"
)

func (e *environment) class(name string, rate float64) load.Class {
	paths := map[string]string{}
	targets := map[string]time.Duration{}
	for _, s := range e.user.Services {
		if s.GetName() != e.service {
			continue
		}
		for _, t := range s.GetPriorities() {
			targets[priority.FromProto(t.GetPriority()).String()] = time.Duration(t.GetTargetLatencyMs()) * time.Millisecond
		}
	}
	for _, r := range e.user.Routes {
		if r.GetService() == e.service && r.GetIdempotent() {
			paths[priority.FromProto(r.GetPriority()).String()] = r.GetPathPrefix()
		}
	}
	return load.Class{
		Name: name, Service: e.service, Path: paths[name], Rate: rate,
		Deadline: min(4*targets[name], maxDeadline), Target: targets[name], Work: e.workTime,
		Teams: scenario.TeamNames(),
	}
}

// backgroundLoad is a load that runs until it is stopped.
type backgroundLoad struct {
	*load.Load
	cancel context.CancelFunc
	done   chan struct{}
}

func (e *environment) startLoad(ctx context.Context, sink func(load.Outcome), classes ...load.Class) *backgroundLoad {
	ctx, cancel := context.WithCancel(ctx)
	l := &backgroundLoad{
		Load: load.New(load.Config{
			Entries: e.fleet.EntryAddresses(), Callers: callerCount, Classes: classes, Seed: e.options.Seed, Sink: sink,
		}),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		l.Run(ctx)
		close(l.done)
	}()
	return l
}

// stop ends the load and waits until its last request has finished.
func (l *backgroundLoad) stop() {
	l.cancel()
	<-l.done
}

// measureFor resets the counts and waits for the span, so that the counts afterwards cover just that span.
func (l *backgroundLoad) measureFor(span time.Duration) {
	l.Reset()
	time.Sleep(span)
}

// findDispatcher returns the host that dispatches the service, its view and its statistics; the host is nil
// if there is none.
func (e *environment) findDispatcher(service string) (*localfleet.Host, dispatch.View, dispatch.Stats) {
	for _, h := range e.fleet.Nodes {
		p := h.Process()
		if p == nil {
			continue
		}
		if view, stats, ok := p.Node().Dispatcher.View(service); ok {
			return h, view, stats
		}
	}
	return nil, dispatch.View{}, dispatch.Stats{}
}
