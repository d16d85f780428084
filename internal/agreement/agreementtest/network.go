// Package agreementtest provides an in-memory network for tests of proposers and replicas.
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
	// freezePollInterval is how often a message checks whether a frozen process has resumed.
	freezePollInterval = time.Millisecond
	// maxFreezeWait is how long a message waits for a frozen process before it is lost.
	maxFreezeWait = time.Minute
)

// Network connects processes by their ids. Each direction between two processes can be cut separately,
// messages can be delayed, and processes can freeze, restart and disappear. It is safe for
// concurrent use. Without faults and delays a call is delivered immediately.
type Network struct {
	mu          sync.Mutex
	replicas    map[string]attachment
	generations int
	cut         map[[2]string]bool
	frozen      map[string]bool
	random      *rand.Rand
	minDelay    time.Duration
	maxDelay    time.Duration
	messages    int
	observer    Observer
	// requests is called with each request when it arrives; nil means none.
	requests Observer
}

// Observer is called with each reply before it is delivered, or with each request when it arrives, with the ids of the
// caller and of the replica. It may change the network and the processes, but must not block.
type Observer func(from, to string, message proto.Message)

type attachment struct {
	server     agreementpb.DRPCReplicaServer
	generation int
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

// Attach makes the replica reachable under the id, replacing any earlier one.
func (n *Network) Attach(id string, server agreementpb.DRPCReplicaServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.generations++
	n.replicas[id] = attachment{server, n.generations}
}

// Detach makes the id unreachable. Replies in flight from it are lost.
func (n *Network) Detach(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.replicas, id)
}

// Cut drops all messages from one process to another while on is true.
func (n *Network) Cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = on
}

// Freeze holds back messages to and from the process while on is true.
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

// Observe sets the observer of all replies; nil means none.
func (n *Network) Observe(o Observer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = o
}

// ObserveRequests sets the observer of all requests; nil means none.
func (n *Network) ObserveRequests(o Observer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests = o
}

func (n *Network) observeRequest(from, to string, request proto.Message) {
	n.mu.Lock()
	o := n.requests
	n.mu.Unlock()
	if o != nil {
		o(from, to, request)
	}
}

func (n *Network) observe(from, to string, reply proto.Message) {
	n.mu.Lock()
	o := n.observer
	n.mu.Unlock()
	if o != nil {
		o(from, to, reply)
	}
}

// Messages returns the number of lookups of a target process. A call that arrives at a replica counts twice,
// for its request and for its reply.
func (n *Network) Messages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages
}

// Client returns the client that the process with the given id uses.
func (n *Network) Client(from string) agreement.Client {
	return client{n, from}
}

type client struct {
	network *Network
	from    string
}

// Replica implements agreement.Client.
func (c client) Replica(m agreement.Member) agreementpb.DRPCReplicaServer {
	return remoteReplica{c.network, c.from, m.ID}
}

type remoteReplica struct {
	network  *Network
	from, to string
}

// deliver delays a message and reports whether it arrives.
func (n *Network) deliver(from, to string) bool {
	n.mu.Lock()
	delay := n.minDelay
	if spread := n.maxDelay - n.minDelay; spread > 0 {
		delay += time.Duration(n.random.Int64N(int64(spread)))
	}
	n.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return n.waitUntilThawed(from) && n.waitUntilThawed(to) && !n.isCut(from, to)
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

func (n *Network) waitUntilThawed(id string) bool {
	for waited := time.Duration(0); waited < maxFreezeWait; waited += freezePollInterval {
		n.mu.Lock()
		frozen := n.frozen[id]
		n.mu.Unlock()
		if !frozen {
			return true
		}
		time.Sleep(freezePollInterval)
	}
	return false
}

func (n *Network) lookUp(id string) (attachment, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	a, ok := n.replicas[id]
	return a, ok
}

type callResult[T any] struct {
	reply T
	err   error
}

// call delivers one request and its reply. The request continues after the context of the caller ends.
func call[In, Out proto.Message](ctx context.Context, r remoteReplica, in In, do func(agreementpb.DRPCReplicaServer, context.Context, In) (Out, error)) (Out, error) {
	var none Out
	request := proto.Clone(in).(In)
	results := make(chan callResult[Out], 1)
	go func() {
		reply, err, arrived := exchange(r, request, do)
		if arrived {
			results <- callResult[Out]{reply, err}
		}
	}()
	select {
	case <-ctx.Done():
		return none, errors.WithStack(ctx.Err())
	case o := <-results:
		return o.reply, o.err
	}
}

func exchange[In, Out proto.Message](r remoteReplica, in In, do func(agreementpb.DRPCReplicaServer, context.Context, In) (Out, error)) (reply Out, err error, arrived bool) {
	if !r.network.deliver(r.from, r.to) {
		return reply, nil, false
	}
	target, ok := r.network.lookUp(r.to)
	if !ok {
		return reply, errors.WithStack(agreement.ErrNotSent), true
	}
	r.network.observeRequest(r.from, r.to, in)
	reply, err = do(target.server, context.Background(), in)
	if err == nil {
		r.network.observe(r.from, r.to, reply)
	}
	if now, ok := r.network.lookUp(r.to); !ok || now.generation != target.generation {
		return reply, nil, false
	}
	if !r.network.deliver(r.to, r.from) {
		return reply, nil, false
	}
	if err != nil {
		return reply, err, true
	}
	return proto.Clone(reply).(Out), nil, true
}

func (r remoteReplica) Prepare(ctx context.Context, in *agreementpb.PrepareRequest) (*agreementpb.RegisterReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Prepare)
}

func (r remoteReplica) Accept(ctx context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Accept)
}

func (r remoteReplica) AcceptCompressed(ctx context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.AcceptCompressed)
}

func (r remoteReplica) Decide(ctx context.Context, in *agreementpb.DecideRequest) (*agreementpb.DecideReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Decide)
}

func (r remoteReplica) Read(ctx context.Context, in *agreementpb.ReadRequest) (*agreementpb.ReadReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Read)
}

func (r remoteReplica) Copy(ctx context.Context, in *agreementpb.CopyRequest) (*agreementpb.CopyReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Copy)
}

func (r remoteReplica) Peer(ctx context.Context, in *agreementpb.PeerRequest) (*agreementpb.PeerReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Peer)
}

func (r remoteReplica) Swap(ctx context.Context, in *agreementpb.SwapRequest) (*agreementpb.SwapReply, error) {
	return call(ctx, r, in, agreementpb.DRPCReplicaServer.Swap)
}
