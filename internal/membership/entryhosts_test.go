package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

func controlState(now time.Time, id string) *State {
	return NewState(now, Identity{ID: id, Incarnation: 7, DataCentre: "a", FleetAddress: "10.0.0.1:1", Role: "control"}, rand.New(rand.NewPCG(1, 2)))
}

// exchange runs one exchange of the first node with the second one.
func exchange(g *WithT, now time.Time, a, b *State) {
	request := a.Request(now, b.id)
	for range 2 {
		if request == nil {
			return
		}
		reply, _, err := b.HandleRequest(now, request)
		g.Expect(err).NotTo(HaveOccurred())
		out, err := a.HandleReply(now, now, reply)
		g.Expect(err).NotTo(HaveOccurred())
		request = out.FollowUp
	}
}

// entryHostAt is the entry host with the given number.
func entryHostAt(now time.Time, i int) EntryHost {
	return EntryHost{
		ID: fmt.Sprintf("entry-%d", i), Incarnation: 5, Address: fmt.Sprintf("10.0.1.%d:80", i), DataCentre: "a", State: backend.Ready, Renewed: now,
	}
}

// Entries of backend servers, whatever they name, must change no entry host, and heartbeats of entry hosts no backend
// server: both come from different senders.
func TestEntryHostsAndBackendServersShareNoEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		states := []*State{controlState(now, "a"), controlState(now, "b")}
		var hosts []EntryHost
		for i := range 3 {
			hosts = append(hosts, entryHostAt(now, i))
			g.Expect(states[i%2].AnnounceEntryHost(now, hosts[i])).To(Succeed())
		}
		sound := backend.Server{Service: "cuefeed", Instance: "i-1", Incarnation: 5, Address: "10.0.9.1:80", DataCentre: "a", State: backend.Ready, Slots: 2}
		g.Expect(states[0].Announce(now, sound)).To(Succeed())

		names := []string{"entry-0", "entry-1", "10.0.1.2", "10.0.1.2:80", "i-2", "a"}
		services := []string{"entry hosts", "entry-0", " ", "lexview"}
		addresses := []string{"10.0.1.0:80", "10.0.1.1:80", "10.0.1.2:80", "10.0.9.2:80"}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s := states[rapid.IntRange(0, 1).Draw(t, "at")]
			name := rapid.SampledFrom(names).Draw(t, "name")
			incarnation := uint64(rapid.IntRange(0, 9).Draw(t, "incarnation"))
			state := backend.State(rapid.IntRange(int(backend.Ready), int(backend.Left)).Draw(t, "state"))
			server := backend.Server{
				Service: rapid.SampledFrom(services).Draw(t, "service"), Instance: name, Incarnation: incarnation,
				Address: rapid.SampledFrom(addresses).Draw(t, "address"), DataCentre: "a", State: state, Slots: 1,
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				_ = s.Announce(now, server)
			case 1:
				s.MarkServer(now, name, incarnation, state)
			case 2:
				s.MarkDraining(server.Service, name)
			case 3:
				i := rapid.IntRange(0, 1).Draw(t, "learner")
				exchange(g, now, states[i], states[1-i])
			}
		}
		exchange(g, now, states[0], states[1])
		exchange(g, now, states[1], states[0])
		for _, s := range states {
			g.Expect(s.EntryHosts(now)).To(Equal(hosts))
			g.Expect(s.Servers(now, "cuefeed")).To(ConsistOf(HaveField("State", backend.Ready)))
		}
	})
}

// The key of an entry says nothing about its kind unless it covers it: a heartbeat of a backend server would renew the
// entry host with the same fields.
func TestKeysOfEntryHostsDifferFromThoseOfServers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := controlState(now, "a")
	host := entryHostAt(now, 0)
	g.Expect(s.AnnounceEntryHost(now, host)).To(Succeed())
	g.Expect(s.Announce(now, backend.Server{
		Service: formerEntryHostService, Instance: host.ID, Incarnation: host.Incarnation, Address: host.Address, DataCentre: "a", State: backend.Ready,
	})).To(Succeed())
	entries, _ := s.sharedServers(now)
	g.Expect(entries).To(HaveLen(2))
	g.Expect(entries[0].key).NotTo(Equal(entries[1].key))
}

// While a fleet is upgraded, control hosts of a former version state no kind. Their entry hosts must stay in the directory,
// and they must find those of this version under the service name that they know.
func TestEntryHostsOfFormerVersionsAreKnown(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := controlState(now, "a")
	reply := &fleetpb.GossipReply{
		From: &fleetpb.Node{Id: "b", Incarnation: 1},
		Servers: []*fleetpb.Server{
			{Service: "entry hosts", Instance: "entry-0", Incarnation: 5, Address: "10.0.1.0:80", DataCentre: "a", State: fleetpb.ServerState_SERVER_STATE_READY},
			{Service: "lexview", Instance: "entry-1", Incarnation: 5, Address: "10.0.1.1:80", DataCentre: "a", State: fleetpb.ServerState_SERVER_STATE_READY},
			{Kind: fleetpb.EntryKind_ENTRY_KIND_BACKEND_SERVER, Service: "entry hosts", Instance: "entry-2", Incarnation: 5, Address: "10.0.1.2:80", State: fleetpb.ServerState_SERVER_STATE_READY},
			{Kind: 77, Service: "entry hosts", Instance: "entry-3", Incarnation: 5, Address: "10.0.1.3:80", State: fleetpb.ServerState_SERVER_STATE_READY},
		},
	}
	out, err := s.HandleReply(now, now, reply)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Skipped).To(HaveOccurred())
	g.Expect(s.EntryHosts(now)).To(ConsistOf(HaveField("ID", "entry-0")))

	entries, _ := s.sharedServers(now)
	for _, e := range entries {
		if e.Instance == "entry-0" {
			m := serverMessageWithAges(now, e)
			g.Expect(m.GetService()).To(Equal("entry hosts"))
			g.Expect(m.GetKind()).To(Equal(fleetpb.EntryKind_ENTRY_KIND_ENTRY_HOST))
		}
	}
}
