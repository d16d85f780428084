// Package netem emulates latency, one-way partitions and frozen hosts on loopback connections, for
// experiments with real processes. It works at the dialer, the one interface through which every component
// opens connections, and emulates nothing else.
//
// A cut delays the bytes of one direction instead of dropping them, since TCP would retransmit them after the
// cut ends. A frozen host neither sends nor receives.
package netem

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/transport"
)

const (
	chunkBytes = 16 << 10
	// maxQueuedChunks bounds the data in flight in one direction of a connection.
	maxQueuedChunks = 64
	// holdPollInterval is the interval at which a blocked direction checks whether its cut or freeze has ended.
	holdPollInterval = time.Millisecond
)

// Location is the host and the data centre of an address.
type Location struct {
	Host       string
	DataCentre string
}

// Delay returns the one-way latency between two data centres.
type Delay func(from, to string) time.Duration

// InterDataCentreDelay returns a Delay of oneWay between any two data centres and of 0 within one.
func InterDataCentreDelay(oneWay time.Duration) Delay {
	return func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return oneWay
	}
}

// Network holds the locations of addresses and the faults in force. It is safe for concurrent use.
type Network struct {
	dialer transport.Dialer
	delay  Delay

	mu        sync.RWMutex
	locations map[string]Location
	// cuts holds the directions between hosts that are blocked.
	cuts map[direction]bool
	// frozen holds the hosts that neither send nor receive.
	frozen map[string]bool
}

type direction struct {
	from, to string
}

// New returns a network without faults.
func New(delay Delay) *Network {
	return &Network{
		dialer:    transport.NewDialer(),
		delay:     delay,
		locations: map[string]Location{},
		cuts:      map[direction]bool{},
		frozen:    map[string]bool{},
	}
}

// SetLocation sets the location of an address (ip:port). An address without one has the zero Location.
func (n *Network) SetLocation(address string, location Location) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = location
}

// Cut blocks the direction between two hosts.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = true
}

// Heal ends the cut of the direction between two hosts.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, direction{from, to})
}

// Freeze blocks everything that a host sends and receives, or unblocks it if frozen is false.
func (n *Network) Freeze(host string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if frozen {
		n.frozen[host] = true
		return
	}
	delete(n.frozen, host)
}

// HealAll ends all cuts and freezes.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	clear(n.frozen)
}

func (n *Network) isHeld(from, to string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.frozen[from] || n.frozen[to] || n.cuts[direction{from, to}]
}

func (n *Network) locate(address string) Location {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.locations[address]
}

// Dialer returns a dialer for connections from the location.
func (n *Network) Dialer(from Location) transport.Dialer {
	return &dialer{network: n, from: from}
}

type dialer struct {
	network *Network
	from    Location
}

// DialContext opens a connection after one round trip of latency. While either direction is blocked it waits
// until the block or the context ends.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to := d.network.locate(address)
	delay := d.network.delay(d.from.DataCentre, to.DataCentre)
	if err := d.network.waitUntilOpen(ctx, d.from, to, 2*delay); err != nil {
		return nil, err
	}
	conn, err := d.network.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return d.network.wrap(conn, d.from, to, delay), nil
}

func (n *Network) waitUntilOpen(ctx context.Context, from, to Location, latency time.Duration) error {
	timer := time.NewTimer(latency)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "dial through the emulated network")
		case <-timer.C:
		}
		if !n.isHeld(from.Host, to.Host) && !n.isHeld(to.Host, from.Host) {
			return nil
		}
		timer.Reset(holdPollInterval)
	}
}

// pipedConn is the local end of an emulated connection. It has the addresses of the real connection.
type pipedConn struct {
	net.Conn
	real net.Conn
}

func (c *pipedConn) LocalAddr() net.Addr  { return c.real.LocalAddr() }
func (c *pipedConn) RemoteAddr() net.Addr { return c.real.RemoteAddr() }

func (n *Network) wrap(conn net.Conn, from, to Location, delay time.Duration) net.Conn {
	near, far := net.Pipe()
	var once sync.Once
	closeBoth := func() {
		once.Do(func() {
			_ = far.Close()
			_ = conn.Close()
		})
	}
	go n.forward(conn, far, from.Host, to.Host, delay, closeBoth)
	go n.forward(far, conn, to.Host, from.Host, delay, closeBoth)
	return &pipedConn{Conn: near, real: conn}
}

// chunk is a piece of data in flight. The last chunk of a direction is empty.
type chunk struct {
	due  time.Time
	data []byte
}

// forward copies one direction of a connection until either end closes.
func (n *Network) forward(dst io.Writer, src io.Reader, from, to string, delay time.Duration, done func()) {
	queue := make(chan chunk, maxQueuedChunks)
	go readChunks(src, queue, delay)
	defer done()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		for n.isHeld(from, to) {
			time.Sleep(holdPollInterval)
		}
		if len(c.data) == 0 {
			break
		}
		if _, err := dst.Write(c.data); err != nil {
			break
		}
	}
	done()
	// The reader may be blocked on a full queue. Closing both ends and draining the queue lets it finish.
	for range queue {
		continue
	}
}

func readChunks(src io.Reader, queue chan<- chunk, delay time.Duration) {
	defer close(queue)
	buffer := make([]byte, chunkBytes)
	for {
		count, err := src.Read(buffer)
		if count > 0 {
			queue <- chunk{due: time.Now().Add(delay), data: append([]byte(nil), buffer[:count]...)}
		}
		if err != nil {
			queue <- chunk{due: time.Now().Add(delay)}
			return
		}
	}
}
