package agreement

import (
	"context"
	"net"
	"strings"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// ErrNotSent marks calls whose request certainly did not leave this process.
var ErrNotSent = errors.New("the request was not sent; check that the control replica runs")

// Member is a control replica and the ip:port of its fleet listener.
type Member struct {
	ID      string
	Address string
}

// Client calls control replicas. Errors of calls that did not reach the replica wrap ErrNotSent.
type Client interface {
	// Replica returns a stub for calls to the replica. It does not connect; errors come from the calls.
	Replica(m Member) agreementpb.DRPCReplicaServer
}

// NewTransportClient returns a client that uses the connections of the pool.
func NewTransportClient(pool *transport.Pool) Client {
	return transportClient{pool: pool}
}

type transportClient struct {
	pool *transport.Pool
}

// Replica implements Client.
func (c transportClient) Replica(m Member) agreementpb.DRPCReplicaServer {
	return transportReplica{client: agreementpb.NewDRPCReplicaClient(c.pool.Conn(context.Background(), m.Address))}
}

type transportReplica struct {
	client agreementpb.DRPCReplicaClient
}

// callError wraps errors of dialing in ErrNotSent, since no request was sent.
func callError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	return err
}

func (r transportReplica) Prepare(ctx context.Context, in *agreementpb.PrepareRequest) (*agreementpb.RegisterReply, error) {
	out, err := r.client.Prepare(ctx, in)
	return out, callError(err)
}

// Accept sends the compressed value if there is one, and the plain one to replicas of releases that cannot read it.
func (r transportReplica) Accept(ctx context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	plain := &agreementpb.AcceptRequest{Header: in.GetHeader(), Key: in.GetKey(), Ballot: in.GetBallot(), Value: in.GetValue()}
	if len(in.GetCompressedValue()) > 0 {
		compressed := &agreementpb.AcceptRequest{Header: in.GetHeader(), Key: in.GetKey(), Ballot: in.GetBallot(), CompressedValue: in.GetCompressedValue()}
		out, err := r.AcceptCompressed(ctx, compressed)
		if !isUnknownCall(err) {
			return out, err
		}
	}
	out, err := r.client.Accept(ctx, plain)
	return out, callError(err)
}

func (r transportReplica) AcceptCompressed(ctx context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	out, err := r.client.AcceptCompressed(ctx, in)
	return out, callError(err)
}

// isUnknownCall reports whether the replica does not have the method. drpc has no error code for that.
func isUnknownCall(err error) bool {
	return err != nil && strings.Contains(err.Error(), "unknown rpc")
}

func (r transportReplica) Decide(ctx context.Context, in *agreementpb.DecideRequest) (*agreementpb.DecideReply, error) {
	out, err := r.client.Decide(ctx, in)
	return out, callError(err)
}

func (r transportReplica) Read(ctx context.Context, in *agreementpb.ReadRequest) (*agreementpb.ReadReply, error) {
	out, err := r.client.Read(ctx, in)
	return out, callError(err)
}

func (r transportReplica) Copy(ctx context.Context, in *agreementpb.CopyRequest) (*agreementpb.CopyReply, error) {
	out, err := r.client.Copy(ctx, in)
	return out, callError(err)
}

func (r transportReplica) Peer(ctx context.Context, in *agreementpb.PeerRequest) (*agreementpb.PeerReply, error) {
	out, err := r.client.Peer(ctx, in)
	return out, callError(err)
}

func (r transportReplica) Swap(ctx context.Context, in *agreementpb.SwapRequest) (*agreementpb.SwapReply, error) {
	out, err := r.client.Swap(ctx, in)
	return out, callError(err)
}

// NewLocalClient returns a client that calls the replica of this process directly and all others
// through next. Values returned by the local replica share its memory and must not be modified.
func NewLocalClient(id string, replica agreementpb.DRPCReplicaServer, next Client) Client {
	return localClient{id: id, replica: replica, next: next}
}

type localClient struct {
	id      string
	replica agreementpb.DRPCReplicaServer
	next    Client
}

// Replica implements Client.
func (c localClient) Replica(m Member) agreementpb.DRPCReplicaServer {
	if m.ID == c.id {
		return c.replica
	}
	return c.next.Replica(m)
}
