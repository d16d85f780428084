package inbound

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// reclaimAfter is how long a connection must have waited for its client before a reservation of memory closes it. An
// ordinary client on a slow link sends a body of 64 KB within that time.
const reclaimAfter = time.Second

// Kind is what a reservation is for. It is a label of the metrics.
type Kind int

// The budgets.
const (
	Connections Kind = iota
	Headers
	Bodies
	Streams
	kinds
)

// String returns the label of the kind.
func (k Kind) String() string {
	return [...]string{"connections", "headers", "bodies", "streams"}[k]
}

// Budget is what the clients of a process may hold. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu        sync.Mutex
	addresses map[netip.Addr]*holder
	open      int
	held      int64
	refused   [kinds]uint64
	closed    [kinds]uint64
}

// holder is what the connections of one address hold.
type holder struct {
	conns map[*Conn]struct{}
	held  int64
}

// New returns a budget with the limits, whose fields must not be 0.
func New(l Limits) *Budget {
	return &Budget{limits: l, addresses: map[netip.Addr]*holder{}}
}

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// admit adds a new connection. It returns false if the connection must be closed, and a connection to close in its
// place, which may be nil.
func (b *Budget) admit(c *Conn, now time.Time) (victim *Conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.addresses[c.address]
	if own == nil {
		own = &holder{conns: map[*Conn]struct{}{}}
	}
	ownFull := len(own.conns) >= b.limits.AddressConnections
	if ownFull || b.open >= b.limits.Connections {
		victim = b.claim(now, 0, func() *Conn {
			return b.victim(own, ownFull, (*holder).connections, func(h *holder) *Conn {
				return h.longestWaiting(now, 0, func(*Conn) bool { return true })
			})
		})
		if victim == nil {
			b.refused[Connections]++
			return nil, false
		}
		b.remove(victim)
		b.closed[Connections]++
	}
	// The victim may have been the last connection of the same address.
	b.addresses[c.address] = own
	own.conns[c] = struct{}{}
	b.open++
	return victim, true
}

// claim claims the connection that is chosen, and chooses again if its wait has ended meanwhile. It returns nil if none
// is left.
func (b *Budget) claim(now time.Time, atLeast time.Duration, choose func() *Conn) *Conn {
	for {
		if c := choose(); c == nil || c.claim(now, atLeast) {
			return c
		}
	}
}

// victim returns the candidate of the heaviest holder that has one, or nil. Of equally heavy holders it prefers own. If
// onlyOwn is set, the other holders are left out.
func (b *Budget) victim(own *holder, onlyOwn bool, weight func(*holder) int64, candidate func(*holder) *Conn) *Conn {
	found := candidate(own)
	if onlyOwn {
		return found
	}
	heaviest := weight(own)
	for _, h := range b.addresses {
		if found != nil && weight(h) <= heaviest {
			continue
		}
		if c := candidate(h); c != nil {
			found, heaviest = c, weight(h)
		}
	}
	return found
}

func (h *holder) connections() int64 { return int64(len(h.conns)) }

func (h *holder) memory() int64 { return h.held }

// longestWaiting returns the candidate that has waited longest for its client, at least for the time, or nil.
func (h *holder) longestWaiting(now time.Time, atLeast time.Duration, candidate func(*Conn) bool) *Conn {
	var found *Conn
	var longest time.Duration
	for c := range h.conns {
		if waited, waiting := c.waited(now); waiting && waited >= max(atLeast, longest) && candidate(c) {
			found, longest = c, waited
		}
	}
	return found
}

// reserve takes memory for a connection. It returns false if there is none, and connections to close.
func (b *Budget) reserve(c *Conn, n int64, kind Kind, now time.Time) (victims []*Conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.addresses[c.address]
	if own == nil || c.removed {
		return nil, false
	}
	if c.held.Load()+n > b.limits.AddressMemory {
		b.refused[kind]++
		return nil, false
	}
	for {
		ownFull := own.held+n > b.limits.AddressMemory
		if !ownFull && b.held+n <= b.limits.Memory {
			c.held.Add(n)
			own.held += n
			b.held += n
			return victims, true
		}
		victim := b.claim(now, reclaimAfter, func() *Conn {
			return b.victim(own, ownFull, (*holder).memory, func(h *holder) *Conn {
				return h.longestWaiting(now, reclaimAfter, func(v *Conn) bool { return v != c && v.held.Load() > 0 })
			})
		})
		if victim == nil {
			b.refused[kind]++
			return victims, false
		}
		b.remove(victim)
		b.closed[kind]++
		victims = append(victims, victim)
	}
}

// release returns all memory of a connection.
func (b *Budget) release(c *Conn) {
	if c.held.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(c)
}

// releasePart returns n bytes of the memory of a connection.
func (b *Budget) releasePart(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.removed {
		return
	}
	c.held.Add(-n)
	b.addresses[c.address].held -= n
	b.held -= n
}

func (b *Budget) releaseLocked(c *Conn) {
	n := c.held.Swap(0)
	if h := b.addresses[c.address]; h != nil {
		h.held -= n
	}
	b.held -= n
}

// drop removes a connection that was closed.
func (b *Budget) drop(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
}

// remove must be called with b.mu held.
func (b *Budget) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	b.releaseLocked(c)
	b.open--
	h := b.addresses[c.address]
	delete(h.conns, c)
	if len(h.conns) == 0 {
		delete(b.addresses, c.address)
	}
}

// clientAddress returns the IP address of the other end, or the zero value if it has none.
func clientAddress(conn net.Conn) netip.Addr {
	remote := conn.RemoteAddr()
	if remote == nil {
		return netip.Addr{}
	}
	if tcp, ok := remote.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	address, _ := netip.ParseAddrPort(remote.String())
	return address.Addr().Unmap()
}
