package store

import (
	"time"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// confirmationTimeout is how long a starting node waits for a confirmation by a majority of the
	// control replicas before it relies on the replies of its peers or on its stored document.
	confirmationTimeout = 3 * time.Second
	// peerQueryDelay is how long a starting node waits before it queries peers as well.
	peerQueryDelay = time.Second
	// minPeerReplies is the minimum number of peers that must reply.
	minPeerReplies = 2
)

// startupState decides when a starting node knows the newest revision. It is a state machine without I/O
// and is not safe for concurrent use.
type startupState struct {
	// self is the fleet address of this node, which does not count as its own peer.
	self      string
	startedAt time.Time
	// hasStored is set if the node found a stored document.
	hasStored bool
	// newest is the newest document that the node received or had stored, or nil.
	newest *configpb.Document
	// replied holds the addresses of processes that replied with a revision that newest covers.
	replied map[string]bool
	// confirmed is set once a majority of control replicas confirmed a revision that newest covers.
	confirmed bool
}

func newStartupState(self string, stored *configpb.Document, now time.Time) *startupState {
	return &startupState{self: self, startedAt: now, hasStored: stored != nil, newest: stored, replied: map[string]bool{}}
}

// offerDocument records a document if it is newer than the newest one.
func (s *startupState) offerDocument(d *configpb.Document) {
	if d.GetRevision() > s.newest.GetRevision() {
		s.newest = d
	}
}

// recordReply records that the process at the address replied with its revision. A revision of 0 means that
// the process has none in force, so its reply does not count. The documents fetched in the same round must
// have been offered before.
func (s *startupState) recordReply(address string, revision uint64, confirmed bool) {
	if revision > 0 && revision <= s.newest.GetRevision() {
		s.replied[address] = true
	}
	// A confirmed revision counts only once its document has been received.
	if confirmed && revision <= s.newest.GetRevision() {
		s.confirmed = true
	}
}

// shouldQueryPeers reports whether peers are to be queried as well.
func (s *startupState) shouldQueryPeers(now time.Time) bool {
	return now.Sub(s.startedAt) >= peerQueryDelay
}

// complete reports whether the newest document may be put in force.
func (s *startupState) complete(now time.Time) bool {
	if s.confirmed {
		return true
	}
	if now.Sub(s.startedAt) < confirmationTimeout || s.newest == nil {
		return false
	}
	return s.hasStored || s.halfReplied()
}

// halfReplied reports whether at least half of the other listed hosts, and at least minPeerReplies, replied.
func (s *startupState) halfReplied() bool {
	listed, replied := 0, 0
	for _, h := range s.newest.GetHosts() {
		if h.GetFleetAddress() == s.self {
			continue
		}
		listed++
		if s.replied[h.GetFleetAddress()] {
			replied++
		}
	}
	return replied >= minPeerReplies && 2*replied >= listed
}
