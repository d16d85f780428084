package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/tarragonmux/tarragonmux/internal/logging"
)

const (
	// MaxMessageBytes limits the size of one message in either direction. A configuration of 5,200
	// routes and 60,000 teams takes about 5 MB.
	MaxMessageBytes = 32 << 20
	// DialTimeout limits the time to open a connection.
	DialTimeout = 500 * time.Millisecond
	// idleConnections is the largest number of idle connections kept per peer.
	idleConnections = 64
	// idleExpiration is how long an idle connection is kept. A control host of a few hundred entry hosts has some
	// thousand descriptors; while dispatchers change, each entry host opens several connections.
	idleExpiration = 5 * time.Second
	// invokeTimeout limits how long an accepted connection may take to send a complete call.
	invokeTimeout = 10 * time.Second
	// unacknowledgedLimit is how long sent data may stay unacknowledged before its connection fails. It
	// allows for a few retransmissions on a link that loses packets.
	unacknowledgedLimit = 1500 * time.Millisecond
	// softCancelGrace is how long a cancelled call waits for its send in progress, so that the connection
	// can be reused.
	softCancelGrace = 2 * time.Millisecond
)

// Dialer opens connections to peers. Tests and benchmarks replace it to add latency and network partitions.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns a dialer of TCP connections with the time-outs for peers.
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
	pool   *drpcpool.Pool[string, *peerConn]

	mu sync.Mutex
	// peers holds the state of each peer by its address.
	peers map[string]*peer
}

// NewPool returns an empty pool that dials with d.
func NewPool(d Dialer) *Pool {
	return &Pool{
		dialer: d,
		peers:  map[string]*peer{},
		pool: drpcpool.New[string, *peerConn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: idleConnections,
		}),
	}
}

// Conn returns a connection to the peer for any number of calls, also concurrent ones. It dials on the
// first call; a call returns the error of a failed dial.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, p.dial)
}

// Suspect stops reusing the open connections to the peer until data arrives on them, since a connection can stop
// delivering data for good without a reset while new ones work. Calls in progress continue on their connections. It has
// no effect if data from the peer has just arrived.
func (p *Pool) Suspect(address string) {
	peer := p.peer(address)
	if now := clock(); now-peer.lastRead.Load() >= suspectSilence.Nanoseconds() {
		peer.doubtedAt.Store(now)
	}
}

func (p *Pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.peers[address]
	if found == nil {
		found = &peer{}
		p.peers[address] = found
	}
	return found
}

func (p *Pool) dial(ctx context.Context, address string) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s; check that the process runs and that the address is right", address)
	}
	return newPeerConn(conn, p.peer(address)), nil
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	return errors.WithStack(p.pool.Close())
}

// Mux collects the services of a process. Registration must end before Serve.
type Mux struct {
	mux *drpcmux.Mux
}

// NewMux returns a Mux without services.
func NewMux() *Mux {
	return &Mux{mux: drpcmux.New()}
}

// Register adds a service.
func (m *Mux) Register(service any, description drpc.Description) error {
	return errors.WithStack(m.mux.Register(service, description))
}

// Serve handles calls on the listener until the context ends.
func Serve(ctx context.Context, l net.Listener, m *Mux, logger *log.Logger) error {
	options := managerOptions()
	options.InactivityTimeout = invokeTimeout
	server := drpcserver.NewWithOptions(containedHandler{m.mux, logger}, drpcserver.Options{
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
