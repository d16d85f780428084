package membership_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// loopback calls the node itself, whatever the address, up to a depth.
type loopback struct {
	node  *membership.Runner
	calls int
}

func (l *loopback) Gossip(context.Context, string, *fleetpb.GossipRequest) (*fleetpb.GossipReply, error) {
	return nil, errors.New("no gossip")
}

func (l *loopback) Probe(ctx context.Context, _ string, r *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	if l.calls++; l.calls > 10 {
		return nil, errors.New("too many calls")
	}
	return l.node.Probe(ctx, r)
}

type noFleet struct{}

func (noFleet) Fleet() *hostset.Fleet { return nil }

// A node that took over the address of another one gets probes for that one. If it passed them on to the address,
// it would call itself until the time of the probe ends.
func TestProbeOfAFormerNodeAtTheSameAddressEnds(t *testing.T) {
	g := NewWithT(t)
	l := &loopback{}
	l.node = membership.NewRunner(membership.Options{
		Identity: membership.Identity{ID: "new", Incarnation: 2, FleetAddress: "10.0.0.1:7660", DataCentre: "a", Role: "node"},
		Source:   noFleet{}, PeerClient: l, Logger: logging.Discard(),
	})
	reply, err := l.node.Probe(context.Background(), &fleetpb.ProbeRequest{From: "x", Target: "old", TargetAddress: "10.0.0.1:7660"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.GetOk()).To(BeFalse())
	g.Expect(l.calls).To(BeZero())
}

// A host whose clock was set back raises its incarnation above the known one; its own one does not help it.
func TestSupersededAddressNamesTheIncarnationToExceed(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := membership.NewState(now, membership.Identity{ID: "n", DataCentre: "a", FleetAddress: "127.0.0.1:1", Role: "node", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	at := func(instance string, incarnation uint64) backend.Server {
		return backend.Server{Service: "cuefeed", Instance: instance, Incarnation: incarnation, Address: "127.0.0.1:80", DataCentre: "a", State: backend.Ready, Slots: 6}
	}
	g.Expect(s.Announce(now, at("former", 9))).To(Succeed())
	var superseded *membership.SupersededError
	g.Expect(errors.As(s.Announce(now, at("restarted", 5)), &superseded)).To(BeTrue())
	g.Expect(superseded.Known).To(BeEquivalentTo(9))
	g.Expect(s.Announce(now, at("restarted", superseded.Known+1))).To(Succeed())
}

// An announcement for a service that is not configured does not show that a server with its address has ended. The rule
// stays in force among configured services, and among others.
func TestOnlyConfiguredServicesTakeOverAddresses(t *testing.T) {
	for _, c := range []struct {
		name, service string
		known         []string
		left          bool
	}{
		{"a configured service", "lexview", []string{"cuefeed", "lexview"}, true},
		{"a service that is not configured", "nowhere", []string{"cuefeed"}, false},
		{"no service is configured yet", "lexview", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			fleet := &hostset.Fleet{}
			for _, name := range c.known {
				fleet.Services = append(fleet.Services, hostset.Service{Name: name})
			}
			r := membership.NewRunner(membership.Options{
				Identity: membership.Identity{ID: "n", Incarnation: 1, FleetAddress: "127.0.0.1:1", DataCentre: "a", Role: "control"},
				Source:   fixedFleet{fleet}, PeerClient: &loopback{}, Logger: logging.Discard(),
			})
			server := backend.Server{Service: "cuefeed", Instance: "sound", Incarnation: 1, Address: "127.0.0.1:80", DataCentre: "a", State: backend.Ready, Slots: 6}
			other := server
			other.Service, other.Instance, other.Incarnation = c.service, "other", 2
			g.Expect(r.AnnounceLocal(server)).To(Succeed())
			g.Expect(r.AnnounceLocal(other)).To(Succeed())
			g.Expect(r.Servers("cuefeed")[0].State == backend.Left).To(Equal(c.left))
			g.Expect(r.AnnounceLocal(server) == nil).To(Equal(!c.left), "a server that is not taken out renews its entry")
		})
	}
}
