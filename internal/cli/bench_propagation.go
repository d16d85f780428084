package cli

import (
	"context"

	"github.com/tarragonmux/tarragonmux/internal/bench/propagation"
)

type propagationCommand struct {
	benchOutput
	Nodes   int `help:"Number of entry hosts." default:"48"`
	Changes int `help:"Number of changes in each case." default:"20"`
}

// Run measures how soon an accepted change is in force on every node.
func (c *propagationCommand) Run(ctx context.Context, out *output) error {
	rows, err := propagation.Run(ctx, propagation.Options{Nodes: c.Nodes, Changes: c.Changes})
	if err != nil {
		return err
	}
	return c.print(out, rows)
}
