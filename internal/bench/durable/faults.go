package durable

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// Fault is the fault of one replica in a scenario.
type Fault string

// Faults.
const (
	NoFault      Fault = "none"
	Unresponsive Fault = "silent"
	DropIncoming Fault = "nothing reaches it"
	DropOutgoing Fault = "nothing leaves it"
	SlowSync     Fault = "slow sync"
)

// slowSyncDelay is the delay that SlowSync adds to each sync of a replica.
const slowSyncDelay = 200 * time.Millisecond

// faults holds the current fault and the replica that has it. It is safe for concurrent use.
type faults struct {
	mu    sync.Mutex
	fault Fault
	id    string
}

func (f *faults) set(fault Fault, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.id = fault, id
}

// drops reports whether a message between the two is dropped.
func (f *faults) drops(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.fault {
	case Unresponsive:
		return from == f.id || to == f.id
	case DropIncoming:
		return to == f.id
	case DropOutgoing:
		return from == f.id
	default:
		return false
	}
}

func (f *faults) syncDelay(id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == SlowSync && f.id == id {
		return slowSyncDelay
	}
	return 0
}

// traffic counts the calls of a client and the bytes that it sends and receives.
type traffic struct {
	calls atomic.Int64
	bytes atomic.Int64
}

// faultyClient drops messages according to the faults and counts calls.
type faultyClient struct {
	from    string
	faults  *faults
	traffic *traffic
	next    agreement.Client
}

// Replica implements agreement.Client.
func (c faultyClient) Replica(m agreement.Member) agreementpb.DRPCReplicaServer {
	return faultyReplica{c, m.ID, c.next.Replica(m)}
}

type faultyReplica struct {
	client faultyClient
	to     string
	next   agreementpb.DRPCReplicaServer
}

func callThroughFaults[In, Out any](ctx context.Context, r faultyReplica, in In, call func(agreementpb.DRPCReplicaServer, context.Context, In) (Out, error)) (Out, error) {
	var none Out
	r.client.traffic.calls.Add(1)
	if r.client.faults.drops(r.client.from, r.to) {
		<-ctx.Done()
		return none, errors.WithStack(ctx.Err())
	}
	out, err := call(r.next, ctx, in)
	if r.client.faults.drops(r.to, r.client.from) {
		<-ctx.Done()
		return none, errors.WithStack(ctx.Err())
	}
	return out, err
}

func (r faultyReplica) Prepare(ctx context.Context, in *agreementpb.PrepareRequest) (*agreementpb.RegisterReply, error) {
	return callThroughFaults(ctx, r, in, agreementpb.DRPCReplicaServer.Prepare)
}

func (r faultyReplica) Accept(ctx context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	return callThroughFaults(ctx, r, in, agreementpb.DRPCReplicaServer.Accept)
}

func (r faultyReplica) AcceptCompressed(ctx context.Context, in *agreementpb.AcceptRequest) (*agreementpb.RegisterReply, error) {
	return callThroughFaults(ctx, r, in, agreementpb.DRPCReplicaServer.AcceptCompressed)
}

func (r faultyReplica) Decide(ctx context.Context, in *agreementpb.DecideRequest) (*agreementpb.DecideReply, error) {
	return callThroughFaults(ctx, r, in, agreementpb.DRPCReplicaServer.Decide)
}

func (r faultyReplica) Read(ctx context.Context, in *agreementpb.ReadRequest) (*agreementpb.ReadReply, error) {
	return callThroughFaults(ctx, r, in, agreementpb.DRPCReplicaServer.Read)
}

func (r faultyReplica) Copy(ctx context.Context, in *agreementpb.CopyRequest) (*agreementpb.CopyReply, error) {
	return callThroughFaults(ctx, r, in, agreementpb.DRPCReplicaServer.Copy)
}

func (r faultyReplica) Peer(ctx context.Context, in *agreementpb.PeerRequest) (*agreementpb.PeerReply, error) {
	return callThroughFaults(ctx, r, in, agreementpb.DRPCReplicaServer.Peer)
}

func (r faultyReplica) Swap(ctx context.Context, in *agreementpb.SwapRequest) (*agreementpb.SwapReply, error) {
	return callThroughFaults(ctx, r, in, agreementpb.DRPCReplicaServer.Swap)
}

// countingDialer counts the bytes of its connections in both directions.
type countingDialer struct {
	next    transport.Dialer
	traffic *traffic
}

// DialContext implements transport.Dialer.
func (d countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.next.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, d.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// slowFS delays the syncs of one replica according to the faults.
type slowFS struct {
	storage.FS
	faults *faults
	id     string
}

// Create implements storage.FS.
func (s slowFS) Create(path string) (storage.File, error) {
	f, err := s.FS.Create(path)
	return slowFile{f, s}, err
}

type slowFile struct {
	storage.File
	fs slowFS
}

func (f slowFile) Sync() error {
	time.Sleep(f.fs.faults.syncDelay(f.fs.id))
	return f.File.Sync()
}
