package hostset_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	callers = 1000
	ttl     = 5 * time.Second
)

type fixture struct {
	fleet       *hostset.Fleet
	eligibility map[string]hostset.Eligibility
}

func (f *fixture) Fleet() *hostset.Fleet { return f.fleet }

func (f *fixture) Eligibility(node, _ string) hostset.Eligibility {
	if v, ok := f.eligibility[node]; ok {
		return v
	}
	return hostset.Eligible
}

func newFixture(hosts int) *fixture {
	f := &fixture{
		fleet:       &hostset.Fleet{HostsRevision: 1, Services: []hostset.Service{{Name: "booking", DataCentres: []string{"dc0", "dc1", "dc2"}}}},
		eligibility: map[string]hostset.Eligibility{},
	}
	for i := range hosts {
		f.fleet.Hosts = append(f.fleet.Hosts, hostset.Host{
			ID: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), EntryAddress: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	return f
}

// callerEndpoints returns the nodes of every caller's list of endpoints.
func (f *fixture) callerEndpoints() [][]string {
	d := hostset.NewDirectory(f, f, ttl)
	var all [][]string
	for i := range callers {
		endpoints, _ := d.Endpoints("booking", fmt.Sprintf("caller-%d", i))
		var nodes []string
		for _, e := range endpoints {
			nodes = append(nodes, e.Node)
		}
		all = append(all, nodes)
	}
	return all
}

// Guards against callers that concentrate on few hosts or one data centre: over 1,000 callers, the most
// loaded host must stay under 1.5 times the mean, and each data centre within a tenth of one third.
func TestEndpointsAreBalanced(t *testing.T) {
	for _, hosts := range []int{32, 48} {
		g := NewWithT(t)
		f := newFixture(hosts)
		load, centres, total := map[string]int{}, map[string]int{}, 0
		for _, nodes := range f.callerEndpoints() {
			g.Expect(nodes).To(HaveLen(hostset.EndpointsPerCaller))
			usedCentres := map[string]bool{}
			for _, n := range nodes {
				load[n]++
				total++
				i := slices.IndexFunc(f.fleet.Hosts, func(h hostset.Host) bool { return h.ID == n })
				centres[f.fleet.Hosts[i].DataCentre]++
				usedCentres[f.fleet.Hosts[i].DataCentre] = true
			}
			g.Expect(usedCentres).To(HaveLen(3), "a list must span all data centres")
		}
		most := 0
		for _, n := range load {
			most = max(most, n)
		}
		mean := float64(total) / float64(hosts)
		t.Logf("%d hosts: most loaded %.2f times the mean, data centres %v", hosts, float64(most)/mean, centres)
		g.Expect(float64(most)).To(BeNumerically("<", 1.5*mean))
		g.Expect(load).To(HaveLen(hosts))
		for _, n := range centres {
			g.Expect(float64(n)).To(BeNumerically("~", float64(total)/3, float64(total)/30))
		}
	}
}

// Guards against lists of endpoints that are reshuffled when a host leaves or is suspect: only the
// addresses of this host may be replaced, which are about one in n, and each by one other address.
func TestEndpointsAreStable(t *testing.T) {
	const hosts = 48
	g := NewWithT(t)
	f := newFixture(hosts)
	before := f.callerEndpoints()
	for _, eligibility := range []hostset.Eligibility{hostset.Ineligible, hostset.Suspect} {
		f.eligibility = map[string]hostset.Eligibility{"n7": eligibility}
		changed := 0
		for i, nodes := range f.callerEndpoints() {
			g.Expect(nodes).NotTo(ContainElement("n7"))
			for _, n := range before[i] {
				if !slices.Contains(nodes, n) {
					g.Expect(n).To(Equal("n7"), "an address of a host that stays was replaced")
					changed++
				}
			}
		}
		share := float64(changed) / float64(callers*hostset.EndpointsPerCaller)
		t.Logf("%.4f of the addresses changed, 1/n is %.4f", share, 1.0/hosts)
		g.Expect(share).To(BeNumerically("<", 1.5/hosts))
	}
}

// Callers without a name may all come from one address. Guards against giving them equal lists, which
// would send them all to the same four hosts.
func TestUnnamedCallersAreSpread(t *testing.T) {
	g := NewWithT(t)
	const hosts = 48
	f := newFixture(hosts)
	f.eligibility["n7"] = hostset.Ineligible
	f.eligibility["n8"] = hostset.Suspect
	d := hostset.NewDirectory(f, f, ttl)
	first := map[string]int{}
	for range callers {
		endpoints, _ := d.Endpoints("booking", "")
		g.Expect(endpoints).To(HaveLen(hosts - 2))
		first[endpoints[0].Node]++
	}
	g.Expect(first).To(HaveLen(hosts - 2))
	for node, n := range first {
		// The bound is six standard deviations from the mean of 21.7.
		g.Expect(n).To(BeNumerically("<", 50), node)
	}
}

// Guards against empty lists of endpoints during a burst of false suspicions, and against lists with
// hosts that cannot serve.
func TestSuspectHostsAreTheLastResort(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(6)
	for i := range 6 {
		f.eligibility[fmt.Sprintf("n%d", i)] = hostset.Suspect
	}
	f.eligibility["n1"] = hostset.Eligible
	f.eligibility["n2"] = hostset.Ineligible
	for _, nodes := range f.callerEndpoints() {
		g.Expect(nodes).To(HaveLen(4))
		g.Expect(nodes[0]).To(Equal("n1"))
		g.Expect(nodes).NotTo(ContainElement("n2"))
	}
	endpoints, kept := hostset.NewDirectory(f, f, ttl).Endpoints("unknown", "c")
	g.Expect(endpoints).To(BeEmpty())
	g.Expect(kept).To(Equal(ttl))
}

// Guards against a voting group that loses its majority with one data centre, and against a change of
// one host that moves more than this host in host sets and voting groups.
func TestGroupsAreSpreadAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		f := newFixture(rapid.IntRange(9, 90).Draw(t, "hosts"))
		s := hostset.Service{Name: rapid.StringN(1, 8, 8).Draw(t, "service"), DataCentres: []string{"dc0", "dc1", "dc2"}}
		set := f.fleet.HostSet(s)
		g.Expect(set).To(HaveLen(min(len(f.fleet.Hosts), hostset.MaxHosts)))
		current, previous := f.fleet.VotingGroups(s)
		g.Expect(previous).To(BeEmpty())
		g.Expect(current).To(HaveLen(hostset.VotingGroupSize))
		g.Expect(set[:hostset.VotingGroupSize]).To(Equal(current))
		perCentre := map[string]int{}
		for _, h := range current {
			perCentre[h.DataCentre]++
			g.Expect(perCentre[h.DataCentre]).To(BeNumerically("<=", 2))
		}
		removed := rapid.IntRange(0, len(f.fleet.Hosts)-1).Draw(t, "gone")
		smaller := &hostset.Fleet{Hosts: slices.Delete(slices.Clone(f.fleet.Hosts), removed, removed+1), PreviousHosts: f.fleet.Hosts}
		after, before := smaller.VotingGroups(s)
		g.Expect(before).To(Equal(current))
		moved := 0
		for _, h := range current {
			if !slices.Contains(after, h) {
				moved++
			}
		}
		g.Expect(moved).To(BeNumerically("<=", 1))
	})
}

// With all of 19 control hosts as voters, renewals took so much of the holders that they lost their leases. Up to nine
// hosts, all must vote: a majority of fewer voters may be a minority of the hosts.
func TestVotingGroupsOfControlHostsAreBounded(t *testing.T) {
	for hosts, voters := range map[int]int{3: 3, 5: 5, 7: 7, 9: 9, 11: 9, 19: 9} {
		g := NewWithT(t)
		f := &hostset.Fleet{LargeVotingGroups: true}
		for i := range hosts {
			f.Hosts = append(f.Hosts, hostset.Host{ID: fmt.Sprint("h", i)})
		}
		current, _ := f.VotingGroups(hostset.Service{Name: "s"})
		g.Expect(current).To(HaveLen(voters), "%d hosts", hosts)
	}
}

// Guards against the same few hosts voting for every service.
func TestVotersAreEven(t *testing.T) {
	g := NewWithT(t)
	const services, hosts = 480, 48
	f := newFixture(hosts)
	load := map[string]int{}
	for i := range services {
		current, _ := f.fleet.VotingGroups(hostset.Service{Name: fmt.Sprintf("service-%d", i)})
		for _, h := range current {
			load[h.ID]++
		}
	}
	g.Expect(load).To(HaveLen(hosts))
	for _, n := range load {
		g.Expect(n).To(BeNumerically("<", 2*services*hostset.VotingGroupSize/hosts))
	}
}

// Guards against pure control hosts in host sets, and hosts outside the data centres of a service.
func TestFromDocument(t *testing.T) {
	g := NewWithT(t)
	host := func(id, centre string, role configpb.HostRole) *configpb.Host {
		return &configpb.Host{Id: id, DataCentre: centre, Role: role}
	}
	f := hostset.FromDocument(&configpb.Document{
		Hosts: []*configpb.Host{
			host("a", "dc0", configpb.HostRole_HOST_ROLE_NODE),
			host("b", "dc0", configpb.HostRole_HOST_ROLE_CONTROL),
			host("c", "dc1", configpb.HostRole_HOST_ROLE_NODE_AND_CONTROL),
			host("d", "dc2", configpb.HostRole_HOST_ROLE_NODE),
		},
		HostsRevision: 7,
		Services:      []*configpb.Service{{Name: "booking", DataCentres: []string{"dc0", "dc1"}}},
	})
	s, ok := f.Service("booking")
	g.Expect(ok).To(BeTrue())
	var names []string
	for _, h := range f.HostSet(s) {
		names = append(names, h.ID)
	}
	g.Expect(names).To(ConsistOf("a", "c"))
	g.Expect(f.HostsRevision).To(Equal(uint64(7)))
}
