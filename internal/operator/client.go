// Package operator is the client side of the operators' remote procedure calls.
//
// It tries the known control replicas in turn, so that a silent one costs only its
// timeout, and asks nodes side by side, naming those that do not answer.
package operator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// replicaCallTimeout bounds one call to one process.
	replicaCallTimeout = 3 * time.Second
	// hostCallTimeout bounds one call when many nodes are asked side by side.
	hostCallTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the calls under way when many nodes are asked.
	maxConcurrentCalls = 32
	// verdictAttempts is how often a change is resent with its request id while its verdict is unknown.
	verdictAttempts = 5
	// resendDelay is the wait between two rounds over the control replicas.
	resendDelay = 200 * time.Millisecond
)

// ErrControlUnavailable means that no control replica answered.
var ErrControlUnavailable = errors.New("control-unavailable: no control replica answers; check the addresses given with --control and that the control hosts run")

// Client talks to control replicas and nodes. It is safe for concurrent use.
type Client struct {
	pool     *transport.Pool
	control  []string
	retryFor time.Duration
}

// New returns a client for the control replicas at the fleet addresses.
func New(pool *transport.Pool, control []string) *Client {
	return &Client{pool: pool, control: slices.Clone(control)}
}

// RetryFor returns a client that goes on for the time while no control replica answers, such as
// while the replicas start.
func (c *Client) RetryFor(d time.Duration) *Client {
	retrying := *c
	retrying.retryFor = d
	return &retrying
}

// callReplica calls fn for one control replica after another until one answers, in rounds while the client
// may retry.
func (c *Client) callReplica(ctx context.Context, fn func(ctx context.Context, client configpb.DRPCOperatorClient) error) error {
	deadline := time.Now().Add(c.retryFor)
	for {
		err := c.tryReplicas(ctx, fn)
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		if err := sleep(ctx, resendDelay); err != nil {
			return err
		}
	}
}

func (c *Client) tryReplicas(ctx context.Context, fn func(ctx context.Context, client configpb.DRPCOperatorClient) error) error {
	last := error(ErrControlUnavailable)
	for _, address := range c.control {
		err := c.call(ctx, address, fn)
		if err == nil {
			return nil
		}
		last = errors.Wrapf(ErrControlUnavailable, "%s: %v", address, err)
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
	}
	return last
}

func (c *Client) call(ctx context.Context, address string, fn func(ctx context.Context, client configpb.DRPCOperatorClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	return fn(ctx, configpb.NewDRPCOperatorClient(c.pool.Conn(ctx, address)))
}

// Get returns the configuration in force at a control replica.
func (c *Client) Get(ctx context.Context) (*configpb.Document, error) {
	var document *configpb.Document
	err := c.callReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		reply, err := client.Get(ctx, &configpb.GetRequest{})
		document = reply.GetDocument()
		return err
	})
	return document, err
}

// History returns the newest entries, newest first.
func (c *Client) History(ctx context.Context, limit uint32) ([]*configpb.Entry, error) {
	var entries []*configpb.Entry
	err := c.callReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		reply, err := client.History(ctx, &configpb.HistoryRequest{Limit: limit})
		entries = reply.GetEntries()
		return err
	})
	return entries, err
}

// Status returns which hosts have which revision in force.
func (c *Client) Status(ctx context.Context) (*configpb.StatusReply, error) {
	var status *configpb.StatusReply
	err := c.callReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		reply, err := client.Status(ctx, &configpb.StatusRequest{})
		status = reply
		return err
	})
	return status, err
}

// ReplaceControl swaps one control replica for another and returns the new epoch.
func (c *Client) ReplaceControl(ctx context.Context, request *configpb.ReplaceControlRequest) (uint64, error) {
	epoch := uint64(0)
	err := c.callReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		reply, err := client.ReplaceControl(ctx, request)
		epoch = reply.GetEpoch()
		return err
	})
	return epoch, err
}

// NewApplyRequest returns a request for a change on top of the expected revision, with a new request id.
func NewApplyRequest(expected uint64, author string, change *configpb.Change) *configpb.ApplyRequest {
	return &configpb.ApplyRequest{
		ExpectedRevision: expected,
		RequestId:        uuid.NewString(),
		Author:           author,
		Change:           change,
	}
}

// Apply asks for a change. While the verdict is unknown it resends the request, which is safe, since
// a change with a known request id is never applied twice.
func (c *Client) Apply(ctx context.Context, request *configpb.ApplyRequest) (*configpb.ApplyReply, error) {
	var reply *configpb.ApplyReply
	var err error
	for attempt := range verdictAttempts {
		if attempt > 0 {
			if err := sleep(ctx, resendDelay); err != nil {
				return nil, err
			}
		}
		reply, err = c.applyOnce(ctx, request)
		if err == nil && isFinal(reply.GetVerdict()) {
			return reply, nil
		}
	}
	return reply, err
}

func isFinal(v configpb.Verdict) bool {
	return v != configpb.Verdict_VERDICT_UNKNOWN && v != configpb.Verdict_VERDICT_UNAVAILABLE
}

func (c *Client) applyOnce(ctx context.Context, request *configpb.ApplyRequest) (*configpb.ApplyReply, error) {
	var reply *configpb.ApplyReply
	err := c.callReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		var err error
		reply, err = client.Apply(ctx, request)
		return err
	})
	return reply, err
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-timer.C:
		return nil
	}
}

// Fleet returns the client of a node at its fleet address.
func (c *Client) Fleet(ctx context.Context, address string) fleetpb.DRPCFleetClient {
	return fleetpb.NewDRPCFleetClient(c.pool.Conn(ctx, address))
}

// HostResult is what one host said.
type HostResult[T any] struct {
	Host  *configpb.Host
	Reply T
	Err   error
}

// CallHosts calls fn for every host side by side and returns the answers in the order of the hosts.
func CallHosts[T any](ctx context.Context, c *Client, hosts []*configpb.Host, fn func(ctx context.Context, client fleetpb.DRPCFleetClient) (T, error)) []HostResult[T] {
	answers := make([]HostResult[T], len(hosts))
	slots := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for i, host := range hosts {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, hostCallTimeout)
			defer cancel()
			reply, err := fn(ctx, c.Fleet(ctx, host.GetFleetAddress()))
			answers[i] = HostResult[T]{Host: host, Reply: reply, Err: err}
		})
	}
	group.Wait()
	return answers
}

// Nodes returns the configured hosts that run a node.
func (c *Client) Nodes(ctx context.Context) ([]*configpb.Host, error) {
	document, err := c.Get(ctx)
	if err != nil {
		return nil, err
	}
	var nodes []*configpb.Host
	for _, host := range document.GetHosts() {
		if host.GetRole() != configpb.HostRole_HOST_ROLE_CONTROL {
			nodes = append(nodes, host)
		}
	}
	return nodes, nil
}
