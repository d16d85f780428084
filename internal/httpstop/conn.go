package httpstop

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Conn is a connection of a Listener. It knows whether a request has begun to arrive since the last response.
type Conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// idle is set from the start of the connection and from the end of a response until bytes of the next
	// request are read.
	idle bool
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
	c.idle = true
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, net.ErrClosed
	}
	c.idle, c.unused = false, false
	return n, err
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
	buffered, _ := c.Conn.(interface{ Buffered() int })
	waits := c.unused && now.Sub(c.openedAt) < firstRequestWait
	if !c.idle || waits || buffered != nil && buffered.Buffered() > 0 {
		c.mu.Unlock()
		return
	}
	c.closedIdle = true
	c.mu.Unlock()
	_ = c.Close()
}
