package cli

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bench/scenario"
	"github.com/tarragonmux/tarragonmux/internal/demo"
	"github.com/tarragonmux/tarragonmux/internal/logging"
)

type demoCommand struct {
	For      time.Duration `help:"How long the load runs." default:"20s"`
	User     string        `help:"Whose deployment: hanbit or thies." default:"hanbit" enum:"hanbit,thies"`
	LogLevel string        `help:"Level of the log lines on the standard error." default:"error" enum:"debug,info,warn,error"`
}

// Run runs the demo.
func (c *demoCommand) Run(ctx context.Context, out *output) error {
	user, err := findUser(c.User)
	if err != nil {
		return err
	}
	return demo.Run(ctx, demo.Options{
		User:   user,
		For:    c.For,
		Out:    out.out,
		Logger: logging.New(out.errs, c.LogLevel, false),
	})
}

// findUser returns the deployment with the name.
func findUser(name string) (scenario.User, error) {
	for _, u := range []scenario.User{scenario.Hanbit(), scenario.Thies()} {
		if u.Name == name {
			return u, nil
		}
	}
	return scenario.User{}, errors.Errorf("unknown user %q; use hanbit or thies", name)
}
