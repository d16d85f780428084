package roundtrip

import "sync"

// Abort cancels one round trip from another goroutine. It is cheaper than a separate context.
// The zero value is ready for use; a nil *Abort never cancels.
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
		a.conn.closeNow()
	}
}

// attach sets the connection that Abort closes. It returns false if Abort was already called.
func (a *Abort) attach(c *conn) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.aborted
}

// detach prevents a later Abort from closing a connection that another request may be using by then.
// It returns false if Abort was already called.
func (a *Abort) detach() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.aborted
}

func (a *Abort) wasAborted() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}
