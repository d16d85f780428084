package feed

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Client fetches from the process with the given fleet address.
type Client interface {
	Fetch(ctx context.Context, address string, r *configpb.FetchRequest) (*configpb.FetchReply, error)
}

type poolClient struct {
	pool *transport.Pool
}

// NewClient returns a client that uses the pool's connections.
func NewClient(pool *transport.Pool) Client {
	return &poolClient{pool: pool}
}

func (c *poolClient) Fetch(ctx context.Context, address string, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	reply, err := configpb.NewDRPCFeedClient(c.pool.Conn(ctx, address)).Fetch(ctx, r)
	return reply, errors.Wrapf(err, "fetch the configuration from %s; check that the process runs and can be reached", address)
}
