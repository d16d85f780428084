package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const hopDelay = time.Millisecond

// serviceSize is one service at the present size of one user.
type serviceSize struct {
	name           string
	servers, slots int
	median         time.Duration
}

var sizes = []serviceSize{
	{"cuefeed", 14, 6, 40 * time.Millisecond},
	{"booking", 20, 3, 30 * time.Millisecond},
}

// event is something that happens at a time in ns; seq keeps the order of events with equal times.
type event struct {
	at  int64
	seq int
	do  func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// fakeServer responds after a random time, unless a fault is set.
type fakeServer struct {
	backend.Server
	factor    float64
	stalled   func(time.Time) time.Time // returns the time until which a request that ends now hangs
	failing   float64                   // share of requests that fail
	downUntil time.Time
	running   map[*simRequest]bool
}

// stream is one source of requests of the same kind.
type stream struct {
	priority      priority.Priority
	team          string
	rate          float64 // requests per second
	deadline      time.Duration
	fingerprint   uint64 // 0: each request has its own
	nonIdempotent bool
	retries       bool
}

// simRequest is one request of a node.
type simRequest struct {
	node        *fakeNode
	id          uint64
	stream      *stream
	request     dispatch.Request
	requestedAt time.Time
	sent        time.Time
	server      *fakeServer
	finished    bool
	firstSent   time.Time // when the first attempt was sent
}

type fakeNode struct {
	id, dc           string
	nextID           uint64
	requests         map[uint64]*simRequest
	connected        bool
	lastToDispatcher time.Time // latest message that reached the dispatcher
	lastToNode       time.Time // latest message that reached the node
	received         uint64
}

// streamStats counts the outcomes of a stream.
type streamStats struct {
	requests, good, refused, failed int
	slotTime                        time.Duration
	latencies                       []time.Duration
}

// simulation runs a machine with fake servers and nodes in virtual time.
type simulation struct {
	now, start time.Time
	queue      events
	seq        int
	random     *rand.Rand
	size       serviceSize
	config     dispatch.Config
	machine    *dispatch.Machine
	servers    map[string]*fakeServer
	names      []string
	nodes      []*fakeNode
	byID       map[string]*fakeNode
	stats      map[*stream]*streamStats
	sigma      float64
	// dropsMessages reports whether messages from one data centre to another are dropped.
	dropsMessages func(from, to string) bool
	badPath       func(n *fakeNode, s *fakeServer) bool
	// ejectedAt is when each server was first seen ejected.
	ejectedAt map[string]time.Time
	// grantTimes are the times at which each server got work.
	grantTimes       map[string][]time.Time
	refusals         map[problem.Kind]int
	crashFingerprint uint64
	crashes          int
}

func newSimulation(s serviceSize, seed uint64) *simulation {
	w := &simulation{
		now: time.Unix(1000, 0), start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), size: s,
		servers: map[string]*fakeServer{}, byID: map[string]*fakeNode{}, stats: map[*stream]*streamStats{}, sigma: 0.4,
		ejectedAt: map[string]time.Time{}, grantTimes: map[string][]time.Time{}, refusals: map[problem.Kind]int{},
	}
	w.config = dispatch.Config{Service: s.name, Term: seed, MinimumHealthyPercent: 60}
	for i := range 48 {
		n := &fakeNode{id: fmt.Sprintf("n%02d", i), dc: fmt.Sprintf("dc%d", i%3), requests: map[uint64]*simRequest{}, connected: true}
		w.nodes = append(w.nodes, n)
		w.byID[n.id] = n
		w.config.Members = append(w.config.Members, dispatch.Member{Node: n.id, DataCentre: n.dc})
	}
	for i := range s.servers {
		x := &fakeServer{factor: 1, running: map[*simRequest]bool{}, Server: backend.Server{
			Service: s.name, Instance: fmt.Sprintf("s%02d", i), Address: "127.0.0.1:1", Incarnation: 1,
			DataCentre: fmt.Sprintf("dc%d", i%3), State: backend.Ready, Slots: s.slots, Connections: 330,
		}}
		w.servers[x.Instance] = x
		w.names = append(w.names, x.Instance)
	}
	w.takeOver()
	w.every(dispatch.TickInterval, w.tick)
	w.every(100*time.Millisecond, w.announce)
	for _, n := range w.nodes {
		w.after(time.Duration(w.random.IntN(100))*time.Millisecond, func() {
			w.every(100*time.Millisecond, func() { w.toDispatcher(n, func() { w.machine.RecordContact(w.now, n.id, n.received) }) })
		})
	}
	return w
}

// takeOver starts a machine and connects all nodes to it.
func (w *simulation) takeOver() {
	w.machine = dispatch.New(w.now, w.config)
	w.announce()
	for _, n := range w.nodes {
		var held []dispatch.Outstanding
		for _, x := range n.requests {
			if x.server != nil {
				held = append(held, dispatch.Outstanding{ID: x.id, Instance: x.server.Instance, Sent: x.sent, Idempotent: true})
			}
		}
		w.machine.Connect(w.now, n.id, n.dc, 1, held, nil)
		n.lastToDispatcher, n.lastToNode, n.received = w.now, w.now, 0
	}
}

func (w *simulation) at(t time.Time, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{t.UnixNano(), w.seq, do})
}

func (w *simulation) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *simulation) every(d time.Duration, do func()) {
	do()
	w.after(d, func() { w.every(d, do) })
}

// run advances the time by d.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end.UnixNano() {
		e := heap.Pop(&w.queue).(*event)
		w.now = time.Unix(0, e.at)
		e.do()
	}
	w.now = end
}

func (w *simulation) announce() {
	list := make([]backend.Server, 0, len(w.names))
	for _, name := range w.names {
		s := w.servers[name].Server
		s.Renewed = w.now
		list = append(list, s)
	}
	w.machine.SetServers(w.now, list)
	w.deliverActions()
}

func (w *simulation) tick() {
	for _, n := range w.nodes {
		if n.connected && !w.isCut("dc0", n.dc) {
			n.lastToNode = w.now
		}
		if n.connected && max(w.now.Sub(n.lastToDispatcher), w.now.Sub(n.lastToNode)) > 300*time.Millisecond {
			n.connected = false
			w.machine.Disconnect(w.now, n.id)
		}
	}
	w.machine.Tick(w.now)
	w.deliverActions()
	for _, s := range w.machine.View(w.now).Servers {
		if _, seen := w.ejectedAt[s.Instance]; !seen && s.State == dispatch.ViewEjected {
			w.ejectedAt[s.Instance] = w.now
		}
	}
}

// toDispatcher delivers a message of a node to the dispatcher, which runs in dc0.
func (w *simulation) toDispatcher(n *fakeNode, do func()) {
	if w.isCut(n.dc, "dc0") || !n.connected {
		return
	}
	w.after(hopDelay, func() {
		if n.connected {
			n.lastToDispatcher = w.now
			do()
			w.deliverActions()
		}
	})
}

func (w *simulation) isCut(from, to string) bool {
	return w.dropsMessages != nil && from != to && w.dropsMessages(from, to)
}

func (w *simulation) deliverActions() {
	for _, a := range slices.Clone(w.machine.TakeActions()) {
		n := w.byID[a.Node]
		if w.isCut("dc0", n.dc) {
			continue
		}
		sender := w.machine
		w.after(hopDelay, func() {
			// The stream of a former dispatcher is closed.
			if sender == w.machine {
				w.receive(n, a)
			}
		})
	}
}

// startStream starts a Poisson stream of requests from random nodes.
func (w *simulation) startStream(s *stream) *streamStats {
	t := &streamStats{}
	w.stats[s] = t
	var next func()
	next = func() {
		if s.rate <= 0 {
			return
		}
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if n.connected {
			t.requests++
			w.sendRequest(n, s, w.now, nil, grant.First, w.random.Uint64())
		}
		w.after(time.Duration(w.random.ExpFloat64()/s.rate*float64(time.Second)), next)
	}
	w.after(0, next)
	return t
}

func (w *simulation) sendRequest(n *fakeNode, s *stream, began time.Time, exclude []string, purpose grant.Purpose, fingerprint uint64) {
	n.nextID++
	x := &simRequest{node: n, id: n.nextID, stream: s, requestedAt: w.now, firstSent: began}
	if s.fingerprint != 0 {
		fingerprint = s.fingerprint
	}
	x.request = dispatch.Request{
		ID: x.id, Priority: s.priority, Team: s.team, Deadline: began.Add(s.deadline),
		Fingerprint: fingerprint, Idempotent: !s.nonIdempotent, Exclude: exclude, Purpose: purpose,
	}
	n.requests[x.id] = x
	w.toDispatcher(n, func() { w.machine.Acquire(w.now, n.id, x.request) })
}

func (w *simulation) receive(n *fakeNode, a dispatch.Action) {
	n.received++
	x := n.requests[a.ID]
	if x == nil {
		return
	}
	t := w.stats[x.stream]
	switch a.Kind {
	case dispatch.Refused:
		delete(n.requests, x.id)
		w.refusals[a.Refusal]++
		t.refused++
	case dispatch.Granted:
		x.sent = w.now
		w.grantTimes[a.Instance] = append(w.grantTimes[a.Instance], w.now)
		x.server = w.servers[a.Instance]
		w.after(hopDelay, func() { w.serve(x) })
		w.at(x.request.Deadline, func() { w.finish(x, grant.Timeout) })
	case dispatch.Advised:
		w.retry(x)
		w.finish(x, grant.Cancelled)
	}
}

// serve runs a request at its fake server.
func (w *simulation) serve(x *simRequest) {
	s := x.server
	if w.isCut(x.node.dc, s.DataCentre) || w.badPath != nil && w.badPath(x.node, s) {
		return
	}
	if w.now.Before(s.downUntil) {
		w.respond(x, grant.ConnectFailed)
		return
	}
	s.running[x] = true
	if w.crashFingerprint != 0 && x.request.Fingerprint == w.crashFingerprint {
		w.after(2*time.Millisecond, func() { w.crash(s) })
		return
	}
	took := time.Duration(float64(w.size.median) * math.Exp(w.random.NormFloat64()*w.sigma) * s.factor)
	result := grant.OK
	if w.random.Float64() < s.failing {
		took, result = time.Millisecond, grant.Error
	}
	w.after(took, func() { w.end(x, result) })
}

func (w *simulation) end(x *simRequest, result grant.Result) {
	if !x.server.running[x] {
		return
	}
	if x.server.stalled != nil {
		if until := x.server.stalled(w.now); until.After(w.now) {
			w.at(until, func() { w.end(x, result) })
			return
		}
	}
	delete(x.server.running, x)
	w.respond(x, result)
}

func (w *simulation) crash(s *fakeServer) {
	if w.now.Before(s.downUntil) {
		return
	}
	w.crashes++
	s.downUntil = w.now.Add(1500 * time.Millisecond)
	for x := range s.running {
		w.respond(x, grant.Broken)
	}
	clear(s.running)
	w.at(s.downUntil, func() { s.Incarnation++ })
}

func (w *simulation) respond(x *simRequest, result grant.Result) {
	if w.isCut(x.server.DataCentre, x.node.dc) {
		return
	}
	w.after(hopDelay, func() { w.finish(x, result) })
}

func (w *simulation) finish(x *simRequest, result grant.Result) {
	if x.finished {
		return
	}
	x.finished = true
	delete(x.node.requests, x.id)
	delete(x.server.running, x)
	t := w.stats[x.stream]
	c := grant.Completion{Result: result, Total: w.now.Sub(x.sent)}
	t.slotTime += c.Total
	if result == grant.OK {
		c.FirstByte = c.Total
		t.good++
		t.latencies = append(t.latencies, w.now.Sub(x.firstSent))
	} else if result != grant.Cancelled {
		t.failed++
		if result != grant.Timeout {
			w.retry(x)
		}
	}
	w.toDispatcher(x.node, func() { w.machine.Complete(w.now, x.node.id, x.id, c) })
}

func (w *simulation) retry(x *simRequest) {
	if !x.stream.retries || x.stream.nonIdempotent || len(x.request.Exclude) >= 2 {
		return
	}
	exclude := append(slices.Clone(x.request.Exclude), x.server.Instance)
	w.after(time.Duration(w.random.IntN(10))*time.Millisecond, func() {
		w.sendRequest(x.node, x.stream, x.firstSent, exclude, grant.Retry, x.request.Fingerprint)
	})
}

// capacity is the requests per second that the service serves at full load.
func (w *simulation) capacity() float64 {
	// The mean of the log-normal time, plus the network on both sides of the server and of the dispatcher.
	mean := w.size.median.Seconds()*math.Exp(w.sigma*w.sigma/2) + 4*hopDelay.Seconds()
	return float64(w.size.servers*w.size.slots) / mean
}

// shareWithin returns the share of requests that got a good response within the target.
func (t *streamStats) shareWithin(target time.Duration) float64 {
	good := 0
	for _, l := range t.latencies {
		if l <= target {
			good++
		}
	}
	return float64(good) / float64(max(t.requests, 1))
}

// countWithin counts the good responses within the target.
func (t *streamStats) countWithin(target time.Duration) (met int) {
	for _, l := range t.latencies {
		if l <= target {
			met++
		}
	}
	return met
}
