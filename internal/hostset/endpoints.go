package hostset

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// EndpointsPerCaller is how many addresses a caller with a name gets.
const EndpointsPerCaller = 4

// Eligibility states whether callers may be sent to a node.
type Eligibility uint8

// The values of Eligibility, from the least to the most preferred.
const (
	// Ineligible means that the node is unknown, leaving, dead, not ready, or cannot reach the service.
	Ineligible Eligibility = iota
	// Suspect means that the node is suspect: it is used only if there are too few eligible nodes.
	Suspect
	// Eligible means that the node is alive, ready and can reach the service.
	Eligible
)

// Health reports the eligibility of nodes. It is safe for concurrent use.
type Health interface {
	Eligibility(node, service string) Eligibility
}

// Endpoint is one address that a caller may use.
type Endpoint struct {
	Node string
	// Address is the ip:port where the caller connects.
	Address    string
	DataCentre string
}

// Directory selects the addresses that callers should use. It is safe for concurrent use.
type Directory struct {
	source Source
	health Health
	ttl    time.Duration
}

// NewDirectory returns a directory whose lists callers may keep for ttl.
func NewDirectory(source Source, health Health, ttl time.Duration) *Directory {
	return &Directory{source: source, health: health, ttl: ttl}
}

// Endpoints returns up to EndpointsPerCaller addresses for the caller and how long they may be kept.
// Equal names get equal lists. A caller without a name cannot be distinguished from others behind the
// same address, so it gets every eligible host of the service, in a random order that differs from call
// to call. The list is empty if the service is not configured or if no node can serve it.
func (d *Directory) Endpoints(service, caller string) ([]Endpoint, time.Duration) {
	fleet := d.source.Fleet()
	if fleet == nil {
		return nil, d.ttl
	}
	s, ok := fleet.Service(service)
	if !ok {
		return nil, d.ttl
	}
	eligible, suspect := d.splitByEligibility(fleet.HostSet(s), service)
	size := EndpointsPerCaller
	if caller == "" {
		size = max(size, len(eligible))
		caller = strconv.FormatUint(rand.Uint64(), 36)
	}
	selected := selectHosts(caller, eligible, size)
	selected = append(selected, selectHosts(caller, suspect, EndpointsPerCaller-len(selected))...)
	endpoints := make([]Endpoint, 0, len(selected))
	for _, h := range selected {
		endpoints = append(endpoints, Endpoint{Node: h.ID, Address: h.EntryAddress, DataCentre: h.DataCentre})
	}
	return endpoints, d.ttl
}

func (d *Directory) splitByEligibility(hosts []Host, service string) (eligible, suspect []Host) {
	for _, h := range hosts {
		switch d.health.Eligibility(h.ID, service) {
		case Eligible:
			eligible = append(eligible, h)
		case Suspect:
			suspect = append(suspect, h)
		}
	}
	return eligible, suspect
}

// selectHosts takes the host with the highest score, then the highest one of a data centre not yet
// used, and starts a new round when all data centres are used. The first address is spread evenly over the
// hosts even if the data centres differ in size, and the loss of a host replaces only this host in the
// lists that contained it.
func selectHosts(caller string, hosts []Host, limit int) []Host {
	ranked := make([]scoredHost, 0, len(hosts))
	for _, h := range hosts {
		ranked = append(ranked, scoredHost{h, Score(caller, h.ID)})
	}
	slices.SortFunc(ranked, compareByScore)
	var selected []Host
	for len(ranked) > 0 && len(selected) < limit {
		var used []string
		ranked = slices.DeleteFunc(ranked, func(h scoredHost) bool {
			if len(selected) == limit || slices.Contains(used, h.DataCentre) {
				return false
			}
			used = append(used, h.DataCentre)
			selected = append(selected, h.Host)
			return true
		})
	}
	return selected
}
