package logging

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines bounds the lines that wait to be written.
	asyncQueueLines = 1024
	// DefaultLinesPerSecond bounds the lines of decisions on requests.
	DefaultLinesPerSecond = 100
	// limiterWindow is how often dropped lines are reported.
	limiterWindow = time.Second
)

// Async is a writer that never blocks: lines that the reader of the output does not take in time are
// dropped and counted. It is safe for concurrent use.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	closeOnce    sync.Once
	stop    chan struct{}
}

// NewAsync returns a writer that writes in the background until Close.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncQueueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.writeLine(line)
		case <-a.stop:
			for {
				select {
				case line := <-a.lines:
					a.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

func (a *Async) writeLine(line []byte) {
	// A log that cannot be written has nobody to tell.
	_, _ = a.out.Write(line)
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(a.out, `{"level":"warn","prefix":"log","msg":"dropped lines, since the output was not read in time","lines":`+strconv.FormatUint(n, 10)+"}\n")
	}
}

// Close writes what is waiting, for as long as the context allows.
func (a *Async) Close(ctx context.Context) {
	a.closeOnce.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-ctx.Done():
	}
}

// Limiter bounds how many lines of one sort are logged per second. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu         sync.Mutex
	windowStart     time.Time
	count      int
	suppressed int
}

// NewLimiter returns a limiter; perSecond must be above 0.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond}
}

// Allow tells whether a line may be logged, and how many lines were suppressed since the last report.
func (l *Limiter) Allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= limiterWindow {
		l.windowStart = now
		l.count = 0
		suppressed, l.suppressed = l.suppressed, 0
	}
	l.count++
	if l.count > l.perSecond {
		l.suppressed++
		return false, suppressed
	}
	return true, suppressed
}
