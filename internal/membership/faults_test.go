package membership_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// unusableWithin is the guaranteed time after which a server that vanished or drains is unusable.
const unusableWithin = 3 * time.Second

func (f *fleet) nodesUsing(instance string) int {
	return f.count(func(r *membership.Runner) bool { return usable(r, instance) })
}

// Guards against new work for a server that vanished: within 3 s of its last renewal, every node must
// stop using it, including a node that receives no messages, and no node may report a later renewal.
func TestVanishedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24)
		defer f.stop()
		f.until(10*time.Second, f.allAlive)
		stop := f.announce(6)
		time.Sleep(3 * time.Second)
		f.g.Expect(f.nodesUsing("s0")).To(Equal(24))
		f.network.setCut(func(_, to string) bool { return to == "n5" })
		time.Sleep(time.Second)
		stop()
		last := time.Now()
		f.network.setMaxJitter(80 * time.Millisecond)
		for time.Since(last) < unusableWithin {
			time.Sleep(50 * time.Millisecond)
			f.count(func(r *membership.Runner) bool {
				for _, s := range r.Servers(service) {
					f.g.Expect(s.Renewed.After(last)).To(BeFalse(), "a node reports a renewal after the last one")
				}
				return true
			})
		}
		f.g.Expect(f.nodesUsing("s0")).To(BeZero())
	})
}

// Guards against new work for a server whose drain only one node has observed, from the server's
// announcement or from one of its responses.
func TestDrainReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24)
		defer f.stop()
		f.until(10*time.Second, f.allAlive)
		stop := f.announce(6)
		defer stop()
		time.Sleep(3 * time.Second)
		f.g.Expect(f.node("n3").Announce(context.Background(), server("s0", backend.Draining))).To(Succeed())
		f.node("n7").MarkDraining(service, "s1")
		took := f.until(10*time.Second, func() bool { return f.nodesUsing("s0")+f.nodesUsing("s1") == 0 })
		t.Logf("unusable at all nodes after %v", took)
		f.g.Expect(took).To(BeNumerically("<", unusableWithin))
		time.Sleep(2 * time.Second)
		f.g.Expect(f.nodesUsing("s1")).To(BeZero(), "a renewal that still says ready ended the drain")
	})
}

// countNotAlive counts how often a node lists a selected member in a state other than alive during the
// span. It samples every 50 ms.
func (f *fleet) countNotAlive(span time.Duration, include func(observer, member string) bool) (sightings int) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, id := range f.ids {
			for _, m := range f.node(id).Members() {
				if m.State != fleetpb.NodeState_NODE_STATE_ALIVE && include(id, m.ID) {
					sightings++
				}
			}
		}
	}
	return sightings
}

// Guards against live nodes that are declared suspect or dead because messages are lost in one
// direction only, between two nodes or from one data centre to another.
func TestOneWayCuts(t *testing.T) {
	cuts := map[string]func(from, to string) bool{
		"two nodes":        func(from, to string) bool { return from == "n1" && to == "n5" },
		"two data centres": func(from, to string) bool { return centre(from) == "dc0" && centre(to) == "dc1" },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 24)
				defer f.stop()
				f.until(10*time.Second, f.allAlive)
				f.network.setCut(cut)
				everyone := func(string, string) bool { return true }
				f.g.Expect(f.countNotAlive(10*time.Second, everyone)).To(BeZero())
				f.g.Expect(f.node("n0").Announce(context.Background(), server("s9", backend.Ready))).To(Succeed())
				took := f.until(5*time.Second, func() bool { return f.nodesUsing("s9") == 24 })
				t.Logf("the update reached all nodes in %v", took)
				f.g.Expect(took).To(BeNumerically("<", 2500*time.Millisecond))
			})
		})
	}
}

// Guards against a node that was cut off and, on its return, makes the others consider each other suspect
// or dead.
func TestReturnOfIsolatedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24)
		defer f.stop()
		f.until(10*time.Second, f.allAlive)
		f.network.setCut(func(from, to string) bool { return from == "n4" || to == "n4" })
		time.Sleep(20 * time.Second)
		f.network.setCut(nil)
		others := func(observer, member string) bool { return observer != "n4" && member != "n4" }
		f.g.Expect(f.countNotAlive(5*time.Second, others)).To(BeZero())
		took := f.until(10*time.Second, f.allAlive)
		f.g.Expect(took).To(BeNumerically("<", 5*time.Second))
	})
}

// Guards against a data centre that was cut off and, on its return, makes the nodes of the other data
// centres consider each other dead; and against a fleet that stays split after the cut has ended.
func TestReturnOfDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24)
		defer f.stop()
		f.until(10*time.Second, f.allAlive)
		f.network.setCut(func(from, to string) bool { return (centre(from) == "dc0") != (centre(to) == "dc0") })
		time.Sleep(20 * time.Second)
		m, _ := f.node("n1").Member("n0")
		f.g.Expect(m.State).To(Equal(fleetpb.NodeState_NODE_STATE_DEAD))
		f.network.setCut(nil)
		began := time.Now()
		for time.Since(began) < 5*time.Second {
			time.Sleep(50 * time.Millisecond)
			for _, id := range f.ids {
				for _, m := range f.node(id).Members() {
					dead := m.State == fleetpb.NodeState_NODE_STATE_DEAD
					f.g.Expect(dead && centre(id) != "dc0" && m.DataCentre != "dc0").To(BeFalse(), "%s lists %s as dead", id, m.ID)
				}
			}
		}
		f.g.Expect(f.allAlive()).To(BeTrue())
	})
}

// Guards against lists of endpoints that still contain a dead host, and against a restarted or flapping
// host that is not listed again.
func TestKillAndRejoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24)
		defer f.stop()
		f.until(10*time.Second, f.allAlive)
		excluding := func() int {
			return f.count(func(r *membership.Runner) bool { return r.Eligibility("n2", service) != hostset.Eligible })
		}
		for range 3 {
			f.kill("n2")
			took := f.until(10*time.Second, func() bool { return excluding() == 23 })
			t.Logf("all nodes excluded the killed node after %v", took)
			view, err := f.node("n1").Hosts(context.Background(), nil)
			f.g.Expect(err).NotTo(HaveOccurred())
			f.g.Expect(view.Nodes).To(HaveLen(24))
			f.g.Expect(view.Nodes[12].Id).To(Equal("n2"), "ordered by id")
			f.g.Expect(view.Nodes[12].State).To(BeNumerically(">", fleetpb.NodeState_NODE_STATE_ALIVE))
			f.g.Expect(took).To(BeNumerically("<", 4*time.Second))
			f.start("n2")
			took = f.until(10*time.Second, f.allAlive)
			t.Logf("all nodes saw the restarted node alive after %v", took)
			f.g.Expect(took).To(BeNumerically("<", 4*time.Second))
		}
	})
}

// Guards against callers being sent to a host that is shutting down: once all members were notified
// directly, they must exclude it, and it must not be declared dead while it finishes its requests.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24)
		defer f.stop()
		f.until(10*time.Second, f.allAlive)
		f.node("n2").Leave(context.Background())
		f.g.Expect(f.count(func(r *membership.Runner) bool { return r.Eligibility("n2", service) == hostset.Ineligible })).To(Equal(24))
		time.Sleep(8 * time.Second)
		m, _ := f.node("n1").Member("n2")
		f.g.Expect(m.State).To(Equal(fleetpb.NodeState_NODE_STATE_LEAVING))
	})
}

// Guards against announcements that are lost at a host outside the host set of the service, or whose
// age is understated after they were forwarded.
func TestForwardedAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.stop()
		f.config.Services = append(f.config.Services, hostset.Service{Name: "far", DataCentres: []string{"dc1"}})
		f.until(10*time.Second, f.allAlive)
		f.network.setMaxJitter(100 * time.Millisecond)
		far := server("s0", backend.Ready)
		far.Service = "far"
		f.g.Expect(f.node("n0").Announce(context.Background(), far)).To(Succeed())
		f.g.Expect(len(f.node("n1").Servers("far"))+len(f.node("n4").Servers("far"))).NotTo(BeZero(), "a member of the host set has it immediately")
		announcedAt := time.Now()
		far.Slots = 5
		f.g.Expect(f.node("n0").Announce(context.Background(), far)).To(Succeed())
		for _, id := range []string{"n1", "n4"} {
			f.until(5*time.Second, func() bool { return len(f.node(id).Servers("far")) == 1 && f.node(id).Servers("far")[0].Slots == 5 })
			f.g.Expect(f.node(id).Servers("far")).To(HaveLen(1))
			f.g.Expect(f.node(id).Servers("far")[0].Renewed.After(announcedAt)).To(BeFalse())
		}
		far.Service = "none"
		f.g.Expect(f.node("n0").Announce(context.Background(), far)).To(MatchError(ContainSubstring("not configured")))
	})
}
