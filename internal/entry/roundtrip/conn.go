package roundtrip

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one connection to a backend server. It serves one request at a time.
type conn struct {
	net.Conn
	server  *server
	br      *bufio.Reader
	bw      *bufio.Writer
	written atomic.Int64
	// writing is held during each write and guards writeErr, the first error of one.
	writing  sync.Mutex
	writeErr error
	// header counts the response headers while they are read.
	header headerMeter
	// use states how the current request uses the connection.
	use     Use
	refused refusals
	// forHead is set if the connection carries HEAD requests only; otherwise it carries none. The end of a response to
	// another request can't be found if that may have been either.
	forHead   bool
	idleSince time.Time
	closeOnce sync.Once
	raw       syscall.RawConn
	// peekFunc is the method value peekSocket, stored to save an allocation per request. peekSocket
	// writes to peekBuffer and nothingToRead.
	peekFunc      func(fd uintptr) bool
	peekBuffer    [1]byte
	nothingToRead bool
}

func newConn(nc net.Conn, number uint64, s *server, m *Memory) *conn {
	c := &conn{Conn: nc, server: s, header: headerMeter{memory: m}, use: Use{Connection: number}}
	c.br = bufio.NewReaderSize(c, bufferBytes)
	c.bw = bufio.NewWriterSize(c, bufferBytes)
	if sc, ok := nc.(syscall.Conn); ok {
		// Without a raw connection only the idle time limits reuse.
		c.raw, _ = sc.SyscallConn()
		c.peekFunc = c.peekSocket
	}
	return c
}

// reused reports whether the connection has served another request before.
func (c *conn) reused() bool {
	return !c.idleSince.IsZero()
}

// Write implements io.Writer. It counts the bytes that were handed to the network.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// resetSeenByWrite reports whether a write has failed because the connection was reset. The kernel reports a reset
// once: if a write gets it, the next read returns io.EOF. It ends a write in progress, so it must only be called when
// nothing more is to be sent.
func (c *conn) resetSeenByWrite() bool {
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded)
}

// Read implements io.Reader. It enforces the limits of response headers.
func (c *conn) Read(p []byte) (int, error) {
	if !c.header.reading {
		return c.Conn.Read(p)
	}
	limit, err := c.header.next()
	if err != nil {
		return 0, err
	}
	if int64(len(p)) > limit {
		p = p[:limit]
	}
	n, err := c.Conn.Read(p)
	c.header.read(p[:n])
	return n, err
}

// statusLinePrefix is how each response starts.
const statusLinePrefix = "HTTP/1."

// awaitStatusLine waits for the first bytes of a status line. It fails at the first byte that differs,
// because a server that sends something else may never send a line end or close the connection.
func (c *conn) awaitStatusLine() error {
	for i := range len(statusLinePrefix) {
		prefix, err := c.br.Peek(i + 1)
		if err != nil {
			return err
		}
		if prefix[i] != statusLinePrefix[i] {
			return ErrNotHTTP
		}
	}
	return nil
}

// closeNow closes the connection, even while a read or write is blocked on it.
func (c *conn) closeNow() {
	c.closeOnce.Do(func() {
		// The connection is discarded whether or not Close fails.
		_ = c.Conn.Close()
	})
}

// openAndEmpty reports whether the idle connection is still open and has no bytes to read.
func (c *conn) openAndEmpty() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.nothingToRead = false
	return c.raw.Read(c.peekFunc) == nil && c.nothingToRead
}

// peekSocket sets nothingToRead if the socket is open and has no bytes to read. It never blocks.
func (c *conn) peekSocket(fd uintptr) (done bool) {
	_, _, err := syscall.Recvfrom(int(fd), c.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.nothingToRead = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	return true
}
