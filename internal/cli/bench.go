package cli

import (
	"context"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/decisions"
	"github.com/tarragonmux/tarragonmux/internal/bench/table"
	"github.com/tarragonmux/tarragonmux/internal/logging"
)

type benchCommands struct {
	Decisions   decisionsCommand   `cmd:"" help:"Measure how well the fleet decides, beside baselines."`
	Durable     durableCommand     `cmd:"" help:"Measure claims, recovery and configuration changes with real files and syncs."`
	Entry       entryBenchCommand  `cmd:"" help:"Measure the request path of one entry host against direct calls."`
	Propagation propagationCommand `cmd:"" help:"Measure how soon a configuration change is in force on every node."`
	Slopes      slopesCommand      `cmd:"" help:"Measure how the cost of each role grows with the size of the fleet."`
	Soak        soakCommand        `cmd:"" help:"Run a fleet under random faults and check its promises."`
}

// benchOutput prints the result rows as a table or as JSON.
type benchOutput struct {
	JSON     bool   `help:"Print JSON for programs."`
	LogLevel string `help:"Level of the log lines on the standard error." default:"error" enum:"debug,info,warn,error"`
}

// print writes the rows and fails if one missed its target.
func (b *benchOutput) print(out *output, rows []table.Row) error {
	var err error
	if b.JSON {
		err = out.json(rows)
	} else {
		err = table.Write(out.out, rows)
	}
	if err == nil && !table.Met(rows) {
		return ErrNegativeResult
	}
	return err
}

type decisionsCommand struct {
	benchOutput
	Only      string        `help:"Run one experiment: detection, false-ejections, background-flood, urgent-flood, team-flood, overload, dispatcher-faults or latency." placeholder:"NAME"`
	User      string        `help:"Run one user's deployment: hanbit or thies." placeholder:"NAME"`
	For       time.Duration `help:"Bound of the whole run; experiments use fewer trials when it is short." default:"15m"`
	Baselines bool          `help:"Run the baselines, too." default:"true" negatable:""`
	Nodes     int           `help:"Number of entry hosts." default:"48"`
	Seed      uint64        `help:"Seed of the load." default:"1"`
}

// Run runs the experiments on the decisions of the fleet.
func (c *decisionsCommand) Run(ctx context.Context, out *output) error {
	rows, err := decisions.Run(ctx, decisions.Options{
		Only:      c.Only,
		User:      c.User,
		Duration:  c.For,
		Baselines: c.Baselines,
		Nodes:     c.Nodes,
		Seed:      c.Seed,
		Progress:  out.errs,
		Logger:    logging.New(out.errs, c.LogLevel, false),
	})
	if err != nil {
		return err
	}
	return c.print(out, rows)
}
