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
	// Only is the name of the only experiment to run; empty runs all.
	Only string
	// User is the name of the only user to run; any other value, such as empty, runs both.
	User string
	// Duration is the intended total time of the run. A shorter time reduces the trials and spans of the
	// experiments, but not below minimumScale. Zero runs them in full.
	Duration time.Duration
	// Baselines also runs the experiments on the baselines.
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
	// baseline reports whether the experiment also runs on the baselines.
	baseline bool
	// nominal is the time of one run that is not scaled down.
	nominal time.Duration
	run     func(ctx context.Context, e *environment) ([]table.Row, error)
}

// allExperiments lists the experiments in the order of the acceptance table.
func allExperiments() []experiment {
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

// Names lists the names of the experiments, which are the values of --only.
func Names() []string {
	var names []string
	for _, e := range allExperiments() {
		names = append(names, e.name)
	}
	return names
}

const (
	defaultNodes = 48
	// fleetOverhead is the time that starting and stopping one fleet takes.
	fleetOverhead = 10 * time.Second
	// minimumScale is the smallest scale at which experiments are long enough for a meaningful result.
	minimumScale = 0.34
)

// Run runs the experiments and returns their rows. It fails if the experiment is unknown, a fleet does not
// start or an experiment fails; rows that were measured before are returned with the error.
func Run(ctx context.Context, o Options) ([]table.Row, error) {
	if o.Nodes == 0 {
		o.Nodes = defaultNodes
	}
	selected, err := selectExperiments(o.Only)
	if err != nil {
		return nil, err
	}
	users := selectUsers(o.User)
	scale := timeScale(o, selected, len(users))
	var rows []table.Row
	for _, user := range users {
		userRows, err := runUser(ctx, o, user, selected, scale)
		if err != nil {
			return rows, err
		}
		rows = append(rows, userRows...)
	}
	return rows, nil
}

func selectExperiments(only string) ([]experiment, error) {
	if only == "" {
		return allExperiments(), nil
	}
	for _, e := range allExperiments() {
		if e.name == only {
			return []experiment{e}, nil
		}
	}
	return nil, errors.Errorf("unknown experiment %q; use one of %v", only, Names())
}

func selectUsers(name string) []scenario.User {
	users := []scenario.User{scenario.Hanbit(), scenario.Thies()}
	for _, u := range users {
		if u.Name == name {
			return []scenario.User{u}
		}
	}
	return users
}

// timeScale returns the factor by which trials and spans are reduced to fit into Options.Duration; it is at
// least minimumScale.
func timeScale(o Options, selected []experiment, users int) float64 {
	total := time.Duration(0)
	for _, e := range selected {
		total += e.nominal
		if o.Baselines && e.baseline {
			total += 2 * e.nominal
		}
	}
	total = total*time.Duration(users) + 3*fleetOverhead*time.Duration(users)
	if o.Duration <= 0 || o.Duration >= total {
		return 1
	}
	return max(minimumScale, float64(o.Duration)/float64(total))
}

// runUser measures the fleet of one user and, with Options.Baselines, the baselines for comparison.
func runUser(ctx context.Context, o Options, user scenario.User, selected []experiment, scale float64) ([]table.Row, error) {
	rows, err := runVariant(ctx, o, user, variantDispatchers, selected, scale)
	if err != nil || !o.Baselines {
		return rows, err
	}
	var withBaseline []experiment
	for _, e := range selected {
		if e.baseline {
			withBaseline = append(withBaseline, e)
		}
	}
	for _, v := range []variant{variantOwnCounts, variantSharedCounts} {
		measured, err := runVariant(ctx, o, user, v, withBaseline, scale)
		if err != nil {
			return rows, err
		}
		addBaseline(rows, measured, v.name)
	}
	return rows, nil
}

func addBaseline(rows, measured []table.Row, name string) {
	for i := range rows {
		for _, b := range measured {
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

func runVariant(ctx context.Context, o Options, user scenario.User, v variant, selected []experiment, scale float64) ([]table.Row, error) {
	var rows []table.Row
	for _, x := range selected {
		e, err := newEnvironment(ctx, o, user, v, scale)
		if err != nil {
			return rows, err
		}
		begin := time.Now()
		measured, err := x.run(ctx, e)
		e.close()
		if err != nil {
			return rows, errors.Wrapf(err, "experiment %s of %s", x.name, user.Name)
		}
		rows = append(rows, measured...)
		e.progress("%s, %s, %s: %s", x.name, user.Name, v.name, time.Since(begin).Round(time.Second))
		for _, r := range measured {
			e.progress("  %s = %.4g %s %s", r.Measure, r.Value, r.Unit, r.Note)
		}
	}
	return rows, nil
}
