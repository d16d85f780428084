package cli

import (
	"context"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/entry"
)

type entryBenchCommand struct {
	JSON      bool          `help:"Print JSON for programs."`
	For       time.Duration `help:"Length of the run." default:"10s"`
	Workers   int           `help:"Requests in flight at once." default:"8"`
	BodyBytes int           `help:"Size of an answer in bytes." default:"1024"`
	Urgent    bool          `help:"Send urgent work, for which hedging is prepared."`
}

// Run measures requests per second and core, allocations and added latency.
func (c *entryBenchCommand) Run(ctx context.Context, out *output) error {
	report, err := entry.Run(ctx, entry.Options{Duration: c.For, Workers: c.Workers, BodyBytes: c.BodyBytes, Urgent: c.Urgent})
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(report)
	}
	return out.printf("%s\n", report)
}
