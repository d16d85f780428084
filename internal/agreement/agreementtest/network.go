// Package agreementtest has a network in memory for tests of proposers and replicas.
package agreementtest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// freezePoll is how often a message looks whether a frozen process goes on.
	freezePoll = time.Millisecond
	// freezeLimit is how long a message waits at a frozen process before it is lost.
	freezeLimit = time.Minute
)

// Network connects processes by their ids. Each direction between two processes can be cut alone,
// messages can be delayed, and processes can freeze, restart and disappear. It is safe for
// concurrent use. Without faults and delays a call is made at once.
type Network struct {
	mu       sync.Mutex
	replicas map[string]attachment
	starts   int
	cut      map[[2]string]bool
	frozen   map[string]bool
	random   *rand.Rand
	minDelay time.Duration
	maxDelay time.Duration
	messages int
}

type attachment struct {
	server agreementpb.DRPCReplicaServer
	start  int
}

// NewNetwork returns a network without faults; the seed determines the delays.
func NewNetwork(seed uint64) *Network {
	return &Network{
		replicas: map[string]attachment{},
		cut:      map[[2]string]bool{},
		frozen:   map[string]bool{},
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Attach makes the replica reachable under the id, in place of an earlier one.
func (n *Network) Attach(id string, server agreementpb.DRPCReplicaServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	n.replicas[id] = attachment{server, n.starts}
}

// Detach makes the id unreachable. Replies that are under way are lost.
func (n *Network) Detach(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.replicas, id)
}

// Cut loses all messages from one process to another, until it is switched off.
func (n *Network) Cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = on
}

// Freeze holds messages to and from the process until it is switched off.
func (n *Network) Freeze(id string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[id] = on
}

// Delay sets the bounds of the random delay of each message.
func (n *Network) Delay(shortest, longest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.minDelay, n.maxDelay = shortest, longest
}

// Messages returns how many calls were made.
func (n *Network) Messages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages
}

// Client returns the client of the process.
func (n *Network) Client(from string) agreement.Client {
	return client{n, from}
}

type client struct {
	network *Network
	from    string
}

// Replica implements agreement.Client.
func (c client) Replica(m agreement.Member) agreementpb.DRPCReplicaServer {
	return remote{c.network, c.from, m.ID}
}

type remote struct {
	network  *Network
	from, to string
}

// pass delays a message and reports whether it arrives.
func (n *Network) pass(from, to string) bool {
	n.mu.Lock()
	delay := n.minDelay
	if spread := n.maxDelay - n.minDelay; spread > 0 {
		delay += time.Duration(n.random.Int64N(int64(spread)))
	}
	n.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return n.thawed(from) && n.thawed(to) && !n.isCut(from, to)
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

func (n *Network) thawed(id string) bool {
	for waited := time.Duration(0); waited < freezeLimit; waited += freezePoll {
		n.mu.Lock()
		frozen := n.frozen[id]
		n.mu.Unlock()
		if !frozen {
			return true
		}
		time.Sleep(freezePoll)
	}
	return false
}

func (n *Network) find(id string) (attachment, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	a, ok := n.replicas[id]
	return a, ok
}

type outcome[T any] struct {
	reply T
	err   error
}

// call carries one request and its reply. The request goes on when the caller gives up.
func call[In, Out proto.Message](ctx context.Context, r remote, in In, do func(agreementpb.DRPCReplicaServer, context.Context, In) (Out, error)) (Out, error) {
	var none Out
	request := proto.Clone(in).(In)
	results := make(chan outcome[Out], 1)
	go func() {
		reply, err, arrived := carry(r, request, do)
		if arrived {
			results <- outcome[Out]{reply, err}
		}
	}()
	select {
	case <-ctx.Done():
		return none, errors.WithStack(ctx.Err())
	case o := <-results:
		return o.reply, o.err
	}
}

func carry[In, Out proto.Message](r remote, in In, do func(agreementpb.DRPCReplicaServer, context.Context, In) (Out, error)) (reply Out, err error, arrived bool) {
	if !r.network.pass(r.from, r.to) {
		return reply, nil, false
	}
	target, ok := r.network.find(r.to)
	if !ok {
		return reply, errors.WithStack(agreement.ErrNotSent), true
	}
	reply, err = do(target.server, context.Background(), in)
	if now, ok := r.network.find(r.to); !ok || now.start != target.start {
		return reply, nil, false
	}
	if !r.network.pass(r.to, r.from) {
		return reply, nil, false
	}
	if err != nil {
		return reply, err, true
	}
	return proto.Clone(reply).(Out), nil, true
}

func (r remote) Prepare(ctx context.Context, in *agreementpb.PrepareRequest) (*agreementpb.RegisterReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Prepare)
}

func (r remote) Accept(ctx context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Accept)
}

func (r remote) Decide(ctx context.Context, in *agreementpb.DecideRequest) (*agreementpb.DecideReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Decide)
}

func (r remote) Read(ctx context.Context, in *agreementpb.ReadRequest) (*agreementpb.ReadReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Read)
}

func (r remote) Copy(ctx context.Context, in *agreementpb.CopyRequest) (*agreementpb.CopyReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Copy)
}

func (r remote) Peer(ctx context.Context, in *agreementpb.PeerRequest) (*agreementpb.PeerReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Peer)
}

func (r remote) Swap(ctx context.Context, in *agreementpb.SwapRequest) (*agreementpb.SwapReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Swap)
}
