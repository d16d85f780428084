package dispatchrpc

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// nodeLink is a node's end of a stream.
type nodeLink interface {
	Send(*dispatchpb.NodeBatch) error
	Recv() (*dispatchpb.DispatcherBatch, error)
	Close() error
}

// dispatcherLink is the dispatcher's end of a stream.
type dispatcherLink interface {
	Context() context.Context
	Send(*dispatchpb.DispatcherBatch) error
	Recv() (*dispatchpb.NodeBatch, error)
}

// pipeDepth is how many batches a local stream buffers in each direction.
const pipeDepth = 64

var errPipeClosed = errors.New("the local stream is closed; open a new one")

// pipe is a stream within the process: a node that is the dispatcher itself skips the network.
type pipe struct {
	ctx    context.Context
	cancel context.CancelFunc
	up     chan *dispatchpb.NodeBatch
	down   chan *dispatchpb.DispatcherBatch
}

func newPipe(ctx context.Context) *pipe {
	ctx, cancel := context.WithCancel(ctx)
	return &pipe{
		ctx: ctx, cancel: cancel,
		up:   make(chan *dispatchpb.NodeBatch, pipeDepth),
		down: make(chan *dispatchpb.DispatcherBatch, pipeDepth),
	}
}

// pipeNode is the node's end.
type pipeNode struct{ *pipe }

func (p pipeNode) Send(b *dispatchpb.NodeBatch) error { return put(p.ctx, p.up, b) }

func (p pipeNode) Recv() (*dispatchpb.DispatcherBatch, error) { return take(p.ctx, p.down) }

func (p pipeNode) Close() error {
	p.cancel()
	return nil
}

// pipeDispatcher is the dispatcher's end.
type pipeDispatcher struct{ *pipe }

func (p pipeDispatcher) Context() context.Context { return p.ctx }

func (p pipeDispatcher) Send(b *dispatchpb.DispatcherBatch) error { return put(p.ctx, p.down, b) }

func (p pipeDispatcher) Recv() (*dispatchpb.NodeBatch, error) { return take(p.ctx, p.up) }

func put[T any](ctx context.Context, c chan T, v T) error {
	select {
	case c <- v:
		return nil
	case <-ctx.Done():
		return errPipeClosed
	}
}

func take[T any](ctx context.Context, c chan T) (v T, err error) {
	select {
	case v = <-c:
		return v, nil
	default:
	}
	select {
	case v = <-c:
		return v, nil
	case <-ctx.Done():
		return v, errPipeClosed
	}
}
