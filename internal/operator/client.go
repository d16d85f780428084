// Package operator is the client of the RPCs that operators use.
//
// It tries the known control replicas in turn, so that an unresponsive one delays a
// request only by its timeout. It calls nodes concurrently and returns a result for
// each, so that those that do not respond can be named.
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
	// replicaCallTimeout limits one call to one control replica.
	replicaCallTimeout = 3 * time.Second
	// hostCallTimeout limits one of the concurrent calls of CallHosts.
	hostCallTimeout = 2 * time.Second
	// maxConcurrentCalls limits the concurrent calls of CallHosts.
	maxConcurrentCalls = 32
	// verdictAttempts is how often a change is sent with the same request id while its verdict is unknown.
	verdictAttempts = 5
	// resendDelay is the wait before a change is resent and between two rounds over the control replicas.
	resendDelay = 200 * time.Millisecond
)

// ErrControlUnavailable means that no control replica responded.
var ErrControlUnavailable = errors.New("control-unavailable: no control replica answers; check the addresses given with --control and that the control hosts run")

// Client calls control replicas and nodes. It is safe for concurrent use.
type Client struct {
	pool     *transport.Pool
	control  []string
	retryFor time.Duration
}

// New returns a client for the control replicas at the fleet addresses.
func New(pool *transport.Pool, control []string) *Client {
	return &Client{pool: pool, control: slices.Clone(control)}
}

// RetryFor returns a client that retries for the time d while no control replica responds, such as
// while the replicas start.
func (c *Client) RetryFor(d time.Duration) *Client {
	retrying := *c
	retrying.retryFor = d
	return &retrying
}

// callAnyReplica calls fn for one control replica after another until a call succeeds. If none succeeds, it
// tries them all again after resendDelay, until the time set with RetryFor has passed.
func (c *Client) callAnyReplica(ctx context.Context, fn func(ctx context.Context, client configpb.DRPCOperatorClient) error) error {
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

// tryReplicas calls fn once for each control replica until a call succeeds, and otherwise returns the last
// error.
func (c *Client) tryReplicas(ctx context.Context, fn func(ctx context.Context, client configpb.DRPCOperatorClient) error) error {
	lastErr := error(ErrControlUnavailable)
	for _, address := range c.control {
		err := c.callAddress(ctx, address, fn)
		if err == nil {
			return nil
		}
		lastErr = errors.Wrapf(ErrControlUnavailable, "%s: %v", address, err)
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
	}
	return lastErr
}

func (c *Client) callAddress(ctx context.Context, address string, fn func(ctx context.Context, client configpb.DRPCOperatorClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	return fn(ctx, configpb.NewDRPCOperatorClient(c.pool.Conn(ctx, address)))
}

// Get returns the configuration that is in force at a control replica.
func (c *Client) Get(ctx context.Context) (*configpb.Document, error) {
	var document *configpb.Document
	err := c.callAnyReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		reply, err := client.Get(ctx, &configpb.GetRequest{})
		document = reply.GetDocument()
		return err
	})
	return document, err
}

// History returns up to limit of the newest configuration entries, newest first.
func (c *Client) History(ctx context.Context, limit uint32) ([]*configpb.Entry, error) {
	var entries []*configpb.Entry
	err := c.callAnyReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		reply, err := client.History(ctx, &configpb.HistoryRequest{Limit: limit})
		entries = reply.GetEntries()
		return err
	})
	return entries, err
}

// Status returns which revision each host has in force.
func (c *Client) Status(ctx context.Context) (*configpb.StatusReply, error) {
	var status *configpb.StatusReply
	err := c.callAnyReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		reply, err := client.Status(ctx, &configpb.StatusRequest{})
		status = reply
		return err
	})
	return status, err
}

// ReplaceControl replaces one control replica by another and returns the new epoch.
func (c *Client) ReplaceControl(ctx context.Context, request *configpb.ReplaceControlRequest) (uint64, error) {
	epoch := uint64(0)
	err := c.callAnyReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
		reply, err := client.ReplaceControl(ctx, request)
		epoch = reply.GetEpoch()
		return err
	})
	return epoch, err
}

// NewApplyRequest returns a request for a change that is based on the expected revision, with a new request
// id.
func NewApplyRequest(expected uint64, author string, change *configpb.Change) *configpb.ApplyRequest {
	return &configpb.ApplyRequest{
		ExpectedRevision: expected,
		RequestId:        uuid.NewString(),
		Author:           author,
		Change:           change,
	}
}

// Apply requests a change. While the verdict is unknown it resends the request with the same request id.
// This is safe, since a request id is never applied twice.
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
	err := c.callAnyReplica(ctx, func(ctx context.Context, client configpb.DRPCOperatorClient) error {
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

// HostResult is the result of a call to one host.
type HostResult[T any] struct {
	Host  *configpb.Host
	Reply T
	Err   error
}

// CallHosts calls fn for all hosts concurrently and returns the results in the order of the hosts.
func CallHosts[T any](ctx context.Context, c *Client, hosts []*configpb.Host, fn func(ctx context.Context, client fleetpb.DRPCFleetClient) (T, error)) []HostResult[T] {
	results := make([]HostResult[T], len(hosts))
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for i, host := range hosts {
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, hostCallTimeout)
			defer cancel()
			reply, err := fn(ctx, c.Fleet(ctx, host.GetFleetAddress()))
			results[i] = HostResult[T]{Host: host, Reply: reply, Err: err}
		})
	}
	calls.Wait()
	return results
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
