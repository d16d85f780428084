package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/membership"
)

// Guards against a withdrawal that is rejected because it has no address: the stopped server would stay
// in use until its last renewal is older than the cut-off.
func TestWithdrawalNamesOnlyTheServer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := membership.NewState(now, membership.Identity{ID: "n", DataCentre: "a", FleetAddress: "127.0.0.1:1", Role: "node", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	announced := backend.Server{
		Service: "cuefeed", Instance: "i", Incarnation: 5, Address: "127.0.0.1:80", DataCentre: "a",
		State: backend.Ready, Slots: 6, Connections: 330,
	}
	g.Expect(s.Announce(now, announced)).To(Succeed())
	g.Expect(s.Servers(now, "cuefeed")[0].Usable(now)).To(BeTrue())

	withdrawal := backend.Server{Service: "cuefeed", Instance: "i", Incarnation: 5, State: backend.Left}
	g.Expect(s.Announce(now.Add(time.Second), withdrawal)).To(Succeed())
	for _, server := range s.Servers(now.Add(time.Second), "cuefeed") {
		g.Expect(server.Usable(now.Add(time.Second))).To(BeFalse())
	}
	announced.Address = ""
	g.Expect(s.Announce(now.Add(2*time.Second), announced)).To(MatchError(ContainSubstring("server.address")))
}
