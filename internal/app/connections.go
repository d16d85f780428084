package app

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/httpstop"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

// errProcessKilled is returned for connections and listeners that are opened after the process was killed.
var errProcessKilled = errors.New("the process was killed")

// connections tracks the open connections and listeners of a process. Several processes of a fleet may run in
// one process of the operating system; killing one of them closes all its connections and listeners, as the
// operating system would.
type connections struct {
	mu     sync.Mutex
	closed bool
	open   map[interface{ Close() error }]struct{}
}

func newConnections() *connections {
	return &connections{open: map[interface{ Close() error }]struct{}{}}
}

// add registers a connection or listener. It returns false if closeAll was called before.
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

// Close closes the connection and stops tracking it.
func (t *trackedConn) Close() error {
	t.owner.remove(t)
	return t.Conn.Close()
}

// CloseWrite closes the sending direction, if the connection supports that.
func (t *trackedConn) CloseWrite() error {
	if inner, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

func (c *connections) track(conn net.Conn) (net.Conn, error) {
	tracked := &trackedConn{Conn: conn, owner: c}
	if !c.add(tracked) {
		_ = conn.Close()
		return nil, errProcessKilled
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

// SetDeadline sets the deadline of Accept, if the listener supports that.
func (t *trackedListener) SetDeadline(deadline time.Time) error {
	return httpstop.SetDeadline(t.Listener, deadline)
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
			return nil, errProcessKilled
		}
		return tracked, nil
	}
}

// Accept returns the next connection and tracks it.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.track(conn)
}

// Close closes the listener and stops tracking it.
func (l *trackedListener) Close() error {
	l.owner.remove(l)
	return l.Listener.Close()
}
