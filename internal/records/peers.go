package records

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// PeerClient queries other nodes about their attempts.
type PeerClient interface {
	// Attempt queries the node at the fleet address.
	Attempt(ctx context.Context, address string, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error)
}

type poolClient struct {
	pool *transport.Pool
}

// NewPeerClient returns a client that uses the pool's connections.
func NewPeerClient(pool *transport.Pool) PeerClient {
	return &poolClient{pool: pool}
}

func (c *poolClient) Attempt(ctx context.Context, address string, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	reply, err := fleetpb.NewDRPCFleetClient(c.pool.Conn(ctx, address)).Attempt(ctx, r)
	return reply, errors.Wrapf(err, "query %s about an attempt; check that the node runs and can be reached", address)
}
