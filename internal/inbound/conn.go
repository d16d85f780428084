package inbound

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// errExhausted ends the reading of a header. Its type makes net/http close the connection without a response.
var errExhausted = &net.OpError{Op: "read", Err: errors.New("the memory for the headers of clients is used up; the client may try again later or at another host")}

// maxServerRead is the size of the buffer into which net/http reads headers. A larger read is one of a body.
const maxServerRead = 4 << 10

// Conn is a connection of a client. One goroutine may read at a time.
type Conn struct {
	net.Conn
	budget  *Budget
	address netip.Addr

	// held is the reserved memory; it changes with the lock of the budget. removed is guarded by that lock.
	held    atomic.Int64
	removed bool

	// inHeader is set from the end of a request until the handler of the next one starts.
	inHeader atomic.Bool
	// waitingSince and writingSince are when the connection began to wait for the client to send and to read, in
	// nanoseconds since start; 0 means that it does not wait. They are ahead by responseTime while a response is on its
	// way. Once one of them is claimed, the connection is closed in favour of others, and the time does not change any
	// more.
	waitingSince, writingSince atomic.Int64

	// headerCost is the cost of the header so far, and charged the part of it that was charged. lastCost is the cost of
	// the last read, which may contain the begin of the next header.
	headerCost, charged, lastCost int64
	// end finds the end of the header in what is read. afterHeader is how many bytes were read behind it, and bodyLength
	// the length of the body of the request; -1 means that they are unknown.
	end                     headerEnd
	afterHeader, bodyLength int64
	// begun is set once bytes of the header have been read.
	begun bool
}

// start is the origin of the times in a Conn.
var start = time.Now()

// now returns a time for waitingSince and writingSince, which is never 0.
func now() int64 { return int64(time.Since(start)) + 1 }

// responseTime is how long a connection that writes, or whose handler has ended, is not taken for one that waits for its
// client. net/http writes the response in that time; without it, the response of a request that has run could be lost.
const responseTime = 100 * time.Millisecond

// claimed is the value of waitingSince or writingSince of a connection that is about to be closed.
const claimed = -1

// errReclaimed is the error of writing to a connection that is closed in favour of others.
var errReclaimed = &net.OpError{Op: "write", Err: errors.New("the connection was closed in favour of others, because its client was slow; the client may try again")}

// set changes one of the times, and returns false if the connection is claimed by it.
func set(since *atomic.Int64, to int64) bool {
	for {
		old := since.Load()
		if old == claimed {
			return false
		}
		if since.CompareAndSwap(old, to) {
			return true
		}
	}
}

// claim marks the connection as one that will be closed. It returns false if it has not waited for the time, so that a
// request that has started meanwhile keeps its connection.
func (c *Conn) claim(at time.Time, atLeast time.Duration) bool {
	word := c.wait()
	since := word.Load()
	return since > 0 && at.Sub(start)-time.Duration(since) >= atLeast && word.CompareAndSwap(since, claimed)
}

// wait returns the time that counts. A connection that writes waits for its client to read.
func (c *Conn) wait() *atomic.Int64 {
	if c.writingSince.Load() != 0 {
		return &c.writingSince
	}
	return &c.waitingSince
}

// waited returns for how long the connection has waited for its client. It is false while the process works for it.
func (c *Conn) waited(at time.Time) (time.Duration, bool) {
	since := c.wait().Load()
	return at.Sub(start) - time.Duration(since), since > 0
}

// Read reads from the connection. While a header is incomplete, it charges the memory that the header will take.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.locate(p, n)
	if n == 0 || len(p) == 1 {
		// Reads of one byte show net/http that the client is still there.
		return n, err
	}
	cost := int64(0)
	if len(p) <= maxServerRead {
		cost = int64(n) + fieldBytes*int64(bytes.Count(p[:n], []byte{'\n'}))
	}
	c.lastCost = cost
	if !c.inHeader.Load() {
		return n, err
	}
	if !c.begun {
		c.begun = true
		set(&c.waitingSince, now())
	}
	c.headerCost += cost
	if !c.chargeHeader() {
		return 0, errExhausted
	}
	return n, err
}

// chargeHeader reserves the part of the cost beyond the allowance that is not reserved yet.
func (c *Conn) chargeHeader() bool {
	missing := c.headerCost - headerAllowance - c.charged
	if missing <= 0 {
		return true
	}
	if !c.Reserve(missing, Headers) {
		return false
	}
	c.charged += missing
	return true
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if !set(&c.writingSince, now()+int64(responseTime)) {
		return 0, errReclaimed
	}
	n, err := c.Conn.Write(p)
	if !set(&c.writingSince, 0) && err == nil {
		err = errReclaimed
	}
	return n, err
}

// Close closes the connection and returns what it holds.
func (c *Conn) Close() error {
	c.budget.drop(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, if the connection supports that.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that this one wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Buffered returns the number of bytes that the wrapped connection has read ahead.
func (c *Conn) Buffered() int {
	if inner, ok := c.Conn.(interface{ Buffered() int }); ok {
		return inner.Buffered()
	}
	return 0
}

// Reserve takes n bytes of memory until the request ends. It returns false if there are none left. A nil Conn has no
// limit.
func (c *Conn) Reserve(n int64, kind Kind) bool {
	if c == nil || n <= 0 {
		return true
	}
	victims, ok := c.budget.reserve(c, n, kind, time.Now())
	for _, v := range victims {
		_ = v.Conn.Close()
	}
	return ok
}

// AwaitBody states whether the request waits for the client to send its body. A connection that waits may be closed
// in favour of others.
func (c *Conn) AwaitBody(waits bool) {
	if c == nil {
		return
	}
	since := int64(0)
	if waits {
		since = now()
	}
	set(&c.waitingSince, since)
}

// CountRefusal counts a request that was refused because another limit of the process was reached.
func (c *Conn) CountRefusal(kind Kind) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.refused[kind]++
}

// ConnState tracks the requests of connections. It has the signature of http.Server.ConnState.
func ConnState(conn net.Conn, state http.ConnState) {
	if c := find(conn); c != nil && state == http.StateIdle {
		c.endRequest()
	}
}

func (c *Conn) endRequest() {
	c.budget.release(c)
	set(&c.waitingSince, now())
	c.inHeader.Store(true)
	// The last read may contain the next header, or a part of it. If there is no memory, the next read or the start of
	// the handler finds that out again.
	c.headerCost, c.charged, c.begun = c.carriedOver(), 0, false
	c.afterHeader, c.bodyLength = -1, -1
	c.chargeHeader()
}

// carriedOver returns the cost of what was read behind the request that has ended. If the place of its end is unknown,
// that may be all of the last read.
func (c *Conn) carriedOver() int64 {
	if c.afterHeader < 0 || c.bodyLength < 0 {
		return c.lastCost
	}
	return min(c.lastCost, max(c.afterHeader-c.bodyLength, 0)*(1+fieldBytes))
}

// locate counts the bytes behind the header. Reads of one byte may happen after the header of a request whose end is
// unknown, so they do not determine it.
func (c *Conn) locate(p []byte, n int) {
	behind, found := c.end.find(p[:n])
	switch {
	case c.afterHeader >= 0:
		c.afterHeader += int64(n)
	case found && len(p) > 1 && c.inHeader.Load():
		c.afterHeader = int64(behind)
	}
}

// endHandler is called when the handler has returned. What is left to do then is to write the rest of the response, and to
// read the rest of the body, which the client may not send.
func (c *Conn) endHandler() { set(&c.waitingSince, now()+int64(responseTime)) }

// beginRequest ends the header. It returns false if there is no memory for it, or if the connection is claimed, which it
// closes then.
func (c *Conn) beginRequest(r *http.Request) bool {
	c.inHeader.Store(false)
	if !set(&c.waitingSince, 0) || c.writingSince.Load() == claimed {
		_ = c.Conn.Close()
		return false
	}
	c.bodyLength = r.ContentLength
	if c.headerCost > headerAllowance {
		// What was read with the header may be a part of the body.
		c.headerCost = min(c.headerCost, parsedCost(r))
		if excess := c.charged - max(c.headerCost-headerAllowance, 0); excess > 0 {
			c.budget.releasePart(c, excess)
			c.charged -= excess
		}
	}
	return c.chargeHeader()
}

type contextKey struct{}

// Context returns the context for the requests of a connection. It has the signature of http.Server.ConnContext.
func Context(ctx context.Context, conn net.Conn) context.Context {
	if c := find(conn); c != nil {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// find returns the Conn that a connection is or wraps, or nil.
func find(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
}
