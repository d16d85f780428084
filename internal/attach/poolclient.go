package attach

import (
	"context"

	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

type poolClient struct {
	pool *transport.Pool
}

// NewControlClient returns a client that uses the connections of the pool.
func NewControlClient(pool *transport.Pool) ControlClient {
	return poolClient{pool}
}

// NewPeers returns peers that are reached over the connections of the pool.
func NewPeers(pool *transport.Pool) Peers {
	return poolClient{pool}
}

func (c poolClient) client(ctx context.Context, address string) fleetpb.DRPCFleetClient {
	return fleetpb.NewDRPCFleetClient(c.pool.Conn(ctx, address))
}

// Attach implements ControlClient.
func (c poolClient) Attach(ctx context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	return c.client(ctx, address).Attach(ctx, r)
}

// Mark implements Peers.
func (c poolClient) Mark(ctx context.Context, address string, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	return c.client(ctx, address).Mark(ctx, r)
}

// ListDepartures implements Peers.
func (c poolClient) ListDepartures(ctx context.Context, address string, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	return c.client(ctx, address).ListDepartures(ctx, r)
}
