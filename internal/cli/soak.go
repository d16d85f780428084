package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/soak"
	"github.com/tarragonmux/tarragonmux/internal/logging"
)

type soakCommand struct {
	Seed     uint64        `help:"Seed of the faults, the load and the operators." default:"1"`
	For      time.Duration `help:"Time in which faults happen; start, recovery and final checks come on top." default:"1m"`
	JSON     bool          `help:"Print JSON for programs."`
	LogLevel string        `help:"Level of the fleet's log lines on the standard error." default:"error" enum:"debug,info,warn,error"`
}

// Run runs the soak test. It fails if a guarantee was violated.
func (c *soakCommand) Run(ctx context.Context, out *output) error {
	options := soak.Options{Seed: c.Seed, FaultDuration: c.For, Logger: logging.New(out.errs, c.LogLevel, false)}
	if !c.JSON {
		options.OnEvent = func(e soak.Event) { _ = out.printf("%s\n", e) }
		_ = out.printf("seed %d, faults for %v\n", c.Seed, c.For)
	}
	report, err := soak.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.JSON {
		err = out.json(report)
	} else {
		err = c.print(out, report)
	}
	if err == nil && report.Violation != nil {
		return ErrNegativeResult
	}
	return err
}

func (c *soakCommand) print(out *output, r *soak.Report) error {
	n := r.Counts
	rows := [][]string{
		{"faults", fmt.Sprint(n.Faults), formatCounts(n.ByKind)},
		{"requests", fmt.Sprint(n.Requests), fmt.Sprintf("%d answered, %d without an answer, %d told not-run; refused: %s", n.Answered, n.Failed, n.NotRun, formatCounts(n.Refused))},
		{"keys", fmt.Sprint(n.Keys), fmt.Sprintf("%d replays compared, %d other bodies refused", n.Replays, n.KeyReuses)},
		{"changes", fmt.Sprint(n.Accepted), fmt.Sprintf("%d conflicts, %d without a verdict", n.Conflicts, n.Unsettled)},
		{"runs", fmt.Sprint(n.Runs), "at all stand-ins"},
		{"samples", fmt.Sprint(n.Views + n.Revisions), fmt.Sprintf("%d of dispatchers, %d of revisions, %d of leaving stand-ins, %d invariants", n.Views, n.Revisions, n.NoNewWorkChecks, n.Invariants)},
		{"recovery", n.Recovery.Round(time.Millisecond).String(), "until everything was served again"},
	}
	if err := out.table([]string{"COUNT", "VALUE", "DETAIL"}, rows); err != nil {
		return err
	}
	if v := r.Violation; v != nil {
		return out.printf("%s", formatViolation(v))
	}
	return out.printf("no violation\n")
}

func formatViolation(v *soak.Violation) string {
	lines := []string{fmt.Sprintf("VIOLATION of %s at %.3fs: %s", v.Check, v.At.Seconds(), v.Detail), "before it:"}
	for _, e := range v.PrecedingEvents {
		lines = append(lines, "  "+e.String())
	}
	return strings.Join(lines, "\n") + "\n"
}

// formatCounts returns the counts as a list in the order of the keys.
func formatCounts[K ~string](counts map[K]int) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", key, counts[key]))
	}
	return strings.Join(parts, ", ")
}
