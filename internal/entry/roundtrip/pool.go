package roundtrip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

// Limits of connections to backend servers.
const (
	// DefaultConnections is the bound per backend server: 48 nodes with 6 each stay below the 330 that one accepts.
	DefaultConnections = 6
	// DefaultDialTimeout is below the 250 ms for which a grant is valid.
	DefaultDialTimeout = 200 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 15 * time.Second
	// MaxResponseHeaderBytes bounds the status line and headers of an answer.
	MaxResponseHeaderBytes = 256 << 10

	bufferBytes = 4 << 10
	// minSweep and maxSweep bound the pause between two looks at the idle connections. What a server sends on
	// them unasked counts as memory of this host until they are closed.
	minSweep = 10 * time.Millisecond
	maxSweep = time.Second
)

// Config sets up a pool. Zero values mean the defaults.
type Config struct {
	// Dial opens a connection to ip:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Connections bounds the open connections per backend server.
	Connections int
	DialTimeout time.Duration
	IdleTimeout time.Duration
}

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	cfg     Config
	mu      sync.Mutex
	servers map[string]*server
	closed  bool
	stop    chan struct{}
	done    chan struct{}
}

// server holds the connections to one address. Its fields are guarded by the pool's mutex.
type server struct {
	// tokens has one element per connection in use.
	tokens chan struct{}
	idle   []*conn
	// users counts the requests that hold or wait for a connection.
	users int
}

// New returns a pool that closes idle connections in the background until Close.
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

// Close closes the idle connections. Requests in flight go on; their connections are closed at their end.
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

// Open returns the number of connections that are idle or in use, for metrics.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, s := range p.servers {
		open += len(s.idle) + len(s.tokens)
	}
	return open
}

// acquire returns a connection for one request; reused ones were idle for at most maxIdle.
func (p *Pool) acquire(ctx context.Context, address string, maxIdle time.Duration, until time.Time) (*conn, *Error) {
	s, err := p.enter(address)
	if err != nil {
		return nil, &Error{Stage: StageAcquire, Err: err}
	}
	if err := s.wait(ctx, until); err != nil {
		p.leave(s)
		return nil, &Error{Stage: StageAcquire, Err: err}
	}
	if c := p.reuse(s, maxIdle); c != nil {
		return c, nil
	}
	nc, err := p.dial(ctx, address)
	if err != nil {
		<-s.tokens
		p.leave(s)
		return nil, &Error{Stage: StageConnect, Err: err}
	}
	return newConn(nc, s), nil
}

func (p *Pool) enter(address string) (*server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	s := p.servers[address]
	if s == nil {
		s = &server{tokens: make(chan struct{}, p.cfg.Connections)}
		p.servers[address] = s
	}
	s.users++
	return s, nil
}

func (p *Pool) leave(s *server) {
	p.mu.Lock()
	s.users--
	p.mu.Unlock()
}

// wait takes a token, until the context ends or the time has passed.
func (s *server) wait(ctx context.Context, until time.Time) error {
	select {
	case s.tokens <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case s.tokens <- struct{}{}:
		return nil
	case <-timer.C:
		return ErrNoConnection
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// reuse returns the idle connection that was used last, or nil. Unfit ones on the way are closed.
func (p *Pool) reuse(s *server, maxIdle time.Duration) *conn {
	for {
		c := p.pop(s)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < min(maxIdle, p.cfg.IdleTimeout) && c.quiet() {
			return c
		}
		c.abort()
	}
}

func (p *Pool) pop(s *server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(s.idle) - 1
	if last < 0 {
		return nil
	}
	c := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	return p.cfg.Dial(ctx, address)
}

// release takes a connection back. It is kept only if the caller found it clean.
func (p *Pool) release(c *conn, clean bool) {
	s := c.server
	clean = clean && c.br.Buffered() == 0
	if !clean {
		c.abort()
	}
	p.mu.Lock()
	keep := clean && !p.closed
	if keep {
		c.idleSince = time.Now()
		s.idle = append(s.idle, c)
		invariant.Check(len(s.idle) <= p.cfg.Connections, "entry.connections", "%d idle connections to a backend server", len(s.idle))
	}
	s.users--
	<-s.tokens
	p.mu.Unlock()
	if clean && !keep {
		c.abort()
	}
}

func (p *Pool) sweepUntilClosed() {
	defer close(p.done)
	ticker := time.NewTicker(min(max(p.cfg.IdleTimeout/4, minSweep), maxSweep))
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

// sweep closes connections that are idle for too long, were closed by the server or hold bytes that nobody asked
// for, and forgets unused addresses.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, s := range p.servers {
		fresh := s.idle[:0]
		for _, c := range s.idle {
			if now.Sub(c.idleSince) >= p.cfg.IdleTimeout || !c.quiet() {
				expired = append(expired, c)
				continue
			}
			fresh = append(fresh, c)
		}
		clear(s.idle[len(fresh):])
		s.idle = fresh
		if s.users == 0 && len(s.idle) == 0 {
			delete(p.servers, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.abort()
	}
}
