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
	mu   sync.Mutex
	sums map[part]tally
}

// part is the share that one call has in the traffic of one host. A host is known by its id where it
// dials and by its address where it is dialed.
type part struct {
	host, call string
}

func newTraffic() *traffic {
	return &traffic{sums: map[part]tally{}}
}

func (t *traffic) count(c *countingConn, n int, call bool) {
	add := tally{bytes: float64(n), segments: 1}
	if call {
		add.segments++
		add.calls++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range []string{c.from, c.to} {
		sum := t.sums[part{host, c.call}]
		sum.add(add)
		t.sums[part{host, c.call}] = sum
	}
}

// of returns what a host sent and received, by call.
func (t *traffic) of(h *localfleet.Host) map[string]tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	calls := map[string]tally{}
	for p, sum := range t.sums {
		if p.host == h.ID || p.host == h.Settings.Fleet.Address {
			sum.add(calls[p.call])
			calls[p.call] = sum
		}
	}
	return calls
}

// minus returns what was added since an earlier state.
func minus(after, before map[string]tally) map[string]tally {
	calls := map[string]tally{}
	for name, sum := range after {
		calls[name] = sum.minus(before[name])
	}
	return calls
}

// total sums up all calls.
func total(calls map[string]tally) (sum tally) {
	for _, t := range calls {
		sum.add(t)
	}
	return sum
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

// byCall lists the traffic by call, the largest first.
func byCall(calls map[string]tally, seconds float64) string {
	names := slices.SortedFunc(maps.Keys(calls), func(a, b string) int {
		return cmp.Or(cmp.Compare(calls[b].withHeaders(), calls[a].withHeaders()), cmp.Compare(a, b))
	})
	var text strings.Builder
	for _, name := range names {
		t := calls[name]
		fmt.Fprintf(&text, "\n  %-28s %6.2f KB/s with headers, %6.2f KB/s without, %6.1f segments/s, %5.1f calls/s",
			name, t.withHeaders()/seconds/kilobyte, t.bytes/seconds/kilobyte, t.segments/seconds, t.calls/seconds)
	}
	return text.String()
}
