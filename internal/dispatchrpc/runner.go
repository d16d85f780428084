package dispatchrpc

import (
	"cmp"
	"math"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// runner drives the state machine of one shard of a service while this node holds its lease.
type runner struct {
	server *Server
	part   shard.Shard
	// name is that of the shard, under which its dispatcher is elected and which log lines state.
	name string

	mu sync.Mutex
	// machine is nil while this node is not the dispatcher.
	machine  *dispatch.Machine
	term     uint64
	sessions map[string]*session
	// countedSessions is the number of sessions that the server has counted.
	countedSessions    int64
	serversRefreshedAt time.Time
	// view is the view for nodes as last computed, at viewBroadcastAt; nil before.
	view            *dispatchpb.View
	viewBroadcastAt time.Time
	countsLoggedAt  time.Time
	// cappedLogged is how many capped requests were logged, as of cappedLoggedAt.
	cappedLogged   uint64
	cappedLoggedAt time.Time
	lastStats      dispatch.Stats
	// capParts are the parts among which usage caps are divided. capHosts are the running entry hosts as of capHostsAt.
	capParts []string
	capHosts []string
	// closedStreams holds when hosts closed their streams shortly after a message.
	closedStreams map[string]time.Time
	capHostsAt    time.Time
	// entries is the list of usable servers as last sent to the sessions.
	entries []*dispatchpb.ServerEntry
}

// session is the stream of one node. The runner's mutex guards its fields.
type session struct {
	node     string
	outgoing *dispatchpb.DispatcherBatch
	// wake signals that outgoing holds something; it buffers one signal.
	wake      chan struct{}
	closed    chan struct{}
	ended     bool
	lastHeard time.Time
	// nodeSentMs is when the last message from the node was sent, on the node's clock; 0 if it does not say.
	nodeSentMs uint64
	// idle is set if the node's last message marked the stream as idle.
	idle bool
	// heartbeat is the longest pause between messages that the node was told; 0 means HeartbeatInterval.
	heartbeat time.Duration
	// wantsServers is set if the node has no registry of its own.
	wantsServers bool
	// view is the last view for the node; viewAt is when it was added to a message.
	view   *dispatchpb.View
	viewAt time.Time
}

func (sess *session) pending() *dispatchpb.DispatcherBatch {
	if sess.outgoing == nil {
		sess.outgoing = &dispatchpb.DispatcherBatch{}
	}
	return sess.outgoing
}

func (sess *session) wakeWriter() {
	select {
	case sess.wake <- struct{}{}:
	default:
	}
}

func (sess *session) end() {
	if !sess.ended {
		sess.ended = true
		close(sess.closed)
	}
}

// syncWithLease starts or stops the state machine to match the lease, and reports whether this node is the
// dispatcher.
func (r *runner) syncWithLease(now time.Time) bool {
	lease, held := r.server.config.Elections.Held(r.name)
	if !held || !now.Before(lease.Until) {
		r.resign()
		return false
	}
	if r.machine != nil && r.term == lease.Term {
		return true
	}
	r.resign()
	settings, ok := r.settings()
	if !ok {
		return false
	}
	r.term = lease.Term
	r.machine = dispatch.New(now, settings.dispatchConfig(r.part, lease.Term))
	r.capParts, r.capHosts, r.capHostsAt = nil, nil, time.Time{}
	r.refreshServers(now, settings)
	r.server.log.Info("became dispatcher", "service", r.name, "term", lease.Term)
	return true
}

// settings returns the settings of the service; ok is false if the service is not configured or is divided
// in another way.
func (r *runner) settings() (s ServiceSettings, ok bool) {
	s, ok = r.server.config.Settings.Service(r.part.Service)
	return s, ok && s.hasShard(r.part)
}

// resign drops all state. The nodes report their requests in flight to the next dispatcher.
func (r *runner) resign() {
	if r.machine == nil {
		return
	}
	r.machine, r.view = nil, nil
	for _, sess := range r.sessions {
		sess.pending().NotDispatcher = &dispatchpb.NotDispatcher{}
		sess.outgoing.Grants = nil
		sess.wakeWriter()
		sess.end()
	}
	clear(r.sessions)
	r.server.countSessions(r, 0)
	r.server.log.Info("is no longer dispatcher", "service", r.name, "term", r.term)
}

func (r *runner) refreshServers(now time.Time, settings ServiceSettings) {
	r.serversRefreshedAt = now
	r.machine.Configure(now, settings.dispatchConfig(r.part, r.term))
	servers := r.ownServers(r.server.config.Registry.Servers(r.part.Service))
	r.machine.SetServers(now, servers)
	r.refreshEntries(now, servers)
	r.refreshCaps(now, settings)
}

// ownServers returns the servers that belong to the shard. It does not modify the list.
func (r *runner) ownServers(all []backend.Server) []backend.Server {
	if r.part.Count == 1 {
		return all
	}
	own := make([]backend.Server, 0, 2*len(all)/r.part.Count)
	for _, s := range all {
		if r.part.Owns(s.Instance) {
			own = append(own, s)
		}
	}
	return own
}

// tick advances the state machine to the given time.
func (r *runner) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.syncWithLease(now) {
		return
	}
	if now.Sub(r.serversRefreshedAt) >= registryPollInterval {
		settings, ok := r.settings()
		if !ok {
			r.resign()
			return
		}
		r.refreshServers(now, settings)
	}
	for _, sess := range r.sessions {
		if sess.unresponsive(now) {
			r.dropSession(now, sess)
		}
	}
	r.machine.Tick(now)
	r.logEvents(now)
	if now.Sub(r.viewBroadcastAt) >= ViewInterval {
		r.viewBroadcastAt = now
		r.broadcastView(now)
	}
	r.deliverActions()
}

// startSession starts the session of a node. It returns nil if this node is not the dispatcher.
func (r *runner) startSession(now time.Time, first *dispatchpb.NodeBatch) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.syncWithLease(now) {
		return nil
	}
	hello := first.Hello
	if old := r.sessions[hello.Node]; old != nil {
		old.end()
	}
	sess := &session{
		node: hello.Node, lastHeard: now,
		wake: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	r.sessions[hello.Node] = sess
	r.countCapHosts(now)
	r.machine.Connect(now, hello.Node, hello.DataCentre, hello.Incarnation, outstandingFromProto(now, hello), hello.Ejected)
	for _, s := range hello.Signals {
		signals, arrived := signalsFromProto(now, s)
		r.machine.ReportSignals(now, arrived, hello.Node, s.Instance, s.Incarnation, signals)
	}
	// The first message ends the node's autonomous mode, so it must not wait for a heartbeat.
	// Computing it for each of many returning nodes would take longer than a lease.
	if r.view == nil {
		r.view = r.nodeView(r.machine.View(now))
	}
	sess.addView(now, r.view)
	sess.setHeartbeat(heartbeatInterval(r.server.countSessions(r, len(r.sessions))))
	if hello.WantsServers {
		sess.wantsServers = true
		sess.pending().Servers = fullUpdate(r.entries)
	}
	sess.wakeWriter()
	r.applyBatch(now, sess, first)
	return sess
}

// dropSession ends a session whose node became unresponsive or whose stream broke.
func (r *runner) dropSession(now time.Time, sess *session) {
	sess.end()
	if r.sessions[sess.node] != sess {
		return
	}
	delete(r.sessions, sess.node)
	if r.machine != nil {
		r.machine.Disconnect(now, sess.node)
	}
}

func (r *runner) endSession(sess *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.sessions[sess.node] == sess && now.Sub(sess.lastHeard) < heartbeatOrDefault(sess.heartbeat)+closeTransit {
		r.closedStreams[sess.node] = now
	}
	r.dropSession(now, sess)
}

// receiveLoop reads the node's messages until the stream ends.
func (r *runner) receiveLoop(sess *session, stream dispatcherStream) {
	for {
		batch, err := stream.Recv()
		if err != nil || !r.handleBatchContained(sess, batch) {
			r.endSession(sess)
			return
		}
	}
}

// handleBatchContained ends the session of a node whose message makes the dispatcher panic. The other sessions
// and services of the process continue.
func (r *runner) handleBatchContained(sess *session, batch *dispatchpb.NodeBatch) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			r.server.log.Error("a node's message panicked", "service", r.name, "node", sess.node, "panic", v, "stack", string(debug.Stack()))
			invariant.Check(false, "dispatchrpc.message-panicked", "message of %s: %v", sess.node, v)
			ok = false
		}
	}()
	return r.handleBatch(sess, batch)
}

func (r *runner) handleBatch(sess *session, batch *dispatchpb.NodeBatch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.syncWithLease(now) || r.sessions[sess.node] != sess {
		return false
	}
	r.applyBatch(now, sess, batch)
	return true
}

// applyBatch passes one batch to the state machine.
func (r *runner) applyBatch(now time.Time, sess *session, batch *dispatchpb.NodeBatch) {
	sess.recordMessage(now, batch)
	r.machine.RecordContact(now, sess.node, batch.GetProgress().GetReceived())
	for _, s := range batch.ResponseSignals {
		r.machine.Signals(now, sess.node, s.Id, responseSignalsFromProto(s))
	}
	for _, c := range batch.Completes {
		r.machine.Complete(now, sess.node, c.Id, completionFromProto(c))
	}
	for _, id := range batch.GetProgress().GetFirstByte() {
		r.machine.FirstByte(now, sess.node, id)
	}
	for _, c := range batch.Cancels {
		r.machine.Cancel(now, sess.node, c.Id)
	}
	for _, a := range batch.Acquires {
		r.machine.Acquire(now, sess.node, requestFromProto(now, a))
	}
	r.deliverActions()
}

// deliverActions adds the actions of the state machine to the next messages of the nodes that they concern.
func (r *runner) deliverActions() {
	for _, a := range r.machine.TakeActions() {
		sess := r.sessions[a.Node]
		if sess == nil {
			// The stream has ended; the grant is freed with the node's other grants.
			continue
		}
		out := sess.pending()
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
		sess.wakeWriter()
	}
}

// sendLoop writes to the node until the session ends. All pending contents go into one message; a heartbeat
// is sent when there are none.
func (r *runner) sendLoop(sess *session, stream dispatcherStream) error {
	heartbeat := time.NewTimer(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		closing := false
		select {
		case <-stream.Context().Done():
			return nil
		case <-sess.closed:
			closing = true
		case <-sess.wake:
		case <-heartbeat.C:
		}
		batch, interval := r.takeOutgoing(sess)
		if err := stream.Send(batch); err != nil {
			return errors.Wrap(err, "send to a node")
		}
		if closing {
			return nil
		}
		heartbeat.Reset(interval)
	}
}

// takeOutgoing returns the pending contents for the node and the longest pause before the next message.
func (r *runner) takeOutgoing(sess *session) (*dispatchpb.DispatcherBatch, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := sess.pending()
	sess.outgoing = nil
	if sess.nodeSentMs > 0 {
		batch.NodeSentMs = sess.nodeSentMs
		batch.NodeHeldMs = uint64(max(time.Since(sess.lastHeard), 0).Milliseconds())
	}
	return batch, sess.interval()
}

// logEvents logs the changes in the dispatcher's assessment of servers, up to the limit on log lines.
func (r *runner) logEvents(now time.Time) {
	for _, e := range r.machine.Events() {
		ok, suppressed := r.server.logLimiter.Allow(now)
		if !ok {
			continue
		}
		r.server.log.Info("judged a server", "service", r.name, "term", r.term, "instance", e.Instance, "what", e.Kind, "why", e.Reason,
			"failures", math.Round(e.Failures*100)/100, "in_flight", e.InFlight, "limit", e.Limit,
			"healthy", e.Healthy, "minimum", e.Minimum, "out_ms", e.OutFor.Milliseconds(), "suppressed", suppressed)
	}
}

// logServerCounts logs at most once per countsLogInterval how many servers get no requests and why, if
// there are any.
func (r *runner) logServerCounts(now time.Time, v *dispatch.View) {
	c := &v.Counts
	if now.Sub(r.countsLoggedAt) < countsLogInterval || c.Out == 0 && c.UnusedInRotation == 0 && c.Spared == 0 && c.Limited == 0 {
		return
	}
	r.countsLoggedAt = now
	r.server.log.Info("servers without work", "service", r.name, "term", r.term, "usable", c.Usable, "out", c.Out,
		"probation", c.Probation, "held", c.Held, "canary", c.Canary, "spared", c.Spared, "limited", c.Limited,
		"avoided", c.Avoided, "doubted", c.Doubted, "unused_out", c.UnusedOutOfRotation, "unused_in", c.UnusedInRotation,
		"out_median_ms", c.OutMedian.Milliseconds(), "out_longest_ms", c.OutLongest.Milliseconds(),
		"untested_ms", c.LongestUntested.Milliseconds(), "healthy", v.Healthy, "minimum", v.Minimum)
}

// broadcastView sends the view to the nodes whose last view differs. A change of the ejected servers or of
// the overload is sent immediately; a change of the latency alone is sent with the next message.
func (r *runner) broadcastView(now time.Time) {
	full := r.machine.View(now)
	r.logServerCounts(now, &full)
	r.logCapped(now, &full)
	view := r.nodeView(full)
	r.view = view
	interval := heartbeatInterval(r.server.countSessions(r, len(r.sessions)))
	r.machine.SetHeartbeat(interval)
	for _, sess := range r.sessions {
		sess.setHeartbeat(interval)
		if now.Sub(sess.viewAt) < ViewResendInterval && proto.Equal(sess.view, view) {
			continue
		}
		urgent := !sameRouting(sess.view, view)
		sess.addView(now, view)
		if urgent {
			sess.wakeWriter()
		}
	}
	stats := r.machine.Stats()
	if stats.Ejections != r.lastStats.Ejections || stats.PathBlocks != r.lastStats.PathBlocks {
		r.server.log.Warn("routed around servers", "service", r.name,
			"ejections", stats.Ejections, "denied", stats.EjectionsDenied, "bad paths", stats.PathBlocks)
	}
	r.lastStats = stats
}

// addView adds the view to the next message.
func (sess *session) addView(now time.Time, view *dispatchpb.View) {
	sess.pending().View = view
	sess.view = view
	sess.viewAt = now
}

// nodeView returns the part of the view that nodes need. It lists only the servers that nodes must not use
// without a dispatcher, because nodes have all others in their own registry.
func (r *runner) nodeView(v dispatch.View) *dispatchpb.View {
	out := &dispatchpb.View{Term: r.term, P95Ms: v.P95.Milliseconds(), Overload: v.Overload, ScarceTeams: v.ScarceTeams}
	for _, s := range v.Servers {
		if outOfRotation(s.State) {
			out.Servers = append(out.Servers, &dispatchpb.ServerView{Instance: s.Instance, State: s.State})
		}
	}
	slices.SortFunc(out.Servers, func(a, b *dispatchpb.ServerView) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// outOfRotation reports whether nodes without a dispatcher must not use a server in the given state.
func outOfRotation(state string) bool {
	return state == dispatch.ViewEjected || state == dispatch.ViewProbation || state == dispatch.ViewCrashed
}

// sameRouting reports whether two views differ in nothing but the latency.
func sameRouting(a, b *dispatchpb.View) bool {
	return a.GetOverload() == b.GetOverload() && slices.Equal(a.GetScarceTeams(), b.GetScarceTeams()) &&
		slices.EqualFunc(a.GetServers(), b.GetServers(), func(x, y *dispatchpb.ServerView) bool { return proto.Equal(x, y) })
}
