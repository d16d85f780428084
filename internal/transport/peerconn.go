package transport

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// suspectSilence is how long a peer must have sent nothing before Suspect applies to all its connections.
const suspectSilence = 200 * time.Millisecond

// trailingDataTime is how long after the start of a call the end of the former response on its connection may still
// arrive: a call returns before the last frame of its response has been read.
const trailingDataTime = 50 * time.Millisecond

// clockStart is the origin of clock.
var clockStart = time.Now()

// clock returns the monotonic time in nanoseconds, always above 0.
func clock() int64 { return time.Since(clockStart).Nanoseconds() + 1 }

// peer is what all connections to an address have in common. Times are those of clock; 0 means never.
type peer struct {
	// lastRead is when data last arrived on any connection.
	lastRead atomic.Int64
	// doubtedAt is when the connections were last suspected to deliver nothing any more.
	doubtedAt atomic.Int64
}

// peerConn is a connection of a Pool. If a call gets no response in time, it is reused only after data has arrived on
// it: a busy peer responds late, and a connection that delivers nothing any more never does. Opening new ones in place of
// connections that work would cost a busy peer more than the calls do.
type peerConn struct {
	*drpcconn.Conn
	peer *peer
	// openedAt, lastRead, doubtedAt and streamAt are times of clock: when the connection was opened, when data last
	// arrived, when a call last got no response in time, and when the last stream was opened.
	openedAt                      int64
	lastRead, doubtedAt, streamAt atomic.Int64
	// responded is set if the last call got its response, so that only the end of that may still arrive late.
	responded atomic.Bool
}

// neverUnblocked is returned by connections that must not be reused.
var neverUnblocked = make(chan struct{})

func newPeerConn(conn net.Conn, p *peer) *peerConn {
	c := &peerConn{peer: p, openedAt: clock()}
	c.Conn = drpcconn.NewWithOptions(&readRecorder{Conn: conn, owner: c}, drpcconn.Options{Manager: managerOptions()})
	return c
}

// readRecorder records when data arrives on a connection.
type readRecorder struct {
	net.Conn
	owner *peerConn
}

// Read implements io.Reader.
func (r *readRecorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n > 0 {
		now := clock()
		r.owner.lastRead.Store(now)
		r.owner.peer.lastRead.Store(now)
	}
	return n, err
}

// Invoke implements drpc.Conn.
func (c *peerConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	started := clock()
	aliveAfter := started
	if c.responded.Load() {
		aliveAfter += trailingDataTime.Nanoseconds()
	}
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	c.responded.Store(err == nil)
	if err == nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	if c.lastRead.Load() < aliveAfter {
		c.doubtedAt.Store(clock())
	}
	if c.peer.lastRead.Load() < started {
		c.peer.doubtedAt.Store(clock())
	}
	return err
}

// NewStream implements drpc.Conn.
func (c *peerConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	c.streamAt.Store(clock())
	return c.Conn.NewStream(ctx, rpc, enc)
}

// Unblocked implements drpcpool.Conn.
func (c *peerConn) Unblocked() <-chan struct{} {
	heard := max(c.lastRead.Load(), c.openedAt)
	if max(c.doubtedAt.Load(), c.peer.doubtedAt.Load()) > heard || c.streamAt.Load() > c.lastRead.Load() {
		return neverUnblocked
	}
	return c.Conn.Unblocked()
}
