package dispatchrpc

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// channel is the client's state of one service.
type channel struct {
	client  *Client
	service string
	cancel  context.CancelFunc
	// hedge is the delay before a hedge in nanoseconds; 0 means no hedges.
	hedge atomic.Int64

	mu sync.Mutex
	// nextID never repeats within the incarnation of the node.
	nextID uint64
	calls  map[uint64]*call
	held   map[uint64]*lease
	// out collects what the next batch carries. It is kept only while linked.
	out  *dispatchpb.NodeBatch
	wake chan struct{}
	// linked is set while there is a stream; answered once its dispatcher sent something.
	linked bool
	// stream numbers the streams, so that the end of one does not touch the next.
	stream   uint64
	answered bool
	// fruitless counts the streams since the last one on which a dispatcher answered.
	fruitless int
	// received counts the grants, refusals and advices of the stream.
	received uint64
	opened   time.Time
	// heard is the time of the last message of a dispatcher.
	heard time.Time
	pace  pace
	// ejected are the instances that the last view showed as ejected; crashed ones are no ejections,
	// so that the next dispatcher is not told of them.
	ejected, crashed map[string]bool
	// term is that of the last view.
	term  uint64
	alone alone
	// closed is set when the node no longer follows the service.
	closed bool
}

// call is a request that waits for a grant.
type call struct {
	id      uint64
	request grant.Request
	// asked is when the call began to wait.
	asked time.Time
	done  chan answer
}

// answer ends a call: exactly one field is set.
type answer struct {
	grant   *lease
	problem *problem.Problem
}

func newChannel(c *Client, service string, cancel context.CancelFunc) *channel {
	return &channel{
		client: c, service: service, cancel: cancel,
		calls: map[uint64]*call{},
		held:  map[uint64]*lease{},
		out:   &dispatchpb.NodeBatch{},
		wake:  make(chan struct{}, 1),
		heard: time.Now(),
		alone: alone{rounding: rand.Float64()},
	}
}

func (c *channel) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// acquire waits for a grant, a refusal or the end of the context.
func (c *channel) acquire(ctx context.Context, r grant.Request) (grant.Grant, error) {
	k := &call{request: r, done: make(chan answer, 1)}
	c.mu.Lock()
	now := time.Now()
	if !now.Before(r.Deadline) {
		c.mu.Unlock()
		return nil, problem.New(problem.DeadlinePassed, problem.NotRun, "")
	}
	k.asked = now
	if c.closed {
		c.mu.Unlock()
		return nil, problem.New(problem.ShuttingDown, problem.NotRun, "")
	}
	c.ask(now, k)
	if !c.linked && c.autonomous(now) {
		c.serveAlone(now)
	}
	c.mu.Unlock()
	select {
	case a := <-k.done:
		return a.result()
	case <-ctx.Done():
		return c.abandon(k)
	}
}

func (a answer) result() (grant.Grant, error) {
	if a.problem != nil {
		return nil, a.problem
	}
	return a.grant, nil
}

// ask registers the call under a fresh id and sends it if there is a stream.
func (c *channel) ask(now time.Time, k *call) {
	c.nextID++
	k.id = c.nextID
	c.calls[k.id] = k
	if !c.linked {
		return
	}
	c.out.Acquires = append(c.out.Acquires, acquireMessage(now, k.id, &k.request))
	c.signal()
}

// abandon withdraws a call whose context ended. A grant that arrived meanwhile is given back.
func (c *channel) abandon(k *call) (grant.Grant, error) {
	c.mu.Lock()
	if c.calls[k.id] == k {
		delete(c.calls, k.id)
		if c.linked {
			c.out.Cancels = append(c.out.Cancels, &dispatchpb.Cancel{Id: k.id})
			c.signal()
		}
	}
	c.mu.Unlock()
	select {
	case a := <-k.done:
		if a.grant != nil {
			a.grant.Complete(grant.Completion{Result: grant.Unused})
		}
	default:
	}
	return nil, problem.New(problem.DeadlinePassed, problem.NotRun, "The request ended before a backend server was free")
}

// finish answers a call. The caller holds the mutex.
func (c *channel) finish(k *call, a answer) {
	delete(c.calls, k.id)
	k.done <- a
}

// receive takes one message of the dispatcher. It returns false when the stream must be given up.
func (c *channel) receive(now time.Time, b *dispatchpb.DispatcherBatch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Grants after a long silence may belong to slots that were freed meanwhile; leaving the
	// stream gives them back, since they are not reported as outstanding.
	last := c.opened
	if c.answered {
		last = c.heard
	}
	if !c.linked || c.pace.silent(now, last) || b.NotDispatcher != nil {
		return false
	}
	c.heard = now
	c.pace.heardQuiet = c.pace.quiet
	if c.alone.unreported {
		// The hello did not name what was granted alone after it; a new stream does.
		return false
	}
	c.answered = true
	c.fruitless = 0
	c.received += uint64(len(b.Grants) + len(b.Refuses) + len(b.Advises))
	for _, g := range b.Grants {
		c.granted(now, g)
	}
	for _, r := range b.Refuses {
		if k := c.calls[r.Id]; k != nil {
			c.finish(k, answer{problem: refusal(r)})
		}
	}
	for _, a := range b.Advises {
		if l := c.held[a.Id]; l != nil {
			l.advise()
		}
	}
	if b.View != nil {
		c.takeView(b.View)
	}
	if b.Servers != nil && c.client.config.Sink != nil {
		c.client.config.Sink.ApplyUpdate(c.service, b.Servers)
	}
	return true
}

func refusal(r *dispatchpb.Refuse) *problem.Problem {
	p := problem.New(problem.Kind(r.Kind), problem.NotRun, "")
	if r.RetryAfterMs > 0 {
		return p.After(time.Duration(r.RetryAfterMs) * time.Millisecond)
	}
	return p
}

func (c *channel) granted(now time.Time, g *dispatchpb.Grant) {
	k := c.calls[g.Id]
	if k == nil {
		c.out.Completes = append(c.out.Completes, completeMessage(g.Id, grant.Completion{Result: grant.Unused}))
		c.signal()
		return
	}
	l := c.hold(now, k, grant.Server{Service: c.service, Instance: g.Instance, Address: g.Address})
	l.server.DataCentre = c.dataCentre(g.Instance)
	l.expires = now.Add(time.Duration(g.ExpiresMs) * time.Millisecond)
	c.finish(k, answer{grant: l})
}

// hold records a grant that this node has.
func (c *channel) hold(now time.Time, k *call, s grant.Server) *lease {
	l := &lease{
		channel: c, id: k.id, server: s, sent: now, expires: now.Add(dispatch.GrantExpiry),
		priority: k.request.Priority, idempotent: k.request.Idempotent, fingerprint: k.request.Fingerprint,
	}
	c.held[k.id] = l
	return l
}

func (c *channel) dataCentre(instance string) string {
	for _, s := range c.client.config.Registry.Servers(c.service) {
		if s.Instance == instance {
			return s.DataCentre
		}
	}
	return ""
}

func (c *channel) takeView(v *dispatchpb.View) {
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
	c.term = v.Term
	delay := time.Duration(0)
	if !v.Overload && v.P95Ms > 0 {
		delay = max(time.Duration(v.P95Ms)*time.Millisecond, MinHedgeDelay)
	}
	c.hedge.Store(int64(delay))
}

// flush returns what is to be sent, with the heartbeat unless the stream is quiet, and the longest
// pause before the next message. It returns nil if the stream is gone.
func (c *channel) flush(now time.Time, stream uint64) (*dispatchpb.NodeBatch, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.linked || c.stream != stream {
		return nil, 0
	}
	c.pace.next(now, c.inFlight())
	b := c.out
	c.out = &dispatchpb.NodeBatch{}
	if c.pace.quiet {
		b.Progress = nil
		return b, c.pace.interval()
	}
	if b.Progress == nil {
		b.Progress = &dispatchpb.Progress{}
	}
	b.Progress.Received = c.received
	return b, c.pace.interval()
}

// link starts a stream: it returns the first batch, with everything that this node has in flight
// and waits for, and the number of the stream.
func (c *channel) link(now time.Time) (*dispatchpb.NodeBatch, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg := &c.client.config
	hello := &dispatchpb.Hello{
		Node: cfg.Node, Incarnation: cfg.Incarnation, DataCentre: cfg.DataCentre, Service: c.service,
		WantsServers: cfg.Sink != nil,
	}
	for _, l := range c.held {
		hello.Outstanding = append(hello.Outstanding, l.outstanding(now))
	}
	for instance := range c.ejected {
		if !c.judgedOut(now, instance) {
			continue
		}
		hello.Ejected = append(hello.Ejected, instance)
	}
	c.linked = true
	c.stream++
	c.received = 0
	c.alone.unreported = false
	c.answered = false
	c.opened = now
	c.pace.used, c.pace.quiet = now, false
	c.out = &dispatchpb.NodeBatch{}
	waiting := c.waiting()
	clear(c.calls)
	for _, k := range waiting {
		c.ask(now, k)
	}
	b := c.out
	b.Hello = hello
	c.out = &dispatchpb.NodeBatch{}
	return b, c.stream
}

// unlink ends a stream.
func (c *channel) unlink(stream uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream != stream {
		return
	}
	c.linked = false
	if !c.answered {
		c.fruitless++
	}
	c.out = &dispatchpb.NodeBatch{}
	c.hedge.Store(0)
}
