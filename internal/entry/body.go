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

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// body is the request body of a caller: buffered, so that it can be sent more than once, or a stream.
type body struct {
	source *callerBody
	// buffer holds the whole body if buffered is set, else what was read of the stream so far.
	buffer   []byte
	buffered bool
	length   int64
}

// callerBody reads from a caller within the limits of size and of time between two reads.
type callerBody struct {
	reader  io.ReadCloser
	control *http.ResponseController
	// gap is the longest time between two reads; until is the request's deadline.
	gap   time.Duration
	until time.Time
	// left is how many bytes may still come.
	left  int64
	ended atomic.Bool
	// touched is set once a part that is not in the buffer was read.
	touched atomic.Bool
	// interrupted is set when nobody wants the rest.
	interrupted atomic.Bool
	refusal     *problem.Problem
	// failed is the first error, for the goroutine that did not see it.
	failed atomic.Pointer[error]
}

// unread tells whether a part of the body has not been read.
func (b *body) unread() bool {
	return b.source != nil && !b.source.ended.Load()
}

// unread tells whether a part of the body is still to come, so that the caller's connection
// cannot be used for a next request.
func (x *Exchange) unread() bool {
	if x.body.source == nil {
		return x.r.ContentLength != 0
	}
	return x.body.unread()
}

// open prepares the reading of the body. It reads nothing.
func (x *Exchange) open(gap time.Duration) {
	x.body.length = x.r.ContentLength
	if x.r.ContentLength == 0 {
		x.body.buffered = true
		return
	}
	x.body.source = &callerBody{
		reader: x.r.Body, control: http.NewResponseController(x.w),
		gap: gap, until: x.deadline, left: x.match.BodyLimit,
	}
}

// buffer reads the body up to the limit. If it is longer, it stays a stream.
func (x *Exchange) buffer(limit int64) error {
	b := &x.body
	if b.buffered || b.length > limit {
		return nil
	}
	read, err := b.source.upTo(b.length, limit)
	b.source.touched.Store(false)
	if err != nil {
		return x.bodyError(err)
	}
	b.buffer = read
	if b.source.ended.Load() {
		b.buffered = true
		b.length = int64(len(read))
	}
	return nil
}

// upTo reads until the end, or one byte more than the limit.
func (s *callerBody) upTo(length, limit int64) ([]byte, error) {
	if length >= 0 {
		read := make([]byte, length)
		if _, err := io.ReadFull(s, read); err != nil {
			return nil, err
		}
		// The end of the body must be seen, or net/http closes the caller's connection.
		_, err := s.Read(make([]byte, 1))
		if err == io.EOF {
			err = nil
		}
		return read, err
	}
	var read bytes.Buffer
	_, err := io.Copy(&read, io.LimitReader(s, limit+1))
	return read.Bytes(), err
}

// stream returns what is sent if the body is not buffered.
func (b *body) stream() io.Reader {
	if len(b.buffer) == 0 {
		return b.source
	}
	return io.MultiReader(bytes.NewReader(b.buffer), b.source)
}

// Read implements io.Reader. Refusals of slow or too large bodies are *problem.Problem.
func (s *callerBody) Read(p []byte) (int, error) {
	n, err := s.read(p)
	if err != nil && err != io.EOF && err != errInterrupted {
		s.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}

func (s *callerBody) read(p []byte) (int, error) {
	s.touched.Store(true)
	if s.refusal != nil {
		return 0, s.refusal
	}
	if s.ended.Load() {
		return 0, io.EOF
	}
	limit := s.limitRead()
	// The check follows the new read deadline, which may have replaced that of an interrupt.
	if s.interrupted.Load() {
		return 0, errInterrupted
	}
	n, err := s.reader.Read(p)
	s.left -= int64(n)
	switch {
	case s.left < 0:
		s.refusal = problem.New(problem.BodyTooLarge, problem.NotRun, "the body exceeds the route's limit")
		return 0, s.refusal
	case err == io.EOF:
		// At this point net/http has lifted the read deadline and watches for the caller's departure.
		s.ended.Store(true)
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(limit):
		return 0, errInterrupted
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.refusal = s.tooSlow()
		return 0, s.refusal
	}
	return n, err
}

func (s *callerBody) tooSlow() *problem.Problem {
	if !time.Now().Before(s.until) {
		return problem.New(problem.DeadlinePassed, problem.NotRun, "the body was not complete at the deadline")
	}
	return problem.New(problem.BadRequest, problem.NotRun, fmt.Sprintf("no part of the body arrived for %s", s.gap))
}

// errInterrupted ends the reading of a body that nobody wants any more.
var errInterrupted = errors.New("the body is no longer wanted")

// interrupt makes a blocked read return. The caller's connection cannot be used again.
func (s *callerBody) interrupt() {
	s.interrupted.Store(true)
	_ = s.control.SetReadDeadline(time.Now())
}

// limitRead sets the deadline of the next read and returns it.
func (s *callerBody) limitRead() time.Time {
	limit := time.Now().Add(s.gap)
	if s.until.Before(limit) {
		limit = s.until
	}
	// A writer without deadlines, as in tests, is bounded by the request's context only.
	_ = s.control.SetReadDeadline(limit)
	return limit
}

// limitDrain bounds how long net/http waits for the rest of a body after the answer. It has no
// bound of its own, so a caller that stops sending would hold the connection for good.
func limitDrain(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
}

// limitWrites bounds how long a caller that does not read can hold the request.
func (x *Exchange) limitWrites() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeMargin))
}

// bodyError returns how the request ends after its body could not be read.
func (x *Exchange) bodyError(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) {
		return x.refuse(p.Kind, p.Detail)
	}
	if x.ctx.Err() != nil && context.Cause(x.ctx) == context.DeadlineExceeded {
		return x.refuse(problem.DeadlinePassed, "")
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || x.ctx.Err() != nil {
		return errCallerGone
	}
	return x.refuse(problem.BadRequest, "the body cannot be read")
}
