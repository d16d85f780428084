// Package demo runs an embedded fleet with a load in one process and shows what it does.
package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/internal/bench/scenario"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

const (
	nodes    = 6
	controls = 3
	callers  = 60
	// startTimeout bounds the start of the fleet.
	startTimeout = time.Minute
	// stopTimeout bounds the graceful stop at the end.
	stopTimeout = 30 * time.Second
	lineEvery   = time.Second
)

// Options of a demo.
type Options struct {
	User scenario.User
	// For is how long the load runs.
	For    time.Duration
	Out    io.Writer
	Logger *log.Logger
}

// ErrBroken means that the fleet broke a promise during the demo.
var ErrBroken = errors.New("the fleet broke a promise; report the printed line as a defect")

// Run starts the fleet, runs the load with one stalled backend server in the middle third, prints a
// line a second and a closing table. Errors: ErrBroken, or what kept the fleet from starting.
func Run(ctx context.Context, o Options) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	begin := time.Now()
	config := o.User.Fleet(nodes, controls)
	config.Logger = o.Logger
	fleet, err := localfleet.Start(startCtx, config)
	if err != nil {
		return errors.Wrap(err, "start the fleet")
	}
	defer fleet.Kill()
	fmt.Fprintf(o.Out, "%d nodes and %d control replicas in %d data centres, ready after %s; callers of %s\n",
		nodes, controls, len(o.User.DataCentres), time.Since(begin).Round(time.Millisecond), o.User.Name)
	l := load.New(load.Config{Entries: fleet.EntryAddresses(), Callers: callers, Classes: o.User.Classes, Seed: 1})
	d := &run{options: o, fleet: fleet, load: l}
	d.drive(ctx)
	if err := d.table(); err != nil {
		return err
	}
	return d.finish(ctx)
}

type run struct {
	options Options
	fleet   *localfleet.Fleet
	load    *load.Load
	last    uint64
}

// drive runs the load and the fault, and prints a line a second.
func (d *run) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.options.For)
	defer cancel()
	done := make(chan struct{})
	go func() {
		d.load.Run(ctx)
		close(done)
	}()
	stall := time.AfterFunc(d.options.For/3, func() { d.setStalled(true) })
	defer stall.Stop()
	recover := time.AfterFunc(2*d.options.For/3, func() { d.setStalled(false) })
	defer recover.Stop()
	ticker := time.NewTicker(lineEvery)
	defer ticker.Stop()
	begin := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			d.line(time.Since(begin))
		}
	}
}

// setStalled makes the first backend server stall real work while it answers probes.
func (d *run) setStalled(stalled bool) {
	server := d.fleet.Backends[d.options.User.Backends[0].Service][0]
	server.SetFaults(standin.Faults{StallWork: stalled})
	verb := "stalls its work"
	if !stalled {
		verb = "works again"
	}
	fmt.Fprintf(d.options.Out, "      backend server %s %s\n", server.Instance(), verb)
}

func (d *run) line(elapsed time.Duration) {
	var ok, refused, failed uint64
	worst := time.Duration(0)
	for _, c := range d.options.User.Classes {
		stats := d.load.Stats(c.Name)
		counts := stats.Counts()
		ok += counts.OK
		failed += counts.Failed + counts.Errors
		for _, n := range counts.Refused {
			refused += n
		}
		worst = max(worst, stats.Latency(99))
	}
	fmt.Fprintf(d.options.Out, "%4.0fs  %5d answers/s  refused %d  failed %d  worst p99 %s  ejected: %s\n",
		elapsed.Seconds(), ok-d.last, refused, failed, worst.Round(time.Millisecond), d.ejected())
	d.last = ok
}

// ejected lists the backend servers that their dispatchers have ejected.
func (d *run) ejected() string {
	text := ""
	for _, b := range d.options.User.Backends {
		for _, host := range d.fleet.Nodes {
			view, _, ok := host.Process().Node().Dispatcher.View(b.Service)
			if !ok {
				continue
			}
			for _, s := range view.Servers {
				if s.State == "ejected" {
					text += s.Instance + " "
				}
			}
		}
	}
	if text == "" {
		return "none"
	}
	return text
}

func (d *run) table() error {
	w := tabwriter.NewWriter(d.options.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nCLASS\tSENT\tANSWERED\tWITHIN TARGET\tREFUSED\tFAILED\tP50\tP99")
	for _, c := range d.options.User.Classes {
		stats := d.load.Stats(c.Name)
		n := stats.Counts()
		refused := uint64(0)
		for _, count := range n.Refused {
			refused += count
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f%%\t%d\t%d\t%s\t%s\n", c.Name, n.Sent, n.OK,
			100*float64(n.Good)/float64(max(1, n.Sent)), refused, n.Failed+n.Errors,
			stats.Latency(50).Round(100*time.Microsecond), stats.Latency(99).Round(100*time.Microsecond))
	}
	return errors.WithStack(w.Flush())
}

// finish stops the fleet gracefully and checks the promises.
func (d *run) finish(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := d.fleet.Stop(stopCtx); err != nil {
		return errors.Wrap(err, "stop the fleet")
	}
	broken := d.repeated() || d.faults()
	if n := invariant.Total(); n > 0 {
		fmt.Fprintf(d.options.Out, "%d invariants violated: %v\n", n, invariant.Counts())
		broken = true
	}
	if broken {
		return ErrBroken
	}
	fmt.Fprintln(d.options.Out, "\nEvery answer was whole and its caller's own; no keyed request ran twice; no invariant was violated.")
	return nil
}

func (d *run) faults() bool {
	broken := false
	for _, c := range d.options.User.Classes {
		for fault, n := range d.load.Stats(c.Name).Counts().Violations {
			fmt.Fprintf(d.options.Out, "%s: %s, %d times\n", c.Name, fault, n)
			broken = true
		}
	}
	return broken
}

// repeated looks for keyed work that was begun twice, over all backend servers.
func (d *run) repeated() bool {
	started := map[string]int{}
	for _, servers := range d.fleet.Backends {
		for _, s := range servers {
			for key, ran := range s.Ledger().Keys {
				started[key] += ran.Started
			}
		}
	}
	broken := false
	for key, n := range started {
		if n > 1 {
			fmt.Fprintf(d.options.Out, "key %s ran %d times\n", key, n)
			broken = true
		}
	}
	return broken
}
