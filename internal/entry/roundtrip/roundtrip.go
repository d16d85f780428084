package roundtrip

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// inlineBytes is the largest body that is written before the answer is read; socket buffers hold it.
	inlineBytes = 32 << 10
	// settleTime is how long the end of a request whose body is at hand is waited for.
	settleTime = 20 * time.Millisecond
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 8
	// maxStrayBytes bounds the body of an answer to another request that is read and dropped.
	maxStrayBytes = 1 << 20
)

// Field is one header that Send adds.
type Field struct {
	Name  string
	Value string
}

// ExtraFields is the number of headers that Send can add.
const ExtraFields = 4

// Hooks hears of the progress of one round trip. An interface costs no allocation per request,
// as two functions would.
type Hooks interface {
	// BeforeWrite is called when a connection is ready, just before the first byte is written.
	// If it returns false, nothing is written.
	BeforeWrite() bool
	// FirstByte is called when the answer begins.
	FirstByte()
}

// Request is one request to a backend server. It is not changed by Send.
type Request struct {
	Method string
	// Target is path and query as they appear on the wire.
	Target string
	Host   string
	// Header holds the caller's headers; those for which Skip is true and those in Dropped are left out.
	Header    http.Header
	Skip      func(name string) bool
	SkipNames []string
	// Extra headers are added; those without a name are not.
	Extra [ExtraFields]Field
	// Body is sent if Stream is nil.
	Body []byte
	// Stream is sent instead of Body; Length is its length in bytes, or -1 if it is unknown.
	Stream io.Reader
	Length int64
	// Interrupt makes a blocked read of Stream return. It is required with Stream.
	Interrupt func()
	// MaxIdle bounds how long a reused connection may have been idle.
	MaxIdle time.Duration
	// EchoName and EchoValue, if set, are a header and the value that the answer must have in it. Stray
	// answers with another value are read to their end and dropped.
	EchoName, EchoValue string
	// CloseDelimited accepts answers whose body has no stated length and ends with the connection.
	CloseDelimited bool
	// AcquireDeadline bounds the wait for a free connection.
	AcquireDeadline time.Time
	// Hooks, if set, hears of the progress.
	Hooks Hooks
	// Abort, if set, can end the round trip from another goroutine.
	Abort *Abort
}

// Response is the answer to one request. Close must be called exactly once.
type Response struct {
	Status int
	Header http.Header
	// Length of the body in bytes, or -1 if it comes in chunks.
	Length int64

	ctx    context.Context
	pool   *Pool
	conn   *conn
	body   io.ReadCloser
	detach func() bool
	abort  *Abort
	sender *sender
	whole  bool
	last   bool
}

// sender writes a request body beside the reading of the answer.
type sender struct {
	request *Request
	done    chan struct{}
	// read is set when the whole body is at hand, and finished when it was written.
	read     atomic.Bool
	finished atomic.Bool
}

var (
	headRequest = &http.Request{Method: http.MethodHead}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// Send writes the request to the server at the address (ip:port) and reads the headers of
// the answer. The request ends with the context: the connection is closed and the server
// sees the caller go. Errors are *Error.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, failure := p.acquire(ctx, address, r.MaxIdle, r.AcquireDeadline)
	if failure != nil {
		return nil, failure
	}
	c.written.Store(0)
	a := &Response{ctx: ctx, pool: p, conn: c, abort: r.Abort}
	if !a.abort.attach(c) {
		p.release(c, true)
		return nil, &Error{Stage: StageStart, Err: ErrAborted}
	}
	a.detach = context.AfterFunc(ctx, c.abort)
	if r.Hooks != nil && !r.Hooks.BeforeWrite() {
		p.release(c, a.release())
		return nil, &Error{Stage: StageStart, Err: ErrNotStarted}
	}
	if failure := a.exchange(r); failure != nil {
		failure.Err = a.cause(failure.Err)
		a.giveUp()
		failure.Written = c.written.Load() > 0
		return nil, failure
	}
	return a, nil
}

func (a *Response) exchange(r *Request) *Error {
	if err := a.write(r); err != nil {
		return &Error{Stage: StageSend, Err: err}
	}
	return a.readHead(r)
}

// write sends headers and small bodies. Larger bodies and streams are sent by a goroutine,
// so that a server that answers early is heard.
func (a *Response) write(r *Request) error {
	writeHead(a.conn.bw, r)
	if r.Stream == nil && len(r.Body) <= inlineBytes {
		_, _ = a.conn.bw.Write(r.Body)
		return a.conn.bw.Flush()
	}
	a.sender = &sender{request: r, done: make(chan struct{})}
	go a.sender.run(a.conn)
	return nil
}

func (s *sender) run(c *conn) {
	defer close(s.done)
	if s.request.Stream == nil {
		s.read.Store(true)
		_, _ = c.bw.Write(s.request.Body)
		s.finished.Store(c.bw.Flush() == nil)
		return
	}
	sent, readErr := s.copyStream(c.bw)
	if readErr != nil {
		// The server must not take the part for a whole request. After a failed write the
		// connection stays open, since an answer may be on its way.
		c.abort()
		return
	}
	s.finished.Store(sent)
}

// copyStream returns whether the whole stream was written, and the error of reading it.
func (s *sender) copyStream(bw *bufio.Writer) (sent bool, readErr error) {
	buffer := make([]byte, inlineBytes)
	left := s.request.Length
	for {
		n, err := s.request.Stream.Read(buffer)
		s.read.Store(err == io.EOF)
		if n > 0 {
			left -= int64(n)
			s.writePart(bw, buffer[:n])
			if bw.Flush() != nil {
				return false, nil
			}
		}
		if err == io.EOF {
			return s.endStream(bw, left)
		}
		if err != nil {
			return false, err
		}
	}
}

// writePart frames a part. Errors of a bufio.Writer are kept and returned by Flush.
func (s *sender) writePart(bw *bufio.Writer, part []byte) {
	if s.request.Length >= 0 {
		_, _ = bw.Write(part)
		return
	}
	_, _ = bw.WriteString(strconv.FormatInt(int64(len(part)), 16))
	_, _ = bw.WriteString("\r\n")
	_, _ = bw.Write(part)
	_, _ = bw.WriteString("\r\n")
}

func (s *sender) endStream(bw *bufio.Writer, left int64) (sent bool, readErr error) {
	if s.request.Length < 0 {
		_, _ = bw.WriteString("0\r\n\r\n")
	} else if left != 0 {
		return false, errors.WithStack(io.ErrUnexpectedEOF)
	}
	return bw.Flush() == nil, nil
}

// stopSender ends the sending of a body and waits until its stream is no longer read.
func (a *Response) stopSender() (sent bool) {
	s := a.sender
	if s == nil || s.finished.Load() {
		return true
	}
	if s.read.Load() && s.settles() {
		return true
	}
	a.conn.abort()
	if s.request.Interrupt != nil && !s.read.Load() {
		s.request.Interrupt()
	}
	<-s.done
	return false
}

// settles waits for a sender that is about to end: a server can answer the last byte before the
// sender has noted that it was written.
func (s *sender) settles() bool {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-s.done:
		return s.finished.Load()
	case <-timer.C:
		return false
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
		if framing(name) || r.Skip != nil && r.Skip(name) || slices.Contains(r.SkipNames, name) {
			continue
		}
		for _, value := range values {
			writeField(bw, name, value)
		}
	}
	for _, f := range r.Extra {
		if f.Name == "" {
			break
		}
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
func (a *Response) readHead(r *Request) *Error {
	c := a.conn
	c.headBudget = MaxResponseHeaderBytes
	defer func() { c.headBudget = -1 }()
	if _, err := c.br.Peek(1); err != nil {
		return &Error{Stage: StageAwait, Err: err}
	}
	if r.Hooks != nil {
		r.Hooks.FirstByte()
	}
	request := getRequest
	if r.Method == http.MethodHead {
		request = headRequest
	}
	for range maxInformational {
		if err := c.expectHead(); err != nil {
			return &Error{Stage: StageHeader, Err: err}
		}
		response, err := http.ReadResponse(c.br, request)
		if err != nil {
			return &Error{Stage: StageHeader, Err: err}
		}
		if r.stray(response) {
			if err := skip(response); err != nil {
				return &Error{Stage: StageHeader, Err: err}
			}
			continue
		}
		if response.StatusCode >= http.StatusOK {
			return a.accept(response, r)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return &Error{Stage: StageHeader, Err: ErrInformationalStatus}
}

// stray tells whether a final answer belongs to another request.
func (r *Request) stray(response *http.Response) bool {
	if r.EchoName == "" || response.StatusCode < http.StatusOK {
		return false
	}
	values := response.Header[r.EchoName]
	return len(values) > 0 && values[0] != r.EchoValue
}

// skip reads a stray answer to its end, so that the answer behind it can be read.
func skip(response *http.Response) error {
	if response.Close {
		return ErrMismatchedResponse
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes+1))
	return err
}

func (a *Response) accept(response *http.Response, r *Request) *Error {
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Length = response.ContentLength
	a.body = response.Body
	a.last = response.Close
	bodiless := r.Method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if a.Length < 0 && len(response.TransferEncoding) == 0 && !bodiless && !r.CloseDelimited {
		return &Error{Stage: StageHeader, Err: ErrNoLength}
	}
	return nil
}

// Read reads the body. io.EOF is returned only at the stated end of the answer.
// Other errors are *Error; the body read so far must not be taken for a whole answer.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		a.whole = true
		return n, io.EOF
	}
	return n, &Error{Stage: StageBody, Written: true, Err: a.cause(err)}
}

// Close ends the request. The connection is reused if the answer was read to its end.
func (a *Response) Close() {
	attached := a.release()
	sent := a.stopSender()
	a.pool.release(a.conn, a.whole && attached && sent && !a.last)
}

// Complete tells whether the answer was read to its stated end.
func (a *Response) Complete() bool {
	return a.whole
}

// Buffered tells whether the rest of the answer can be read without waiting.
func (a *Response) Buffered() bool {
	return a.Length >= 0 && int64(a.conn.br.Buffered()) >= a.Length
}

// release lets go of the connection. It returns false if the connection was or is being closed
// by the context or by Abort.
func (a *Response) release() bool {
	detached := a.abort.detach()
	return a.detach() && detached
}

func (a *Response) giveUp() {
	a.release()
	a.conn.abort()
	a.stopSender()
	a.pool.release(a.conn, false)
}

// cause prefers the end of the context or an abort over the error of the connection that was closed for it.
func (a *Response) cause(err error) error {
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	if a.abort.ended() {
		return ErrAborted
	}
	return err
}
