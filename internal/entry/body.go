package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/inbound"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// body is the request body of a caller. It is either buffered, so that it can be sent to another server, or a stream.
type body struct {
	source *callerBody
	// buffer holds the complete body if buffered is set, and otherwise the first part of the body,
	// which was read in an attempt to buffer it.
	buffer   []byte
	buffered bool
	length   int64
}

// callerBody reads a request body from a caller. It enforces limits on the size and on the time between
// two reads.
type callerBody struct {
	reader  io.ReadCloser
	control *http.ResponseController
	// conn is the caller's connection; nil means that it has no budget.
	conn *inbound.Conn
	// readTimeout is the longest time between two reads; deadline is that of the request.
	readTimeout time.Duration
	deadline    time.Time
	// remaining is how many more bytes the body may have.
	remaining int64
	eof       atomic.Bool
	// consumed is set once a part that is not in the buffer was read.
	consumed atomic.Bool
	// interrupted is set once the rest of the body is no longer needed.
	interrupted atomic.Bool
	refusal     *problem.Problem
	// firstErr is the first error of a read, for goroutines other than the one that reads.
	firstErr atomic.Pointer[error]
}

// unread reports whether a part of the body may not have been read. A read that was interrupted may have reached the end
// all the same, but the caller's connection cannot be reused then either.
func (b *body) unread() bool {
	return b.source != nil && (!b.source.eof.Load() || b.source.interrupted.Load())
}

// bodyUnread reports whether a part of the body is still outstanding. If so, the caller's
// connection cannot be used for another request.
func (x *Exchange) bodyUnread() bool {
	if x.body.source == nil {
		return x.r.ContentLength != 0
	}
	return x.body.unread()
}

// initBody prepares to read the body, without reading any of it.
func (x *Exchange) initBody(readTimeout time.Duration) {
	x.body.length = x.r.ContentLength
	if x.r.ContentLength == 0 {
		x.body.buffered = true
		return
	}
	x.body.source = &callerBody{
		reader: x.r.Body, control: http.NewResponseController(x.w), conn: inbound.FromContext(x.r.Context()),
		readTimeout: readTimeout, deadline: x.deadline, remaining: x.match.BodyLimit,
	}
}

// bufferBody reads a body up to the limit into memory. A longer body remains a stream.
func (x *Exchange) bufferBody(limit int64) error {
	b := &x.body
	if b.buffered || b.length > limit {
		return nil
	}
	b.source.conn.AwaitBody(true)
	read, err := b.source.readUpTo(b.length, limit)
	b.source.conn.AwaitBody(false)
	b.source.consumed.Store(false)
	if err != nil {
		return x.bodyReadError(err)
	}
	b.buffer = read
	if b.source.eof.Load() {
		b.buffered = true
		b.length = int64(len(read))
	}
	return nil
}

// keepBody reads a body of up to MaxKeptBytes into memory, as far as the memory for kept bodies allows. Of a body for which
// that is used up, the part read so far is kept and the rest remains a stream. Longer bodies of stated length are not read.
func (x *Exchange) keepBody() error {
	b := &x.body
	if b.buffered || b.length > MaxKeptBytes {
		return nil
	}
	limit := MaxKeptBytes
	if b.length >= 0 {
		limit = int(b.length)
	}
	b.source.conn.AwaitBody(true)
	read, complete, err := x.kept.readWithin(b.source, limit)
	b.source.conn.AwaitBody(false)
	b.source.consumed.Store(false)
	if err != nil {
		return x.bodyReadError(err)
	}
	b.buffer, b.buffered = read, complete
	if complete {
		b.length = int64(len(read))
	}
	return nil
}

// releaseBody drops a kept body that will not be sent again, so that a caller that reads its response slowly does not hold
// it. The attempt must have ended, since its connection may still be sending the body until then.
func (x *Exchange) releaseBody(winner *Exchange) {
	if !x.keepsBody() || !winner.completed {
		return
	}
	x.body.buffer, winner.body.buffer, winner.request.Body = nil, nil, nil
	x.kept.end()
}

// keepsBody reports whether the body is kept by keepBody.
func (x *Exchange) keepsBody() bool {
	return x.match.Keyless && !x.match.Idempotent
}

// readUpTo reads the body to its end, or one byte more than the limit if the length is unknown and
// exceeds the limit.
func (s *callerBody) readUpTo(length, limit int64) ([]byte, error) {
	if length >= 0 {
		if !s.conn.Reserve(length-inbound.BodyAllowance, inbound.Bodies) {
			return nil, noBodyMemory()
		}
		read := make([]byte, length)
		if _, err := io.ReadFull(s, read); err != nil {
			return nil, err
		}
		// Reads up to io.EOF, because net/http closes the caller's connection otherwise.
		_, err := s.Read(make([]byte, 1))
		if err == io.EOF {
			err = nil
		}
		return read, err
	}
	read := &reservedBuffer{conn: s.conn}
	_, err := io.Copy(read, io.LimitReader(s, limit+1))
	return read.buffer.Bytes(), err
}

// reservedBuffer is a buffer that reserves its memory. A buffer that grows has up to twice the size of its content.
type reservedBuffer struct {
	buffer   bytes.Buffer
	conn     *inbound.Conn
	reserved int64
}

// Write implements io.Writer.
func (b *reservedBuffer) Write(p []byte) (int, error) {
	if missing := 2*int64(b.buffer.Len()+len(p)) - inbound.BodyAllowance - b.reserved; missing > 0 {
		if !b.conn.Reserve(missing, inbound.Bodies) {
			return 0, noBodyMemory()
		}
		b.reserved += missing
	}
	return b.buffer.Write(p)
}

// noBodyMemory returns the refusal of a request whose body cannot be buffered.
func noBodyMemory() error {
	return problem.New(problem.QueueFull, problem.NotRun, "the host has no memory left for request bodies").After(hostRetryAfter)
}

// stream returns a reader of the complete body, for a body that is not buffered.
func (b *body) stream() io.Reader {
	if len(b.buffer) == 0 {
		return b.source
	}
	return io.MultiReader(bytes.NewReader(b.buffer), b.source)
}

// Read implements io.Reader. For bodies that are too slow or too large the error is a *problem.Problem.
func (s *callerBody) Read(p []byte) (int, error) {
	n, err := s.read(p)
	if err != nil && err != io.EOF && err != errInterrupted {
		s.firstErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

func (s *callerBody) read(p []byte) (int, error) {
	s.consumed.Store(true)
	if s.refusal != nil {
		return 0, s.refusal
	}
	if s.eof.Load() {
		return 0, io.EOF
	}
	limit := s.setReadDeadline()
	// The check must follow the call above, which may have overwritten the read deadline set by
	// interrupt.
	if s.interrupted.Load() {
		return 0, errInterrupted
	}
	n, err := s.reader.Read(p)
	s.remaining -= int64(n)
	switch {
	case s.remaining < 0:
		s.refusal = problem.New(problem.BodyTooLarge, problem.NotRun, "the body exceeds the route's limit")
		return 0, s.refusal
	case err == io.EOF:
		// At this point net/http has removed the read deadline and watches for the caller to disconnect.
		s.eof.Store(true)
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(limit):
		return 0, errInterrupted
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.refusal = s.timeoutProblem()
		return 0, s.refusal
	}
	return n, err
}

func (s *callerBody) timeoutProblem() *problem.Problem {
	if !time.Now().Before(s.deadline) {
		return problem.New(problem.DeadlinePassed, problem.NotRun, "the body was not complete at the deadline")
	}
	return problem.New(problem.BadRequest, problem.NotRun, fmt.Sprintf("no part of the body arrived for %s", s.readTimeout))
}

// errInterrupted stops reading a body that is no longer needed.
var errInterrupted = errors.New("the body is no longer needed")

// interrupt makes a blocked read return. The caller's connection cannot be reused afterwards.
func (s *callerBody) interrupt() {
	s.interrupted.Store(true)
	_ = s.control.SetReadDeadline(time.Now())
}

// setReadDeadline sets the deadline of the next read and returns it.
func (s *callerBody) setReadDeadline() time.Time {
	limit := time.Now().Add(s.readTimeout)
	if s.deadline.Before(limit) {
		limit = s.deadline
	}
	// If the connection does not support deadlines, as in tests, only the request's context limits
	// the read.
	_ = s.control.SetReadDeadline(limit)
	return limit
}

// setDrainDeadline limits how long net/http waits for the rest of a body after the response.
// net/http itself sets no limit, so a caller that stops sending would hold the connection forever.
func setDrainDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
}

// setWriteDeadline limits how long a caller that does not read the response can hold the request.
func (x *Exchange) setWriteDeadline() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeMargin))
}

// bodyReadError returns the error with which the request ends after reading its body failed with err.
func (x *Exchange) bodyReadError(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) {
		return x.refuse(p.Kind, p.Detail).After(p.RetryAfter)
	}
	if x.ctx.Err() != nil && context.Cause(x.ctx) == context.DeadlineExceeded {
		return x.refuse(problem.DeadlinePassed, "")
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || x.ctx.Err() != nil {
		return errCallerGone
	}
	return x.refuse(problem.BadRequest, "the body cannot be read")
}
