package attach_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// Callers use the first addresses of a long list only. If all callers got the hosts in one order, a few hosts
// would serve all requests and fill their links, while the others had nothing to do.
func TestDirectorySpreadsCallersOverAllHosts(t *testing.T) {
	g := NewWithT(t)
	s, _, _ := newServer("b")
	join := func(i int) {
		_, err := s.Attach(context.Background(), &fleetpb.AttachRequest{Host: &fleetpb.Node{
			Id: fmt.Sprintf("10.1.%d.%d", i/250, i%250), Incarnation: 4, State: fleetpb.NodeState_NODE_STATE_ALIVE, Ready: true,
			EntryAddress: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), DataCentre: fmt.Sprintf("dc%d", i%5),
		}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	const hosts, callers, limit = 421, 5000, 64
	for i := range hosts {
		join(i)
	}
	lists := func() map[string][]string {
		now := time.Now()
		byCaller := map[string][]string{}
		for i := range callers {
			caller := fmt.Sprintf("100.%d.%d.%d", 64+i%5, i/250, i%250)
			for _, e := range s.Endpoints(now, caller, limit) {
				byCaller[caller] = append(byCaller[caller], e.Node)
			}
		}
		return byCaller
	}
	before := lists()
	uses := map[string]int{}
	for _, list := range before {
		g.Expect(list).To(HaveLen(limit))
		for _, node := range list {
			uses[node]++
		}
	}
	g.Expect(uses).To(HaveLen(hosts))
	for node, n := range uses {
		g.Expect(n).To(BeNumerically("~", callers*limit/hosts, callers*limit/hosts/4), node)
	}

	join(hosts)
	after := lists()
	kept := 0
	for caller, list := range before {
		for _, node := range list {
			if slices.Contains(after[caller], node) {
				kept++
			}
		}
	}
	g.Expect(kept).To(BeNumerically(">", callers*(limit-2)), "callers close connections to hosts that are missing")
}
