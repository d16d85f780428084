package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// Request is a node's wish for a grant.
type Request struct {
	// ID is unique among the requests of one incarnation of the node, and rises.
	ID       uint64
	Priority priority.Priority
	Team     string
	// Weight of the team; 0 means 1.
	Weight   uint32
	Deadline time.Time
	// Kind tells work of different length apart, such as the hash of the route; 0 if it is not known.
	Kind uint32
	// Target is the latency within which the answer counts as good; 0 means that of the priority.
	Target      time.Duration
	Fingerprint uint64
	Idempotent  bool
	// Exclude lists instances already tried.
	Exclude []string
	Purpose grant.Purpose
}

// Outstanding is a request in flight that a former dispatcher or the node itself granted.
type Outstanding struct {
	ID          uint64
	Instance    string
	Sent        time.Time
	Priority    priority.Priority
	Idempotent  bool
	Fingerprint uint64
	FirstByte   bool
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The kinds of action.
const (
	// Granted allows the request.
	Granted ActionKind = iota + 1
	// Refused denies it; it was not run.
	Refused
	// Advised tells the node to retry an idempotent request elsewhere.
	Advised
)

// Action is an answer of the dispatcher to a node.
type Action struct {
	Kind ActionKind
	Node string
	ID   uint64
	// Instance, Address and DataCentre name the server of a grant.
	Instance   string
	Address    string
	DataCentre string
	// Refusal is the kind of problem of a refusal.
	Refusal    problem.Kind
	RetryAfter time.Duration
}

// requestState tells where a request is.
type requestState uint8

const (
	stateQueued requestState = iota + 1
	stateGranted
)

// request is the dispatcher's record of one Request.
type request struct {
	Request
	node    *node
	state   requestState
	arrived time.Time
	// due is when the answer should be there: the target latency after the arrival, or the deadline
	// once the request is late.
	due  time.Time
	late bool
	// work is the slot time in seconds that the request will probably take.
	work float64
	// bucket and index are the position in the queue.
	bucket *bucket
	index  int
	// server, slot and sent are set once granted.
	server    *server
	slot      int
	sent      time.Time
	firstByte bool
	// number of the grant among the actions for the node.
	number uint64
	// canary marks the request that decides whether an ejected server returns.
	canary bool
	// crashSuspect marks a request whose fingerprint was on a server that crashed.
	crashSuspect bool
	// advised is set once the node was told to retry elsewhere.
	advised bool
}

// node is a member with or without a live stream.
type node struct {
	id          string
	incarnation uint64
	dataCentre  string
	// nodeKey and centreKey name the node's paths to servers.
	nodeKey, centreKey string
	connected          bool
	// lostAt is when the stream broke.
	lostAt time.Time
	// heard is the time of the last message.
	heard  time.Time
	lastID uint64
	// emitted and received count the actions for the node since it connected.
	emitted, received uint64
	requests          map[uint64]*request
	// isolatedUntil is set while the node's paths to several servers look bad, so that its evidence does not count.
	isolatedUntil time.Time
	lastAnswer    time.Time
	// overdueServers counts the servers that owe the node an answer.
	overdueServers int
}
