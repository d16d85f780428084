package readahead

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/httpstop"
)

const (
	// MaxBuffered bounds the bytes that are read ahead on one connection: several usual requests, or one with the
	// largest header. With 64 KiB, 700 callers that read no responses took 100 MB.
	MaxBuffered = 16 << 10
	// chunkBytes is the size of one read.
	chunkBytes = 4 << 10
)

// Conn is a connection of a caller. Like net.Conn, it supports one Read at a time, concurrently with writes
// and Close.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// changed signals a change of the fields below.
	changed sync.Cond
	// buffer holds the bytes that were read ahead. It is a part of space.
	buffer, space []byte
	// reading is set while a goroutine reads ahead.
	reading bool
	// readErr is the error that ended the connection for reading; it follows the buffer.
	readErr error
	cancel  context.CancelFunc
}

type listener struct{ net.Listener }

// NewListener returns a listener whose connections are of the type Conn.
func NewListener(l net.Listener) net.Listener {
	return listener{l}
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(inner), nil
}

// SetDeadline sets the deadline of Accept, if the inner listener supports that.
func (l listener) SetDeadline(deadline time.Time) error {
	return httpstop.SetDeadline(l.Listener, deadline)
}

func newConn(inner net.Conn) *Conn {
	c := &Conn{Conn: inner}
	c.changed.L = &c.mu
	return c
}

// Context returns the context for the requests of a connection. It is cancelled when the connection ends. It
// has the signature of http.Server.ConnContext; other connections than Conn, and such that wrap one, get ctx
// itself.
func Context(ctx context.Context, conn net.Conn) context.Context {
	for {
		if c, ok := conn.(*Conn); ok {
			ctx, c.cancel = context.WithCancel(ctx)
			return ctx
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		conn = outer.NetConn()
	}
}

// Read returns the bytes that were read ahead, and otherwise reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err, done := c.takeBuffered(p)
	if !done {
		n, err = c.Conn.Read(p)
	}
	if n == 1 && len(p) == 1 && err == nil {
		// net/http has stopped watching, since the byte belongs to a further request.
		c.startReading()
	}
	return n, err
}

// takeBuffered reads from the buffer. done is false if the caller has to read from the connection.
func (c *Conn) takeBuffered(p []byte) (n int, err error, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buffer) == 0 && c.reading {
		c.changed.Wait()
	}
	if len(c.buffer) == 0 {
		return 0, c.readErr, c.readErr != nil
	}
	n = copy(p, c.buffer)
	c.buffer = c.buffer[n:]
	return n, nil, true
}

func (c *Conn) startReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading || c.readErr != nil || len(c.buffer) >= MaxBuffered {
		return
	}
	c.reading = true
	go c.readAhead()
}

// readAhead reads until the buffer is full, the read deadline passes or the connection ends.
func (c *Conn) readAhead() {
	var chunk [chunkBytes]byte
	for {
		n, err := c.Conn.Read(chunk[:])
		if !c.store(chunk[:n], err) {
			return
		}
	}
}

// store appends bytes to the buffer and reports whether to continue reading.
func (c *Conn) store(read []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	c.append(read)
	c.reading = err == nil && len(c.buffer) < MaxBuffered
	// After a timeout the next Read gets it from the connection itself, unless the deadline was extended.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
		c.cancelRequests()
	}
	return c.reading
}

// append must be called with c.mu held. The buffer is allocated once, since growing one leaves several times its size as
// garbage.
func (c *Conn) append(read []byte) {
	if cap(c.buffer)-len(c.buffer) < len(read) {
		if c.space == nil {
			c.space = make([]byte, MaxBuffered+chunkBytes)
		}
		c.buffer = c.space[:copy(c.space, c.buffer)]
	}
	c.buffer = append(c.buffer, read...)
}

// Buffered returns the number of bytes that were read ahead.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.buffer)
}

func (c *Conn) cancelRequests() {
	if c.cancel != nil {
		c.cancel()
	}
}

// Close closes the connection and cancels its requests.
func (c *Conn) Close() error {
	c.cancelRequests()
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
