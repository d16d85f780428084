package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// pauseBench drives a machine with some servers and two nodes.
type pauseBench struct {
	*dispatch.Machine
	now    time.Time
	nextID uint64
}

func newPauseBench(servers int) *pauseBench {
	b := &pauseBench{now: time.Unix(1_000, 0)}
	b.Machine = dispatch.New(b.now, dispatch.Config{Service: "s", DefaultSlots: 4})
	var list []backend.Server
	for i := range servers {
		list = append(list, backend.Server{
			Service: "s", Instance: fmt.Sprint("s", i), Incarnation: 1, State: backend.Ready, Slots: 4, Renewed: b.now, Cutoff: time.Hour,
		})
	}
	b.SetServers(b.now, list)
	b.Connect(b.now, "n", "dc", 1, nil, nil)
	b.Connect(b.now, "o", "dc", 1, nil, nil)
	b.now = b.now.Add(dispatch.CollectionPeriod)
	b.Tick(b.now)
	return b
}

// request sends a request of the node that may wait for the given time, and returns the dispatcher's action on it; the
// kind is 0 if it waits.
func (b *pauseBench) request(node string, patience time.Duration) dispatch.Action {
	b.nextID++
	b.Acquire(b.now, node, dispatch.Request{ID: b.nextID, Deadline: b.now.Add(patience), Idempotent: true})
	return b.action(b.nextID)
}

func (b *pauseBench) action(id uint64) dispatch.Action {
	for _, a := range b.TakeActions() {
		if a.ID == id {
			return a
		}
	}
	return dispatch.Action{}
}

// granted sends a request of the node, which must be granted at once, and returns its id.
func (b *pauseBench) granted(g *WithT, node string) uint64 {
	g.Expect(b.request(node, 10*time.Second).Kind).To(Equal(dispatch.Granted))
	return b.nextID
}

// pause lets the server of the node's next request ask the node to pause.
func (b *pauseBench) pause(g *WithT, node string, pause time.Duration) {
	b.Complete(b.now, node, b.granted(g, node), grant.Completion{
		Result: grant.Shed, Total: time.Millisecond, ServerSignals: grant.ServerSignals{Pause: pause},
	})
	// The server's own pause after a rejection is shorter.
	b.now = b.now.Add(50 * time.Millisecond)
	b.Tick(b.now)
}

// A server that asked a host to come back later got further requests from it at once.
func TestServerGetsNoRequestsOfANodeThatItAskedToPause(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	b.pause(g, "n", 2*time.Second)
	waiting := b.request("n", 3*time.Second)
	g.Expect(waiting.Kind).To(BeZero(), "the pause ends before the deadline")
	waitingID := b.nextID
	g.Expect(b.request("o", time.Second).Kind).To(Equal(dispatch.Granted), "the pause concerns one node")
	b.now = b.now.Add(1900 * time.Millisecond)
	b.Tick(b.now)
	g.Expect(b.action(waitingID).Kind).To(BeZero())
	b.now = b.now.Add(100 * time.Millisecond)
	b.Tick(b.now)
	g.Expect(b.action(waitingID).Kind).To(Equal(dispatch.Granted))
}

// A request that cannot be sent before its deadline must not wait, and its caller is told when the pause ends.
func TestRequestsThatAPauseOutlastsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	b.pause(g, "n", 2*time.Second)
	refused := b.request("n", time.Second)
	g.Expect(refused.Kind).To(Equal(dispatch.Refused))
	g.Expect(refused.Refusal).To(Equal(problem.NoCapacity))
	g.Expect(refused.RetryAfter).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
}

// Requests of a node that all servers asked to pause must not hold up those of other nodes behind them.
func TestPausedNodeDoesNotHoldUpOthers(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(2)
	b.pause(g, "n", 2*time.Second)
	b.pause(g, "n", 2*time.Second)
	for range 200 {
		g.Expect(b.request("n", 5*time.Second).Kind).To(BeZero())
	}
	g.Expect(b.request("o", 5*time.Second).Kind).To(Equal(dispatch.Granted))
}

// A pause must outlast the dispatcher that learned of it, and end with a restart of the server.
func TestPauseIsReportedToANewDispatcher(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	b.ReportSignals(b.now, b.now, "n", "s0", 0, grant.ServerSignals{Pause: 2 * time.Second})
	g.Expect(b.request("n", time.Second).Kind).To(Equal(dispatch.Refused))
	b.SetServers(b.now, []backend.Server{{
		Service: "s", Instance: "s0", Incarnation: 2, State: backend.Ready, Slots: 4, Renewed: b.now, Cutoff: time.Hour,
	}})
	g.Expect(b.request("n", time.Second).Kind).To(Equal(dispatch.Granted))
}

// A server that left was used again by the next dispatcher, since it had told only the one before. What a former process
// said must not take out its successor.
func TestLeavingServerIsReportedToANewDispatcher(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	b.ReportSignals(b.now, b.now, "n", "s0", 7, grant.ServerSignals{Draining: true})
	g.Expect(b.request("o", time.Second).Kind).To(Equal(dispatch.Granted))
	b.ReportSignals(b.now, b.now, "n", "s0", 1, grant.ServerSignals{Draining: true})
	g.Expect(b.request("o", time.Second).Kind).NotTo(Equal(dispatch.Granted))
}

// A server that had restarted in place of one that was leaving got no requests: a response of the former process, whose end
// came late, took it out.
func TestResponsesOfAFormerProcessSayNothingAboutItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	b := newPauseBench(1)
	silent, slow := b.granted(g, "n"), b.granted(g, "o")
	b.now = b.now.Add(time.Second)
	b.SetServers(b.now, []backend.Server{{
		Service: "s", Instance: "s0", Incarnation: 2, State: backend.Ready, Slots: 4, Renewed: b.now, Cutoff: time.Hour,
	}})
	b.Signals(b.now, "o", slow, grant.ServerSignals{Pause: time.Minute})
	leaving := grant.ServerSignals{Draining: true}
	b.Complete(b.now, "n", silent, grant.Completion{Result: grant.OK, FirstByte: time.Millisecond, Total: time.Second, ServerSignals: leaving})
	b.granted(g, "n")
	current := b.granted(g, "o")
	b.Complete(b.now, "o", current, grant.Completion{Result: grant.OK, Total: time.Millisecond, ServerSignals: leaving})
	g.Expect(b.request("n", time.Second).Kind).NotTo(Equal(dispatch.Granted))
}
