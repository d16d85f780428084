package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch/queue"
	"github.com/tarragonmux/tarragonmux/internal/dispatch/retrybudget"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/usagecap"
)

// Machine dispatches the requests of one service. It is not safe for concurrent use. Every event takes the
// current monotonic time; TakeActions collects the resulting actions.
type Machine struct {
	config   Config
	started  time.Time
	servers  []*server
	byName   map[string]*server
	nodes    map[string]*node
	queue    queue.Queue[request]
	retries  retrybudget.Budget
	canaries canaryBudget
	crashes  *crashTable
	peaks    [peakMinutes]peak

	latencies latencies
	workKinds map[uint32]*workKind
	// cost is the mean slot time in seconds of a request of each priority.
	cost     [priority.Count]float64
	overload bool
	// backlogSince is since when the queue has not been empty, as of the latest tick; zero if it was empty.
	backlogSince time.Time
	// mostBadAt is when most servers last looked bad.
	mostBadAt          time.Time
	collectionDone     bool
	inheritedEjections map[string]bool
	deadMembers        map[string]memberState
	actions            []Action
	events             []Event
	deferred           []*request
	freeRequests       []*request
	stats              Stats
	lastSweep          time.Time
	lastQuantiles      time.Time
	// manyWithoutWork is set if so many usable servers have no work, as of the latest call of surveyServers, that
	// non-idempotent requests may test them.
	manyWithoutWork bool
	// passedOverUntil is until when idle servers that are doubted or avoided get idempotent requests.
	passedOverUntil time.Time
	// lastIdempotent is when the last idempotent request arrived, or when the machine started.
	lastIdempotent time.Time
	// pass numbers the calls of dispatchQueued.
	pass uint64
	// candidates are the usable servers, and openServers those of them with free slots, as of the latest
	// call of surveyServers. tooManyFailing is set if skipping the deprioritized ones would leave too few.
	candidates, openServers []*server
	tooManyFailing          bool
	// Scratch space, reused to save allocations.
	evidenceNodes []*node
	evidenceAges  []time.Duration
	overdue       []*request
	values        []time.Duration
	rates         []float64
	medians       []time.Duration
	// pooled is the latency distribution of the servers with usual latencies.
	pooled distribution
	// caps counts first attempts against the usage caps of their teams.
	caps *usagecap.Ledger
	// minStall is the least stall threshold with the heartbeats in force; 0 before they are known.
	minStall time.Duration
	// avoidedCount is how many servers are avoided for their delays.
	avoidedCount int
}

// Stats counts decisions since the machine started.
type Stats struct {
	Granted, Refused, Retries, Hedges      uint64
	Ejections, EjectionsDenied, PathBlocks uint64
	Returns, PoisonRequests, Crashes       uint64
	// Capped counts the requests refused because of the usage cap of their team.
	Capped   uint64
	Queued   int
	Overload bool
}

// Add adds the counters of another dispatcher of the same service.
func (s *Stats) Add(o Stats) {
	s.Granted += o.Granted
	s.Refused += o.Refused
	s.Retries += o.Retries
	s.Hedges += o.Hedges
	s.Ejections += o.Ejections
	s.EjectionsDenied += o.EjectionsDenied
	s.PathBlocks += o.PathBlocks
	s.Returns += o.Returns
	s.PoisonRequests += o.PoisonRequests
	s.Crashes += o.Crashes
	s.Capped += o.Capped
	s.Queued += o.Queued
	s.Overload = s.Overload || o.Overload
}

// peak is the highest announced capacity of one minute, in slots.
type peak struct {
	minute int64
	slots  int
}

// New returns a machine that collects reports of outstanding grants until CollectionPeriod after now.
func New(now time.Time, c Config) *Machine {
	m := &Machine{
		config:             c,
		started:            now,
		lastIdempotent:     now,
		byName:             map[string]*server{},
		nodes:              map[string]*node{},
		crashes:            newCrashTable(),
		workKinds:          map[uint32]*workKind{},
		inheritedEjections: map[string]bool{},
		deadMembers:        map[string]memberState{},
	}
	m.queue.Salt = c.Term
	m.retries.SetLimits(c.RetryShare, c.RetryFloor)
	m.caps = usagecap.NewLedger(now, c.Part, c.CapBound)
	return m
}

// Configure replaces the settings, except for the term.
func (m *Machine) Configure(now time.Time, c Config) {
	c.Term = m.config.Term
	m.config = c
	m.retries.SetLimits(c.RetryShare, c.RetryFloor)
	m.reserveAutonomousSlots(now)
	m.enforceMinimum(now)
	m.dispatchQueued(now)
}

// TakeActions returns the actions since the last call. The slice is valid until the next event.
func (m *Machine) TakeActions() []Action {
	actions := m.actions
	m.actions = m.actions[:0]
	return actions
}

// Stats returns the counters, the length of the queue and whether the service is overloaded.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Queued = m.queue.Length()
	s.Overload = m.overload
	return s
}

// SetServers applies the registry's list of the backend servers.
func (m *Machine) SetServers(now time.Time, list []backend.Server) {
	for _, s := range m.servers {
		s.listed = false
	}
	for _, b := range list {
		m.setServer(now, b)
	}
	m.sortServers()
	m.servers = slices.DeleteFunc(m.servers, func(s *server) bool {
		gone := !s.listed && len(s.inflight) == 0
		if gone {
			m.recordLostServer(now, s)
			delete(m.byName, s.Instance)
		}
		return gone
	})
	m.recordPeak(now)
	m.reserveAutonomousSlots(now)
	m.enforceMinimum(now)
	m.dispatchQueued(now)
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
		m.addServer(s)
		m.beginWarmUp(now, s)
	case s.Incarnation != b.Incarnation:
		s.deductedFromPeaks = false
		m.resetAfterRestart(now, s, b)
	case b.State == backend.Left && s.State != backend.Left:
		m.recordLostServer(now, s)
	}
	becameReady := s.State != backend.Ready && b.State == backend.Ready
	s.Server = b
	s.listed = true
	if becameReady {
		s.draining = false
		m.beginWarmUp(now, s)
	}
}

// addServer appends a server; sortServers must be called afterwards.
func (m *Machine) addServer(s *server) {
	m.byName[s.Instance] = s
	m.servers = append(m.servers, s)
}

func (m *Machine) sortServers() {
	byInstance := func(a, b *server) int { return strings.Compare(a.Instance, b.Instance) }
	if !slices.IsSortedFunc(m.servers, byInstance) {
		slices.SortFunc(m.servers, byInstance)
	}
}

// Connect starts a node's stream. outstanding are the requests that the node has in flight, and ejected are
// the servers that its former dispatcher had ejected.
func (m *Machine) Connect(now time.Time, id, dataCentre string, incarnation uint64, outstanding []Outstanding, ejected []string) {
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
	n.lastContact = now
	n.emitted, n.received = 0, 0
	// Requests that the node does not report again have ended.
	m.releaseAll(now, n)
	for _, o := range outstanding {
		m.adoptOutstanding(now, n, o)
	}
	m.sortServers()
	if now.Before(m.started.Add(CollectionPeriod)) {
		for _, instance := range ejected {
			m.inheritedEjections[instance] = true
		}
	}
	m.reserveAutonomousSlots(now)
	m.dispatchQueued(now)
}

func (m *Machine) adoptOutstanding(now time.Time, n *node, o Outstanding) {
	s := m.byName[o.Instance]
	if s == nil {
		s = newServer(backend.Server{Service: m.config.Service, Instance: o.Instance, Slots: m.config.DefaultSlots})
		s.lastResponse, s.knownSince = now, now
		m.addServer(s)
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

// Disconnect ends a node's stream. Its queued requests are dropped, since the node sends them to the next
// dispatcher; its grants keep their slots for StreamGrace.
func (m *Machine) Disconnect(now time.Time, id string) {
	n := m.nodes[id]
	if n == nil || !n.connected {
		return
	}
	n.connected = false
	n.lostAt = now
	for _, r := range n.requests {
		if r.state == stateQueued {
			m.queue.Remove(&r.queued)
			m.drop(r)
		}
	}
	m.reserveAutonomousSlots(now)
}

// RecordContact records that a message of a node arrived, and how many actions the node has received since
// it connected.
func (m *Machine) RecordContact(now time.Time, id string, received uint64) {
	if n := m.nodes[id]; n != nil {
		n.lastContact = now
		n.received = max(n.received, received)
	}
}

// emit adds an action for a node.
func (m *Machine) emit(n *node, a Action) {
	a.Node = n.id
	n.emitted++
	m.actions = append(m.actions, a)
}

func (m *Machine) releaseAll(now time.Time, n *node) {
	for _, r := range n.requests {
		if r.state == stateQueued {
			m.queue.Remove(&r.queued)
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
	if q.Idempotent {
		m.lastIdempotent = now
	}
	counted, withinCap := m.takeToken(now, n, &q)
	if !withinCap {
		return
	}
	if kind := m.admissionRefusal(now, &q); kind != "" {
		m.returnToken(now, q.Team, counted)
		m.refuse(n, q.ID, kind)
		return
	}
	if wait := m.rateWait(now); wait > 0 && !now.Add(wait).Before(m.latestStart(&q)) {
		m.returnToken(now, q.Team, counted)
		m.refuseFor(n, q.ID, problem.NoCapacity, wait)
		return
	}
	r := m.newRequest()
	*r = request{Request: q, node: n, state: stateQueued, counted: counted}
	r.queued = queue.Item[request]{
		Owner: r, ID: q.ID, Priority: q.Priority, Team: q.Team, Weight: q.Weight,
		Arrived: now, Due: m.dueTime(now, &q), SlotSeconds: m.workKindOf(q.Kind).meanSlotSeconds,
	}
	r.crashSuspect = m.crashes.isCrashSuspect(q.Fingerprint)
	n.requests[q.ID] = r
	m.queue.Push(&r.queued)
	m.dispatchQueued(now)
}

// dueTime returns the time by which the response meets the target, or the deadline if that is earlier.
func (m *Machine) dueTime(now time.Time, q *Request) time.Time {
	target := q.Target
	if target == 0 {
		target = m.config.Targets[q.Priority]
	}
	if at := now.Add(target); target > 0 && at.Before(q.Deadline) {
		return at
	}
	return q.Deadline
}

// admissionRefusal returns the kind of refusal of a request that cannot be served, or "". If the queue is
// full, it may refuse another queued request instead.
func (m *Machine) admissionRefusal(now time.Time, q *Request) problem.Kind {
	if q.Priority >= priority.Count {
		q.Priority = priority.Background
	}
	if m.crashes.poisoned(now, q.Fingerprint) {
		return problem.PoisonRequest
	}
	if q.Deadline.Sub(now) < max(m.requiredTime(q, false), 1) {
		return problem.DeadlineUnmeetable
	}
	if m.unmeetable(now, q) {
		return problem.DeadlineUnmeetable
	}
	if q.Purpose == grant.Hedge && m.overload || q.Purpose != grant.First && !m.retries.Allows(now) {
		return problem.NoCapacity
	}
	if m.queue.LengthOf(q.Priority) < queue.Limit(m.announcedSlots()) {
		return ""
	}
	victim := m.queue.EvictionCandidate(q.Priority, q.Team)
	if victim == nil {
		return problem.QueueFull
	}
	m.refuseQueued(victim, problem.QueueFull)
	return ""
}

// Cancel withdraws a queued request.
func (m *Machine) Cancel(now time.Time, id string, request uint64) {
	n := m.nodes[id]
	if n == nil {
		return
	}
	n.lastContact = now
	r := n.requests[request]
	if r == nil || r.state != stateQueued {
		return
	}
	m.queue.Remove(&r.queued)
	m.drop(r)
}

// FirstByte records that the response to a granted request began.
func (m *Machine) FirstByte(now time.Time, id string, request uint64) {
	n := m.nodes[id]
	if n == nil {
		return
	}
	n.lastContact = now
	r := n.requests[request]
	if r == nil || r.state != stateGranted || r.firstByte {
		return
	}
	r.firstByte = true
	m.recordResponse(now, r)
}

// Complete ends a granted request and frees its slot.
func (m *Machine) Complete(now time.Time, id string, request uint64, c grant.Completion) {
	n := m.nodes[id]
	if n == nil {
		return
	}
	n.lastContact = now
	r := n.requests[request]
	if r == nil || r.state != stateGranted {
		return
	}
	if c.Result == grant.Unused || c.Result == grant.ConnectFailed && c.FirstByte == 0 {
		// The next attempt takes another token, as this one has reached no server.
		m.returnToken(now, r.Team, r.counted)
	}
	m.observeCompletion(now, r, c)
	m.observeSignals(now, r, &c)
	m.release(now, r)
	m.drop(r)
	m.enforceMinimum(now)
	m.dispatchQueued(now)
}

// release frees the slot of a granted request.
func (m *Machine) release(now time.Time, r *request) {
	s := r.server
	s.detach(r)
	if r.canary && s.state == onCanary {
		// The canary ended without a decision; the next suitable request takes its place.
		r.canary = false
	}
}

// drop forgets a request that is no longer queued or granted, and keeps its record for reuse.
func (m *Machine) drop(r *request) {
	if r.state == stateQueued {
		m.returnToken(time.Time{}, r.Team, r.counted)
	}
	delete(r.node.requests, r.ID)
	*r = request{}
	m.freeRequests = append(m.freeRequests, r)
}

func (m *Machine) newRequest() *request {
	last := len(m.freeRequests) - 1
	if last < 0 {
		return &request{}
	}
	r := m.freeRequests[last]
	m.freeRequests = m.freeRequests[:last]
	return r
}

func (m *Machine) refuse(n *node, id uint64, kind problem.Kind) {
	wait := refusalRetryAfter
	if kind == problem.PoisonRequest || kind == problem.DeadlinePassed {
		wait = 0
	}
	m.refuseFor(n, id, kind, wait)
}

// refuseFor refuses a request and tells the caller to retry it after the given time.
func (m *Machine) refuseFor(n *node, id uint64, kind problem.Kind, wait time.Duration) {
	m.stats.Refused++
	m.emit(n, Action{Kind: Refused, ID: id, Refusal: kind, RetryAfter: wait})
}

func (m *Machine) refuseQueued(r *request, kind problem.Kind) {
	m.queue.Remove(&r.queued)
	m.refuse(r.node, r.ID, kind)
	m.drop(r)
}
