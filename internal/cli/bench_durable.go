package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/durable"
)

type durableCommand struct {
	JSON   bool          `help:"Print JSON for programs."`
	For    time.Duration `help:"Length of the measurements." default:"30s"`
	Folder string        `help:"Folder on the disk to measure. Default: the system's temporary folder." type:"path"`
}

// Run measures claims, recovery and configuration changes with real files and syncs.
func (c *durableCommand) Run(ctx context.Context, out *output) error {
	report, err := durable.Run(ctx, durable.Options{Duration: c.For, Folder: c.Folder})
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(report)
	}
	return c.print(out, report)
}

func (c *durableCommand) print(out *output, report durable.Report) error {
	var claims, recovery, changes [][]string
	for _, x := range report.Claims {
		claims = append(claims, []string{
			strconv.Itoa(x.Clients), fmt.Sprintf("%.0f", x.PerSecond), formatMilliseconds(x.P50), formatMilliseconds(x.P99),
			fmt.Sprintf("%.0f", x.BytesPerClaim), fmt.Sprintf("%.1f", x.CallsPerClaim), strconv.FormatInt(x.Failed, 10),
		})
	}
	for _, x := range report.Recovery {
		recovery = append(recovery, []string{strconv.Itoa(x.Registers), strconv.FormatInt(x.Bytes, 10), formatMilliseconds(x.Millis)})
	}
	for _, x := range report.Changes {
		changes = append(changes, []string{
			x.Design, string(x.Fault), fmt.Sprintf("%.0f", x.Before), fmt.Sprintf("%.0f", x.During), formatMilliseconds(x.LongestGap),
		})
	}
	if err := out.table([]string{"CLAIMS AT ONCE", "CLAIMS/S", "P50", "P99", "BYTES A CLAIM", "CALLS A CLAIM", "FAILED"}, claims); err != nil {
		return err
	}
	if err := out.table([]string{"REGISTERS", "JOURNAL BYTES", "RESTART"}, recovery); err != nil {
		return err
	}
	return out.table([]string{"CHANGES", "FAULT", "ACCEPTED/S BEFORE", "ACCEPTED/S DURING", "LONGEST GAP"}, changes)
}

func formatMilliseconds(ms float64) string {
	return fmt.Sprintf("%.1f ms", ms)
}
