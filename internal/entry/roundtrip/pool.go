package roundtrip

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

// Limits of connections to backend servers.
const (
	// DefaultConnections is the limit per backend server. 48 nodes with 6 connections each stay below
	// the 330 connections that one server accepts.
	DefaultConnections = 6
	// DefaultDialTimeout is shorter than the 250 ms for which a grant is valid.
	DefaultDialTimeout = 200 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 15 * time.Second
	// MaxResponseHeaderBytes limits the status line and headers of a response, with fieldOverheadBytes for each
	// field.
	MaxResponseHeaderBytes = 256 << 10

	bufferBytes = 4 << 10
	// minSweepInterval and maxSweepInterval bound the time between two checks of the idle connections.
	// Unsolicited bytes on an idle connection occupy memory of this host until the connection is closed.
	minSweepInterval = 10 * time.Millisecond
	maxSweepInterval = time.Second
)

// Config configures a pool. Zero values mean the defaults.
type Config struct {
	// Dial opens a connection to ip:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Connections limits the open connections per backend server.
	Connections int
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// Memory bounds what all responses take; nil means one of DefaultMemory for this pool.
	Memory *Memory
}

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	cfg     Config
	mu      sync.Mutex
	servers map[string]*server
	closed  bool
	// opened counts the connections that were opened.
	opened atomic.Uint64
	stop   chan struct{}
	done   chan struct{}
}

// server holds the connections to one address. Its fields are guarded by the pool's mutex.
type server struct {
	// inUse is a semaphore with one element per connection that is in use or being opened.
	inUse chan struct{}
	idle  []*conn
	// users counts the requests that hold a connection or wait for one.
	users int
}

// New returns a pool that closes expired idle connections in the background until Close.
func New(cfg Config) *Pool {
	if cfg.Connections <= 0 {
		cfg.Connections = DefaultConnections
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Memory == nil {
		cfg.Memory = NewMemory(DefaultMemory)
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	p := &Pool{cfg: cfg, servers: map[string]*server{}, stop: make(chan struct{}), done: make(chan struct{})}
	go p.sweepUntilClosed()
	return p
}

// Close closes the idle connections. Requests in flight continue; their connections are closed when
// they end.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	p.mu.Unlock()
	close(p.stop)
	<-p.done
	p.sweep(time.Now().Add(p.cfg.IdleTimeout))
}

// Open returns the number of connections that are idle or in use.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, s := range p.servers {
		open += len(s.idle) + len(s.inUse)
	}
	return open
}

// acquire returns a connection for one request. A reused connection was idle for less than Request.MaxIdle, no request
// with the same id was refused on it, and its requests were HEAD if and only if this one is. Request.AcquireDeadline limits
// the wait for a free connection.
func (p *Pool) acquire(ctx context.Context, address string, r *Request) (*conn, *Error) {
	s, err := p.addUser(address)
	if err != nil {
		return nil, &Error{Stage: StageAcquire, Err: err}
	}
	if err := s.acquireSlot(ctx, r.AcquireDeadline); err != nil {
		p.removeUser(s)
		return nil, &Error{Stage: StageAcquire, Err: err}
	}
	if c := p.reuseIdle(s, r); c != nil {
		return c, nil
	}
	nc, err := p.dial(ctx, address)
	if err != nil {
		<-s.inUse
		p.removeUser(s)
		return nil, &Error{Stage: StageConnect, Err: err}
	}
	c := newConn(nc, p.opened.Add(1), s, p.cfg.Memory)
	c.forHead = r.isHead()
	return c, nil
}

func (p *Pool) addUser(address string) (*server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	s := p.servers[address]
	if s == nil {
		s = &server{inUse: make(chan struct{}, p.cfg.Connections)}
		p.servers[address] = s
	}
	s.users++
	return s, nil
}

func (p *Pool) removeUser(s *server) {
	p.mu.Lock()
	s.users--
	p.mu.Unlock()
}

// acquireSlot takes a slot of the semaphore, or fails when the context ends or the deadline passes.
func (s *server) acquireSlot(ctx context.Context, deadline time.Time) error {
	select {
	case s.inUse <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case s.inUse <- struct{}{}:
		return nil
	case <-timer.C:
		return ErrNoConnection
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// reuseIdle returns the most recently used idle connection that is fit for the request, or nil. It closes those that
// it finds on the way and that are broken or were idle for too long.
func (p *Pool) reuseIdle(s *server, r *Request) *conn {
	for {
		c, surplus := p.popIdle(s, r)
		if surplus != nil {
			surplus.closeNow()
		}
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < min(r.MaxIdle, p.cfg.IdleTimeout) && c.openAndEmpty() {
			return c
		}
		c.closeNow()
	}
}

// popIdle removes and returns the most recently used idle connection that may carry the request. If there are only
// others, and a new one would exceed the limit, it removes the one that was unused for longest as surplus.
func (p *Pool) popIdle(s *server, r *Request) (fit, surplus *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(s.idle) {
		if c.forHead == r.isHead() && !c.refused.contains(r.EchoValue) {
			s.idle = slices.Delete(s.idle, i, i+1)
			return c, nil
		}
	}
	if len(s.idle) > 0 && len(s.idle)+len(s.inUse) > p.cfg.Connections {
		surplus = s.idle[0]
		s.idle = slices.Delete(s.idle, 0, 1)
	}
	return nil, surplus
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	return p.cfg.Dial(ctx, address)
}

// release returns a connection to the pool. It is kept for reuse only if clean is set and no unread bytes
// are buffered; otherwise it is closed.
func (p *Pool) release(c *conn, clean bool) {
	s := c.server
	c.header.release()
	clean = clean && c.br.Buffered() == 0
	if !clean {
		c.closeNow()
	}
	p.mu.Lock()
	reusable := clean && !p.closed
	if reusable {
		c.idleSince = time.Now()
		s.idle = append(s.idle, c)
		invariant.Check(len(s.idle) <= p.cfg.Connections, "entry.connections", "%d idle connections to a backend server", len(s.idle))
	}
	s.users--
	<-s.inUse
	p.mu.Unlock()
	if clean && !reusable {
		c.closeNow()
	}
}

func (p *Pool) sweepUntilClosed() {
	defer close(p.done)
	ticker := time.NewTicker(min(max(p.cfg.IdleTimeout/4, minSweepInterval), maxSweepInterval))
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// sweep closes idle connections that exceed the idle timeout, were closed by the server or have
// unsolicited bytes to read. It also removes the entries of addresses without connections or users.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, s := range p.servers {
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Sub(c.idleSince) >= p.cfg.IdleTimeout || !c.openAndEmpty() {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		clear(s.idle[len(kept):])
		s.idle = kept
		if s.users == 0 && len(s.idle) == 0 {
			delete(p.servers, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.closeNow()
	}
}
