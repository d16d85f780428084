package roundtrip

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// inlineBytes is the largest body that is written before the answer is read; socket buffers hold it.
	inlineBytes = 32 << 10
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 8
)

// Field is one header that Send adds.
type Field struct {
	Name  string
	Value string
}

// Request is one request to a backend server. It is not changed by Send.
type Request struct {
	Method string
	// Target is path and query as they appear on the wire.
	Target string
	Host   string
	// Header holds the caller's headers; those for which Skip is true are left out.
	Header http.Header
	Skip   func(name string) bool
	// Extra headers are added.
	Extra []Field
	// Body is sent if Stream is nil.
	Body []byte
	// Stream is sent instead of Body; Length is its length in bytes, or -1 if it is unknown.
	Stream io.Reader
	Length int64
	// MaxIdle bounds how long a reused connection may have been idle.
	MaxIdle time.Duration
	// Until bounds the wait for a free connection.
	Until time.Time
	// Start is called when a connection is ready, just before the first byte is written.
	// If it returns false, nothing is written.
	Start func() bool
	// FirstByte is called when the answer begins.
	FirstByte func()
}

// Answer is the answer to one request. Close must be called exactly once.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes, or -1 if it comes in chunks.
	Length int64

	ctx    context.Context
	pool   *Pool
	conn   *conn
	body   io.ReadCloser
	detach func() bool
	sender *sender
	whole  bool
	last   bool
}

// sender writes a request body beside the reading of the answer.
type sender struct {
	done     chan struct{}
	finished atomic.Bool
	err      error
}

var (
	headRequest = &http.Request{Method: http.MethodHead}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// Send writes the request to the server at the address (ip:port) and reads the headers of
// the answer. The request ends with the context: the connection is closed and the server
// sees the caller go. Errors are *Error.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Answer, error) {
	c, failure := p.acquire(ctx, address, r.MaxIdle, r.Until)
	if failure != nil {
		return nil, failure
	}
	c.written.Store(0)
	a := &Answer{ctx: ctx, pool: p, conn: c}
	a.detach = context.AfterFunc(ctx, c.abort)
	if r.Start != nil && !r.Start() {
		p.release(c, a.detach())
		return nil, &Error{Stage: Start, Err: ErrNotStarted}
	}
	if failure := a.exchange(r); failure != nil {
		a.giveUp()
		// A sender may be inside a write that has not returned yet.
		failure.Written = a.sender != nil || c.written.Load() > 0
		failure.Err = a.cause(failure.Err)
		return nil, failure
	}
	return a, nil
}

func (a *Answer) exchange(r *Request) *Error {
	if err := a.write(r); err != nil {
		return &Error{Stage: Send, Err: err}
	}
	return a.readHead(r)
}

// write sends headers and small bodies. Larger bodies and streams are sent by a goroutine,
// so that a server that answers early is heard.
func (a *Answer) write(r *Request) error {
	writeHead(a.conn.bw, r)
	if r.Stream == nil && len(r.Body) <= inlineBytes {
		_, _ = a.conn.bw.Write(r.Body)
		return a.conn.bw.Flush()
	}
	a.sender = &sender{done: make(chan struct{})}
	go a.sender.run(a.conn, r)
	return nil
}

func (s *sender) run(c *conn, r *Request) {
	defer close(s.done)
	s.err = writeBody(c.bw, r)
	if s.err != nil {
		// The server must not take the part for a whole request.
		c.abort()
		return
	}
	s.finished.Store(true)
}

func writeBody(bw *bufio.Writer, r *Request) error {
	if r.Stream == nil {
		_, _ = bw.Write(r.Body)
		return bw.Flush()
	}
	if r.Length < 0 {
		return writeChunks(bw, r.Stream)
	}
	n, err := io.Copy(bw, r.Stream)
	if err == nil && n != r.Length {
		err = errors.WithStack(io.ErrUnexpectedEOF)
	}
	if err != nil {
		return err
	}
	return bw.Flush()
}

func writeChunks(bw *bufio.Writer, stream io.Reader) error {
	buffer := make([]byte, inlineBytes)
	for {
		n, err := stream.Read(buffer)
		if n > 0 {
			_, _ = bw.WriteString(strconv.FormatInt(int64(n), 16))
			_, _ = bw.WriteString("\r\n")
			_, _ = bw.Write(buffer[:n])
			_, _ = bw.WriteString("\r\n")
			if err := bw.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, _ = bw.WriteString("0\r\n\r\n")
			return bw.Flush()
		}
		if err != nil {
			return err
		}
	}
}

func writeHead(bw *bufio.Writer, r *Request) {
	// Errors of a bufio.Writer are kept and returned by Flush.
	_, _ = bw.WriteString(r.Method)
	_ = bw.WriteByte(' ')
	_, _ = bw.WriteString(r.Target)
	_, _ = bw.WriteString(" HTTP/1.1\r\n")
	writeField(bw, "Host", r.Host)
	for name, values := range r.Header {
		if framing(name) || r.Skip != nil && r.Skip(name) {
			continue
		}
		for _, value := range values {
			writeField(bw, name, value)
		}
	}
	for _, f := range r.Extra {
		writeField(bw, f.Name, f.Value)
	}
	switch {
	case r.Stream != nil && r.Length < 0:
		writeField(bw, "Transfer-Encoding", "chunked")
	case r.Stream != nil:
		writeField(bw, "Content-Length", strconv.FormatInt(r.Length, 10))
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		writeField(bw, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	_, _ = bw.WriteString("\r\n")
}

// framing tells whether Send sets the header itself.
func framing(name string) bool {
	switch name {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection":
		return true
	default:
		return false
	}
}

func writeField(bw *bufio.Writer, name, value string) {
	_, _ = bw.WriteString(name)
	_, _ = bw.WriteString(": ")
	_, _ = bw.WriteString(value)
	_, _ = bw.WriteString("\r\n")
}

// readHead reads the first final answer. It bounds the bytes of all headers together.
func (a *Answer) readHead(r *Request) *Error {
	c := a.conn
	c.headBudget = MaxHeadBytes
	defer func() { c.headBudget = -1 }()
	if _, err := c.br.Peek(1); err != nil {
		return &Error{Stage: Await, Err: err}
	}
	if r.FirstByte != nil {
		r.FirstByte()
	}
	request := getRequest
	if r.Method == http.MethodHead {
		request = headRequest
	}
	for range maxInformational {
		response, err := http.ReadResponse(c.br, request)
		if err != nil {
			return &Error{Stage: Head, Err: err}
		}
		if response.StatusCode >= http.StatusOK {
			return a.accept(response, r.Method)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return &Error{Stage: Head, Err: ErrStatus}
}

func (a *Answer) accept(response *http.Response, method string) *Error {
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Length = response.ContentLength
	a.body = response.Body
	a.last = response.Close
	bodiless := method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if a.Length < 0 && len(response.TransferEncoding) == 0 && !bodiless {
		return &Error{Stage: Head, Err: ErrNoLength}
	}
	return nil
}

// Read reads the body. io.EOF is returned only at the stated end of the answer.
// Other errors are *Error; the body read so far must not be taken for a whole answer.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		a.whole = true
		return n, io.EOF
	}
	return n, &Error{Stage: Body, Written: true, Err: a.cause(err)}
}

// Close ends the request. The connection is reused if the answer was read to its end.
func (a *Answer) Close() {
	attached := a.detach()
	sent := a.sender == nil || a.sender.finished.Load()
	clean := a.whole && attached && sent && !a.last
	if a.sender != nil && !sent {
		a.conn.abort()
	}
	a.pool.release(a.conn, clean)
}

// Whole tells whether the answer was read to its stated end.
func (a *Answer) Whole() bool {
	return a.whole
}

func (a *Answer) giveUp() {
	a.detach()
	a.conn.abort()
	a.pool.release(a.conn, false)
}

// cause prefers the reason for which the connection was closed over the error of the closed connection.
func (a *Answer) cause(err error) error {
	if a.sender != nil {
		select {
		case <-a.sender.done:
			if a.sender.err != nil && a.ctx.Err() == nil {
				return a.sender.err
			}
		default:
		}
	}
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	return err
}
