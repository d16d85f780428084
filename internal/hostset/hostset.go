package hostset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// MaxHosts bounds the host set of a service, in nodes.
	MaxHosts = 48
	// VotingGroupSize is the usual size of a voting group, in nodes, and LargeVotingGroupSize that of the groups
	// which should be on the side of most hosts in a network partition. A holder renews its lease at each voter, so
	// larger groups cost holders more than they can spare.
	VotingGroupSize      = 5
	LargeVotingGroupSize = 9
)

// Host is one node of the hosts list.
type Host struct {
	ID         string
	DataCentre string
	// EntryAddress is the ip:port where callers connect.
	EntryAddress string
	// FleetAddress is the ip:port of the fleet listener.
	FleetAddress string
}

// Service is a service and the data centres it runs in. No data centres means all.
type Service struct {
	Name        string
	DataCentres []string
}

// Fleet holds the hosts and services of one configuration revision. It is immutable.
type Fleet struct {
	// Hosts lists the hosts that run a node. Pure control hosts are not in it.
	Hosts []Host
	// PreviousHosts lists the hosts before the last change of hosts; empty if there was no change.
	PreviousHosts []Host
	// HostsRevision is the revision of the last change of hosts.
	HostsRevision uint64
	Services      []Service
	// LargeVotingGroups makes up to LargeVotingGroupSize hosts the voters of a service.
	LargeVotingGroups bool
}

// Source returns the hosts and services of the configuration in force, or nil before the first
// revision. Each new revision is a new pointer. It is safe for concurrent use.
type Source interface {
	Fleet() *Fleet
}

// FromDocument extracts hosts and services from a configuration document.
func FromDocument(d *configpb.Document) *Fleet {
	f := &Fleet{
		Hosts:         nodeHosts(d.GetHosts()),
		PreviousHosts: nodeHosts(d.GetPreviousHosts()),
		HostsRevision: d.GetHostsRevision(),
	}
	for _, s := range d.GetServices() {
		f.Services = append(f.Services, Service{Name: s.GetName(), DataCentres: s.GetDataCentres()})
	}
	return f
}

func nodeHosts(hosts []*configpb.Host) []Host {
	var list []Host
	for _, h := range hosts {
		if h.GetRole() == configpb.HostRole_HOST_ROLE_CONTROL {
			continue
		}
		list = append(list, Host{
			ID:           h.GetId(),
			DataCentre:   h.GetDataCentre(),
			EntryAddress: h.GetEntryAddress(),
			FleetAddress: h.GetFleetAddress(),
		})
	}
	return list
}

// Service returns the service with the name; ok is false if there is none.
func (f *Fleet) Service(name string) (s Service, ok bool) {
	for _, s := range f.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// HostSet returns the host set of the service, in rank order.
func (f *Fleet) HostSet(s Service) []Host {
	return selectHostSet(s, f.Hosts, MaxHosts)
}

// VotingGroups returns the voting group of the service and the one before the last change of hosts. The
// previous group is empty if there was no change.
func (f *Fleet) VotingGroups(s Service) (current, previous []Host) {
	size := VotingGroupSize
	if f.LargeVotingGroups {
		size = LargeVotingGroupSize
	}
	return selectHostSet(s, f.Hosts, size), selectHostSet(s, f.PreviousHosts, size)
}

// selectHostSet takes the hosts of the service's data centres round-robin over the data centres. Hosts
// and data centres are ordered by score.
func selectHostSet(s Service, hosts []Host, limit int) []Host {
	byCentre := map[string][]scoredHost{}
	for _, h := range hosts {
		if len(s.DataCentres) > 0 && !slices.Contains(s.DataCentres, h.DataCentre) {
			continue
		}
		byCentre[h.DataCentre] = append(byCentre[h.DataCentre], scoredHost{h, Score(s.Name, h.ID)})
	}
	centres := make([]string, 0, len(byCentre))
	for centre, list := range byCentre {
		slices.SortFunc(list, compareByScore)
		centres = append(centres, centre)
	}
	slices.SortFunc(centres, func(a, b string) int {
		return cmp.Or(cmp.Compare(Score(s.Name, b), Score(s.Name, a)), cmp.Compare(a, b))
	})
	return roundRobin(centres, byCentre, limit)
}

func roundRobin(centres []string, byCentre map[string][]scoredHost, limit int) []Host {
	var selected []Host
	for i := 0; ; i++ {
		before := len(selected)
		for _, centre := range centres {
			if len(selected) == limit {
				return selected
			}
			if list := byCentre[centre]; i < len(list) {
				selected = append(selected, list[i].Host)
			}
		}
		if len(selected) == before {
			return selected
		}
	}
}

type scoredHost struct {
	Host
	score uint64
}

// compareByScore orders the highest score first.
func compareByScore(a, b scoredHost) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
}

// Score returns the rendezvous score of a name for a key.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
