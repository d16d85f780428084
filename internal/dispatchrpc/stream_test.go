package dispatchrpc_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/dispatchrpc"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// waitReady waits until every node gets grants.
func (f *fleet) waitReady() {
	for _, n := range f.nodes {
		f.g.Eventually(func() error {
			h, err := n.request(time.Second)
			if err == nil {
				h.Complete(grant.Completion{Result: grant.OK, Total: time.Millisecond})
			}
			return err
		}, 3*time.Second).Should(Succeed())
	}
	f.g.Eventually(func() bool { return f.nodes[1].client.Autonomous(service) }, 2*time.Second).Should(BeFalse())
}

// Under load from all nodes no server may get more requests than it has slots. A duplicate grant or a slot
// that is freed too early would overload it.
func TestSlotLimitsHoldAcrossNodes(t *testing.T) {
	f := newFleet(t, 6, 4, 3)
	f.elect(f.nodes[0])
	f.waitReady()
	before := invariant.Total()
	var running sync.Map
	var over, served atomic.Int64
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		for range 8 {
			wg.Go(func() {
				for range 40 {
					h, err := n.request(2 * time.Second)
					if err != nil {
						continue
					}
					count, _ := running.LoadOrStore(h.Server().Instance, new(atomic.Int64))
					if count.(*atomic.Int64).Add(1) > 3 {
						over.Add(1)
					}
					time.Sleep(time.Millisecond)
					count.(*atomic.Int64).Add(-1)
					h.Complete(grant.Completion{Result: grant.OK, Total: time.Millisecond})
					served.Add(1)
				}
			})
		}
	}
	wg.Wait()
	f.g.Expect(over.Load()).To(BeZero())
	f.g.Expect(served.Load()).To(BeEquivalentTo(6 * 8 * 40))
	f.g.Expect(invariant.Total()).To(Equal(before))
}

// The loss of a dispatcher, however it fails, must not interrupt the service for 1 s or more.
func TestGrantsResumeAfterDispatcherIsLost(t *testing.T) {
	faults := map[string]func(*member){
		"killed": func(n *member) { n.stop() },
		"frozen": func(n *member) {
			n.listener.dropsInput.Store(true)
			n.listener.dropsOutput.Store(true)
		},
		"sends nothing":    func(n *member) { n.listener.dropsOutput.Store(true) },
		"receives nothing": func(n *member) { n.listener.dropsInput.Store(true) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5, 6, 6)
			f.elect(f.nodes[0])
			f.waitReady()
			gaps := f.measureGaps(func() {
				fault(f.nodes[0])
				f.expireLease(f.nodes[1])
			})
			for i, gap := range gaps {
				f.g.Expect(gap).To(BeNumerically("<", time.Second), "node %d", i+1)
			}
			f.g.Eventually(func() bool { return f.nodes[2].client.Autonomous(service) }, 2*time.Second).Should(BeFalse())
		})
	}
	t.Run("frozen on idle streams", func(t *testing.T) {
		t.Parallel()
		resumesOnIdleStreams(t)
	})
}

// resumesOnIdleStreams loses the dispatcher of nodes that had nothing in flight for seconds. They hear from
// it only once a second, and this must not delay their next requests further.
func resumesOnIdleStreams(t *testing.T) {
	f := newFleet(t, 5, 6, 6)
	f.elect(f.nodes[0])
	f.waitReady()
	time.Sleep(dispatchrpc.IdleAfter + dispatchrpc.IdleHeartbeatInterval/2)
	for _, n := range f.nodes[1:] {
		f.g.Expect(n.client.Autonomous(service)).To(BeFalse())
	}
	f.nodes[0].listener.dropsInput.Store(true)
	f.nodes[0].listener.dropsOutput.Store(true)
	f.expireLease(f.nodes[1])
	for i, gap := range f.measureGaps(func() {}) {
		f.g.Expect(gap).To(BeNumerically("<", time.Second), "node %d", i+1)
	}
}

// If nodes do not report their dispatcher, all other nodes ask the voters; if they do not report its loss,
// they learn the next dispatcher late.
func TestStreamsReportToTheElections(t *testing.T) {
	f := newFleet(t, 2, 1, 1)
	f.elect(f.nodes[0])
	f.waitReady()
	served := f.nodes[1].responseReports.Load()
	f.g.Eventually(f.nodes[1].responseReports.Load, 2*time.Second).Should(BeNumerically(">", served))
	lost := f.nodes[1].endReports.Load()
	f.nodes[0].stop()
	f.g.Eventually(f.nodes[1].endReports.Load, time.Second).Should(BeNumerically(">", lost))
}

// measureGaps returns, for each node but the first, the longest time without a grant around the fault.
func (f *fleet) measureGaps(fault func()) []time.Duration {
	gaps := make([]time.Duration, len(f.nodes)-1)
	end := time.Now().Add(2500 * time.Millisecond)
	var wg sync.WaitGroup
	var refused atomic.Int64
	for i, n := range f.nodes[1:] {
		wg.Go(func() {
			last := time.Now()
			for time.Now().Before(end) {
				h, err := n.request(2 * time.Second)
				gaps[i] = max(gaps[i], time.Since(last))
				last = time.Now()
				if err != nil {
					refused.Add(1)
					continue
				}
				time.Sleep(2 * time.Millisecond)
				h.Complete(grant.Completion{Result: grant.OK, Total: 2 * time.Millisecond})
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	fault()
	wg.Wait()
	f.g.Expect(refused.Load()).To(BeZero())
	return gaps
}

// Requests in flight must keep their slots when the dispatcher changes; otherwise the new one overloads
// servers.
func TestOutstandingGrantsSurviveATakeover(t *testing.T) {
	f := newFleet(t, 3, 1, 2)
	f.elect(f.nodes[0])
	f.waitReady()
	first, err := f.nodes[1].request(time.Second)
	f.g.Expect(err).NotTo(HaveOccurred())
	second, err := f.nodes[2].request(time.Second)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.elect(f.nodes[1])
	_, err = f.nodes[2].request(800 * time.Millisecond)
	f.g.Expect(err).To(HaveOccurred())
	f.g.Expect(err.(*problem.Problem).Outcome).To(Equal(problem.NotRun))
	first.Complete(grant.Completion{Result: grant.OK, Total: time.Second})
	third, err := f.nodes[2].request(time.Second)
	f.g.Expect(err).NotTo(HaveOccurred())
	third.Complete(grant.Completion{Result: grant.OK, Total: time.Millisecond})
	second.Complete(grant.Completion{Result: grant.OK, Total: time.Second})
}

// Without a dispatcher, all nodes together must stay within the slots of each server.
func TestAutonomousNodesStayWithinTheSlots(t *testing.T) {
	f := newFleet(t, 4, 2, 6)
	f.g.Eventually(func() bool {
		for _, n := range f.nodes {
			if !n.client.Autonomous(service) {
				return false
			}
		}
		return true
	}, 2*time.Second).Should(BeTrue())
	var mu sync.Mutex
	granted := map[string]int{}
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		for range 12 {
			wg.Go(func() {
				h, err := n.request(300 * time.Millisecond)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				granted[h.Server().Instance]++
			})
		}
	}
	wg.Wait()
	f.g.Expect(granted).To(Equal(map[string]int{"s00": 6, "s01": 6}))
}

// A dispatcher that keeps its lease but cannot reach the nodes must not stop them, and they must return to
// it when the path works again.
func TestNodesBridgeABadPathToTheDispatcher(t *testing.T) {
	f := newFleet(t, 3, 4, 6)
	f.elect(f.nodes[0])
	f.waitReady()
	f.nodes[0].listener.dropsOutput.Store(true)
	gaps := f.measureGaps(func() {})
	f.g.Expect(gaps[0]).To(BeNumerically("<", time.Second))
	f.g.Expect(f.nodes[1].client.Autonomous(service)).To(BeTrue())
	f.nodes[0].listener.dropsOutput.Store(false)
	f.g.Eventually(func() bool { return f.nodes[1].client.Autonomous(service) }, time.Second).Should(BeFalse())
}

// Withdrawn requests must leave the dispatcher's queue, or they fill it up.
func TestWithdrawnRequestsLeaveTheQueue(t *testing.T) {
	f := newFleet(t, 2, 1, 1)
	f.elect(f.nodes[0])
	f.waitReady()
	held, err := f.nodes[1].request(time.Second)
	f.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 250 {
		wg.Go(func() {
			_, err := f.nodes[1].client.Acquire(ctx, grant.Request{
				Service: service, Priority: priority.Normal, Deadline: time.Now().Add(time.Minute), Idempotent: true,
			})
			f.g.Expect(err).To(HaveOccurred())
		})
	}
	f.g.Eventually(f.queued, time.Second).Should(Equal(250))
	cancel()
	wg.Wait()
	f.g.Eventually(f.queued, time.Second).Should(BeZero())
	held.Complete(grant.Completion{Result: grant.OK, Total: time.Millisecond})
}

func (f *fleet) queued() int {
	_, stats, _ := f.nodes[0].server.View(service)
	return stats.Queued
}

// A caller that disconnects must not keep a slot or a place in the queue.
func TestAbandonedRequestsFreeTheirSlots(t *testing.T) {
	f := newFleet(t, 2, 1, 1)
	f.elect(f.nodes[0])
	f.waitReady()
	for range 30 {
		if h, err := f.nodes[1].request(200 * time.Microsecond); err == nil {
			h.Complete(grant.Completion{Result: grant.Unused})
		}
	}
	h, err := f.nodes[1].request(time.Second)
	f.g.Expect(err).NotTo(HaveOccurred())
	h.Complete(grant.Completion{Result: grant.OK, Total: time.Millisecond})
}

// A response can last for minutes. What its head says about the server must apply from then on, for all nodes.
func TestSignalsApplyBeforeTheResponseEnds(t *testing.T) {
	f := newFleet(t, 3, 2, 3)
	f.elect(f.nodes[0])
	f.waitReady()
	open, err := f.nodes[1].request(time.Second)
	f.g.Expect(err).NotTo(HaveOccurred())
	leaving := open.Server().Instance
	open.Signals(grant.ServerSignals{Draining: true})
	granted := func() string {
		h, err := f.nodes[2].request(time.Second)
		f.g.Expect(err).NotTo(HaveOccurred())
		h.Complete(grant.Completion{Result: grant.OK, Total: time.Millisecond})
		return h.Server().Instance
	}
	f.g.Eventually(granted).ShouldNot(Equal(leaving))
	f.g.Consistently(granted, 300*time.Millisecond, 5*time.Millisecond).ShouldNot(Equal(leaving))
	open.Complete(grant.Completion{Result: grant.OK, Total: time.Millisecond})
}
