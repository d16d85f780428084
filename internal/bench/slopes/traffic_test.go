package slopes

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Traffic counted under the wrong host or RPC would hide which RPC grows, and an RPC without the
// acknowledgement of its reply would understate the headers.
func TestTrafficIsCountedByHostAndCall(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer func() { g.Expect(far.Close()).To(Succeed()) }()
	traffic := newTraffic()
	c := &countingConn{Conn: near, traffic: traffic, from: "node-01", to: "127.20.0.2:7000"}
	go func() {
		buffer := make([]byte, 64)
		for _, reply := range []string{"ok", "", "yes"} {
			_, _ = far.Read(buffer)
			if reply != "" {
				_, _ = far.Write([]byte(reply))
			}
		}
	}()
	exchange := func(request string, replies bool) {
		_, err := c.Write([]byte(request))
		g.Expect(err).NotTo(HaveOccurred())
		if replies {
			_, err = c.Read(make([]byte, 64))
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	exchange("\x01/tarragonmux.fleet.Fleet/Gossip\x05rest", true)
	exchange("\x01/tarragonmux.dispatch.Dispatcher/Stream", false)
	exchange("\x05more", true)
	for _, host := range []string{"node-01", "127.20.0.2:7000"} {
		gossip := traffic.sums[trafficKey{host, "fleet.Fleet/Gossip"}]
		g.Expect(gossip).To(Equal(tally{bytes: 37 + 2, segments: 3, rpcs: 1}))
		g.Expect(gossip.withHeaders()).To(BeEquivalentTo(39 + 3*segmentHeader))
		stream := traffic.sums[trafficKey{host, "dispatch.Dispatcher/Stream"}]
		g.Expect(stream.rpcs).To(BeZero())
		g.Expect(stream.bytes).To(BeNumerically(">=", 40+5))
	}
}
