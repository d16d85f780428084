package dispatch

import (
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// Machine dispatches one service. It is not safe for concurrent use. Every event takes the
// current monotonic time; the answers are collected by Take.
type Machine struct {
	config   Config
	started  time.Time
	servers  []*server
	byName   map[string]*server
	nodes    map[string]*node
	queue    queue
	retries  Budget
	canaries canaryBudget
	crashes  *crashTable
	peaks    [peakMinutes]peak

	latencies latencies
	kinds     map[uint32]*kind
	// cost is the mean slot time in seconds of a request of each priority.
	cost          [priority.Count]float64
	overload      bool
	backlogAt     time.Time
	badAt         time.Time
	collected     bool
	suspected     map[string]bool
	dead          map[string]memberState
	actions       []Action
	events        []Event
	deferred      []*request
	free          []*request
	stats         Stats
	lastSweep     time.Time
	lastQuantiles time.Time
	// candidates are the usable servers, and open those of them with free slots, as of the latest survey.
	// mostFail is set if avoiding the failing ones would leave too few.
	candidates, open []*server
	mostFail         bool
	// Scratch space, reused to save allocations.
	proofNodes []*node
	proofAges  []time.Duration
	overdue    []*request
	values     []time.Duration
	rates      []float64
	medians    []time.Duration
	// pooled is the latency distribution of the servers that answer as usual.
	pooled distribution
	// avoided is how many servers are avoided for their delays.
	avoided int
}

// Stats counts decisions since the machine started.
type Stats struct {
	Granted, Refused, Retries, Hedges      uint64
	Ejections, EjectionsDenied, PathBlocks uint64
	Returns, PoisonRequests, Crashes       uint64
	Queued                                 int
	Overload                               bool
}

type peak struct {
	minute int64
	slots  int
}

// New returns a machine that collects outstanding grants until CollectionPeriod after now.
func New(now time.Time, c Config) *Machine {
	m := &Machine{
		config:    c,
		started:   now,
		byName:    map[string]*server{},
		nodes:     map[string]*node{},
		crashes:   newCrashTable(),
		kinds:     map[uint32]*kind{},
		suspected: map[string]bool{},
		dead:      map[string]memberState{},
	}
	m.queue.salt = c.Term
	m.retries.limit(c)
	return m
}

// Configure replaces the settings.
func (m *Machine) Configure(now time.Time, c Config) {
	c.Term = m.config.Term
	m.config = c
	m.retries.limit(c)
	m.reserve(now)
	m.enforceMinimum(now)
	m.pump(now)
}

// TakeActions returns the actions since the last call. The slice is valid until the next event.
func (m *Machine) TakeActions() []Action {
	actions := m.actions
	m.actions = m.actions[:0]
	return actions
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Queued = m.queue.length()
	s.Overload = m.overload
	return s
}

// SetServers takes the registry's view of the backend servers.
func (m *Machine) SetServers(now time.Time, list []backend.Server) {
	for _, s := range m.servers {
		s.present = false
	}
	for _, b := range list {
		m.setServer(now, b)
	}
	m.servers = slices.DeleteFunc(m.servers, func(s *server) bool {
		gone := !s.present && len(s.inflight) == 0
		if gone {
			delete(m.byName, s.Instance)
		}
		return gone
	})
	m.recordPeak(now)
	m.reserve(now)
	m.enforceMinimum(now)
	m.pump(now)
}

func (m *Machine) setServer(now time.Time, b backend.Server) {
	if b.Slots <= 0 {
		b.Slots = m.config.DefaultSlots
	}
	if b.Connections <= 0 {
		b.Connections = m.config.DefaultConnections
	}
	s := m.byName[b.Instance]
	switch {
	case s == nil:
		s = newServer(b)
		s.knownSince = now
		m.add(s)
		m.beginWarmUp(now, s)
	case s.Incarnation != b.Incarnation:
		s.deducted = false
		m.restart(now, s, b)
	}
	becameReady := s.State != backend.Ready && b.State == backend.Ready
	s.Server = b
	s.present = true
	if becameReady {
		s.draining = false
		m.beginWarmUp(now, s)
	}
}

func (m *Machine) add(s *server) {
	m.byName[s.Instance] = s
	m.servers = append(m.servers, s)
	slices.SortFunc(m.servers, func(a, b *server) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
}

// beginWarmUp starts the slow start of a server that became ready a moment ago.
func (m *Machine) beginWarmUp(now time.Time, s *server) {
	s.lastAnswer = now
	if s.ReadySince.IsZero() || s.WarmUp <= 0 {
		// The announcement has filled in the default already, so 0 means that the server needs no warm-up.
		return
	}
	s.growFrom = s.ReadySince
	s.growFor = s.WarmUp
}

// restart resets what was learned about a former process of the server.
func (m *Machine) restart(now time.Time, s *server, b backend.Server) {
	s.Server = b
	s.draining = false
	s.weight, s.sheds, s.pausedUntil = 1, 0, time.Time{}
	s.limitedUntil = time.Time{}
	if s.state == held {
		s.state = inRotation
		s.crashHeld = false
		s.outSince = time.Time{}
	}
	s.forget(now)
	m.beginWarmUp(now, s)
}

// Connect starts a node's stream and takes the requests that it has in flight and the servers
// that its former dispatcher had ejected.
func (m *Machine) Connect(now time.Time, id, dataCentre string, incarnation uint64, held []Outstanding, ejected []string) {
	n := m.nodes[id]
	if n == nil {
		n = &node{id: id, requests: map[uint64]*request{}}
		m.nodes[id] = n
	}
	if n.incarnation != incarnation {
		n.incarnation = incarnation
		n.lastID = 0
	}
	n.dataCentre = dataCentre
	n.nodeKey = "n:" + id
	n.centreKey = "c:" + dataCentre
	n.connected = true
	n.heard = now
	n.emitted, n.received = 0, 0
	// What the node does not report again has ended.
	m.freeAll(now, n)
	for _, o := range held {
		m.adopt(now, n, o)
	}
	if now.Before(m.started.Add(CollectionPeriod)) {
		for _, instance := range ejected {
			m.suspected[instance] = true
		}
	}
	m.reserve(now)
	m.pump(now)
}

func (m *Machine) adopt(now time.Time, n *node, o Outstanding) {
	s := m.byName[o.Instance]
	if s == nil {
		s = newServer(backend.Server{Service: m.config.Service, Instance: o.Instance, Slots: m.config.DefaultSlots})
		s.lastAnswer, s.knownSince = now, now
		m.add(s)
	}
	if n.requests[o.ID] != nil {
		return
	}
	r := m.newRequest()
	*r = request{
		Request: Request{ID: o.ID, Priority: o.Priority, Idempotent: o.Idempotent, Fingerprint: o.Fingerprint},
		node:    n, state: stateGranted, sent: o.Sent, firstByte: o.FirstByte,
	}
	n.requests[o.ID] = r
	n.lastID = max(n.lastID, o.ID)
	s.attach(r)
}

// Disconnect ends a node's stream. Its queued requests are dropped, since the node asks the next
// dispatcher for them; its grants keep their slots for StreamGrace.
func (m *Machine) Disconnect(now time.Time, id string) {
	n := m.nodes[id]
	if n == nil || !n.connected {
		return
	}
	n.connected = false
	n.lostAt = now
	for _, r := range n.requests {
		if r.state == stateQueued {
			m.queue.remove(r)
			m.drop(r)
		}
	}
	m.reserve(now)
}

// RecordContact notes a sign of life of a node that has received so many actions since it connected.
func (m *Machine) RecordContact(now time.Time, id string, received uint64) {
	if n := m.nodes[id]; n != nil {
		n.heard = now
		n.received = max(n.received, received)
	}
}

// emit hands an action to a node.
func (m *Machine) emit(n *node, a Action) {
	a.Node = n.id
	n.emitted++
	m.actions = append(m.actions, a)
}

func (m *Machine) freeAll(now time.Time, n *node) {
	for _, r := range n.requests {
		if r.state == stateQueued {
			m.queue.remove(r)
		} else {
			m.release(now, r)
		}
		m.drop(r)
	}
}

// Acquire queues a request. An id that is not above all earlier ids of the node is ignored.
func (m *Machine) Acquire(now time.Time, id string, q Request) {
	n := m.nodes[id]
	if n == nil || !n.connected || q.ID <= n.lastID {
		return
	}
	n.lastID = q.ID
	if kind := m.admit(now, &q); kind != "" {
		m.refuse(n, q.ID, kind)
		return
	}
	r := m.newRequest()
	*r = request{Request: q, node: n, state: stateQueued, arrived: now}
	r.due = m.due(now, &q)
	r.work = m.kindOf(q.Kind).seconds
	r.crashSuspect = m.crashes.suspect(q.Fingerprint)
	n.requests[q.ID] = r
	m.queue.push(r)
	m.pump(now)
}

// due returns the time by which the answer meets the target, or the deadline if that is earlier.
func (m *Machine) due(now time.Time, q *Request) time.Time {
	target := q.Target
	if target == 0 {
		target = m.config.Targets[q.Priority]
	}
	if at := now.Add(target); target > 0 && at.Before(q.Deadline) {
		return at
	}
	return q.Deadline
}

// admit returns the kind of refusal of a request that cannot be served, or "".
func (m *Machine) admit(now time.Time, q *Request) problem.Kind {
	if q.Priority >= priority.Count {
		q.Priority = priority.Background
	}
	if m.crashes.poisoned(now, q.Fingerprint) {
		return problem.PoisonRequest
	}
	if q.Deadline.Sub(now) < max(m.needs(q, false), 1) {
		return problem.DeadlineUnmeetable
	}
	if m.hopeless(now, q) {
		return problem.DeadlineUnmeetable
	}
	if q.Purpose == grant.Hedge && m.overload || q.Purpose != grant.First && !m.retries.Allows(now) {
		return problem.NoCapacity
	}
	if m.queue.ranks[q.Priority].length() < m.queueLimit() {
		return ""
	}
	victim := m.queue.victim(q.Priority, q.Team)
	if victim == nil {
		return problem.QueueFull
	}
	m.refuseQueued(victim, problem.QueueFull)
	return ""
}

func (m *Machine) queueLimit() int {
	return max(queueFloor, queuePerSlot*m.announcedSlots())
}

// Cancel withdraws a queued request.
func (m *Machine) Cancel(now time.Time, id string, request uint64) {
	n := m.nodes[id]
	if n == nil {
		return
	}
	n.heard = now
	r := n.requests[request]
	if r == nil || r.state != stateQueued {
		return
	}
	m.queue.remove(r)
	m.drop(r)
}

// FirstByte notes that the answer of a granted request began.
func (m *Machine) FirstByte(now time.Time, id string, request uint64) {
	n := m.nodes[id]
	if n == nil {
		return
	}
	n.heard = now
	r := n.requests[request]
	if r == nil || r.state != stateGranted || r.firstByte {
		return
	}
	r.firstByte = true
	m.answered(now, r)
}

// Complete ends a granted request and frees its slot.
func (m *Machine) Complete(now time.Time, id string, request uint64, c grant.Completion) {
	n := m.nodes[id]
	if n == nil {
		return
	}
	n.heard = now
	r := n.requests[request]
	if r == nil || r.state != stateGranted {
		return
	}
	s := r.server
	m.observe(now, r, c)
	if c.Draining {
		s.draining = true
	}
	m.release(now, r)
	m.drop(r)
	m.enforceMinimum(now)
	m.pump(now)
}

// release frees the slot of a granted request.
func (m *Machine) release(now time.Time, r *request) {
	s := r.server
	s.detach(r)
	if r.canary && s.state == onCanary {
		// The canary ended without a verdict; the next idempotent request takes its place.
		r.canary = false
	}
}

// drop forgets a request that is neither queued nor granted any more.
func (m *Machine) drop(r *request) {
	delete(r.node.requests, r.ID)
	*r = request{}
	m.free = append(m.free, r)
}

func (m *Machine) newRequest() *request {
	last := len(m.free) - 1
	if last < 0 {
		return &request{}
	}
	r := m.free[last]
	m.free = m.free[:last]
	return r
}

func (m *Machine) refuse(n *node, id uint64, kind problem.Kind) {
	m.stats.Refused++
	wait := refuseRetryAfter
	if kind == problem.PoisonRequest || kind == problem.DeadlinePassed {
		wait = 0
	}
	m.emit(n, Action{Kind: Refused, ID: id, Refusal: kind, RetryAfter: wait})
}

func (m *Machine) refuseQueued(r *request, kind problem.Kind) {
	m.queue.remove(r)
	m.refuse(r.node, r.ID, kind)
	m.drop(r)
}
