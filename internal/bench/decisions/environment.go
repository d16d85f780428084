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
	// sharedDelay is how old the counts of the shared baseline are: one gossip interval.
	sharedDelay = 500 * time.Millisecond
	callers     = 100
	// maxDeadline keeps the requests under way within the descriptors of one process, which holds
	// both ends of every connection.
	maxDeadline = 2 * time.Second
	// floodWork is the work time under floods; it lowers the rate that fills every slot.
	floodWork = 250 * time.Millisecond
	// settle is how long a load runs before a measurement begins.
	settle = 2 * time.Second
)

// variant is one way of deciding.
type variant struct {
	name  string
	grant func() app.GrantsFactory
}

var (
	variantFleet = variant{"dispatchers", func() app.GrantsFactory { return nil }}
	variantOwn   = variant{"own", func() app.GrantsFactory {
		return baselineFactory(func() baseline.Counts { return baseline.OwnCounts{} })
	}}
	variantShared = variant{"shared", func() app.GrantsFactory {
		shared := baseline.NewSharedCounts(sharedDelay)
		return baselineFactory(func() baseline.Counts { return shared })
	}}
)

func baselineFactory(counts func() baseline.Counts) app.GrantsFactory {
	return func(p app.GrantComponents) (grant.Source, func(context.Context) error) {
		return baseline.New(p.Membership, counts(), rand.Uint64()), nil
	}
}

// environment is one running fleet under experiment.
type environment struct {
	options Options
	user    scenario.User
	variant variant
	scale   float64
	network *netem.Network
	fleet   *localfleet.Fleet
	random  *rand.Rand
	// service under experiment: the first of the user, with its slots and mean work time.
	service string
	slots   int
	work    time.Duration
}

func newEnvironment(ctx context.Context, o Options, user scenario.User, v variant, scale float64) (*environment, error) {
	network := netem.New(netem.InterDataCentreDelay(user.OneWay))
	config := user.Fleet(o.Nodes, 3)
	config.Network = network
	config.Grants = v.grant()
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
		service: b.Service, slots: b.Instances * b.Slots, work: b.WorkTime,
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

// span scales a nominal time.
func (e *environment) span(nominal time.Duration) time.Duration {
	return time.Duration(float64(nominal) * e.scale)
}

// trials scales a nominal number of trials.
func (e *environment) trials(nominal int) int {
	return max(2, int(float64(nominal)*e.scale+0.5))
}

// capacity returns the requests a second that fill every slot of the service.
func (e *environment) capacity() float64 {
	return float64(e.slots) / e.work.Seconds()
}

func (e *environment) backends() []*standin.Server {
	return e.fleet.Backends[e.service]
}

// slowWork makes each request take longer, so that floods need fewer of them.
func (e *environment) slowWork() {
	e.work = floodWork
}

// classes of the service under experiment.
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
		Deadline: min(4*targets[name], maxDeadline), Target: targets[name], Work: e.work,
		Teams: scenario.TeamNames(),
	}
}

// loading is a load that runs in the background.
type loading struct {
	*load.Load
	cancel context.CancelFunc
	done   chan struct{}
}

func (e *environment) load(ctx context.Context, sink func(load.Outcome), classes ...load.Class) *loading {
	ctx, cancel := context.WithCancel(ctx)
	l := &loading{
		Load: load.New(load.Config{
			Entries: e.fleet.EntryAddresses(), Callers: callers, Classes: classes, Seed: e.options.Seed, Sink: sink,
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

// stop ends the load and waits for its last request.
func (l *loading) stop() {
	l.cancel()
	<-l.done
}

// measure empties the counts, waits, and leaves the counts of that span.
func (l *loading) measure(span time.Duration) {
	l.Reset()
	time.Sleep(span)
}

// dispatcher returns the host that dispatches the service with its view, or nil.
func (e *environment) dispatcher(service string) (*localfleet.Host, dispatch.View, dispatch.Stats) {
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
