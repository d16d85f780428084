package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch/queue"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// Request is a node's request for a grant.
type Request struct {
	// ID is unique among the requests of one incarnation of the node, and increases.
	ID       uint64
	Priority priority.Priority
	Team     string
	// Weight is the weight of the team; 0 means 1.
	Weight   uint32
	Deadline time.Time
	// Kind groups requests of similar duration, for example by the hash of the route; 0 if unknown.
	Kind uint32
	// Target is the latency within which the response meets the service level; 0 selects the target of the
	// priority.
	Target      time.Duration
	Fingerprint uint64
	Idempotent  bool
	// Keyless is set if the request is not idempotent and is sent as soon as it is granted.
	Keyless bool
	// Exclude lists the instances that were already tried.
	Exclude []string
	Purpose grant.Purpose
}

// Outstanding is a request in flight that was granted by a former dispatcher or by the node itself.
type Outstanding struct {
	ID          uint64
	Instance    string
	Sent        time.Time
	Priority    priority.Priority
	Idempotent  bool
	Fingerprint uint64
	FirstByte   bool
}

// ActionKind is what an Action tells the node to do.
type ActionKind uint8

// The kinds of action.
const (
	// Granted permits the request.
	Granted ActionKind = iota + 1
	// Refused rejects the request; it was not run.
	Refused
	// Advised tells the node to retry an idempotent request elsewhere.
	Advised
)

// Action is a decision of the dispatcher that is sent to a node.
type Action struct {
	Kind ActionKind
	Node string
	ID   uint64
	// Instance, Address and DataCentre identify the server of a grant.
	Instance   string
	Address    string
	DataCentre string
	// Refusal is the kind of problem of a refusal.
	Refusal    problem.Kind
	RetryAfter time.Duration
}

// requestState is the stage of a request.
type requestState uint8

const (
	stateQueued requestState = iota + 1
	stateGranted
)

// request is the dispatcher's record of one Request.
type request struct {
	Request
	node  *node
	state requestState
	// queued is the record of the request in the queue.
	queued queue.Item[request]
	// server, inflightIndex and sent are set once the request is granted. inflightIndex is the position in
	// server.inflight.
	server        *server
	inflightIndex int
	sent          time.Time
	firstByte     bool
	// actionNumber is the number of the grant among the actions for the node.
	actionNumber uint64
	// canary marks the request that decides whether a server that is out of rotation returns.
	canary bool
	// crashSuspect marks a request whose fingerprint was on a server that crashed.
	crashSuspect bool
	// counted is set if the request took a token of its team's usage cap.
	counted bool
	// advised is set once the node was told to retry the request elsewhere.
	advised bool
}

// sentToFormerProcess reports whether the server has restarted since the request was granted.
func (r *request) sentToFormerProcess() bool {
	return r.sent.Before(r.server.restartedAt)
}

// node is a member of the host set, with or without a live stream.
type node struct {
	id          string
	incarnation uint64
	dataCentre  string
	// nodeKey and centreKey identify the paths to servers from the node and from its data centre.
	nodeKey, centreKey string
	connected          bool
	// lostAt is when the stream broke.
	lostAt time.Time
	// lastContact is the time of the last message from the node.
	lastContact time.Time
	// maxContactAge is how recent the last contact must be for the node's requests to count as evidence.
	maxContactAge time.Duration
	lastID        uint64
	// emitted and received count the actions for the node since it connected.
	emitted, received uint64
	requests          map[uint64]*request
	// isolatedUntil is set while the node's paths to several servers look bad; its evidence is ignored
	// until then.
	isolatedUntil time.Time
	lastResponse  time.Time
	// pausedInPass is the last pass in which all servers with room had asked this node to pause.
	pausedInPass uint64
	// overdueServers counts the servers with an overdue request of the node, provided that no server has
	// responded to the node since the request was sent.
	overdueServers int
}
