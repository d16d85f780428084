package httpstop

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Conn is a connection of a Listener. It knows whether a request has begun to arrive since the last response.
//
// http.Server may have read a pipelined request together with the one before it. It then reads nothing when the first
// response has ended and reports no new state. But before each request it waits for the first bytes, under a
// deadline that it replaces once they are there. So a connection is idle while such a wait is blocked in Read.
type Conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// awaiting is set from the start of the connection, and from the end of a response, until the next request begins.
	awaiting bool
	// deadlines counts the read deadlines since the last response. The first one limits the wait for a request, the second
	// one its header.
	deadlines int
	// blocked is set while a Read of the wait is in progress.
	blocked bool
	// begun is set if the first byte of a further request arrived before the end of a response.
	begun bool
	// unused is set until bytes are read for the first time.
	unused   bool
	openedAt time.Time
	// closedIdle is set once the connection was closed by a stop. Bytes that a concurrent Read got are dropped.
	closedIdle bool
}

// ConnState tracks the state of connections. It has the signature of http.Server.ConnState.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.begun, c.deadlines = !c.begun, false, 0
}

// SetReadDeadline sets the deadline of Read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.awaiting && !c.unused {
		c.deadlines++
		c.awaiting = c.deadlines <= 1
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	c.setBlocked(true)
	n, err := c.Conn.Read(p)
	c.setBlocked(false)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, net.ErrClosed
	}
	// While a handler runs, http.Server reads the one byte that shows that the caller is still there.
	c.begun = !c.awaiting && len(p) == 1
	c.awaiting, c.unused = false, false
	return n, err
}

func (c *Conn) setBlocked(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = blocked
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, so that the caller can still read the last response when the
// connection is closed with unread bytes.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that this one wraps.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// closeIdle closes the connection if no request has begun to arrive. New connections are given firstRequestWait
// for that.
func (c *Conn) closeIdle(now time.Time) {
	c.mu.Lock()
	if !c.idle(now) {
		c.mu.Unlock()
		return
	}
	c.closedIdle = true
	c.mu.Unlock()
	_ = c.Close()
}

// idle must be called with c.mu held.
func (c *Conn) idle(now time.Time) bool {
	if buffered, ok := c.Conn.(interface{ Buffered() int }); ok && buffered.Buffered() > 0 {
		return false
	}
	if c.unused {
		return now.Sub(c.openedAt) >= firstRequestWait
	}
	return c.awaiting && c.blocked
}
