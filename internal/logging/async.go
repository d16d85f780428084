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
	// asyncQueueLines is the largest number of lines queued for writing.
	asyncQueueLines = 1024
	// DefaultLinesPerSecond limits the log lines on decisions about requests.
	DefaultLinesPerSecond = 100
	// limiterWindow is the time over which a Limiter counts lines. The lines suppressed in a window are
	// reported at the first line of a later one.
	limiterWindow = time.Second
)

// Async is a writer that never blocks. When its queue is full, since the output is not read fast enough, it
// drops lines and counts them. It is safe for concurrent use.
type Async struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once
	stop      chan struct{}
}

// NewAsync returns a writer that writes in the background until Close.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncQueueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never returns an error.
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
	// A failure to write the log cannot be reported anywhere.
	_, _ = a.out.Write(line)
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(a.out, `{"level":"warn","prefix":"log","msg":"dropped lines, since the output was not read in time","lines":`+strconv.FormatUint(n, 10)+"}\n")
	}
}

// Close writes the queued lines, for as long as the context allows.
func (a *Async) Close(ctx context.Context) {
	a.closeOnce.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-ctx.Done():
	}
}

// Limiter limits how many lines of one kind are logged per second. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time
	count       int
	suppressed  int
}

// NewLimiter returns a limiter; perSecond must be above 0.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond}
}

// Allow reports whether a line may be logged, and how many lines were suppressed since the last report.
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
