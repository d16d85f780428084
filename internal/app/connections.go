package app

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/transport"
)

// errKilled is what a killed process's dialer returns.
var errKilled = errors.New("the process was killed")

// connections tracks what a process holds open, so that a kill inside a larger
// process breaks everything at once, as the operating system would.
type connections struct {
	mu     sync.Mutex
	closed bool
	open   map[interface{ Close() error }]struct{}
}

func newConnections() *connections {
	return &connections{open: map[interface{ Close() error }]struct{}{}}
}

// add returns false if everything was closed before.
func (c *connections) add(closer interface{ Close() error }) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.open[closer] = struct{}{}
	return true
}

func (c *connections) remove(closer interface{ Close() error }) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, closer)
}

func (c *connections) closeAll() {
	c.mu.Lock()
	c.closed = true
	open := c.open
	c.open = map[interface{ Close() error }]struct{}{}
	c.mu.Unlock()
	for closer := range open {
		_ = closer.Close()
	}
}

type trackedConn struct {
	net.Conn
	owner *connections
}

// Close closes the connection and forgets it.
func (t *trackedConn) Close() error {
	t.owner.remove(t)
	return t.Conn.Close()
}

func (c *connections) track(conn net.Conn) (net.Conn, error) {
	tracked := &trackedConn{Conn: conn, owner: c}
	if !c.add(tracked) {
		_ = conn.Close()
		return nil, errKilled
	}
	return tracked, nil
}

type trackedDialer struct {
	next  transport.Dialer
	owner *connections
}

func (c *connections) dialer(next transport.Dialer) transport.Dialer {
	return &trackedDialer{next: next, owner: c}
}

// DialContext opens a tracked connection.
func (d *trackedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.next.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.owner.track(conn)
}

type trackedListener struct {
	net.Listener
	owner *connections
}

func (c *connections) listen(next func(string) (net.Listener, error)) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		l, err := next(address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedListener{Listener: l, owner: c}
		if !c.add(tracked) {
			_ = l.Close()
			return nil, errKilled
		}
		return tracked, nil
	}
}

// Accept returns the next connection, tracked.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.track(conn)
}

// Close closes the listener and forgets it.
func (l *trackedListener) Close() error {
	l.owner.remove(l)
	return l.Listener.Close()
}
