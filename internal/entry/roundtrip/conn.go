package roundtrip

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one connection to a backend server. It is used by one request at a time.
type conn struct {
	net.Conn
	server  *server
	br      *bufio.Reader
	bw      *bufio.Writer
	written atomic.Int64
	// headBudget bounds what is read while an answer's headers are awaited; negative means unlimited.
	headBudget int64
	idleSince  time.Time
	closeOnce  sync.Once
	raw        syscall.RawConn
	// peek is the method look, kept to save an allocation per request; peeked and silent are its results.
	peek   func(fd uintptr) bool
	peeked [1]byte
	silent bool
}

func newConn(nc net.Conn, s *server) *conn {
	c := &conn{Conn: nc, server: s, headBudget: -1}
	c.br = bufio.NewReaderSize(c, bufferBytes)
	c.bw = bufio.NewWriterSize(c, bufferBytes)
	if sc, ok := nc.(syscall.Conn); ok {
		// Without a raw connection only the idle time guards reuse.
		c.raw, _ = sc.SyscallConn()
		c.peek = c.look
	}
	return c
}

// Write counts the bytes that were handed to the network.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read enforces the bound on the headers of an answer.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBudget == 0 {
		return 0, ErrHeaderTooLarge
	}
	if c.headBudget > 0 && int64(len(p)) > c.headBudget {
		p = p[:c.headBudget]
	}
	n, err := c.Conn.Read(p)
	if c.headBudget > 0 {
		c.headBudget -= int64(n)
	}
	return n, err
}

// headBegins is how each answer begins.
const headBegins = "HTTP/1."

// expectHead waits for the beginning of an answer. Other bytes are noticed at the first one, since neither a
// line end nor the end of the connection may ever follow.
func (c *conn) expectHead() error {
	for i := range len(headBegins) {
		begin, err := c.br.Peek(i + 1)
		if err != nil {
			return err
		}
		if begin[i] != headBegins[i] {
			return ErrNotHTTP
		}
	}
	return nil
}

// abort closes the connection under a reader or writer that is blocked on it.
func (c *conn) abort() {
	c.closeOnce.Do(func() {
		// The connection is given up either way.
		_ = c.Conn.Close()
	})
}

// quiet tells whether the idle connection is open and has nothing to read.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.silent = false
	return c.raw.Read(c.peek) == nil && c.silent
}

// look sets silent if the socket is open and has nothing to read. It never waits.
func (c *conn) look(fd uintptr) (done bool) {
	_, _, err := syscall.Recvfrom(int(fd), c.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.silent = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	return true
}
