package membership

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// ProbeTimeout bounds one request of an exchange with a member.
	ProbeTimeout = 500 * time.Millisecond
	// SuspicionTimeout is how long a node stays suspect before it is declared dead without confirmation
	// by a second data centre.
	SuspicionTimeout = 3 * time.Second
	// suspicionQuorum is the number of data centres that must suspect a node to declare it dead.
	suspicionQuorum = 2
	// isolationTimeout is the time without a completed round trip after which a node considers itself
	// isolated and keeps its suspicions local.
	isolationTimeout = 800 * time.Millisecond
	// tombstoneShareMaxAge is how long entries of leaving and dead nodes are passed on. It is shorter
	// than tombstoneRetention, so that no node receives again an entry that it has just dropped.
	tombstoneShareMaxAge = 2 * time.Minute
	tombstoneRetention   = 4 * time.Minute
	// serverShareMaxAge is the age up to which entries of backend servers are passed on.
	serverShareMaxAge = 30 * time.Second
	serverRetention   = time.Minute
	// ageUnit is the unit of the ages listed in gossip replies.
	ageUnit = 10 * time.Millisecond
	// maxFollowUpEntries bounds the nodes that one follow-up request asks for, and likewise the servers.
	maxFollowUpEntries = 256
)

// Identity describes a node. It is fixed for the lifetime of the process.
type Identity struct {
	ID         string
	DataCentre string
	// EntryAddress is the ip:port for callers; empty on a pure control host.
	EntryAddress string
	// FleetAddress is the ip:port of the fleet listener.
	FleetAddress string
	// Role is node, control or node-and-control.
	Role string
	// Incarnation is the start time of the process in milliseconds. The gossiped incarnation starts at
	// this value and rises when the node refutes a suspicion.
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
	// Revision is the configuration revision in force at the node.
	Revision uint64
	Ready    bool
	// Unreachable lists the services that the node reports as unreachable from it.
	Unreachable []string
	// LastHeard is when this node last received a message directly from the member; zero if never.
	LastHeard time.Time
	// StateSince is when this node learned the current state.
	StateSince time.Time
}

// Target is a member to exchange with.
type Target struct {
	ID          string
	Address     string
	DataCentre  string
	Incarnation uint64
}

// PeerRevision reports that a peer has a newer configuration revision than this node.
type PeerRevision struct {
	Node string
	// Address is the fleet address of the peer; empty if this node does not know it yet.
	Address  string
	Revision uint64
}

type nodeEntry struct {
	// node is replaced on a change, never modified in place.
	node       *fleetpb.Node
	key        uint64
	stateSince time.Time
	lastHeard  time.Time
	// localSuspicion marks a suspicion raised while this node was isolated; it is not passed on.
	localSuspicion bool
}

// EntryHost is an entry host that attaches to the control hosts and takes no part in gossip itself.
type EntryHost struct {
	ID string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	// Address is the ip:port for callers.
	Address    string
	DataCentre string
	State      backend.State
	// Renewed is the time of the last heartbeat on this node's monotonic clock, never later than the actual one.
	Renewed time.Time
}

// formerEntryHostService is the service name by which former versions tell entry hosts from backend servers. It is
// still sent with entry hosts, and ignored unless the sender states no kind.
const formerEntryHostService = "entry hosts"

type serverID struct {
	service  string
	instance string
}

// serverEntry is the entry of a backend server or, without a service, of an entry host.
type serverEntry struct {
	backend.Server
	kind    fleetpb.EntryKind
	version uint64
	key     uint64
}

func (e *serverEntry) entryHost() EntryHost {
	return EntryHost{
		ID: e.Instance, Incarnation: e.Incarnation, Address: e.Address, DataCentre: e.DataCentre, State: e.State, Renewed: e.Renewed,
	}
}

func (e *serverEntry) id() serverID {
	return serverID{e.Service, e.Instance}
}
