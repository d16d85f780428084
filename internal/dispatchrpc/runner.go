package dispatchrpc

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// runner drives the state machine of one service while this node holds the lease.
type runner struct {
	server  *Server
	service string

	mu sync.Mutex
	// machine is nil while this node is not the dispatcher.
	machine   *dispatch.Machine
	term      uint64
	sessions  map[string]*session
	servedAt  time.Time
	viewAt    time.Time
	censusAt  time.Time
	lastStats dispatch.Stats
	// entries is the list of usable servers as the sessions have it.
	entries []*dispatchpb.ServerEntry
}

// session is one node's stream. Its fields are guarded by the runner's mutex.
type session struct {
	node string
	out  *dispatchpb.DispatcherBatch
	// wake has room for one signal that out holds something.
	wake   chan struct{}
	closed chan struct{}
	ended  bool
	heard  time.Time
	// quiet is set if the node's last message said that the stream is quiet.
	quiet bool
	// wantsServers is set if the node has no registry of its own.
	wantsServers bool
	// view is the last view for the node, and viewAt when it was added to a message.
	view   *dispatchpb.View
	viewAt time.Time
}

func (x *session) pending() *dispatchpb.DispatcherBatch {
	if x.out == nil {
		x.out = &dispatchpb.DispatcherBatch{}
	}
	return x.out
}

func (x *session) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *session) end() {
	if !x.ended {
		x.ended = true
		close(x.closed)
	}
}

// lead makes the state machine match the lease, and tells whether this node is the dispatcher.
func (r *runner) lead(now time.Time) bool {
	lease, held := r.server.config.Elections.Held(r.service)
	if !held || !now.Before(lease.Until) {
		r.resign()
		return false
	}
	if r.machine != nil && r.term == lease.Term {
		return true
	}
	r.resign()
	settings, ok := r.server.config.Settings.Service(r.service)
	if !ok {
		return false
	}
	r.term = lease.Term
	r.machine = dispatch.New(now, settings.config(r.service, lease.Term))
	r.refreshServers(now, settings)
	r.server.log.Info("became dispatcher", "service", r.service, "term", lease.Term)
	return true
}

// resign drops all state; the nodes report their requests to the next dispatcher.
func (r *runner) resign() {
	if r.machine == nil {
		return
	}
	r.machine = nil
	for _, x := range r.sessions {
		x.pending().NotDispatcher = &dispatchpb.NotDispatcher{}
		x.out.Grants = nil
		x.signal()
		x.end()
	}
	clear(r.sessions)
	r.server.log.Info("is no longer dispatcher", "service", r.service, "term", r.term)
}

func (r *runner) refreshServers(now time.Time, settings ServiceSettings) {
	r.servedAt = now
	r.machine.Configure(now, settings.config(r.service, r.term))
	servers := r.server.config.Registry.Servers(r.service)
	r.machine.SetServers(now, servers)
	r.refreshEntries(now, servers)
}

// tick moves time forward.
func (r *runner) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lead(now) {
		return
	}
	if now.Sub(r.servedAt) >= serversEvery {
		settings, ok := r.server.config.Settings.Service(r.service)
		if !ok {
			r.resign()
			return
		}
		r.refreshServers(now, settings)
	}
	for _, x := range r.sessions {
		if x.silent(now) {
			r.lose(now, x)
		}
	}
	r.machine.Tick(now)
	r.logEvents(now)
	if now.Sub(r.viewAt) >= ViewEvery {
		r.viewAt = now
		r.broadcastView(now)
	}
	r.deliver()
}

// join starts the session of a node; it returns nil if this node is not the dispatcher.
func (r *runner) join(now time.Time, first *dispatchpb.NodeBatch) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lead(now) {
		return nil
	}
	hello := first.Hello
	if old := r.sessions[hello.Node]; old != nil {
		old.end()
	}
	x := &session{
		node: hello.Node, heard: now,
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	r.sessions[hello.Node] = x
	r.machine.Connect(now, hello.Node, hello.DataCentre, hello.Incarnation, outstanding(now, hello), hello.Ejected)
	// The first message ends the node's autonomous mode, so it must not wait for a heartbeat.
	x.show(now, r.reduce(r.machine.View(now)))
	if hello.WantsServers {
		x.wantsServers = true
		x.pending().Servers = &dispatchpb.ServerNews{Reset_: true, Changed: r.entries}
	}
	x.signal()
	r.apply(now, x, first)
	return x
}

// lose ends a session whose node fell silent or whose stream broke.
func (r *runner) lose(now time.Time, x *session) {
	x.end()
	if r.sessions[x.node] != x {
		return
	}
	delete(r.sessions, x.node)
	if r.machine != nil {
		r.machine.Disconnect(now, x.node)
	}
}

func (r *runner) leave(x *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lose(time.Now(), x)
}

// receive reads the node's messages until the stream ends.
func (r *runner) receive(x *session, link dispatcherLink) {
	for {
		batch, err := link.Recv()
		if err != nil || !r.handle(x, batch) {
			r.leave(x)
			return
		}
	}
}

func (r *runner) handle(x *session, batch *dispatchpb.NodeBatch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.lead(now) || r.sessions[x.node] != x {
		return false
	}
	r.apply(now, x, batch)
	return true
}

// apply feeds one batch into the state machine.
func (r *runner) apply(now time.Time, x *session, batch *dispatchpb.NodeBatch) {
	x.hear(now, batch)
	r.machine.RecordContact(now, x.node, batch.GetProgress().GetReceived())
	for _, c := range batch.Completes {
		r.machine.Complete(now, x.node, c.Id, completion(c))
	}
	for _, id := range batch.GetProgress().GetFirstByte() {
		r.machine.FirstByte(now, x.node, id)
	}
	for _, c := range batch.Cancels {
		r.machine.Cancel(now, x.node, c.Id)
	}
	for _, a := range batch.Acquires {
		r.machine.Acquire(now, x.node, acquire(now, a))
	}
	r.deliver()
}

// deliver moves the actions of the state machine to the sessions of their nodes.
func (r *runner) deliver() {
	for _, a := range r.machine.TakeActions() {
		x := r.sessions[a.Node]
		if x == nil {
			// The stream is lost; the grant is freed with the node's other grants.
			continue
		}
		out := x.pending()
		switch a.Kind {
		case dispatch.Granted:
			out.Grants = append(out.Grants, &dispatchpb.Grant{
				Id: a.ID, Instance: a.Instance, Address: a.Address,
				ExpiresMs: dispatch.GrantExpiry.Milliseconds(),
			})
		case dispatch.Refused:
			out.Refuses = append(out.Refuses, &dispatchpb.Refuse{
				Id: a.ID, Kind: string(a.Refusal), RetryAfterMs: a.RetryAfter.Milliseconds(),
			})
		case dispatch.Advised:
			out.Advises = append(out.Advises, &dispatchpb.Advise{Id: a.ID})
		}
		x.signal()
	}
}

// send writes to the node until the session ends. Everything that is pending goes into one message;
// a heartbeat goes out when nothing else did.
func (r *runner) send(x *session, link dispatcherLink) error {
	heartbeat := time.NewTimer(HeartbeatEvery)
	defer heartbeat.Stop()
	for {
		closing := false
		select {
		case <-link.Context().Done():
			return nil
		case <-x.closed:
			closing = true
		case <-x.wake:
		case <-heartbeat.C:
		}
		batch, interval := r.next(x)
		if err := link.Send(batch); err != nil {
			return errors.Wrap(err, "send to a node")
		}
		if closing {
			return nil
		}
		heartbeat.Reset(interval)
	}
}

// next takes what is pending for the node.
func (r *runner) next(x *session) (*dispatchpb.DispatcherBatch, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := x.pending()
	x.out = nil
	return batch, x.interval()
}

// logEvents writes a line for each change of what the dispatcher believes of a server.
func (r *runner) logEvents(now time.Time) {
	for _, e := range r.machine.Events() {
		ok, suppressed := r.server.lines.Allow(now)
		if !ok {
			continue
		}
		r.server.log.Info("judged a server", "service", r.service, "term", r.term, "instance", e.Instance, "what", e.Kind, "why", e.Reason,
			"failures", math.Round(e.Failures*100)/100, "in_flight", e.InFlight, "limit", e.Limit,
			"healthy", e.Healthy, "minimum", e.Minimum, "out_ms", e.OutFor.Milliseconds(), "suppressed", suppressed)
	}
}

// logCensus writes once per censusEvery how many servers get no work and why, while there are such.
func (r *runner) logCensus(now time.Time, v *dispatch.View) {
	c := &v.Counts
	if now.Sub(r.censusAt) < censusEvery || c.Out == 0 && c.UnusedInRotation == 0 && c.Spared == 0 && c.Limited == 0 {
		return
	}
	r.censusAt = now
	r.server.log.Info("servers without work", "service", r.service, "term", r.term, "usable", c.Usable, "out", c.Out,
		"probation", c.Probation, "held", c.Held, "canary", c.Canary, "spared", c.Spared, "limited", c.Limited,
		"avoided", c.Avoided, "doubted", c.Doubted, "unused_out", c.UnusedOutOfRotation, "unused_in", c.UnusedInRotation,
		"out_median_ms", c.OutMedian.Milliseconds(), "out_longest_ms", c.OutLongest.Milliseconds(),
		"untested_ms", c.LongestUntested.Milliseconds(), "healthy", v.Healthy, "minimum", v.Minimum)
}

// broadcastView sends the view to the nodes that have another one. A change of the ejected servers or
// of the overload goes out at once; a new latency goes with the next message.
func (r *runner) broadcastView(now time.Time) {
	full := r.machine.View(now)
	r.logCensus(now, &full)
	view := r.reduce(full)
	for _, x := range r.sessions {
		if now.Sub(x.viewAt) < ViewResendEvery && proto.Equal(x.view, view) {
			continue
		}
		urgent := !sameRouting(x.view, view)
		x.show(now, view)
		if urgent {
			x.signal()
		}
	}
	stats := r.machine.Stats()
	if stats.Ejections != r.lastStats.Ejections || stats.PathBlocks != r.lastStats.PathBlocks {
		r.server.log.Warn("routed around servers", "service", r.service,
			"ejections", stats.Ejections, "denied", stats.EjectionsDenied, "bad paths", stats.PathBlocks)
	}
	r.lastStats = stats
}

// show adds the view to the next message.
func (x *session) show(now time.Time, view *dispatchpb.View) {
	x.pending().View = view
	x.view = view
	x.viewAt = now
}

// reduce returns what nodes need of the view. Of the servers these are the ones that nodes must not
// use without a dispatcher; nodes have all others in their own registry.
func (r *runner) reduce(v dispatch.View) *dispatchpb.View {
	out := &dispatchpb.View{Term: r.term, P95Ms: v.P95.Milliseconds(), Overload: v.Overload}
	for _, s := range v.Servers {
		if outOfRotation(s.State) {
			out.Servers = append(out.Servers, &dispatchpb.ServerView{Instance: s.Instance, State: s.State})
		}
	}
	slices.SortFunc(out.Servers, func(a, b *dispatchpb.ServerView) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// outOfRotation tells whether nodes without a dispatcher must not use a server in the state.
func outOfRotation(state string) bool {
	return state == dispatch.ViewEjected || state == dispatch.ViewProbation || state == dispatch.ViewCrashed
}

// sameRouting tells whether two views differ in the latency at most.
func sameRouting(a, b *dispatchpb.View) bool {
	return a.GetOverload() == b.GetOverload() &&
		slices.EqualFunc(a.GetServers(), b.GetServers(), func(x, y *dispatchpb.ServerView) bool { return proto.Equal(x, y) })
}
