package roundtrip

import "sync"

// Abort ends one round trip from another goroutine. It costs less than a context of its own.
// The zero value is ready, and a nil one never aborts.
type Abort struct {
	mu      sync.Mutex
	conn    *conn
	aborted bool
}

// Abort closes the connection of the round trip, now or as soon as it has one.
func (a *Abort) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.conn != nil {
		a.conn.abort()
	}
}

// attach names the connection that Abort closes. It returns false after Abort.
func (a *Abort) attach(c *conn) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.aborted
}

// detach keeps Abort from closing a connection that another request may use. It returns false
// after Abort.
func (a *Abort) detach() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.aborted
}

func (a *Abort) ended() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}
