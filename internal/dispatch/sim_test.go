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

const hop = time.Millisecond

// size is one service at one user's size of today.
type size struct {
	name           string
	servers, slots int
	median         time.Duration
}

var sizes = []size{
	{"cuefeed", 14, 6, 40 * time.Millisecond},
	{"booking", 20, 3, 30 * time.Millisecond},
}

// event is something that happens at a time in ns; seq keeps the order of equal times.
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

// fakeServer answers after a random time, unless a fault is set.
type fakeServer struct {
	backend.Server
	factor    float64
	stalled   func(time.Time) time.Time // returns until when a request that ends now hangs
	failing   float64                   // share of requests that fail
	downUntil time.Time
	running   map[*work]bool
}

// stream is one kind of work.
type stream struct {
	priority    priority.Priority
	team        string
	rate        float64 // requests per second
	deadline    time.Duration
	fingerprint uint64 // 0: each request has its own
	mutating    bool
	retries     bool
}

// work is one request of a node.
type work struct {
	node     *fakeNode
	id       uint64
	kind     *stream
	request  dispatch.Request
	asked    time.Time
	sent     time.Time
	server   *fakeServer
	finished bool
	began    time.Time // of the first attempt
}

type fakeNode struct {
	id, dc    string
	nextID    uint64
	works     map[uint64]*work
	connected bool
	heard     time.Time // last message that reached the dispatcher
	hears     time.Time // last message that reached the node
	received  uint64
}

// tally counts the outcomes of a stream.
type tally struct {
	asked, good, refused, failed int
	slotTime                     time.Duration
	latencies                    []time.Duration
}

// world runs a machine with fake servers and nodes in virtual time.
type world struct {
	now, start time.Time
	queue      events
	seq        int
	random     *rand.Rand
	size       size
	config     dispatch.Config
	machine    *dispatch.Machine
	servers    map[string]*fakeServer
	names      []string
	nodes      []*fakeNode
	byID       map[string]*fakeNode
	tallies    map[*stream]*tally
	sigma      float64
	// lost tells whether messages from one data centre to another get lost.
	lost    func(from, to string) bool
	badPath func(n *fakeNode, s *fakeServer) bool
	// ejectedAt is when each server was first seen ejected.
	ejectedAt map[string]time.Time
	// exposures are the times at which each server got work.
	exposures map[string][]time.Time
	refusals  map[problem.Kind]int
	onCrash   uint64
	crashes   int
}

func newWorld(s size, seed uint64) *world {
	w := &world{
		now: time.Unix(1000, 0), start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), size: s,
		servers: map[string]*fakeServer{}, byID: map[string]*fakeNode{}, tallies: map[*stream]*tally{}, sigma: 0.4,
		ejectedAt: map[string]time.Time{}, exposures: map[string][]time.Time{}, refusals: map[problem.Kind]int{},
	}
	w.config = dispatch.Config{Service: s.name, Term: seed, MinimumHealthyPercent: 60}
	for i := range 48 {
		n := &fakeNode{id: fmt.Sprintf("n%02d", i), dc: fmt.Sprintf("dc%d", i%3), works: map[uint64]*work{}, connected: true}
		w.nodes = append(w.nodes, n)
		w.byID[n.id] = n
		w.config.Members = append(w.config.Members, dispatch.Member{Node: n.id, DataCentre: n.dc})
	}
	for i := range s.servers {
		x := &fakeServer{factor: 1, running: map[*work]bool{}, Server: backend.Server{
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
func (w *world) takeOver() {
	w.machine = dispatch.New(w.now, w.config)
	w.announce()
	for _, n := range w.nodes {
		var held []dispatch.Outstanding
		for _, x := range n.works {
			if x.server != nil {
				held = append(held, dispatch.Outstanding{ID: x.id, Instance: x.server.Instance, Sent: x.sent, Idempotent: true})
			}
		}
		w.machine.Connect(w.now, n.id, n.dc, 1, held, nil)
		n.heard, n.hears, n.received = w.now, w.now, 0
	}
}

func (w *world) at(t time.Time, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{t.UnixNano(), w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *world) every(d time.Duration, do func()) {
	do()
	w.after(d, func() { w.every(d, do) })
}

// run moves time forward by d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end.UnixNano() {
		e := heap.Pop(&w.queue).(*event)
		w.now = time.Unix(0, e.at)
		e.do()
	}
	w.now = end
}

func (w *world) announce() {
	list := make([]backend.Server, 0, len(w.names))
	for _, name := range w.names {
		s := w.servers[name].Server
		s.Renewed = w.now
		list = append(list, s)
	}
	w.machine.SetServers(w.now, list)
	w.act()
}

func (w *world) tick() {
	for _, n := range w.nodes {
		if n.connected && !w.cut("dc0", n.dc) {
			n.hears = w.now
		}
		if n.connected && max(w.now.Sub(n.heard), w.now.Sub(n.hears)) > 300*time.Millisecond {
			n.connected = false
			w.machine.Disconnect(w.now, n.id)
		}
	}
	w.machine.Tick(w.now)
	w.act()
	for _, s := range w.machine.View(w.now).Servers {
		if _, seen := w.ejectedAt[s.Instance]; !seen && s.State == dispatch.ViewEjected {
			w.ejectedAt[s.Instance] = w.now
		}
	}
}

// toDispatcher delivers a message of a node to the dispatcher, which runs in dc0.
func (w *world) toDispatcher(n *fakeNode, do func()) {
	if w.cut(n.dc, "dc0") || !n.connected {
		return
	}
	w.after(hop, func() {
		if n.connected {
			n.heard = w.now
			do()
			w.act()
		}
	})
}

func (w *world) cut(from, to string) bool { return w.lost != nil && from != to && w.lost(from, to) }

func (w *world) act() {
	for _, a := range slices.Clone(w.machine.TakeActions()) {
		n := w.byID[a.Node]
		if w.cut("dc0", n.dc) {
			continue
		}
		sender := w.machine
		w.after(hop, func() {
			// The stream of a former dispatcher is closed.
			if sender == w.machine {
				w.receive(n, a)
			}
		})
	}
}

// load starts a Poisson stream of requests from random nodes.
func (w *world) load(s *stream) *tally {
	t := &tally{}
	w.tallies[s] = t
	var next func()
	next = func() {
		if s.rate <= 0 {
			return
		}
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if n.connected {
			t.asked++
			w.ask(n, s, w.now, nil, grant.First, w.random.Uint64())
		}
		w.after(time.Duration(w.random.ExpFloat64()/s.rate*float64(time.Second)), next)
	}
	w.after(0, next)
	return t
}

func (w *world) ask(n *fakeNode, s *stream, began time.Time, exclude []string, purpose grant.Purpose, fingerprint uint64) {
	n.nextID++
	x := &work{node: n, id: n.nextID, kind: s, asked: w.now, began: began}
	if s.fingerprint != 0 {
		fingerprint = s.fingerprint
	}
	x.request = dispatch.Request{
		ID: x.id, Priority: s.priority, Team: s.team, Deadline: began.Add(s.deadline),
		Fingerprint: fingerprint, Idempotent: !s.mutating, Exclude: exclude, Purpose: purpose,
	}
	n.works[x.id] = x
	w.toDispatcher(n, func() { w.machine.Acquire(w.now, n.id, x.request) })
}

func (w *world) receive(n *fakeNode, a dispatch.Action) {
	n.received++
	x := n.works[a.ID]
	if x == nil {
		return
	}
	t := w.tallies[x.kind]
	switch a.Kind {
	case dispatch.Refused:
		delete(n.works, x.id)
		w.refusals[a.Refusal]++
		t.refused++
	case dispatch.Granted:
		x.sent = w.now
		w.exposures[a.Instance] = append(w.exposures[a.Instance], w.now)
		x.server = w.servers[a.Instance]
		w.after(hop, func() { w.serve(x) })
		w.at(x.request.Deadline, func() { w.finish(x, grant.Timeout) })
	case dispatch.Advised:
		w.retry(x)
		w.finish(x, grant.Cancelled)
	}
}

// serve runs a request at its fake server.
func (w *world) serve(x *work) {
	s := x.server
	if w.cut(x.node.dc, s.DataCentre) || w.badPath != nil && w.badPath(x.node, s) {
		return
	}
	if w.now.Before(s.downUntil) {
		w.answer(x, grant.ConnectFailed)
		return
	}
	s.running[x] = true
	if w.onCrash != 0 && x.request.Fingerprint == w.onCrash {
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

func (w *world) end(x *work, result grant.Result) {
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
	w.answer(x, result)
}

func (w *world) crash(s *fakeServer) {
	if w.now.Before(s.downUntil) {
		return
	}
	w.crashes++
	s.downUntil = w.now.Add(1500 * time.Millisecond)
	for x := range s.running {
		w.answer(x, grant.Broken)
	}
	clear(s.running)
	w.at(s.downUntil, func() { s.Incarnation++ })
}

func (w *world) answer(x *work, result grant.Result) {
	if w.cut(x.server.DataCentre, x.node.dc) {
		return
	}
	w.after(hop, func() { w.finish(x, result) })
}

func (w *world) finish(x *work, result grant.Result) {
	if x.finished {
		return
	}
	x.finished = true
	delete(x.node.works, x.id)
	delete(x.server.running, x)
	t := w.tallies[x.kind]
	c := grant.Completion{Result: result, Total: w.now.Sub(x.sent)}
	t.slotTime += c.Total
	if result == grant.OK {
		c.FirstByte = c.Total
		t.good++
		t.latencies = append(t.latencies, w.now.Sub(x.began))
	} else if result != grant.Cancelled {
		t.failed++
		if result != grant.Timeout {
			w.retry(x)
		}
	}
	w.toDispatcher(x.node, func() { w.machine.Complete(w.now, x.node.id, x.id, c) })
}

func (w *world) retry(x *work) {
	if !x.kind.retries || x.kind.mutating || len(x.request.Exclude) >= 2 {
		return
	}
	exclude := append(slices.Clone(x.request.Exclude), x.server.Instance)
	w.after(time.Duration(w.random.IntN(10))*time.Millisecond, func() {
		w.ask(x.node, x.kind, x.began, exclude, grant.Retry, x.request.Fingerprint)
	})
}

// capacity is the requests per second that the service serves at full load.
func (w *world) capacity() float64 {
	// The mean of the log-normal time, plus the network on both sides of the server and of the dispatcher.
	mean := w.size.median.Seconds()*math.Exp(w.sigma*w.sigma/2) + 4*hop.Seconds()
	return float64(w.size.servers*w.size.slots) / mean
}

// within returns the share of asked requests that were good within the target.
func (t *tally) within(target time.Duration) float64 {
	good := 0
	for _, l := range t.latencies {
		if l <= target {
			good++
		}
	}
	return float64(good) / float64(max(t.asked, 1))
}

// metWithin counts the answers within the target.
func (t *tally) metWithin(target time.Duration) (met int) {
	for _, l := range t.latencies {
		if l <= target {
			met++
		}
	}
	return met
}
