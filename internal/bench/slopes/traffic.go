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
	// segmentHeader is the number of bytes that IP and TCP add to a segment.
	segmentHeader = 52
	// rpcPrefix begins the name of every RPC between processes, as sent on the wire.
	rpcPrefix = "/tarragonmux."
)

// tally is the traffic over connections since the start.
type tally struct {
	bytes    float64
	segments float64
	rpcs     float64
}

func (t *tally) add(o tally) {
	t.bytes += o.bytes
	t.segments += o.segments
	t.rpcs += o.rpcs
}

func (t tally) minus(o tally) tally {
	return tally{bytes: t.bytes - o.bytes, segments: t.segments - o.segments, rpcs: t.rpcs - o.rpcs}
}

// withHeaders returns the bytes including those of the headers.
func (t tally) withHeaders() float64 {
	return t.bytes + segmentHeader*t.segments
}

// traffic counts the bytes and segments between hosts, by RPC and by host. Each read and each write
// at the end that dialed counts as one segment. Each RPC that is not a stream counts as one more, which
// acknowledges its reply; other acknowledgements are sent with data.
type traffic struct {
	mu   sync.Mutex
	sums map[trafficKey]tally
}

// trafficKey identifies the traffic of one RPC at one host. The host is given by its id if it dialed, and by
// its address if it was dialed.
type trafficKey struct {
	host, rpc string
}

func newTraffic() *traffic {
	return &traffic{sums: map[trafficKey]tally{}}
}

func (t *traffic) count(c *countingConn, n int, unary bool) {
	add := tally{bytes: float64(n), segments: 1}
	if unary {
		add.segments++
		add.rpcs++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range []string{c.from, c.to} {
		sum := t.sums[trafficKey{host, c.rpc}]
		sum.add(add)
		t.sums[trafficKey{host, c.rpc}] = sum
	}
}

// ofHost returns the traffic that a host sent and received, by RPC.
func (t *traffic) ofHost(h *localfleet.Host) map[string]tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	rpcs := map[string]tally{}
	for p, sum := range t.sums {
		if p.host == h.ID || p.host == h.Settings.Fleet.Address {
			sum.add(rpcs[p.rpc])
			rpcs[p.rpc] = sum
		}
	}
	return rpcs
}

// minus returns the traffic that was added since an earlier state.
func minus(after, before map[string]tally) map[string]tally {
	rpcs := map[string]tally{}
	for name, sum := range after {
		rpcs[name] = sum.minus(before[name])
	}
	return rpcs
}

// total returns the sum over all RPCs.
func total(rpcs map[string]tally) (sum tally) {
	for _, t := range rpcs {
		sum.add(t)
	}
	return sum
}

// countingDialer counts the traffic on the connections that the host with the id from opens.
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

// countingConn counts its traffic under the RPC that it carries; a connection carries one RPC at a time.
type countingConn struct {
	net.Conn
	traffic  *traffic
	from, to string

	mu  sync.Mutex
	rpc string
}

// Read counts the bytes that arrive.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.traffic.count(c, n, false)
		c.mu.Unlock()
	}
	return n, err
}

// Write counts the bytes that are sent, and records the RPC that they begin.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	name := rpcName(p)
	if name != "" {
		c.rpc = name
	}
	c.traffic.count(c, len(p), name != "" && !strings.HasSuffix(name, "/Stream"))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// rpcName returns the name of the RPC that a message begins, or "" if it begins none.
func rpcName(p []byte) string {
	begin := bytes.Index(p, []byte(rpcPrefix))
	if begin < 0 {
		return ""
	}
	rest := p[begin+len(rpcPrefix):]
	end := bytes.IndexFunc(rest, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && r != '.' && r != '/'
	})
	if end < 0 {
		return string(rest)
	}
	return string(rest[:end])
}

// formatByRPC lists the traffic by RPC, the largest first.
func formatByRPC(rpcs map[string]tally, seconds float64) string {
	names := slices.SortedFunc(maps.Keys(rpcs), func(a, b string) int {
		return cmp.Or(cmp.Compare(rpcs[b].withHeaders(), rpcs[a].withHeaders()), cmp.Compare(a, b))
	})
	var text strings.Builder
	for _, name := range names {
		t := rpcs[name]
		fmt.Fprintf(&text, "\n  %-28s %6.2f KB/s with headers, %6.2f KB/s without, %6.1f segments/s, %5.1f calls/s",
			name, t.withHeaders()/seconds/kilobyte, t.bytes/seconds/kilobyte, t.segments/seconds, t.rpcs/seconds)
	}
	return text.String()
}
