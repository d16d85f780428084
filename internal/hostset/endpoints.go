package hostset

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// EndpointsPerCaller is how many addresses a caller with a name gets.
const EndpointsPerCaller = 4

// Eligibility tells whether callers should be sent to a node.
type Eligibility uint8

// The verdicts.
const (
	// Ineligible means that the node is unknown, leaving, dead, not ready, or cannot reach the service.
	Ineligible Eligibility = iota
	// Suspect means that the node is suspect.
	Suspect
	// Eligible means that the node serves.
	Eligible
)

// Health judges nodes. It is safe for concurrent use.
type Health interface {
	Eligibility(node, service string) Eligibility
}

// Endpoint is one address of an endpoint answer.
type Endpoint struct {
	Node string
	// Address is the ip:port where the caller connects.
	Address    string
	DataCentre string
}

// Directory answers which addresses callers should use. It is safe for concurrent use.
type Directory struct {
	source Source
	health Health
	ttl    time.Duration
}

// NewDirectory returns a directory whose answers callers may keep for ttl.
func NewDirectory(source Source, health Health, ttl time.Duration) *Directory {
	return &Directory{source: source, health: health, ttl: ttl}
}

// Endpoints returns up to AnswerSize addresses for the caller and how long they may be kept. Equal
// names get equal answers. A caller without a name cannot be told from others behind the same
// address, so it gets every good host of the service, in an order drawn anew for each answer. The
// list is empty if the service is not configured or if no node can serve it.
func (d *Directory) Endpoints(service, caller string) ([]Endpoint, time.Duration) {
	fleet := d.source.Fleet()
	if fleet == nil {
		return nil, d.ttl
	}
	s, ok := fleet.Service(service)
	if !ok {
		return nil, d.ttl
	}
	good, doubtful := d.split(fleet.HostSet(s), service)
	size := EndpointsPerCaller
	if caller == "" {
		size = max(size, len(good))
		caller = strconv.FormatUint(rand.Uint64(), 36)
	}
	chosen := choose(caller, good, size)
	chosen = append(chosen, choose(caller, doubtful, EndpointsPerCaller-len(chosen))...)
	endpoints := make([]Endpoint, 0, len(chosen))
	for _, h := range chosen {
		endpoints = append(endpoints, Endpoint{Node: h.ID, Address: h.EntryAddress, DataCentre: h.DataCentre})
	}
	return endpoints, d.ttl
}

func (d *Directory) split(hosts []Host, service string) (good, doubtful []Host) {
	for _, h := range hosts {
		switch d.health.Eligibility(h.ID, service) {
		case Eligible:
			good = append(good, h)
		case Suspect:
			doubtful = append(doubtful, h)
		}
	}
	return good, doubtful
}

// choose takes the host with the highest score, then the highest one of a data centre not yet
// used, and starts over when all data centres are used. The first address is spread evenly over
// the hosts even if the data centres differ in size, and the loss of a host replaces only this
// host in the answers that had it.
func choose(caller string, hosts []Host, limit int) []Host {
	ranked := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		ranked = append(ranked, scored{h, Score(caller, h.ID)})
	}
	slices.SortFunc(ranked, byScore)
	var chosen []Host
	for len(ranked) > 0 && len(chosen) < limit {
		var used []string
		ranked = slices.DeleteFunc(ranked, func(h scored) bool {
			if len(chosen) == limit || slices.Contains(used, h.DataCentre) {
				return false
			}
			used = append(used, h.DataCentre)
			chosen = append(chosen, h.Host)
			return true
		})
	}
	return chosen
}
