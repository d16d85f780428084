package cli

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/operator"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// target selects the fleet that an operator command connects to.
type target struct {
	Control  []string      `help:"Fleet addresses (ip:port) of control replicas." env:"TARRAGONMUX_CONTROL" placeholder:"ADDRESS"`
	Settings string        `help:"Settings file to take the control replicas from." env:"TARRAGONMUX_SETTINGS" placeholder:"FILE"`
	RetryFor time.Duration `help:"How long to go on while no control replica answers." default:"5s"`
	JSON     bool          `help:"Print JSON for programs."`
}

// client returns an operator client for the target.
func (t *target) client() (*operator.Client, error) {
	addresses := t.Control
	if len(addresses) == 0 && t.Settings != "" {
		s, err := settings.Load(t.Settings)
		if err != nil {
			return nil, err
		}
		for _, replica := range s.ControlReplicas {
			addresses = append(addresses, replica.Address)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.New("no control replica is named; use --control ADDRESS or --settings FILE, or set TARRAGONMUX_CONTROL")
	}
	return operator.New(transport.NewPool(transport.NewDialer()), addresses).RetryFor(t.RetryFor), nil
}

// callNodes calls fn for all configured nodes concurrently.
func callNodes[T any](ctx context.Context, t *target, fn func(context.Context, fleetpb.DRPCFleetClient) (T, error)) ([]operator.HostResult[T], error) {
	client, err := t.client()
	if err != nil {
		return nil, err
	}
	nodes, err := client.Nodes(ctx)
	if err != nil {
		return nil, err
	}
	return operator.CallHosts(ctx, client, nodes, fn), nil
}
