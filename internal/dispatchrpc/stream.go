package dispatchrpc

import (
	"context"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// nodeStream is the node's end of a stream.
type nodeStream interface {
	Send(*dispatchpb.NodeBatch) error
	Recv() (*dispatchpb.DispatcherBatch, error)
	Close() error
}

// dispatcherStream is the dispatcher's end of a stream.
type dispatcherStream interface {
	Context() context.Context
	Send(*dispatchpb.DispatcherBatch) error
	Recv() (*dispatchpb.NodeBatch, error)
}

// pipeDepth is how many batches a local stream buffers in each direction.
const pipeDepth = 64

var errPipeClosed = errors.New("the local stream is closed; open a new one")

// pipe is a stream within the process. A node that is itself the dispatcher uses it to bypass the network.
type pipe struct {
	ctx          context.Context
	cancel       context.CancelFunc
	toDispatcher chan *dispatchpb.NodeBatch
	toNode       chan *dispatchpb.DispatcherBatch
}

func newPipe(ctx context.Context) *pipe {
	ctx, cancel := context.WithCancel(ctx)
	return &pipe{
		ctx: ctx, cancel: cancel,
		toDispatcher: make(chan *dispatchpb.NodeBatch, pipeDepth),
		toNode:       make(chan *dispatchpb.DispatcherBatch, pipeDepth),
	}
}

// pipeNode is the node's end of a pipe.
type pipeNode struct{ *pipe }

func (p pipeNode) Send(b *dispatchpb.NodeBatch) error { return sendOn(p.ctx, p.toDispatcher, b) }

func (p pipeNode) Recv() (*dispatchpb.DispatcherBatch, error) { return receiveFrom(p.ctx, p.toNode) }

func (p pipeNode) Close() error {
	p.cancel()
	return nil
}

// pipeDispatcher is the dispatcher's end of a pipe.
type pipeDispatcher struct{ *pipe }

func (p pipeDispatcher) Context() context.Context { return p.ctx }

func (p pipeDispatcher) Send(b *dispatchpb.DispatcherBatch) error { return sendOn(p.ctx, p.toNode, b) }

func (p pipeDispatcher) Recv() (*dispatchpb.NodeBatch, error) {
	return receiveFrom(p.ctx, p.toDispatcher)
}

func sendOn[T any](ctx context.Context, c chan T, v T) error {
	select {
	case c <- v:
		return nil
	case <-ctx.Done():
		return errPipeClosed
	}
}

func receiveFrom[T any](ctx context.Context, c chan T) (v T, err error) {
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
