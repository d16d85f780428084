package attach

import (
	"context"

	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

type poolCaller struct {
	pool *transport.Pool
}

// NewCaller returns a caller that uses the pool.
func NewCaller(pool *transport.Pool) Caller {
	return poolCaller{pool}
}

// NewPeers returns peers that are reached through the pool.
func NewPeers(pool *transport.Pool) Peers {
	return poolCaller{pool}
}

func (c poolCaller) client(ctx context.Context, address string) fleetpb.DRPCFleetClient {
	return fleetpb.NewDRPCFleetClient(c.pool.Conn(ctx, address))
}

// Attach implements Caller.
func (c poolCaller) Attach(ctx context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	return c.client(ctx, address).Attach(ctx, r)
}

// Mark implements Peers.
func (c poolCaller) Mark(ctx context.Context, address string, r *fleetpb.MarkRequest) error {
	_, err := c.client(ctx, address).Mark(ctx, r)
	return err
}

// Departures implements Peers.
func (c poolCaller) Departures(ctx context.Context, address string, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	return c.client(ctx, address).ListDepartures(ctx, r)
}
