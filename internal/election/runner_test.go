package election_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

var errDown = errors.New("the node does not respond")

// cluster runs election runners in virtual time, with a one-way delay of 1 ms between nodes.
type cluster struct {
	fleet             atomic.Pointer[hostset.Fleet]
	mu                sync.Mutex
	runners           map[string]*election.Runner
	cancel            map[string]context.CancelFunc
	done              sync.WaitGroup
	dropAnnouncements bool
	calls             int
}

func (c *cluster) Fleet() *hostset.Fleet { return c.fleet.Load() }

// Vote delivers a message; the address of a node is its id. A message from or to a node that was killed is
// lost, and so are announcements while dropAnnouncements is set.
func (c *cluster) Vote(ctx context.Context, address string, r *fleetpb.VoteRequest) (*fleetpb.VoteReply, error) {
	c.mu.Lock()
	c.calls++
	runner, ok := c.runners[address]
	_, senderUp := c.runners[r.Candidate]
	lost := !ok || !senderUp || c.dropAnnouncements && r.Announce
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errDown
	}
	time.Sleep(time.Millisecond)
	reply, err := runner.Vote(ctx, r)
	time.Sleep(time.Millisecond)
	return reply, err
}

func newCluster(t *testing.T, nodes int, services ...string) *cluster {
	c := &cluster{runners: map[string]*election.Runner{}, cancel: map[string]context.CancelFunc{}}
	t.Cleanup(invariant.Subscribe(func(v invariant.Violation) { t.Errorf("%s: %s", v.Name, v.Detail) }))
	fleet := &hostset.Fleet{HostsRevision: 1}
	for _, s := range services {
		fleet.Services = append(fleet.Services, hostset.Service{Name: s})
	}
	for i := range nodes {
		id := fmt.Sprintf("n%d", i)
		fleet.Hosts = append(fleet.Hosts, hostset.Host{ID: id, DataCentre: fmt.Sprintf("dc%d", i%3), FleetAddress: id})
		r := election.NewRunner(election.Options{ID: id, Incarnation: 1, Source: c, PeerClient: c, Logger: logging.Discard()})
		ctx, cancel := context.WithCancel(context.Background())
		c.runners[id], c.cancel[id] = r, cancel
		c.done.Go(func() { _ = r.Run(ctx) })
	}
	c.fleet.Store(fleet)
	return c
}

func (c *cluster) stop() {
	for _, cancel := range c.cancel {
		cancel()
	}
	c.done.Wait()
}

func (c *cluster) kill(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel[id]()
	delete(c.runners, id)
}

// holder returns the node that holds the lease. known is set if all nodes name it as the dispatcher.
func (c *cluster) holder(service string) (id string, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, r := range c.runners {
		if _, held := r.Held(service); held {
			id = node
		}
	}
	known = id != ""
	for _, r := range c.runners {
		h, ok := r.Dispatcher(service)
		known = known && ok && h.Node == id && h.Address == id
	}
	return id, known
}

func (c *cluster) waitUntil(holds func() bool) time.Duration {
	start := time.Now()
	for !holds() && time.Since(start) < 10*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against nodes that continue with a dead dispatcher: after a kill and after a resignation every
// node must know the new one within 1 s, or within 2.5 s if all announcements are lost.
func TestEveryNodeLearnsTheDispatcher(t *testing.T) {
	for _, dropAnnouncements := range []bool{false, true} {
		t.Run(fmt.Sprintf("announcements lost %v", dropAnnouncements), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				limit := time.Second
				if dropAnnouncements {
					limit += 1500 * time.Millisecond
				}
				c := newCluster(t, 48, "booking", "catalogue")
				defer c.stop()
				known := func(previous string) func() bool {
					return func() bool { id, known := c.holder("booking"); return known && id != previous }
				}
				g.Expect(c.waitUntil(known(""))).To(BeNumerically("<", 2*time.Second))
				c.mu.Lock()
				c.dropAnnouncements = dropAnnouncements
				c.mu.Unlock()
				time.Sleep(2 * time.Second)
				first, _ := c.holder("booking")
				c.kill(first)
				took := c.waitUntil(known(first))
				t.Logf("known everywhere %v after the kill", took)
				g.Expect(took).To(BeNumerically("<", limit))
				second, _ := c.holder("booking")
				start := time.Now()
				c.runners[second].Resign(context.Background())
				c.waitUntil(known(second))
				took = time.Since(start)
				t.Logf("known everywhere %v after the resignation", took)
				g.Expect(took).To(BeNumerically("<", limit))
				c.mu.Lock()
				c.calls = 0
				c.mu.Unlock()
				time.Sleep(10 * time.Second)
				c.mu.Lock()
				t.Logf("%.1f messages per node and second without changes", float64(c.calls)/10/48)
				c.mu.Unlock()
			})
		})
	}
}
