package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// Headers that control or describe work.
const (
	HeaderWork     = "Standin-Work"
	HeaderSize     = "Standin-Size"
	HeaderStatus   = "Standin-Status"
	HeaderCrash    = "Standin-Crash"
	HeaderInstance = "Standin-Instance"
	// HeaderCallerKey has the key of a caller, which must not reach a server.
	HeaderCallerKey = "Tarragon-Key"

	headerRequestID = "Request-Id"
	headerKey       = "Idempotency-Key"
	headerTimeout   = "Grpc-Timeout"
	headerState     = "Tarragon-State"
	headerOutcome   = "Tarragon-Outcome"
	headerRateLimit = "Tarragon-Rate-Limit"

	maxBodyBytes     = 64 << 20
	maxResponseBytes = 64 << 20
	// jitter is the largest relative deviation of a work time from its mean.
	jitter = 0.2
)

// workHandler returns the handler for work, health and load.
func (s *Server) workHandler(p *process) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", s.serveHealth)
	m.HandleFunc("GET /load", s.serveLoad)
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serveWork(p, w, r) })
	return m
}

// serveWork runs one request, or rejects it before it runs.
func (s *Server) serveWork(p *process, w http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	if len(r.Header[HeaderCallerKey]) > 0 {
		s.ledger.countCallerKey()
	}
	p.pending.Add(1)
	defer p.pending.Add(-1)
	state := s.state()
	if state == backend.Draining {
		w.Header().Set(headerState, "draining")
	}
	if rate := s.Faults().RateLimit; rate > 0 {
		w.Header().Set(headerRateLimit, strconv.FormatFloat(rate, 'f', -1, 64))
	}
	if state != backend.Ready {
		s.reject(w, "not ready")
		return
	}
	if pause := s.Faults().PauseMS; pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(pause)/1000, 'f', -1, 64))
		s.reject(w, "pause")
		return
	}
	hash := sha256.New()
	read, err := io.Copy(hash, io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		// The request body is truncated, so the request does not run.
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withGRPCTimeout(r.Context(), r.Header.Get(headerTimeout))
	defer cancel()
	if !s.acquireSlot(ctx, p) {
		s.reject(w, "no slot")
		return
	}
	defer p.releaseSlot()
	s.runWork(ctx, p, w, r, fmt.Sprintf("%d:%s", read, hex.EncodeToString(hash.Sum(nil))))
}

// acquireSlot waits for a slot. It returns false if the queue is full or the context ended first.
func (s *Server) acquireSlot(ctx context.Context, p *process) bool {
	select {
	case p.slots <- struct{}{}:
		p.running.Add(1)
		return true
	default:
	}
	defer p.waiting.Add(-1)
	if p.waiting.Add(1) > int64(s.cfg.Queue) {
		return false
	}
	select {
	case p.slots <- struct{}{}:
		p.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *process) releaseSlot() {
	p.running.Add(-1)
	<-p.slots
}

func (s *Server) reject(w http.ResponseWriter, reason string) {
	s.ledger.countRejected()
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set(HeaderInstance, s.cfg.Instance)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) runWork(ctx context.Context, p *process, w http.ResponseWriter, r *http.Request, body string) {
	request, key := r.Header.Get(headerRequestID), r.Header.Get(headerKey)
	s.ledger.record(request, key, countStarted)
	if r.Header.Get(HeaderCrash) != "" {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if !s.waitWhileStalled(ctx) || !sleep(ctx, s.workTime(p, r)) {
		s.ledger.record(request, key, countCancelled)
		w.Header().Set(HeaderInstance, s.cfg.Instance)
		http.Error(w, "the deadline passed or the caller went away", http.StatusGatewayTimeout)
		return
	}
	s.ledger.record(request, key, countFinished)
	if s.Faults().DropResponses {
		// Simulates a lost response: the connection stays open until the proxy closes it.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, r, fmt.Sprintf("instance=%s request=%s key=%s path=%s body=%s\n", s.cfg.Instance, request, key, r.URL.RequestURI(), body))
}

// waitWhileStalled returns true once work is not stalled, or false if the context ended first.
func (s *Server) waitWhileStalled(ctx context.Context) bool {
	for {
		s.mu.Lock()
		since := time.Since(s.faultsSetAt)
		stalled := s.faults.stalled(since)
		changed := s.faultsChanged
		flap := time.Duration(s.faults.FlapMS) * time.Millisecond
		s.mu.Unlock()
		if !stalled {
			return ctx.Err() == nil
		}
		if !waitForChange(ctx, changed, untilNextFlap(since, flap)) {
			return false
		}
	}
}

// untilNextFlap returns the time to the next change of a flapping server, or 0 if it does not flap.
func untilNextFlap(since, period time.Duration) time.Duration {
	if period <= 0 {
		return 0
	}
	return period - since%period
}

// waitForChange waits until the channel is closed or, if d is positive, for at most d. It returns false
// if the context ended first.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	var after <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		after = timer.C
	}
	select {
	case <-changed:
		return true
	case <-after:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) workTime(p *process, r *http.Request) time.Duration {
	d := s.cfg.WorkTime
	if stated, err := time.ParseDuration(r.Header.Get(HeaderWork)); err == nil {
		d = stated
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1 - jitter + 2*jitter*s.random.Float64()
	if s.faults.SlowFactor > 0 {
		factor *= s.faults.SlowFactor
	}
	warm := time.Since(p.startedAt) - s.cfg.ColdStart
	if warm < s.cfg.WarmUp {
		factor *= 1 + (s.cfg.ColdFactor-1)*(1-float64(warm)/float64(s.cfg.WarmUp))
	}
	return time.Duration(float64(d) * factor)
}

// writeResponse writes the text, padded to the size that the request asks for, and applies the random faults.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, text string) {
	size, err := strconv.Atoi(r.Header.Get(HeaderSize))
	if err != nil || size < len(text) || size > maxResponseBytes {
		size = len(text)
	}
	failed, truncated := s.drawRandomFaults()
	status, err := strconv.Atoi(r.Header.Get(HeaderStatus))
	if err != nil || status < http.StatusOK || status > 599 {
		status = http.StatusOK
	}
	if failed {
		status = http.StatusInternalServerError
	}
	w.Header().Set(HeaderInstance, s.cfg.Instance)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if s.state() == backend.Draining {
		w.Header().Set(headerState, "draining")
	}
	w.WriteHeader(status)
	if truncated {
		size /= 2
	}
	writePadded(w, text, size)
	if truncated {
		panic(http.ErrAbortHandler)
	}
}

func writePadded(w io.Writer, text string, size int) {
	if len(text) > size {
		text = text[:size]
	}
	// An error means that the proxy closed the connection, so it cannot be reported to the proxy.
	_, _ = io.WriteString(w, text)
	padding := make([]byte, min(size-len(text), 32<<10))
	for i := range padding {
		padding[i] = '.'
	}
	for left := size - len(text); left > 0; {
		n, err := w.Write(padding[:min(left, len(padding))])
		if err != nil {
			return
		}
		left -= n
	}
}

// drawRandomFaults returns which of the random faults apply to this request.
func (s *Server) drawRandomFaults() (failed, truncated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed = s.faults.ErrorShare > 0 && s.random.Float64() < s.faults.ErrorShare
	truncated = s.faults.TruncateShare > 0 && s.random.Float64() < s.faults.TruncateShare
	return failed, truncated
}

func (s *Server) refusesInbound() bool {
	return s.Faults().RefuseInbound
}

// withGRPCTimeout applies a Grpc-Timeout value. An invalid value is ignored.
func withGRPCTimeout(ctx context.Context, text string) (context.Context, context.CancelFunc) {
	units := map[byte]time.Duration{
		'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
	}
	last := len(text) - 1
	if last < 1 {
		return context.WithCancel(ctx)
	}
	n, err := strconv.ParseUint(text[:last], 10, 31)
	unit, ok := units[text[last]]
	if err != nil || !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(n)*unit)
}
