package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// forward sends the request to the granted backend server and reads the beginning of its answer.
type forward struct {
	cfg  *Config
	pool *roundtrip.Pool
}

func newForward(ctx context.Context, _ Filter, cfg *Config, _ string) (Filter, error) {
	pool := roundtrip.New(cfg.Pool)
	context.AfterFunc(ctx, pool.Close)
	return &forward{cfg: cfg, pool: pool}, nil
}

// Handle leaves the answer in the exchange. On a failure it completes the grant and returns a *failure.
func (f *forward) Handle(x *Exchange) error {
	server := x.grant.Server()
	x.sent = time.Now()
	answer, err := f.pool.Send(x.ctx, server.Address, f.outgoing(x))
	if err != nil {
		return f.failed(x, err)
	}
	x.answer = answer
	dialect := f.cfg.Dialect
	if dialect.Draining(answer.Header) {
		x.draining = true
		f.cfg.Backends.MarkDraining(server.Service, server.Instance)
	}
	if dialect.AddressReassigned(answer.Status, answer.Header) {
		return f.rejected(x, grant.ConnectFailed, "another backend server has the address")
	}
	if dialect.NotRun(answer.Status, answer.Header) {
		return f.rejected(x, grant.Shed, "the backend server rejected the request before running it")
	}
	if dialect.HasServerMark != nil && answer.Status < http.StatusMultipleChoices && !dialect.HasServerMark(answer.Header) {
		return f.broken(x, errForeign)
	}
	return f.prefetch(x)
}

// errForeign means that a success does not bear the mark of a backend server.
var errForeign = errors.New("the answer does not come from a backend server")

func (f *forward) outgoing(x *Exchange) *roundtrip.Request {
	r := &x.request
	dialect := f.cfg.Dialect
	*r = roundtrip.Request{
		Method: x.r.Method, Target: target(x.r), Host: x.r.Host,
		Header: x.r.Header, Skip: f.skipped, SkipNames: connectionNames(x.r.Header),
		MaxIdle: roundtrip.DefaultIdleTimeout, AcquireDeadline: x.grant.Expires(), Hooks: (*events)(x), Abort: x.abort,
		Extra: [roundtrip.ExtraFields]roundtrip.Field{
			{Name: dialect.RequestID, Value: x.id},
			{Name: dialect.Deadline, Value: dialect.FormatDeadline(time.Until(x.deadline))},
			{Name: "Via", Value: viaValue},
			{Name: dialect.ExpectInstance, Value: x.grant.Server().Instance},
		},
		CloseDelimited: dialect.CloseDelimited,
	}
	if dialect.EchoesRequestID {
		r.EchoName, r.EchoValue = dialect.RequestID, x.id
	}
	if !x.match.Idempotent {
		r.MaxIdle = staleForOnce
	}
	if x.body.buffered {
		r.Body = x.body.buffer
		return r
	}
	r.Stream = x.body.stream()
	r.Length = x.body.length
	r.Interrupt = x.body.source.interrupt
	return r
}

// skipped tells which of the caller's headers end at the proxy or are set by it.
func (f *forward) skipped(name string) bool {
	d := f.cfg.Dialect
	return name == d.RequestID || name == d.Deadline || name == d.ExpectInstance || hopByHop(name) || d.Private(name)
}

func hasInternalPrefix(name string) bool {
	return len(name) >= len(headerPrefix) && name[:len(headerPrefix)] == headerPrefix
}

// target returns path and query as the caller sent them.
func target(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// events is what an attempt does as its round trip proceeds.
type events Exchange

// BeforeWrite implements roundtrip.Events.
func (e *events) BeforeWrite() bool {
	x := (*Exchange)(e)
	if !x.start() {
		return false
	}
	x.sent = time.Now()
	return true
}

// FirstByte implements roundtrip.Events.
func (e *events) FirstByte() {
	x := (*Exchange)(e)
	x.first = time.Since(x.sent)
	if x.answering != nil {
		x.answering.Store(true)
	}
	x.grant.FirstByte()
}

// prefetch reads a short answer whole, so that a break in it can still be told or retried.
func (f *forward) prefetch(x *Exchange) error {
	a := x.answer
	if x.r.Method != http.MethodHead && a.Length < 0 && f.cfg.Dialect.MaxBufferedResponse > 0 {
		return f.hold(x)
	}
	if x.r.Method != http.MethodHead && (a.Length < 0 || a.Length > copyBytes) {
		return nil
	}
	var err error
	if x.r.Method == http.MethodHead {
		_, err = io.Copy(io.Discard, a)
	} else {
		x.whole, err = readWhole(a)
	}
	if err != nil {
		return f.broken(x, err)
	}
	x.fetched = true
	x.complete(resultOf(a.Status))
	return nil
}

// hold reads an answer of unknown length up to the limit of the dialect. A longer one is passed on as
// it comes.
func (f *forward) hold(x *Exchange) error {
	limit := f.cfg.Dialect.MaxBufferedResponse
	read, err := io.ReadAll(io.LimitReader(x.answer, int64(limit)+1))
	if err != nil {
		return f.broken(x, err)
	}
	x.whole = read
	if len(read) <= limit {
		x.fetched = true
		x.complete(resultOf(x.answer.Status))
	}
	return nil
}

func readWhole(a *roundtrip.Response) ([]byte, error) {
	read := make([]byte, a.Length)
	if _, err := io.ReadFull(a, read); err != nil {
		return nil, err
	}
	// Reading the end lets the connection be reused.
	var end [1]byte
	if _, err := a.Read(end[:]); err != io.EOF {
		return nil, errors.Wrap(err, "the answer is longer than stated")
	}
	return read, nil
}

func (f *forward) broken(x *Exchange, err error) error {
	x.complete(resultOfEnd(x.ctx, err, grant.Broken))
	return &failure{kind: problem.AnswerTruncated, detail: err.Error(), mayHaveRun: true}
}

// rejected handles a server that refused the request before running it.
func (f *forward) rejected(x *Exchange, result grant.Result, detail string) error {
	wait := retryAfter(x.answer.Header)
	if x.answer.Buffered() {
		// Reading a short refusal to its end lets the connection be reused. A refusal that has not
		// arrived whole is not waited for.
		_, _ = io.Copy(io.Discard, x.answer)
	}
	x.complete(result)
	if claim := x.claimOf(); claim != nil {
		claim.Rejected()
	}
	return &failure{kind: problem.NoCapacity, detail: detail, arrived: true, wait: wait}
}

// failed classifies a round trip without an answer.
func (f *forward) failed(x *Exchange, err error) error {
	var e *roundtrip.Error
	if !errors.As(err, &e) {
		x.complete(grant.Broken)
		return &failure{kind: problem.BackendFailed, detail: err.Error(), mayHaveRun: true}
	}
	if !e.Written && x.claimOf() != nil && e.Stage >= roundtrip.StageSend {
		// The claim was started but nothing was written: the server cannot run the work.
		x.claimOf().Rejected()
	}
	if final := x.callerFault(); final != nil {
		x.complete(grant.Cancelled)
		return &failure{kind: problem.BadRequest, mayHaveRun: e.Written, final: final}
	}
	ended := x.ctx.Err() != nil
	if !e.Written && (ended || e.Stage == roundtrip.StageStart || e.Stage == roundtrip.StageAcquire) {
		// The server saw nothing, so nothing is held against it.
		x.complete(grant.Unused)
		return &failure{kind: problem.NoCapacity, detail: e.Err.Error(), unused: !ended, wait: backoffCap}
	}
	x.complete(resultOfEnd(x.ctx, e.Err, resultOfStage(e)))
	return &failure{kind: problem.BackendFailed, detail: e.Error(), mayHaveRun: e.Written}
}

// callerFault returns how the request ends if its body could not be read from the caller.
func (x *Exchange) callerFault() error {
	source := x.body.source
	if x.body.buffered || source == nil {
		return nil
	}
	if failed := source.failed.Load(); failed != nil {
		return x.bodyError(*failed)
	}
	return nil
}

func resultOfStage(e *roundtrip.Error) grant.Result {
	switch {
	case e.Stage == roundtrip.StageConnect:
		return grant.ConnectFailed
	case e.Written:
		return grant.Broken
	default:
		return grant.ConnectFailed
	}
}

// resultOfEnd returns why a cancelled attempt ended, else the given result.
func resultOfEnd(ctx context.Context, err error, otherwise grant.Result) grant.Result {
	switch {
	case errors.Is(err, roundtrip.ErrAborted):
		return grant.Cancelled
	case ctx.Err() == nil:
		return otherwise
	case context.Cause(ctx) == context.DeadlineExceeded:
		return grant.Timeout
	default:
		return grant.Cancelled
	}
}

func resultOf(status int) grant.Result {
	if status >= http.StatusInternalServerError {
		return grant.Error
	}
	return grant.OK
}

// complete ends the attempt: it gives back the connection, the context and the grant.
func (x *Exchange) complete(result grant.Result) {
	if x.completed {
		return
	}
	x.completed = true
	x.tries.add(x.grant.Server(), result, x.sent.Sub(x.arrived), time.Since(x.sent))
	if x.answer != nil {
		x.answer.Close()
	}
	if x.release != nil {
		x.release()
	}
	x.grant.Complete(grant.Completion{
		Result: result, FirstByte: x.first, Total: time.Since(x.sent), Draining: x.draining,
	})
}

// discard ends an attempt that lost the race.
func (x *Exchange) discard() {
	x.complete(grant.Cancelled)
}
