// Package demo runs an embedded fleet with a load in one process and prints what happens.
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
	// nodes, controls and callers are the numbers of entry hosts, control replicas and simulated callers.
	nodes    = 6
	controls = 3
	callers  = 60
	// startTimeout limits the start of the fleet.
	startTimeout = time.Minute
	// stopTimeout limits the graceful stop at the end.
	stopTimeout  = 30 * time.Second
	lineInterval = time.Second
)

// Options configure a demo.
type Options struct {
	// User describes the deployment that the demo imitates.
	User scenario.User
	// For is how long the load runs.
	For    time.Duration
	Out    io.Writer
	Logger *log.Logger
}

// ErrViolation means that the fleet violated a guarantee during the demo.
var ErrViolation = errors.New("the fleet violated a guarantee; report the printed line as a defect")

// Run starts the fleet and runs the load; in the middle third of the time one backend server stalls. It
// prints a line per second and a table at the end. It returns ErrViolation, or the error that prevented the
// start, the stop or the output.
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
	d := &demoRun{options: o, fleet: fleet, load: l}
	d.runLoad(ctx)
	if err := d.printTable(); err != nil {
		return err
	}
	return d.stopAndCheck(ctx)
}

// demoRun is one run of the demo.
type demoRun struct {
	options Options
	fleet   *localfleet.Fleet
	load    *load.Load
	// lastOK is the number of successful requests up to the last printed line.
	lastOK uint64
}

// runLoad runs the load, injects the fault and prints a line per second.
func (d *demoRun) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.options.For)
	defer cancel()
	done := make(chan struct{})
	go func() {
		d.load.Run(ctx)
		close(done)
	}()
	stall := time.AfterFunc(d.options.For/3, func() { d.setStalled(true) })
	defer stall.Stop()
	resume := time.AfterFunc(2*d.options.For/3, func() { d.setStalled(false) })
	defer resume.Stop()
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	begin := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			d.printLine(time.Since(begin))
		}
	}
}

// setStalled starts or ends a fault of the first backend server, which then stalls requests but still
// responds to probes.
func (d *demoRun) setStalled(stalled bool) {
	server := d.fleet.Backends[d.options.User.Backends[0].Service][0]
	server.SetFaults(standin.Faults{StallWork: stalled})
	action := "stalls its work"
	if !stalled {
		action = "works again"
	}
	fmt.Fprintf(d.options.Out, "      backend server %s %s\n", server.Instance(), action)
}

func (d *demoRun) printLine(elapsed time.Duration) {
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
		elapsed.Seconds(), ok-d.lastOK, refused, failed, worst.Round(time.Millisecond), d.ejectedServers())
	d.lastOK = ok
}

// ejectedServers returns the names of the backend servers that their dispatchers have ejected, or "none".
func (d *demoRun) ejectedServers() string {
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

func (d *demoRun) printTable() error {
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

// stopAndCheck stops the fleet gracefully and checks its guarantees.
func (d *demoRun) stopAndCheck(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := d.fleet.Stop(stopCtx); err != nil {
		return errors.Wrap(err, "stop the fleet")
	}
	violated := d.reportRepeatedKeys() || d.reportViolations()
	if n := invariant.Total(); n > 0 {
		fmt.Fprintf(d.options.Out, "%d invariants violated: %v\n", n, invariant.Counts())
		violated = true
	}
	if violated {
		return ErrViolation
	}
	fmt.Fprintln(d.options.Out, "\nEvery answer was whole and its caller's own; no keyed request ran twice; no invariant was violated.")
	return nil
}

// reportViolations prints the violations that the callers saw and reports whether there were any.
func (d *demoRun) reportViolations() bool {
	found := false
	for _, c := range d.options.User.Classes {
		for violation, n := range d.load.Stats(c.Name).Counts().Violations {
			fmt.Fprintf(d.options.Out, "%s: %s, %d times\n", c.Name, violation, n)
			found = true
		}
	}
	return found
}

// reportRepeatedKeys prints the idempotency keys whose work was started more than once, over all backend
// servers, and reports whether there were any.
func (d *demoRun) reportRepeatedKeys() bool {
	started := map[string]int{}
	for _, servers := range d.fleet.Backends {
		for _, s := range servers {
			for key, ran := range s.Ledger().Keys {
				started[key] += ran.Started
			}
		}
	}
	found := false
	for key, n := range started {
		if n > 1 {
			fmt.Fprintf(d.options.Out, "key %s ran %d times\n", key, n)
			found = true
		}
	}
	return found
}
