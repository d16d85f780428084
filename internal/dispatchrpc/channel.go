package dispatchrpc

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// channel is the state of the client for one service.
type channel struct {
	client  *Client
	service string
	cancel  context.CancelFunc
	// hedge is the delay before a hedge in nanoseconds; 0 disables hedges.
	hedge atomic.Int64

	mu sync.Mutex
	// nextID is unique within the incarnation of the node.
	nextID uint64
	queued map[uint64]*queuedRequest
	held   map[uint64]*heldGrant
	// outgoing collects the contents of the next batch. It is kept only while connected.
	outgoing *dispatchpb.NodeBatch
	wake     chan struct{}
	// connected is set while there is a stream; responded is set once its dispatcher has sent a message.
	connected bool
	// streamID numbers the streams, so that the end of one does not affect the next.
	streamID  uint64
	responded bool
	// unansweredStreams counts the streams since the last one on which a dispatcher responded.
	unansweredStreams int
	// received counts the Grant, Refuse and Advise messages received on the stream.
	received uint64
	openedAt time.Time
	// lastHeard is the time of the last message from a dispatcher, and heardAsOf the earliest time at which it can have
	// been sent.
	lastHeard, heardAsOf time.Time
	activity             streamActivity
	// ejected holds the instances that the last view showed as ejected or on probation. Crashed ones are
	// kept separately: a crash is not an ejection, so it is not reported to the next dispatcher.
	ejected, crashed map[string]bool
	// term is the term of the last view.
	term     uint64
	autonomy autonomyState
	// serverStates is what servers said about themselves to this node, by instance. statesCheckedAt is when those that
	// no longer apply were last looked for.
	serverStates    map[string]*serverState
	statesCheckedAt time.Time
	// scarceTeams are the teams that the last view called scarce.
	scarceTeams map[string]bool
	// closed is set when the node no longer follows the service.
	closed bool
}

// queuedRequest is a request that waits for a grant.
type queuedRequest struct {
	id       uint64
	request  grant.Request
	queuedAt time.Time
	done     chan acquireResult
	// counted is set once the request has taken a token of this host's part of its team's usage cap.
	counted bool
}

// acquireResult is the result of a queued request; exactly one field is set.
type acquireResult struct {
	grant   *heldGrant
	problem *problem.Problem
}

func newChannel(c *Client, service string, cancel context.CancelFunc) *channel {
	return &channel{
		client: c, service: service, cancel: cancel,
		queued:       map[uint64]*queuedRequest{},
		held:         map[uint64]*heldGrant{},
		outgoing:     &dispatchpb.NodeBatch{},
		wake:         make(chan struct{}, 1),
		lastHeard:    time.Now(),
		heardAsOf:    time.Now(),
		serverStates: map[string]*serverState{},
		autonomy:     autonomyState{rounding: rand.Float64()},
	}
}

func (c *channel) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// acquire waits for a grant, a refusal or the end of the context.
func (c *channel) acquire(ctx context.Context, r grant.Request) (grant.Grant, error) {
	q := &queuedRequest{request: r, done: make(chan acquireResult, 1)}
	c.mu.Lock()
	now := time.Now()
	if !now.Before(r.Deadline) {
		c.mu.Unlock()
		return nil, problem.New(problem.DeadlinePassed, problem.NotRun, "")
	}
	q.queuedAt = now
	c.client.mix.count(now, c.service)
	if c.closed {
		c.mu.Unlock()
		return nil, problem.New(problem.ShuttingDown, problem.NotRun, "")
	}
	c.enqueue(now, q)
	if !c.connected && c.autonomous(now) {
		c.serveAutonomously(now)
	}
	c.mu.Unlock()
	select {
	case a := <-q.done:
		return a.result()
	case <-ctx.Done():
		return c.abandon(q)
	}
}

func (a acquireResult) result() (grant.Grant, error) {
	if a.problem != nil {
		return nil, a.problem
	}
	return a.grant, nil
}

// enqueue registers the request under a new id and sends it if there is a stream.
func (c *channel) enqueue(now time.Time, q *queuedRequest) {
	c.nextID++
	q.id = c.nextID
	c.queued[q.id] = q
	if !c.connected {
		return
	}
	c.outgoing.Acquires = append(c.outgoing.Acquires, acquireToProto(now, q.id, &q.request))
	c.wakeWriter()
}

// abandon withdraws a request whose context ended. A grant that arrived in the meantime is returned unused.
func (c *channel) abandon(q *queuedRequest) (grant.Grant, error) {
	c.mu.Lock()
	if c.queued[q.id] == q {
		delete(c.queued, q.id)
		if q.counted {
			c.autonomy.allowance.Return(q.request.Team)
		}
		if c.connected {
			c.outgoing.Cancels = append(c.outgoing.Cancels, &dispatchpb.Cancel{Id: q.id})
			c.wakeWriter()
		}
	}
	c.mu.Unlock()
	select {
	case a := <-q.done:
		if a.grant != nil {
			a.grant.Complete(grant.Completion{Result: grant.Unused})
		}
	default:
	}
	return nil, problem.New(problem.DeadlinePassed, problem.NotRun, "The request ended before a backend server was free")
}

// resolve ends a queued request with the given result. The caller holds the mutex.
func (c *channel) resolve(q *queuedRequest, a acquireResult) {
	if q.counted && a.grant == nil {
		c.autonomy.allowance.Return(q.request.Team)
	}
	delete(c.queued, q.id)
	q.done <- a
}

// handleBatch processes one message from the dispatcher. It returns false if the stream must be closed.
func (c *channel) handleBatch(now time.Time, b *dispatchpb.DispatcherBatch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Grants that arrive after a long pause may belong to slots that were freed in the meantime. Closing
	// the stream returns them, since they are not reported as outstanding.
	last := c.openedAt
	if c.responded {
		last = c.lastHeard
	}
	if !c.connected || c.activity.unresponsive(now, last) || b.NotDispatcher != nil {
		return false
	}
	c.lastHeard = now
	transit := c.transitTime(now, b)
	c.heardAsOf = now.Add(-transit)
	c.activity.heardIdle = c.activity.idle
	c.activity.applyHeartbeat(b.HeartbeatMs)
	if c.autonomy.unreportedGrant {
		// The hello lacks the grants that were made without a dispatcher after it; the hello of a new stream
		// reports them.
		return false
	}
	c.responded = true
	c.unansweredStreams = 0
	c.received += uint64(len(b.Grants) + len(b.Refuses) + len(b.Advises))
	if b.Servers != nil && c.client.config.Sink != nil {
		c.client.config.Sink.ApplyUpdate(c.service, b.Servers)
	}
	for _, g := range b.Grants {
		c.receiveGrant(now, g, transit)
	}
	for _, r := range b.Refuses {
		if q := c.queued[r.Id]; q != nil {
			c.resolve(q, acquireResult{problem: refusalProblem(r)})
		}
	}
	for _, a := range b.Advises {
		if h := c.held[a.Id]; h != nil {
			h.adviseRetry()
		}
	}
	if b.View != nil {
		c.applyView(b.View)
	}
	return true
}

func refusalProblem(r *dispatchpb.Refuse) *problem.Problem {
	p := problem.New(problem.Kind(r.Kind), problem.NotRun, "")
	if r.RetryAfterMs > 0 {
		return p.After(time.Duration(r.RetryAfterMs) * time.Millisecond)
	}
	return p
}

func (c *channel) receiveGrant(now time.Time, g *dispatchpb.Grant, transit time.Duration) {
	q := c.queued[g.Id]
	if q == nil {
		c.outgoing.Completes = append(c.outgoing.Completes, completionToProto(g.Id, grant.Completion{Result: grant.Unused}))
		c.wakeWriter()
		return
	}
	if c.wantsNoRequests(now, g.Instance) || c.hasDeparted(g.Instance) {
		c.returnGrant(now, q, g)
		return
	}
	if c.isOutdated(now, transit) {
		c.refuseOutdated(now, q, g, transit)
		return
	}
	h := c.addHeldGrant(now, q, grant.Server{Service: c.service, Instance: g.Instance, Address: g.Address})
	h.expires = now.Add(time.Duration(g.ExpiresMs) * time.Millisecond)
	c.resolve(q, acquireResult{grant: h})
}

// returnGrant gives a grant back unused and requests another one at another server.
func (c *channel) returnGrant(now time.Time, q *queuedRequest, g *dispatchpb.Grant) {
	c.outgoing.Completes = append(c.outgoing.Completes, completionToProto(g.Id, grant.Completion{Result: grant.Unused}))
	delete(c.queued, q.id)
	q.request.Exclude = append(slices.Clip(q.request.Exclude), g.Instance)
	c.enqueue(now, q)
}

// addHeldGrant records a grant that this node holds.
func (c *channel) addHeldGrant(now time.Time, q *queuedRequest, s grant.Server) *heldGrant {
	listed, _ := c.listed(s.Instance)
	s.DataCentre = listed.DataCentre
	h := &heldGrant{
		channel: c, id: q.id, server: s, incarnation: listed.Incarnation, sent: now, expires: now.Add(dispatch.GrantExpiry),
		countedTeam: countedTeam(q), priority: q.request.Priority, idempotent: q.request.Idempotent, fingerprint: q.request.Fingerprint,
	}
	c.held[q.id] = h
	return h
}

func (c *channel) applyView(v *dispatchpb.View) {
	ejected, crashed := map[string]bool{}, map[string]bool{}
	for _, s := range v.Servers {
		switch s.State {
		case dispatch.ViewEjected, dispatch.ViewProbation:
			ejected[s.Instance] = true
		case dispatch.ViewCrashed:
			crashed[s.Instance] = true
		}
	}
	c.ejected, c.crashed = ejected, crashed
	c.scarceTeams = map[string]bool{}
	for _, team := range v.ScarceTeams {
		c.scarceTeams[team] = true
	}
	c.term = v.Term
	delay := time.Duration(0)
	if !v.Overload && v.P95Ms > 0 {
		delay = max(time.Duration(v.P95Ms)*time.Millisecond, MinHedgeDelay)
	}
	c.hedge.Store(int64(delay))
}

// shardName returns the name of the shard that this node belongs to, or "" if the service is not configured.
func (c *channel) shardName() string {
	cfg := &c.client.config
	settings, ok := cfg.Settings.Service(c.service)
	if !ok {
		return ""
	}
	return shard.Of(c.service, cfg.Node, settings.Shards).String()
}

// takeBatch returns what is to be sent, with the heartbeat unless the stream is idle, and the longest pause
// before the next message. It returns nil if the stream has ended.
func (c *channel) takeBatch(now time.Time, streamID uint64) (*dispatchpb.NodeBatch, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected || c.streamID != streamID {
		return nil, 0
	}
	c.activity.update(now, c.inFlight())
	b := c.outgoing
	b.SentMs = c.streamClock(now)
	c.outgoing = &dispatchpb.NodeBatch{}
	if c.activity.idle {
		b.Progress = nil
		return b, c.activity.interval()
	}
	if b.Progress == nil {
		b.Progress = &dispatchpb.Progress{}
	}
	b.Progress.Received = c.received
	return b, c.activity.interval()
}

// beginStream starts a stream. It returns the first batch, with all requests that this node has in flight
// or queued, and the id of the stream.
func (c *channel) beginStream(now time.Time, shardName string) (*dispatchpb.NodeBatch, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg := &c.client.config
	hello := &dispatchpb.Hello{
		Node: cfg.Node, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre, Service: shardName,
		WantsServers: cfg.Sink != nil, Signals: c.signalsToProto(now),
	}
	for _, h := range c.held {
		hello.Outstanding = append(hello.Outstanding, h.toOutstanding(now))
	}
	for instance := range c.ejected {
		if !c.outInLastView(now, instance) {
			continue
		}
		hello.Ejected = append(hello.Ejected, instance)
	}
	c.connected = true
	c.streamID++
	c.received = 0
	c.autonomy.unreportedGrant = false
	c.responded = false
	c.openedAt = now
	c.activity.beginStream(now, len(c.queued)+len(c.held) > 0)
	c.outgoing = &dispatchpb.NodeBatch{}
	requests := c.sortedQueue()
	clear(c.queued)
	for _, q := range requests {
		c.enqueue(now, q)
	}
	b := c.outgoing
	b.Hello = hello
	b.SentMs = c.streamClock(now)
	c.outgoing = &dispatchpb.NodeBatch{}
	return b, c.streamID
}

// endStream marks the stream as ended, unless another one has started since.
func (c *channel) endStream(streamID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streamID != streamID {
		return
	}
	c.connected = false
	c.activity.heartbeat = 0
	if !c.responded {
		c.unansweredStreams++
	}
	c.outgoing = &dispatchpb.NodeBatch{}
	c.hedge.Store(0)
}
