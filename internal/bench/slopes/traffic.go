package slopes

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/tarragonmux/tarragonmux/internal/bench/localfleet"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

const (
	// segmentHeader is what IP and TCP add to a segment, in bytes.
	segmentHeader = 52
	// callPrefix begins the name of every call between processes, as it stands on the wire.
	callPrefix = "/tarragonmux."
)

// tally is what passed over connections since the start.
type tally struct {
	bytes    float64
	segments float64
	calls    float64
}

func (t *tally) add(o tally) {
	t.bytes += o.bytes
	t.segments += o.segments
	t.calls += o.calls
}

func (t tally) minus(o tally) tally {
	return tally{bytes: t.bytes - o.bytes, segments: t.segments - o.segments, calls: t.calls - o.calls}
}

// withHeaders is the bytes with those of the headers.
func (t tally) withHeaders() float64 {
	return t.bytes + segmentHeader*t.segments
}

// traffic counts what hosts exchange with each other, by call and by host. Each read and each write
// at the end that dialed counts as one segment, and each call as one more, which acknowledges its
// reply. Other acknowledgements travel with data.
type traffic struct {
	mu    sync.Mutex
	calls map[string]tally
	hosts map[string]tally
}

func newTraffic() *traffic {
	return &traffic{calls: map[string]tally{}, hosts: map[string]tally{}}
}

func (t *traffic) count(c *countingConn, n int, call bool) {
	add := tally{bytes: float64(n), segments: 1}
	if call {
		add.segments++
		add.calls++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sum := range []struct {
		of  map[string]tally
		key string
	}{{t.calls, c.call}, {t.hosts, c.from}, {t.hosts, c.to}} {
		total := sum.of[sum.key]
		total.add(add)
		sum.of[sum.key] = total
	}
}

// snapshot returns copies of the sums.
func (t *traffic) snapshot() *traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &traffic{calls: maps.Clone(t.calls), hosts: maps.Clone(t.hosts)}
}

// countingDialer counts the connections that the host with the id from opens.
type countingDialer struct {
	next    transport.Dialer
	traffic *traffic
	from    string
}

// DialContext opens a counted connection.
func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.next.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: d.traffic, from: d.from, to: address}, nil
}

// countingConn knows which call it carries: connections carry one at a time.
type countingConn struct {
	net.Conn
	traffic  *traffic
	from, to string

	mu   sync.Mutex
	call string
}

// Read counts what arrives.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.traffic.count(c, n, false)
		c.mu.Unlock()
	}
	return n, err
}

// Write counts what leaves.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	name := callName(p)
	if name != "" {
		c.call = name
	}
	c.traffic.count(c, len(p), name != "" && !strings.HasSuffix(name, "/Stream"))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// callName returns the name of the call that a message begins, or nothing.
func callName(p []byte) string {
	begin := bytes.Index(p, []byte(callPrefix))
	if begin < 0 {
		return ""
	}
	rest := p[begin+len(callPrefix):]
	end := bytes.IndexFunc(rest, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && r != '.' && r != '/'
	})
	if end < 0 {
		return string(rest)
	}
	return string(rest[:end])
}

// byCall lists the traffic of a node by call, the largest first. Each byte belongs to two hosts.
func byCall(before, after *traffic, seconds float64, nodes int) string {
	type line struct {
		name string
		tally
	}
	var lines []line
	for name, sum := range after.calls {
		lines = append(lines, line{name, sum.minus(before.calls[name])})
	}
	slices.SortFunc(lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(b.withHeaders(), a.withHeaders()), cmp.Compare(a.name, b.name))
	})
	var text strings.Builder
	share := 2 / seconds / float64(nodes)
	for _, l := range lines {
		fmt.Fprintf(&text, "\n  %-22s %6.2f KB/s with headers, %6.2f KB/s without, %6.1f segments/s, %5.1f calls/s",
			l.name, l.withHeaders()*share/kilobyte, l.bytes*share/kilobyte, l.segments*share, l.calls*share)
	}
	return text.String()
}

// of returns what a host sent and received. It is known by its id where it dials and by its
// address where it is dialed.
func (t *traffic) of(h *localfleet.Host) tally {
	sum := t.hosts[h.ID]
	sum.add(t.hosts[h.Settings.Fleet.Address])
	return sum
}
