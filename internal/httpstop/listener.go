package httpstop

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// acceptPause is how long no connection must arrive before a stopping listener closes.
	acceptPause = 25 * time.Millisecond
	// quietPauses is how many such pauses must follow each other.
	quietPauses = 2
	// maxAcceptTime bounds the time during which a stopping listener accepts connections.
	maxAcceptTime = 500 * time.Millisecond
	// firstRequestWait is how long a stop waits for the first request of a new connection.
	firstRequestWait = time.Second
	// checkInterval is the interval at which a stop looks for idle connections.
	checkInterval = 10 * time.Millisecond
)

// Listener accepts connections and tracks them until they are closed. Its server must use ConnState. It is safe
// for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// stopping is closed when the stop begins, and closed once the listener has closed.
	stopping, closed chan struct{}
	stopOnce         sync.Once
	closeOnce        sync.Once
	stopAt           time.Time
}

// SetDeadline sets the deadline of Accept; errors.ErrUnsupported means that the listener has none. Listeners that
// wrap another one pass it on with this function.
func SetDeadline(l net.Listener, deadline time.Time) error {
	inner, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetDeadline(deadline)
}

// NewListener returns a listener that can be stopped gracefully if the inner one has a method SetDeadline, as
// TCP listeners do; other ones close at once.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*Conn]struct{}{}, stopping: make(chan struct{}), closed: make(chan struct{})}
}

// Accept returns the next connection, or net.ErrClosed after a stop.
func (l *Listener) Accept() (net.Conn, error) {
	for quiet := 0; ; {
		inner, err := l.Listener.Accept()
		switch {
		case err == nil:
			return l.add(inner), nil
		case !l.Stopped():
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded) && quiet < quietPauses && time.Since(l.stopAt) < maxAcceptTime:
			quiet++
			_ = SetDeadline(l.Listener, time.Now().Add(acceptPause))
		default:
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
}

// Stopped reports whether Stop was called.
func (l *Listener) Stopped() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

func (l *Listener) add(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l, awaiting: true, unused: true, openedAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Close closes the listener at once. Connections stay open.
func (l *Listener) Close() error {
	err := error(nil)
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err
}

// Stop stops accepting connections and returns when all have been closed: those without a request by the stop,
// the others by their server after the response, or by their callers. Responses must have Connection: close.
func (l *Listener) Stop(ctx context.Context) error {
	l.stopOnce.Do(func() {
		l.stopAt = time.Now()
		close(l.stopping)
		if SetDeadline(l.Listener, l.stopAt.Add(acceptPause)) != nil {
			_ = l.Close()
		}
	})
	select {
	case <-l.closed:
	case <-ctx.Done():
		_ = l.Close()
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		open := l.open()
		if len(open) == 0 {
			return nil
		}
		now := time.Now()
		for _, c := range open {
			c.closeIdle(now)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}
