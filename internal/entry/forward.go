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

// forward sends the request to the granted backend server and reads the beginning of the response.
type forward struct {
	cfg  *Config
	pool *roundtrip.Pool
}

func newForward(ctx context.Context, _ Filter, cfg *Config, _ string) (Filter, error) {
	pool := roundtrip.New(cfg.Pool)
	context.AfterFunc(ctx, pool.Close)
	return &forward{cfg: cfg, pool: pool}, nil
}

// Handle stores the response in the exchange. On failure it completes the grant and returns a *failure.
func (f *forward) Handle(x *Exchange) error {
	server := x.grant.Server()
	x.sentAt = time.Now()
	resp, err := f.pool.Send(x.ctx, server.Address, f.backendRequest(x))
	if err != nil {
		return f.failSend(x, err)
	}
	x.response = resp
	x.use = attemptUse{Use: resp.Use, status: resp.Status}
	dialect := f.cfg.Dialect
	if dialect.AddressReassigned(resp.Status, resp.Header) {
		return f.failRejected(x, grant.ConnectFailed, "another backend server has the address")
	}
	if dialect.HasServerMark != nil && resp.Status < http.StatusMultipleChoices && !dialect.HasServerMark(resp.Header) {
		return f.failResponse(x, errNoServerMark)
	}
	x.signals = dialect.signals(resp)
	if x.signals.Draining {
		f.cfg.Backends.MarkDraining(server.Service, server.Instance)
	}
	if x.signals != (grant.ServerSignals{}) {
		x.grant.Signals(x.signals)
	}
	if dialect.NotRun(resp.Status, resp.Header) {
		return f.failRejected(x, grant.Shed, "the backend server rejected the request before running it")
	}
	return f.bufferResponse(x)
}

// signals returns what the server says about itself in a response.
func (d *Dialect) signals(resp *roundtrip.Response) grant.ServerSignals {
	signals := grant.ServerSignals{Draining: d.Draining(resp.Header), Pause: d.Pause(resp.Status, resp.Header)}
	signals.Rate, signals.RateLimited = d.RateLimit(resp.Header)
	return signals
}

// errNoServerMark means that a successful response lacks the header with which backend servers identify
// themselves.
var errNoServerMark = errors.New("the answer does not come from a backend server")

func (f *forward) backendRequest(x *Exchange) *roundtrip.Request {
	r := &x.request
	dialect := f.cfg.Dialect
	*r = roundtrip.Request{
		Method: x.r.Method, Target: requestTarget(x.r), Host: x.r.Host,
		Header: x.r.Header, Skip: f.omitted(x), SkipNames: connectionOptions(x.r.Header),
		MaxIdle: roundtrip.DefaultIdleTimeout, AcquireDeadline: x.grant.Expires(), Hooks: (*attemptHooks)(x), Abort: x.abort,
		Extra: [roundtrip.MaxExtraFields]roundtrip.Field{
			{Name: dialect.RequestID, Value: x.id},
			{Name: dialect.Deadline, Value: dialect.FormatDeadline(time.Until(x.deadline))},
			{Name: "Via", Value: viaValue},
			{Name: dialect.ExpectInstance, Value: x.grant.Server().Instance},
			teamField(x),
		},
		CloseDelimited: dialect.CloseDelimited,
	}
	if dialect.EchoesRequestID {
		r.EchoName, r.EchoValue = dialect.RequestID, x.id
	}
	if !x.match.Idempotent {
		r.MaxIdle = maxIdleNonIdempotent
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

// omitHeader reports whether a header of the caller is not passed on, because it ends at the proxy
// or is set by it.
func (f *forward) omitHeader(name string) bool {
	d := f.cfg.Dialect
	return name == d.RequestID || name == d.Deadline || name == d.ExpectInstance || isHopByHop(name) || d.Private(name)
}

// omitted returns the function that reports which headers of the caller are not passed on.
func (f *forward) omitted(x *Exchange) func(name string) bool {
	// With a bound on withdrawn keys, callers send keys also while this host has a configuration from before.
	if x.snapshot.RequiresKeys() || f.cfg.Settings.KeyWithdrawal > 0 {
		return f.omitCredentials
	}
	return f.omitHeader
}

// omitCredentials reports whether a header of the caller is not passed on where the configuration requires keys.
func (f *forward) omitCredentials(name string) bool {
	return name == f.cfg.Dialect.Key || name == f.cfg.Dialect.ServerTeam || f.omitHeader(name)
}

// teamField tells the backend server the team that the caller's key belongs to.
func teamField(x *Exchange) roundtrip.Field {
	if !x.keyed {
		return roundtrip.Field{}
	}
	return roundtrip.Field{Name: x.dialect.ServerTeam, Value: x.team.ID}
}

func hasInternalPrefix(name string) bool {
	return len(name) >= len(headerPrefix) && name[:len(headerPrefix)] == headerPrefix
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// attemptHooks implements roundtrip.Hooks for an attempt.
type attemptHooks Exchange

// BeforeWrite implements roundtrip.Hooks.
func (h *attemptHooks) BeforeWrite() bool {
	x := (*Exchange)(h)
	if !x.startSending() {
		return false
	}
	x.sentAt = time.Now()
	return true
}

// FirstByte implements roundtrip.Hooks.
func (h *attemptHooks) FirstByte() {
	x := (*Exchange)(h)
	x.timeToFirstByte = time.Since(x.sentAt)
	if x.responseBegun != nil {
		x.responseBegun.Store(true)
	}
	x.grant.FirstByte()
}

// bufferResponse reads a short response completely, so that a truncated one can still be reported as an
// error or retried. A response is short if its stated length is at most copyBufferBytes or, if it states
// none, if it is within the dialect's limit.
func (f *forward) bufferResponse(x *Exchange) error {
	resp := x.response
	if x.r.Method != http.MethodHead && resp.Length < 0 && f.cfg.Dialect.MaxBufferedResponse > 0 {
		return f.bufferUpToLimit(x)
	}
	if x.r.Method != http.MethodHead && (resp.Length < 0 || resp.Length > copyBufferBytes) {
		return nil
	}
	var err error
	if x.r.Method == http.MethodHead {
		_, err = io.Copy(io.Discard, resp)
	} else {
		x.responseBody, err = readFullBody(resp)
	}
	if err != nil {
		return f.failResponse(x, err)
	}
	x.bodyComplete = true
	x.completeAttempt(resultForStatus(resp.Status))
	return nil
}

// bufferUpToLimit reads a response of unknown length up to the dialect's limit, or less if the memory for responses
// is used up. The rest of a longer one is streamed.
func (f *forward) bufferUpToLimit(x *Exchange) error {
	read, complete, err := x.held.readWithin(x.response, f.cfg.Dialect.MaxBufferedResponse)
	if err != nil {
		return f.failResponse(x, err)
	}
	x.responseBody = read
	if complete {
		x.bodyComplete = true
		x.completeAttempt(resultForStatus(x.response.Status))
	}
	return nil
}

func readFullBody(resp *roundtrip.Response) ([]byte, error) {
	read := make([]byte, resp.Length)
	if _, err := io.ReadFull(resp, read); err != nil {
		return nil, err
	}
	// The connection can be reused only after io.EOF was read.
	var end [1]byte
	if _, err := resp.Read(end[:]); err != io.EOF {
		return nil, errors.Wrap(err, "the answer is longer than stated")
	}
	return read, nil
}

func (f *forward) failResponse(x *Exchange, err error) error {
	x.completeAttempt(resultForContext(x.ctx, err, grant.Broken))
	return &failure{kind: problem.AnswerTruncated, detail: err.Error(), mayHaveRun: true}
}

// failRejected ends an attempt whose server rejected the request before running it.
func (f *forward) failRejected(x *Exchange, result grant.Result, detail string) error {
	delay := retryAfter(time.Now(), x.response.Header)
	if x.response.Buffered() {
		// The connection can be reused after the response was read to its end. A response that has not
		// arrived completely is not waited for; its connection is closed instead.
		_, _ = io.Copy(io.Discard, x.response)
	}
	x.use.rejected = true
	x.response.Refused()
	x.completeAttempt(result)
	if claim := x.heldClaim(); claim != nil {
		claim.Rejected()
	}
	return &failure{kind: problem.NoCapacity, detail: detail, reachedServer: true, retryAfter: delay}
}

// failSend ends an attempt whose round trip failed before the response headers were read. It
// classifies the failure.
func (f *forward) failSend(x *Exchange, err error) error {
	var e *roundtrip.Error
	if !errors.As(err, &e) {
		x.completeAttempt(grant.Broken)
		return &failure{kind: problem.BackendFailed, detail: err.Error(), mayHaveRun: true}
	}
	x.use.Use = e.Use
	if !e.Written && x.heldClaim() != nil && e.Stage >= roundtrip.StageSend {
		// The claim was started but nothing was written, so the server cannot run the work.
		x.heldClaim().Rejected()
	}
	if final := x.streamError(); final != nil {
		x.completeAttempt(grant.Cancelled)
		return &failure{kind: problem.BadRequest, mayHaveRun: e.Written, finalErr: final}
	}
	ended := x.ctx.Err() != nil
	if !e.Written && (ended || e.Stage == roundtrip.StageStart || e.Stage == roundtrip.StageAcquire) {
		// The server received nothing, so the failure must not count against it.
		x.completeAttempt(grant.Unused)
		return &failure{kind: problem.NoCapacity, detail: e.Err.Error(), grantExpired: !ended, retryAfter: backoffCap}
	}
	x.completeAttempt(resultForContext(x.ctx, e.Err, resultForStage(e)))
	return &failure{kind: problem.BackendFailed, detail: e.Error(), mayHaveRun: e.Written}
}

// streamError returns the error with which the request ends if its streamed body could not be read
// from the caller, or nil.
func (x *Exchange) streamError() error {
	source := x.body.source
	if x.body.buffered || source == nil {
		return nil
	}
	if failed := source.firstErr.Load(); failed != nil {
		return x.bodyReadError(*failed)
	}
	return nil
}

func resultForStage(e *roundtrip.Error) grant.Result {
	switch {
	case errors.Is(e.Err, roundtrip.ErrInvalidStatus), errors.Is(e.Err, roundtrip.ErrInformationalStatus), errors.Is(e.Err, roundtrip.ErrMerged):
		// The server responded, so the closed connection must not count as a crash, which would also accuse the request.
		return grant.Error
	case e.Stage == roundtrip.StageConnect:
		return grant.ConnectFailed
	case e.Written:
		return grant.Broken
	default:
		return grant.ConnectFailed
	}
}

// resultForContext returns why an attempt ended if it was cancelled or timed out, and otherwise the
// fallback.
func resultForContext(ctx context.Context, err error, fallback grant.Result) grant.Result {
	switch {
	case errors.Is(err, roundtrip.ErrAborted):
		return grant.Cancelled
	case ctx.Err() == nil:
		return fallback
	case context.Cause(ctx) == context.DeadlineExceeded:
		return grant.Timeout
	default:
		return grant.Cancelled
	}
}

func resultForStatus(status int) grant.Result {
	if status >= http.StatusInternalServerError {
		return grant.Error
	}
	return grant.OK
}

// completeAttempt ends the attempt: it records the result and releases the connection, the context and
// the grant. Later calls have no effect.
func (x *Exchange) completeAttempt(result grant.Result) {
	if x.completed {
		return
	}
	x.completed = true
	x.attemptLog.add(x.grant.Server(), result, x.sentAt.Sub(x.arrivedAt), time.Since(x.sentAt), x.use)
	if x.response != nil {
		x.response.Close()
	}
	if x.cancelAttempt != nil {
		x.cancelAttempt()
	}
	x.grant.Complete(grant.Completion{
		Result: result, FirstByte: x.timeToFirstByte, Total: time.Since(x.sentAt), ServerSignals: x.signals,
	})
}

// discard ends an attempt whose response is not used.
func (x *Exchange) discard() {
	x.completeAttempt(grant.Cancelled)
}
