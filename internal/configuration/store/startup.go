package store

import (
	"time"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// majorityWait is how long a starting node waits for a confirmation by a majority of the
	// control replicas before it asks its peers' answers or its stored document instead.
	majorityWait = 3 * time.Second
	// peersWait is how long a starting node waits before it begins to ask peers, too.
	peersWait = time.Second
	// leastPeers is how many peers must answer at the least.
	leastPeers = 2
)

// startup decides when a starting node has learned the newest revision. It is a pure state
// machine and not safe for concurrent use.
type startup struct {
	// self is the fleet address of this node, which is no peer of itself.
	self  string
	began time.Time
	// stored is set when the node found a stored document.
	stored bool
	// newest is the newest document that the node was given or had stored, or nil.
	newest *configpb.Document
	// answered holds the addresses of processes that have a revision in force.
	answered map[string]bool
	// confirmed is set once a majority of control replicas confirmed a revision.
	confirmed bool
}

func newStartup(self string, stored *configpb.Document, now time.Time) *startup {
	return &startup{self: self, began: now, stored: stored != nil, newest: stored, answered: map[string]bool{}}
}

// given offers a document; an older one is ignored.
func (s *startup) given(d *configpb.Document) {
	if d.GetRevision() > s.newest.GetRevision() {
		s.newest = d
	}
}

// answer notes that the process at the address told its revision; 0 means that it has none
// in force, so that its answer says nothing. The newest document must have been given before.
func (s *startup) answer(address string, revision uint64, confirmed bool) {
	if revision > 0 && revision <= s.newest.GetRevision() {
		s.answered[address] = true
	}
	// A confirmed revision counts only once its document is here.
	if confirmed && revision <= s.newest.GetRevision() {
		s.confirmed = true
	}
}

// asksPeers tells whether peers are to be asked by now.
func (s *startup) asksPeers(now time.Time) bool {
	return now.Sub(s.began) >= peersWait
}

// learned tells whether the newest document may be put in force.
func (s *startup) learned(now time.Time) bool {
	if s.confirmed {
		return true
	}
	if now.Sub(s.began) < majorityWait || s.newest == nil {
		return false
	}
	return s.stored || s.halfAnswered()
}

// halfAnswered tells whether at least half of the other listed hosts answered, and two at the least.
func (s *startup) halfAnswered() bool {
	listed, answered := 0, 0
	for _, h := range s.newest.GetHosts() {
		if h.GetFleetAddress() == s.self {
			continue
		}
		listed++
		if s.answered[h.GetFleetAddress()] {
			answered++
		}
	}
	return answered >= leastPeers && 2*answered >= listed
}
