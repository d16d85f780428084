package durable

import (
	"context"
	"net"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

const (
	// formationTimeout bounds the wait until a new cluster accepts requests.
	formationTimeout = 10 * time.Second
	formationPoll    = 10 * time.Millisecond
)

// cluster is a group of three processes of either design on loopback TCP.
type cluster struct {
	members   []agreement.Member
	listeners []net.Listener
	faults    *faults
	group     *errgroup.Group
	ctx       context.Context
	cancel    context.CancelFunc
	pools     []*transport.Pool
	// replicas is set in the leaderless design, nodes in the baseline.
	replicas []*agreement.Replica
	nodes    []*baselineNode
}

func newCluster(ctx context.Context) (*cluster, error) {
	c := &cluster{faults: &faults{fault: NoFault}}
	ctx, c.cancel = context.WithCancel(ctx)
	c.group, c.ctx = errgroup.WithContext(ctx)
	for _, id := range []string{"a", "b", "c"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen on loopback; check that the address is free")
		}
		c.listeners = append(c.listeners, l)
		c.members = append(c.members, agreement.Member{ID: id, Address: l.Addr().String()})
	}
	return c, nil
}

// client returns a client with its own connection pool, and the counts of its traffic.
func (c *cluster) client(from string) (agreement.Client, *traffic) {
	t := &traffic{}
	pool := transport.NewPool(countingDialer{transport.NewDialer(), t})
	c.pools = append(c.pools, pool)
	return faultyClient{from: from, faults: c.faults, traffic: t, next: agreement.NewTransportClient(pool)}, t
}

func (c *cluster) serve(i int, server agreementpb.DRPCReplicaServer, run func(context.Context) error) error {
	mux := transport.NewMux()
	if err := mux.Register(server, agreementpb.DRPCReplicaDescription{}); err != nil {
		return err
	}
	c.group.Go(func() error { return transport.Serve(c.ctx, c.listeners[i], mux, logging.Discard()) })
	c.group.Go(func() error { return run(c.ctx) })
	return nil
}

func (c *cluster) close() error {
	c.cancel()
	err := c.group.Wait()
	for _, p := range c.pools {
		// The connections may have failed already when the servers stopped.
		_ = p.Close()
	}
	return err
}

// startLeaderless starts three replicas and waits until they vote.
func startLeaderless(ctx context.Context, folder string) (*cluster, error) {
	c, err := newCluster(ctx)
	if err != nil {
		return nil, err
	}
	for i, m := range c.members {
		client, _ := c.client(m.ID)
		r, err := agreement.NewReplica(agreement.ReplicaConfig{
			ID: m.ID, Address: m.Address, FS: slowFS{storage.NewFS(), c.faults, m.ID},
			Folder: filepath.Join(folder, m.ID), FirstGroup: c.members, Client: client,
		})
		if err != nil {
			return nil, err
		}
		c.replicas = append(c.replicas, r)
		if err := c.serve(i, r, r.Run); err != nil {
			return nil, err
		}
	}
	return c, c.waitUntil(func() bool {
		for _, r := range c.replicas {
			if r.Status().State != agreement.Voting {
				return false
			}
		}
		return true
	})
}

// startBaseline starts three nodes of the baseline and waits for a leader.
func startBaseline(ctx context.Context, folder string) (*cluster, error) {
	c, err := newCluster(ctx)
	if err != nil {
		return nil, err
	}
	for i, m := range c.members {
		client, _ := c.client(m.ID)
		n, err := newBaselineNode(m.ID, c.members, client, slowFS{storage.NewFS(), c.faults, m.ID}, filepath.Join(folder, m.ID))
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
		if err := c.serve(i, n, n.run); err != nil {
			return nil, err
		}
	}
	return c, c.waitUntil(func() bool { return c.leader() != "" })
}

// leader returns the id of the leader of the baseline; "" if there is none.
func (c *cluster) leader() string {
	for _, n := range c.nodes {
		if n.isLeader() {
			return n.id
		}
	}
	return ""
}

func (c *cluster) waitUntil(ready func() bool) error {
	for end := time.Now().Add(formationTimeout); time.Now().Before(end); time.Sleep(formationPoll) {
		if ready() {
			return nil
		}
	}
	return errors.New("the cluster did not form in time; check that loopback and the folder work")
}
