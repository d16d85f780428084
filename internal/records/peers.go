package records

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// PeerClient asks other nodes about their attempts.
type PeerClient interface {
	// Attempt asks the node with the fleet address.
	Attempt(ctx context.Context, address string, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error)
}

type poolPeers struct {
	pool *transport.Pool
}

// NewPeerClient returns peers over the pool's connections.
func NewPeerClient(pool *transport.Pool) PeerClient {
	return &poolPeers{pool: pool}
}

func (p *poolPeers) Attempt(ctx context.Context, address string, r *fleetpb.AttemptRequest) (*fleetpb.AttemptReply, error) {
	reply, err := fleetpb.NewDRPCFleetClient(p.pool.Conn(ctx, address)).Attempt(ctx, r)
	return reply, errors.Wrapf(err, "ask %s about an attempt; check that the node runs and can be reached", address)
}
