package soak

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/internal/bench/netem"
	"github.com/tarragonmux/tarragonmux/internal/bench/scenario"
	"github.com/tarragonmux/tarragonmux/internal/standin"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	nodeCount      = 9
	controlCount   = 3
	slotsPerServer = 4
	workTime       = 30 * time.Millisecond
	callerCount    = 20
	// callerHost is the host name of the callers in the emulated network.
	callerHost = "callers"
	// maxDeadline is the longest deadline of a request; a keyed caller waits at most this long for a
	// response.
	maxDeadline = 3 * time.Second
	// floodWork is the work time of a flood's requests. It is long so that a low request rate exceeds the
	// capacity.
	floodWork = 200 * time.Millisecond
	// floodFactor is the ratio of a flood's work to the capacity of the service.
	floodFactor = 4
	// idempotentRate is the request rate of each idempotent route, in requests per second.
	idempotentRate = 20
)

// instanceCounts holds the number of stand-ins of each service.
var instanceCounts = []int{8, 6}

// environment is one running fleet with its load, faults, operators and checks.
type environment struct {
	options  Options
	user     scenario.User
	network  *netem.Network
	fleet    *localfleet.Fleet
	recorder *recorder
	outcomes *outcomeChecker
	changes  *changeChecker
	dialer   transport.Dialer
	client   *http.Client
	load     *load.Load
	// firstRevision is the revision before the operators begin.
	firstRevision uint64

	mu     sync.Mutex
	counts Counts
	// down counts the current faults that keep a host stopped, by host id.
	down map[string]int
}

func newEnvironment(ctx context.Context, o Options) (*environment, error) {
	user := scenario.Hanbit()
	for i := range user.Backends {
		user.Backends[i].Instances = instanceCounts[i]
		user.Backends[i].Slots = slotsPerServer
		user.Backends[i].WorkTime = workTime
	}
	network := netem.New(func(from, to string) time.Duration {
		if from == to || from == "" {
			return 0
		}
		return user.OneWay
	})
	config := user.Fleet(nodeCount, controlCount)
	config.Network = network
	config.Logger = o.Logger
	config.Seed = o.Seed
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := localfleet.Start(startCtx, config)
	if err != nil {
		return nil, errors.Wrap(err, "start the fleet")
	}
	dialer := network.Dialer(netem.Location{Host: callerHost})
	e := &environment{
		options: o, user: user, network: network, fleet: fleet, recorder: newRecorder(o.OnEvent),
		outcomes: newOutcomeChecker(), changes: newChangeChecker(), dialer: dialer, client: load.NewClient(dialer),
		counts: Counts{ByKind: map[Kind]int{}, Refused: map[string]int{}}, down: map[string]int{},
	}
	e.load = load.New(load.Config{
		Entries: fleet.EntryAddresses(), Callers: callerCount, Classes: e.loadClasses(), Seed: o.Seed, Sink: e.checkOutcome, Dialer: dialer,
	})
	document, err := fleet.Operator.Get(startCtx)
	if err != nil {
		fleet.Kill()
		return nil, errors.Wrap(err, "read the initial configuration")
	}
	e.firstRevision = document.GetRevision()
	return e, nil
}

// loadClasses returns a class for each idempotent route, and classes for floods of each service with its
// least and its most urgent work.
func (e *environment) loadClasses() []load.Class {
	var classes []load.Class
	for _, r := range e.user.Routes {
		if !r.GetIdempotent() {
			continue
		}
		c := load.Class{Name: r.GetId(), Service: r.GetService(), Path: r.GetPathPrefix(), Rate: idempotentRate, Deadline: maxDeadline}
		classes = append(classes, c)
		if name := floodClassName(r); name != "" {
			c.Name, c.Rate, c.Work = name, 0, floodWork
			classes = append(classes, c)
		}
	}
	return classes
}

func floodClassName(r *configpb.Route) string {
	switch r.GetPriority() {
	case configpb.Priority_PRIORITY_URGENT:
		return floodName(r.GetService(), true)
	case configpb.Priority_PRIORITY_BACKGROUND:
		return floodName(r.GetService(), false)
	default:
		return ""
	}
}

func floodName(service string, urgent bool) string {
	return "flood-" + service + "-" + strconv.FormatBool(urgent)
}

func (e *environment) service(i int) string { return e.user.Backends[i].Service }

func (e *environment) server(f Fault) *standin.Server {
	return e.fleet.Backends[e.service(f.Service)][f.Target]
}

// hosts returns the nodes, followed by the control replicas.
func (e *environment) hosts() []*localfleet.Host {
	return append(append([]*localfleet.Host(nil), e.fleet.Nodes...), e.fleet.Controls...)
}

// checkOutcome checks and counts an outcome of the load.
func (e *environment) checkOutcome(o load.Outcome) {
	e.recorder.reportFinding(e.outcomes.checkIdempotent(o))
	e.countOutcome(o)
}

func (e *environment) countOutcome(o load.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests++
	switch {
	case o.Err != nil:
		e.counts.Failed++
	case o.Kind != "":
		e.counts.Refused[string(o.Kind)]++
	default:
		e.counts.Answered++
	}
}

func (e *environment) totals() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Accepted, c.Conflicts, c.Unsettled = e.changes.countVerdicts()
	e.outcomes.mu.Lock()
	defer e.outcomes.mu.Unlock()
	c.NotRun = len(e.outcomes.notRun)
	c.Keys = len(e.outcomes.keyed)
	c.Replays = e.outcomes.replays
	c.KeyReuses = e.outcomes.reuseRefusals
	return c
}

// serverLogs returns the logs of all stand-ins by instance.
func (e *environment) serverLogs() map[string]standin.Ledger {
	logs := map[string]standin.Ledger{}
	for _, servers := range e.fleet.Backends {
		for _, s := range servers {
			logs[s.Instance()] = s.Ledger()
		}
	}
	return logs
}

// pause waits for d and returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
