package roundtrip

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the response is read. Socket buffers
	// can hold this much.
	maxInlineBodyBytes = 32 << 10
	// senderGracePeriod limits how long the end of a round trip is delayed until a request body that was
	// read completely from its source is also written completely.
	senderGracePeriod = 20 * time.Millisecond
	// maxInformational limits the 1xx and mismatched responses before the final one.
	maxInformational = 8
)

// Field is one header field that Send adds.
type Field struct {
	Name  string
	Value string
}

// MaxExtraFields is the maximum number of header fields that Send can add.
const MaxExtraFields = 5

// Hooks is called as a round trip progresses. It is an interface because two function values would
// cost allocations per request.
type Hooks interface {
	// BeforeWrite is called once a connection is available, just before the first byte is written.
	// If it returns false, nothing is written.
	BeforeWrite() bool
	// FirstByte is called when the first byte of the response has arrived.
	FirstByte()
}

// Request is one request to a backend server. Send does not modify it.
type Request struct {
	Method string
	// Target is the path and query as they appear on the wire.
	Target string
	Host   string
	// Header holds the caller's headers. Those for which Skip returns true and those in SkipNames are
	// left out.
	Header    http.Header
	Skip      func(name string) bool
	SkipNames []string
	// Extra holds the header fields to add; those without a name are ignored.
	Extra [MaxExtraFields]Field
	// Body is the request body if Stream is nil.
	Body []byte
	// Stream is sent instead of Body. Length is its length in bytes, or -1 if unknown.
	Stream io.Reader
	Length int64
	// Interrupt makes a blocked read of Stream return. It is required if Stream is set.
	Interrupt func()
	// MaxIdle limits how long a reused connection may have been idle.
	MaxIdle time.Duration
	// EchoName, if set, is a header that servers copy from the request to the response, and EchoValue its
	// value, the id of the request. Responses with another value belong to another request; they are read to their
	// end and discarded.
	EchoName, EchoValue string
	// CloseDelimited accepts responses whose body has no stated length and ends with the connection.
	CloseDelimited bool
	// AcquireDeadline limits the wait for a free connection.
	AcquireDeadline time.Time
	// Hooks, if set, is called as the round trip progresses.
	Hooks Hooks
	// Abort, if set, can cancel the round trip from another goroutine.
	Abort *Abort
}

// Use states how a round trip used its connection.
type Use struct {
	// Connection is the number of the connection in its pool, from 1; 0 means that the round trip got none.
	Connection uint64
	// Position is the number of the request on its connection, from 1.
	Position int
	// Skipped is the number of responses to other requests that were discarded.
	Skipped int
}

// Response is the response to one request. Close must be called exactly once.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if the body is chunked or ends with the
	// connection.
	Length int64
	Use    Use

	ctx           context.Context
	pool          *Pool
	conn          *conn
	body          io.ReadCloser
	detachContext func() bool
	abort         *Abort
	bodySender    *bodySender
	// id is Request.EchoValue.
	id         string
	complete   bool
	closeAfter bool
	// closeDelimited is set if the body ends with the connection.
	closeDelimited bool
}

// bodySender writes a request body while the response is being read.
type bodySender struct {
	request *Request
	done    chan struct{}
	// bodyRead is set once the body was read completely from its source, bodyWritten once it was written
	// completely.
	bodyRead    atomic.Bool
	bodyWritten atomic.Bool
}

var (
	headRequest = &http.Request{Method: http.MethodHead}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// Send writes the request to the server at the address (ip:port) and reads the headers of
// the response. When the context ends, the connection is closed, which tells the server that
// the caller is gone. Errors are *Error.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	if !r.hasValidFields() {
		return nil, &Error{Stage: StageSend, Err: ErrInvalidField}
	}
	c, failure := p.acquire(ctx, address, r)
	if failure != nil {
		return nil, failure
	}
	c.written.Store(0)
	c.use.Skipped = 0
	resp := &Response{ctx: ctx, pool: p, conn: c, abort: r.Abort, id: r.EchoValue}
	if !resp.abort.attach(c) {
		p.release(c, true)
		return nil, &Error{Stage: StageStart, Err: ErrAborted}
	}
	resp.detachContext = context.AfterFunc(ctx, c.closeNow)
	if r.Hooks != nil && !r.Hooks.BeforeWrite() {
		p.release(c, resp.detach())
		return nil, &Error{Stage: StageStart, Err: ErrNotStarted}
	}
	if failure := resp.roundTrip(r); failure != nil {
		failure.Err = resp.cause(failure.Err)
		resp.abandon()
		failure.Written = c.written.Load() > 0
		failure.Use = c.use
		return nil, failure
	}
	return resp, nil
}

func (resp *Response) roundTrip(r *Request) *Error {
	resp.conn.use.Position++
	if err := resp.writeRequest(r); err != nil {
		return &Error{Stage: StageSend, Err: err}
	}
	return resp.readHeader(r)
}

// writeRequest writes the headers and small bodies. Larger bodies and streams are written by a goroutine,
// so that the response of a server that responds early is read.
func (resp *Response) writeRequest(r *Request) error {
	writeHeader(resp.conn.bw, r)
	if r.Stream == nil && len(r.Body) <= maxInlineBodyBytes {
		_, _ = resp.conn.bw.Write(r.Body)
		return resp.conn.bw.Flush()
	}
	resp.bodySender = &bodySender{request: r, done: make(chan struct{})}
	go resp.bodySender.run(resp.conn)
	return nil
}

func (s *bodySender) run(c *conn) {
	defer close(s.done)
	if s.request.Stream == nil {
		s.bodyRead.Store(true)
		_, _ = c.bw.Write(s.request.Body)
		s.bodyWritten.Store(c.bw.Flush() == nil)
		return
	}
	sent, readErr := s.copyStream(c.bw)
	if readErr != nil {
		// Closes the connection, so that the server does not mistake the part for a complete request.
		// After a failed write the connection stays open, since a response may be on its way.
		c.closeNow()
		return
	}
	s.bodyWritten.Store(sent)
}

// copyStream writes the stream. It returns whether all of it was written, and any error from reading it.
func (s *bodySender) copyStream(bw *bufio.Writer) (sent bool, readErr error) {
	buffer := make([]byte, maxInlineBodyBytes)
	remaining := s.request.Length
	for {
		n, err := s.request.Stream.Read(buffer)
		s.bodyRead.Store(err == io.EOF)
		if n > 0 {
			remaining -= int64(n)
			s.writePart(bw, buffer[:n])
			if bw.Flush() != nil {
				return false, nil
			}
		}
		if err == io.EOF {
			return s.endBody(bw, remaining)
		}
		if err != nil {
			return false, err
		}
	}
}

// writePart writes a part of the body, as a chunk if the length is unknown. A bufio.Writer keeps
// errors and returns them from Flush.
func (s *bodySender) writePart(bw *bufio.Writer, part []byte) {
	if s.request.Length >= 0 {
		_, _ = bw.Write(part)
		return
	}
	_, _ = bw.WriteString(strconv.FormatInt(int64(len(part)), 16))
	_, _ = bw.WriteString("\r\n")
	_, _ = bw.Write(part)
	_, _ = bw.WriteString("\r\n")
}

func (s *bodySender) endBody(bw *bufio.Writer, remaining int64) (sent bool, readErr error) {
	if s.request.Length < 0 {
		_, _ = bw.WriteString("0\r\n\r\n")
	} else if remaining != 0 {
		return false, errors.WithStack(io.ErrUnexpectedEOF)
	}
	return bw.Flush() == nil, nil
}

// stopSender stops writing the body and waits until its stream is no longer read. It reports whether the
// request was written completely.
func (resp *Response) stopSender() (sent bool) {
	s := resp.bodySender
	if s == nil || s.bodyWritten.Load() {
		return true
	}
	if s.bodyRead.Load() && s.finishesSoon() {
		return true
	}
	resp.conn.closeNow()
	if s.request.Interrupt != nil && !s.bodyRead.Load() {
		s.request.Interrupt()
	}
	<-s.done
	return false
}

// finishesSoon waits briefly for a sender that is about to finish, and reports whether it wrote the
// complete body. A server can respond to the last byte before the sender has recorded that it was
// written.
func (s *bodySender) finishesSoon() bool {
	timer := time.NewTimer(senderGracePeriod)
	defer timer.Stop()
	select {
	case <-s.done:
		return s.bodyWritten.Load()
	case <-timer.C:
		return false
	}
}

func writeHeader(bw *bufio.Writer, r *Request) {
	// A bufio.Writer keeps errors and returns them from Flush.
	_, _ = bw.WriteString(r.Method)
	_ = bw.WriteByte(' ')
	_, _ = bw.WriteString(r.Target)
	_, _ = bw.WriteString(" HTTP/1.1\r\n")
	writeField(bw, "Host", r.Host)
	for name, values := range r.Header {
		if setBySend(name) || r.Skip != nil && r.Skip(name) || slices.Contains(r.SkipNames, name) {
			continue
		}
		for _, value := range values {
			writeField(bw, name, value)
		}
	}
	for _, f := range r.Extra {
		if f.Name != "" {
			writeField(bw, f.Name, f.Value)
		}
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

// setBySend reports whether Send sets the header itself or must not pass it on.
func setBySend(name string) bool {
	switch name {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection":
		return true
	default:
		return false
	}
}

// hasValidFields reports whether each header field can be written as one line. Names from other hosts may have passed no
// check.
func (r *Request) hasValidFields() bool {
	for name, values := range r.Header {
		if !isOneLine(name) || slices.ContainsFunc(values, func(value string) bool { return !isOneLine(value) }) {
			return false
		}
	}
	for _, f := range r.Extra {
		if !isOneLine(f.Name) || !isOneLine(f.Value) {
			return false
		}
	}
	return isOneLine(r.Host)
}

func isOneLine(s string) bool {
	return strings.IndexByte(s, '\r') < 0 && strings.IndexByte(s, '\n') < 0 && strings.IndexByte(s, 0) < 0
}

func writeField(bw *bufio.Writer, name, value string) {
	_, _ = bw.WriteString(name)
	_, _ = bw.WriteString(": ")
	_, _ = bw.WriteString(value)
	_, _ = bw.WriteString("\r\n")
}

// readHeader reads the headers of the first final response. The limit on header bytes applies to all
// responses that it reads, taken together.
func (resp *Response) readHeader(r *Request) *Error {
	c := resp.conn
	c.header.begin()
	defer c.header.end()
	if _, err := c.br.Peek(1); err != nil {
		return &Error{Stage: StageAwait, Err: err}
	}
	if r.Hooks != nil {
		r.Hooks.FirstByte()
	}
	request := getRequest
	if r.isHead() {
		request = headRequest
	}
	// closes is set if a skipped response announced the end of the connection.
	closes := false
	for range maxInformational {
		if err := c.awaitStatusLine(); err != nil {
			return &Error{Stage: StageHeader, Err: err}
		}
		httpResponse, err := http.ReadResponse(c.br, request)
		if err != nil {
			return &Error{Stage: StageHeader, Err: err}
		}
		if err := checkStatus(httpResponse); err != nil {
			return &Error{Stage: StageHeader, Err: err}
		}
		if isMerged(httpResponse) {
			return &Error{Stage: StageHeader, Err: ErrMerged}
		}
		if c.reused() && r.isUnattributed(httpResponse) {
			return &Error{Stage: StageHeader, Err: ErrUnattributed}
		}
		if r.isMismatched(httpResponse) {
			c.use.Skipped++
			c.header.pause()
			if err := discardMismatched(httpResponse, r.isHead()); err != nil {
				return &Error{Stage: StageHeader, Err: err}
			}
			c.header.resume()
			closes = closes || httpResponse.Close
			continue
		}
		if httpResponse.StatusCode >= http.StatusOK {
			httpResponse.Close = httpResponse.Close || closes
			return resp.acceptHeader(httpResponse, r)
		}
	}
	return &Error{Stage: StageHeader, Err: ErrInformationalStatus}
}

func (r *Request) isHead() bool {
	return r.Method == http.MethodHead
}

func (resp *Response) acceptHeader(httpResponse *http.Response, request *Request) *Error {
	resp.Status = httpResponse.StatusCode
	resp.Use = resp.conn.use
	resp.Header = httpResponse.Header
	resp.Length = httpResponse.ContentLength
	resp.body = httpResponse.Body
	// A copy of a response without an id would be taken for the response to the next request, or end it.
	resp.closeAfter = httpResponse.Close || request.isUnattributed(httpResponse)
	noBody := request.isHead() || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
	resp.closeDelimited = resp.Length < 0 && len(httpResponse.TransferEncoding) == 0 && !noBody
	if resp.closeDelimited && !request.CloseDelimited {
		return &Error{Stage: StageHeader, Err: ErrNoLength}
	}
	return nil
}

// Read reads the body. It returns io.EOF only at the end of the response; for a close-delimited response
// this is the end of the connection, unless that was reset. Other errors are *Error; the part read so far is incomplete.
func (resp *Response) Read(p []byte) (int, error) {
	n, err := resp.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && resp.closeDelimited && resp.conn.resetSeenByWrite() {
		err = ErrReset
	}
	if err == io.EOF {
		resp.complete = true
		return n, io.EOF
	}
	return n, &Error{Stage: StageBody, Written: true, Err: resp.cause(err)}
}

// Refused records that the response states that its server did not run the request. The server may send that response
// once more, so the request must not be sent again on this connection. If responses do not state the id of their request,
// the connection is not reused at all. Refused must be called before Close.
func (resp *Response) Refused() {
	if resp.id == "" || !resp.conn.refused.add(resp.id) {
		resp.closeAfter = true
	}
}

// Close ends the request. The connection is reused if the request was written and the response was read
// completely.
func (resp *Response) Close() {
	attached := resp.detach()
	sent := resp.stopSender()
	resp.pool.release(resp.conn, resp.complete && attached && sent && !resp.closeAfter)
}

// Complete reports whether the response was read to its end.
func (resp *Response) Complete() bool {
	return resp.complete
}

// Buffered reports whether a response of stated length can be read without waiting.
func (resp *Response) Buffered() bool {
	return resp.Length >= 0 && int64(resp.conn.br.Buffered()) >= resp.Length
}

// detach prevents the context and Abort from closing the connection from now on. It returns false
// if either has closed it or is closing it.
func (resp *Response) detach() bool {
	detached := resp.abort.detach()
	return resp.detachContext() && detached
}

// abandon ends a failed round trip. Its connection is not reused.
func (resp *Response) abandon() {
	resp.detach()
	resp.conn.closeNow()
	resp.stopSender()
	resp.pool.release(resp.conn, false)
}

// cause returns the reason why the connection was closed, if the context or Abort closed it, and
// otherwise the given error.
func (resp *Response) cause(err error) error {
	if resp.ctx.Err() != nil {
		return context.Cause(resp.ctx)
	}
	if resp.abort.wasAborted() {
		return ErrAborted
	}
	return err
}
