package attach

import (
	"cmp"
	"math/bits"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
)

// endpointsMaxAge is how long a list of entry hosts is used again. With many callers the directory is asked
// far more often than the list changes, and a host that leaves serves callers far longer.
const endpointsMaxAge = 50 * time.Millisecond

// endpointCache holds the latest list of entry hosts; nil before the first. It is safe for concurrent use.
type endpointCache struct {
	latest atomic.Pointer[endpointList]
}

// endpointList is the list of entry hosts as of a time, ordered by the hash of their ids. It is immutable.
type endpointList struct {
	at   time.Time
	list []hostset.Endpoint
	// heard says of each listed host whether its heartbeats arrive.
	heard map[string]bool
}

// noteHeartbeat drops the list if the heartbeat of a host changes it.
func (c *endpointCache) noteHeartbeat(node string, state backend.State) {
	known := c.latest.Load()
	if known == nil {
		return
	}
	heard, listed := known.heard[node]
	if ready := state == backend.Ready; ready && !heard || !ready && listed {
		c.latest.Store(nil)
	}
}

// Endpoints lists up to limit entry hosts that currently serve callers. The callers are spread evenly over all
// hosts, and the same caller gets nearly the same hosts while hosts come and go: it stops using connections
// to hosts that a new list lacks.
func (s *Server) Endpoints(now time.Time, caller string, limit int) []hostset.Endpoint {
	known := s.endpoints.latest.Load()
	if known == nil || now.Sub(known.at) >= endpointsMaxAge || now.Before(known.at) {
		known = s.currentEndpoints(now)
		s.endpoints.latest.Store(known)
	}
	if len(known.list) <= limit {
		return known.list
	}
	// Scales the hash to an index, which moves by at most one place when a host is added.
	start, _ := bits.Mul64(xxhash.Sum64String(caller), uint64(len(known.list)))
	end := int(start) + limit
	if end <= len(known.list) {
		return known.list[start:end]
	}
	return slices.Concat(known.list[start:], known.list[:end-len(known.list)])
}

// currentEndpoints lists the entry hosts that currently serve callers. If more are missed than heard, and more
// than maxSeparateFailures, the control hosts have lost their own links; it is unlikely that most entry
// hosts failed at the same time. The missed ones are then listed as well.
func (s *Server) currentEndpoints(now time.Time) *endpointList {
	l := &endpointList{at: now, heard: map[string]bool{}}
	var missed []hostset.Endpoint
	for _, h := range s.opts.Registry.EntryHosts() {
		endpoint := hostset.Endpoint{Node: h.ID, Address: h.Address, DataCentre: h.DataCentre}
		sinceHeartbeat := now.Sub(h.Renewed)
		switch {
		case h.State != backend.Ready:
		case sinceHeartbeat < HeartbeatExpiry:
			l.list = append(l.list, endpoint)
			l.heard[h.ID] = true
		case sinceHeartbeat < missedHostRetention:
			missed = append(missed, endpoint)
		}
	}
	if len(missed) > max(len(l.list), maxSeparateFailures) {
		l.list = append(l.list, missed...)
		for _, e := range missed {
			l.heard[e.Node] = false
		}
	}
	slices.SortFunc(l.list, func(a, b hostset.Endpoint) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node)), cmp.Compare(a.Node, b.Node))
	})
	return l
}
