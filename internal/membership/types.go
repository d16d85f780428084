package membership

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// ProbeTimeout bounds an exchange with a member.
	ProbeTimeout = 500 * time.Millisecond
	// SuspicionTimeout is how long a node stays suspect before it is dead without confirmation.
	SuspicionTimeout = 3 * time.Second
	// confirmations is how many data centres must suspect a node to call it dead.
	confirmations = 2
	// isolatedAfter is the time without any contact after which a node keeps its suspicions to itself.
	isolatedAfter = 800 * time.Millisecond
	// shareGoneFor is how long entries of nodes that left or died are passed on. It is shorter than
	// keepGoneFor, so that no node gets back an entry that it has just dropped.
	shareGoneFor = 2 * time.Minute
	keepGoneFor  = 4 * time.Minute
	// shareServerFor is the age up to which entries of backend servers are passed on.
	shareServerFor = 30 * time.Second
	keepServerFor  = time.Minute
	// ageUnit is the unit of ages on the wire.
	ageUnit = 10 * time.Millisecond
	// maxFollowUp bounds the entries fetched by one follow-up request.
	maxFollowUp = 256
)

// Identity is what a node says about itself for the whole run of its process.
type Identity struct {
	ID         string
	DataCentre string
	// EntryAddress is the ip:port for callers; empty on a pure control host.
	EntryAddress string
	// FleetAddress is the ip:port of the fleet listener.
	FleetAddress string
	// Role is node, control or node-and-control.
	Role string
	// Incarnation is the start time of the process in milliseconds. The gossiped incarnation starts
	// here and rises when the node refutes a suspicion.
	Incarnation uint64
}

// Member is one node as seen by this node.
type Member struct {
	ID           string
	Incarnation  uint64
	State        fleetpb.NodeState
	DataCentre   string
	EntryAddress string
	FleetAddress string
	Role         string
	// Revision is the configuration revision in force.
	Revision uint64
	Ready    bool
	// Unreachable lists services that the node reports as out of its reach.
	Unreachable []string
	// LastHeard is the last time this node heard the member directly; zero if never.
	LastHeard time.Time
	// StateSince is when this node learned the present state.
	StateSince time.Time
}

// Target is a member to exchange with.
type Target struct {
	ID          string
	Address     string
	DataCentre  string
	Incarnation uint64
}

// PeerRevision tells that a peer has a newer configuration revision than this node.
type PeerRevision struct {
	Node string
	// Address is the fleet address of the peer; empty if this node does not know it yet.
	Address  string
	Revision uint64
}

type nodeEntry struct {
	// node is never changed in place.
	node  *fleetpb.Node
	key   uint64
	since time.Time
	heard time.Time
	// doubt marks a suspicion raised while this node was isolated; it is not passed on.
	doubt bool
}

type serverID struct {
	service  string
	instance string
}

type serverEntry struct {
	backend.Server
	version uint64
	key     uint64
}

func (e *serverEntry) id() serverID {
	return serverID{e.Service, e.Instance}
}
