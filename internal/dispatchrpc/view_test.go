package dispatchrpc

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// A view without an ejected server lets a node without a dispatcher use it; a view that lists the healthy
// servers costs each node several KB/s.
func TestViewListsServersOutOfRotationOnly(t *testing.T) {
	g := NewWithT(t)
	r := &runner{term: 3}
	view := r.nodeView(dispatch.View{P95: 40 * time.Millisecond, Servers: []dispatch.ServerView{
		{Instance: "s3", State: dispatch.ViewProbation},
		{Instance: "s2", State: "ready"},
		{Instance: "s1", State: dispatch.ViewEjected},
	}})
	c := &channel{}
	c.applyView(view)
	g.Expect(c.ejected).To(Equal(map[string]bool{"s1": true, "s3": true}))
	g.Expect(view.GetServers()).To(HaveLen(2))
	g.Expect(view.GetP95Ms()).To(BeEquivalentTo(40))
	g.Expect(view.GetTerm()).To(BeEquivalentTo(3))
}

// A change of routing that waits for the next heartbeat arrives late. A new latency that wakes every stream
// costs one message for each node.
func TestOnlyChangesOfRoutingAreUrgent(t *testing.T) {
	g := NewWithT(t)
	view := func(p95 int64, ejected ...string) *dispatchpb.View {
		v := &dispatchpb.View{P95Ms: p95}
		for _, instance := range ejected {
			v.Servers = append(v.Servers, &dispatchpb.ServerView{Instance: instance, State: dispatch.ViewEjected})
		}
		return v
	}
	g.Expect(sameRouting(view(1, "s1"), view(2, "s1"))).To(BeTrue())
	g.Expect(sameRouting(view(1, "s1"), view(1))).To(BeFalse())
	g.Expect(sameRouting(view(1, "s1"), view(1, "s2"))).To(BeFalse())
	g.Expect(sameRouting(&dispatchpb.View{}, &dispatchpb.View{Overload: true})).To(BeFalse())
}
