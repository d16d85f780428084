package cli

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/burn"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

type reportCommands struct {
	Burn burnCommand `cmd:"" help:"Show how fast the error budgets of the service levels burn."`
}

type burnCommand struct {
	target
	HTML string `help:"Also write the report with plots to this file." type:"path" placeholder:"FILE"`
}

// Run merges the counts of all nodes that reply and prints the report.
func (c *burnCommand) Run(ctx context.Context, out *output) error {
	results, err := callNodes(ctx, &c.target, func(ctx context.Context, f fleetpb.DRPCFleetClient) (*fleetpb.BurnReply, error) {
		return f.Burn(ctx, &fleetpb.BurnRequest{})
	})
	if err != nil {
		return err
	}
	var replies []*fleetpb.BurnReply
	var unreachable []string
	for _, result := range results {
		if result.Err != nil {
			unreachable = append(unreachable, result.Host.GetId())
			continue
		}
		replies = append(replies, result.Reply)
	}
	return c.print(out, burn.Merge(replies, unreachable, time.Now()))
}

func (c *burnCommand) print(out *output, report *burn.Report) error {
	if c.HTML != "" {
		if err := writePage(c.HTML, report); err != nil {
			return err
		}
	}
	if c.JSON {
		return out.json(report)
	}
	return report.WriteText(out.out)
}

func writePage(path string, report *burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the report file; check the path")
	}
	err = report.WriteHTML(file)
	if closeErr := file.Close(); err == nil {
		err = errors.Wrap(closeErr, "write the report file")
	}
	return err
}
