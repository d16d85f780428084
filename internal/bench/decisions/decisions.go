package decisions

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bench/scenario"
	"github.com/tarragonmux/tarragonmux/internal/bench/table"
)

// Options of a run.
type Options struct {
	// Only runs one experiment; empty runs all.
	Only string
	// User restricts the run to one user; empty runs both.
	User string
	// For bounds the whole run. Experiments use fewer trials when it is short.
	For time.Duration
	// Baselines adds the runs of the baselines.
	Baselines bool
	// Nodes is the number of entry hosts; 0 means 48.
	Nodes int
	Seed  uint64
	// Progress receives a line per experiment.
	Progress io.Writer
	Logger   *log.Logger
}

// experiment measures some rows on a running fleet.
type experiment struct {
	name string
	// baseline is set if the experiment says something about the baselines.
	baseline bool
	// nominal is the time of one run with full trials.
	nominal time.Duration
	run     func(ctx context.Context, e *environment) ([]table.Row, error)
}

// experiments in the order of the acceptance table.
func experiments() []experiment {
	return []experiment{
		{"detection", true, 54 * time.Second, detection},
		{"false-ejections", true, 36 * time.Second, falseEjections},
		{"background-flood", true, 8 * time.Second, backgroundFlood},
		{"urgent-flood", true, 10 * time.Second, urgentFlood},
		{"team-flood", true, 12 * time.Second, teamFlood},
		{"overload", true, 8 * time.Second, overload},
		{"dispatcher-faults", false, 15 * time.Second, dispatcherFaults},
		{"latency", true, 8 * time.Second, addedLatency},
	}
}

// Names lists the experiments for --only.
func Names() []string {
	var names []string
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

const (
	defaultNodes = 48
	// fleetTime is what starting and stopping one fleet takes.
	fleetTime = 10 * time.Second
	// minimumScale keeps experiments long enough to mean something.
	minimumScale = 0.34
)

// Run runs the experiments and returns their rows. Errors: an unknown name, or a fleet that does not start.
func Run(ctx context.Context, o Options) ([]table.Row, error) {
	if o.Nodes == 0 {
		o.Nodes = defaultNodes
	}
	chosen, err := choose(o.Only)
	if err != nil {
		return nil, err
	}
	users := chooseUsers(o.User)
	scale := timeScale(o, chosen, len(users))
	var rows []table.Row
	for _, user := range users {
		part, err := runUser(ctx, o, user, chosen, scale)
		if err != nil {
			return rows, err
		}
		rows = append(rows, part...)
	}
	return rows, nil
}

func choose(only string) ([]experiment, error) {
	if only == "" {
		return experiments(), nil
	}
	for _, e := range experiments() {
		if e.name == only {
			return []experiment{e}, nil
		}
	}
	return nil, errors.Errorf("unknown experiment %q; use one of %v", only, Names())
}

func chooseUsers(name string) []scenario.User {
	users := []scenario.User{scenario.Hanbit(), scenario.Thies()}
	for _, u := range users {
		if u.Name == name {
			return []scenario.User{u}
		}
	}
	return users
}

// timeScale returns the share of the nominal trials that fits into the time.
func timeScale(o Options, chosen []experiment, users int) float64 {
	total := time.Duration(0)
	for _, e := range chosen {
		total += e.nominal
		if o.Baselines && e.baseline {
			total += 2 * e.nominal
		}
	}
	total = total*time.Duration(users) + 3*fleetTime*time.Duration(users)
	if o.For <= 0 || o.For >= total {
		return 1
	}
	return max(minimumScale, float64(o.For)/float64(total))
}

// runUser measures the fleet and, beside it, the baselines.
func runUser(ctx context.Context, o Options, user scenario.User, chosen []experiment, scale float64) ([]table.Row, error) {
	rows, err := runVariant(ctx, o, user, variantFleet, chosen, scale)
	if err != nil || !o.Baselines {
		return rows, err
	}
	var compared []experiment
	for _, e := range chosen {
		if e.baseline {
			compared = append(compared, e)
		}
	}
	for _, v := range []variant{variantOwn, variantShared} {
		part, err := runVariant(ctx, o, user, v, compared, scale)
		if err != nil {
			return rows, err
		}
		addBaseline(rows, part, v.name)
	}
	return rows, nil
}

func addBaseline(rows, part []table.Row, name string) {
	for i := range rows {
		for _, b := range part {
			if b.Measure != rows[i].Measure || b.User != rows[i].User {
				continue
			}
			if rows[i].Baseline == nil {
				rows[i].Baseline = map[string]float64{}
			}
			rows[i].Baseline[name] = b.Value
		}
	}
}

func runVariant(ctx context.Context, o Options, user scenario.User, v variant, chosen []experiment, scale float64) ([]table.Row, error) {
	var rows []table.Row
	for _, x := range chosen {
		e, err := newEnvironment(ctx, o, user, v, scale)
		if err != nil {
			return rows, err
		}
		begin := time.Now()
		part, err := x.run(ctx, e)
		e.close()
		if err != nil {
			return rows, errors.Wrapf(err, "experiment %s of %s", x.name, user.Name)
		}
		rows = append(rows, part...)
		e.progress("%s, %s, %s: %s", x.name, user.Name, v.name, time.Since(begin).Round(time.Second))
		for _, r := range part {
			e.progress("  %s = %.4g %s %s", r.Measure, r.Value, r.Unit, r.Note)
		}
	}
	return rows, nil
}
