package inbound

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// Listener accepts the connections that the budget allows. Its server must use ConnState and Context, and a handler of
// Budget.Handler.
type Listener struct {
	net.Listener
	budget *Budget
}

// Listen returns a listener whose connections count against the budget.
func (b *Budget) Listen(l net.Listener) *Listener {
	return &Listener{Listener: l, budget: b}
}

// Accept returns the next connection that the budget allows, and closes those before it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, budget: l.budget, address: clientAddress(inner), afterHeader: -1, bodyLength: -1}
		c.inHeader.Store(true)
		c.waitingSince.Store(now())
		victim, ok := l.budget.admit(c, time.Now())
		if victim != nil {
			_ = victim.Conn.Close()
		}
		if ok {
			return c, nil
		}
		_ = inner.Close()
	}
}

// SetDeadline sets the deadline of Accept; errors.ErrUnsupported means that the wrapped listener has none.
func (l *Listener) SetDeadline(deadline time.Time) error {
	inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetDeadline(deadline)
}

// Handler returns a handler that refuses a request with 503 if there is no memory for its header.
func (b *Budget) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.endHandler()
		if !c.beginRequest(r) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
