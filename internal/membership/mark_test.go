package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/membership"
)

func newControlState(now time.Time) *membership.State {
	return membership.NewState(now, membership.Identity{ID: "n", DataCentre: "a", FleetAddress: "127.0.0.1:1", Role: "control", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
}

func readyServer(name string, incarnation uint64, address string) backend.Server {
	return backend.Server{
		Service: "cuefeed", Instance: name, Incarnation: incarnation, Address: address, DataCentre: "a", State: backend.Ready, Slots: 6,
	}
}

// Guards against a delayed announcement that brings back a server already marked as left, and against a
// mark that also affects a later process of the same instance.
func TestMarkedServerStaysOut(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := newControlState(now)
	g.Expect(s.Announce(now, readyServer("i", 5, "127.0.0.1:80"))).To(Succeed())
	g.Expect(s.MarkServer(now, "i", 0, backend.Left)).To(Equal([]string{"cuefeed"}))
	g.Expect(s.Announce(now, readyServer("i", 5, "127.0.0.1:80"))).To(HaveOccurred())
	g.Expect(s.Servers(now, "cuefeed")[0].State).To(Equal(backend.Left))
	g.Expect(s.Announce(now, readyServer("i", 6, "127.0.0.1:80"))).To(Succeed())
	g.Expect(s.MarkServer(now, "i", 5, backend.Draining)).To(BeEmpty())
	g.Expect(s.Servers(now, "cuefeed")[0].State).To(Equal(backend.Ready))
	g.Expect(s.MarkServer(now, "unknown", 0, backend.Left)).To(BeEmpty())
}

// Two servers never share an address, so the process of the older one has ended. Guards against a late
// announcement of it that takes over the requests meant for the newer server.
func TestAddressBelongsToTheNewestServer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := newControlState(now)
	g.Expect(s.Announce(now, readyServer("old", 5, "127.0.0.1:80"))).To(Succeed())
	g.Expect(s.Announce(now, readyServer("new", 9, "127.0.0.1:80"))).To(Succeed())
	states := func() map[string]backend.State {
		list := map[string]backend.State{}
		for _, b := range s.Servers(now, "cuefeed") {
			list[b.Instance] = b.State
		}
		return list
	}
	g.Expect(states()).To(Equal(map[string]backend.State{"old": backend.Left, "new": backend.Ready}))
	g.Expect(s.Announce(now, readyServer("older", 4, "127.0.0.1:80"))).To(HaveOccurred())
	g.Expect(states()).To(HaveLen(2))
}
