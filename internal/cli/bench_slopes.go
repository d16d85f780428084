package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/slopes"
)

type slopesCommand struct {
	JSON bool          `help:"Print JSON for programs."`
	Only string        `help:"Measure one group: configuration, dispatcher, today or fleet." placeholder:"NAME"`
	For  time.Duration `help:"Bound of the whole run." default:"3m"`
}

// Run measures how the cost of each role grows with the size of the fleet.
func (c *slopesCommand) Run(ctx context.Context, out *output) error {
	series, err := slopes.Run(ctx, slopes.Options{Duration: c.For, Only: c.Only, Progress: out.errs})
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(series)
	}
	rows := make([][]string, 0, len(series))
	for _, s := range series {
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%.4g:%.3g ", p.Size, p.Value)
		}
		rows = append(rows, []string{
			s.Role, s.Figure + ", " + s.Unit, s.Per, points, fmt.Sprintf("%.3g + %.3g n", s.Intercept, s.Slope),
			fmt.Sprintf("%.4g", s.TargetSize), fmt.Sprintf("%.4g", s.AtTarget),
		})
	}
	return out.table([]string{"ROLE", "FIGURE", "PER", "SIZE:VALUE", "LINE", "TARGET SIZE", "AT TARGET"}, rows)
}
