package dispatchrpc_test

import (
	"testing"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// BenchmarkGrant measures one grant and its completion, on the dispatcher's own node and over a stream on
// loopback.
func BenchmarkGrant(b *testing.B) {
	f := newFleet(&testing.T{}, 2, 4, 6)
	defer func() {
		for _, n := range f.nodes {
			n.stop()
		}
	}()
	f.elect(f.nodes[0])
	f.waitReady()
	for i, name := range []string{"local", "remote"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h, err := f.nodes[i].request(time.Second)
				if err != nil {
					b.Fatal(err)
				}
				h.Complete(grant.Completion{Result: grant.OK, Total: time.Millisecond})
			}
		})
	}
}
