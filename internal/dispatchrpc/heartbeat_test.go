package dispatchrpc

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// With a fixed pause, the heartbeats of some hundred nodes take all of the processor time of a small host, which
// then loses its lease.
func TestHeartbeatsOfManyNodesAreRarer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(heartbeatInterval(0)).To(Equal(HeartbeatInterval))
	g.Expect(heartbeatInterval(48)).To(Equal(HeartbeatInterval))
	g.Expect(heartbeatInterval(10_000)).To(Equal(maxHeartbeatInterval))
	for sessions := 64; sessions < 256; sessions++ {
		perSecond := float64(sessions) / heartbeatInterval(sessions).Seconds()
		g.Expect(perSecond).To(BeNumerically("<=", 960), "%d streams", sessions)
	}
}

// messagesIn counts the messages that a dispatcher sends to nodes whose requests are in flight.
func messagesIn(nodes int, period time.Duration) (count, broken int) {
	d := newSoleDispatcher(nodes)
	s := NewServer(ServerConfig{Node: "self", Settings: d, Registry: d, Elections: d, Logger: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	// The dispatcher ticks once, so that it holds the lease when the nodes connect.
	time.Sleep(100 * time.Millisecond)
	received := make(chan bool, 1<<16)
	for i := range nodes {
		node := s.openLocal(ctx)
		_ = node.Send(&dispatchpb.NodeBatch{Hello: &dispatchpb.Hello{Node: fmt.Sprintf("n%d", i), Incarnation: 1, Service: takeoverService}})
		var interval atomic.Int64
		interval.Store(int64(HeartbeatInterval))
		go func() {
			for {
				batch, err := node.Recv()
				if err != nil || batch.GetNotDispatcher() != nil {
					received <- false
					return
				}
				activity := streamActivity{}
				if activity.applyHeartbeat(batch.GetHeartbeatMs()); activity.heartbeat > 0 {
					interval.Store(int64(activity.interval()))
				}
				received <- true
			}
		}()
		go func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(interval.Load()))
				_ = node.Send(&dispatchpb.NodeBatch{Progress: &dispatchpb.Progress{}})
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for len(received) > 0 {
		<-received
	}
	time.Sleep(period)
	for len(received) > 0 {
		if <-received {
			count++
		} else {
			broken++
		}
	}
	cancel()
	time.Sleep(time.Second)
	return count, broken
}

// The dispatcher and its nodes must agree on the pause: a node that sends more rarely than the dispatcher
// expects loses its stream.
func TestNodesFollowTheHeartbeatOfTheDispatcher(t *testing.T) {
	for nodes, most := range map[int]int{48: 48 * 12, 200: 800} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				const seconds = 5
				count, broken := messagesIn(nodes, seconds*time.Second)
				g.Expect(broken).To(BeZero())
				g.Expect(count / seconds).To(And(BeNumerically(">", nodes), BeNumerically("<=", most)))
			})
		})
	}
}
