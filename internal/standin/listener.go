package standin

import (
	"net"
	"sync"
)

// limitedListener resets new connections beyond the limit, and all new connections while refuse returns true.
type limitedListener struct {
	net.Listener
	refuse func() bool
	limit  int64
	mu     sync.Mutex
	open   map[*trackedConn]struct{}
}

// trackedConn removes itself from its listener's open connections when it is closed.
type trackedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
		reset(nc)
	}
}

func (l *limitedListener) admit(nc net.Conn) *trackedConn {
	refused := l.refuse()
	l.mu.Lock()
	defer l.mu.Unlock()
	if refused || int64(len(l.open)) >= l.limit {
		return nil
	}
	if l.open == nil {
		l.open = map[*trackedConn]struct{}{}
	}
	c := &trackedConn{Conn: nc, listener: l}
	l.open[c] = struct{}{}
	return c
}

func (l *limitedListener) resetAll() {
	l.mu.Lock()
	connections := make([]*trackedConn, 0, len(l.open))
	for c := range l.open {
		connections = append(connections, c)
	}
	l.mu.Unlock()
	for _, c := range connections {
		reset(c.Conn)
		c.untrack()
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.untrack()
	return c.Conn.Close()
}

func (c *trackedConn) untrack() {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.open, c)
	})
}

// reset closes a connection with a TCP reset, as a crashed process would.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// The connection is discarded, so an error does not matter.
	_ = nc.Close()
}
