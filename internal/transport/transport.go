package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/tarragonmux/tarragonmux/internal/logging"
)

const (
	// MaxMessageBytes bounds one message in either direction. A configuration of 5,200
	// routes and 60,000 teams takes about 5 MB.
	MaxMessageBytes = 32 << 20
	// DialTimeout bounds the opening of a connection.
	DialTimeout = 500 * time.Millisecond
	// idleConnections is how many idle connections are kept per peer.
	idleConnections = 64
	// idleExpiration is how long an idle connection is kept.
	idleExpiration = time.Minute
	// invokeTimeout bounds how long an accepted connection may take to send a whole call.
	invokeTimeout = 10 * time.Second
	// unacknowledgedLimit is above a few retransmissions on a link that loses packets.
	unacknowledgedLimit = 1500 * time.Millisecond
	// minSuspectInterval is how long a new connection to a peer is not suspected again.
	minSuspectInterval = 200 * time.Millisecond
	// softCancelGrace lets a cancelled call keep its connection when its send is nearly done.
	softCancelGrace = 2 * time.Millisecond
)

// Dialer opens connections to peers. Tests and benchmarks replace it to add latency and cuts.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns the dialer of the operating system.
func NewDialer() Dialer {
	return NewDialerWithTimeouts(DialTimeout, unacknowledgedLimit)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// Pool opens and reuses connections to peers. It is safe for concurrent use.
type Pool struct {
	dialer Dialer
	pool   *drpcpool.Pool[poolKey, *drpcconn.Conn]

	mu sync.Mutex
	// suspicions counts how often the connections to an address were given up.
	suspicions map[string]suspicion
}

// poolKey separates the connections to an address from those that were given up.
type poolKey struct {
	address    string
	generation uint64
}

type suspicion struct {
	generation uint64
	at         time.Time
}

// NewPool returns a pool that dials with d.
func NewPool(d Dialer) *Pool {
	return &Pool{
		dialer:    d,
		suspicions: map[string]suspicion{},
		pool: drpcpool.New[poolKey, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: idleConnections,
		}),
	}
}

// Conn returns a connection to the peer for any number of calls, also at once. It dials on the
// first call; errors of dialing come back from the calls.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	p.mu.Lock()
	key := poolKey{address, p.suspicions[address].generation}
	p.mu.Unlock()
	return &watchedConn{Conn: p.pool.Get(ctx, key, p.dial), pool: p, address: address}
}

// Suspect gives up the open connections to the peer: a connection can go silent for good without a
// reset while new ones work. Calls under way go on.
func (p *Pool) Suspect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspicions[address]
	if now := time.Now(); now.Sub(s.at) >= minSuspectInterval {
		p.suspicions[address] = suspicion{generation: s.generation + 1, at: now}
	}
}

// watchedConn suspects the connection when a call is not answered in time.
type watchedConn struct {
	drpc.Conn
	pool    *Pool
	address string
}

// Invoke implements drpc.Conn.
func (c *watchedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.Suspect(c.address)
	}
	return err
}

func (p *Pool) dial(ctx context.Context, key poolKey) (*drpcconn.Conn, error) {
	address := key.address
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s; check that the process runs and that the address is right", address)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	return errors.WithStack(p.pool.Close())
}

// Mux collects the services of a process. Registration must end before Serve.
type Mux struct {
	mux *drpcmux.Mux
}

// NewMux returns a mux without services.
func NewMux() *Mux {
	return &Mux{mux: drpcmux.New()}
}

// Register adds a service.
func (m *Mux) Register(service any, description drpc.Description) error {
	return errors.WithStack(m.mux.Register(service, description))
}

// Serve answers calls on the listener until the context ends.
func Serve(ctx context.Context, l net.Listener, m *Mux, logger *log.Logger) error {
	options := managerOptions()
	options.InactivityTimeout = invokeTimeout
	server := drpcserver.NewWithOptions(m.mux, drpcserver.Options{
		Manager: options,
		Log: func(err error) {
			logger.Debug("closed a connection", "err", logging.Err(err))
		},
	})
	err := server.Serve(ctx, l)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve the fleet listener")
}
