package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// BenchmarkExchange measures one exchange between two nodes that know the same servers and entry hosts, with
// encoded messages, at both ends together.
func BenchmarkExchange(b *testing.B) {
	for _, servers := range []int{36, 330, 1321} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			now := time.Unix(1000, 0)
			state := func(id string) *State {
				s := NewState(now, Identity{ID: id, Incarnation: 1, FleetAddress: "10.0.0.1:1"}, rand.New(rand.NewPCG(1, 1)))
				for i := range servers {
					a := backend.Server{
						Service: "cuefeed", Instance: fmt.Sprintf("i-%08x", i*2654435761), Incarnation: 1700000000000, Slots: 6,
						Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), DataCentre: "a", State: backend.Ready,
					}
					if err := s.Announce(now, a); err != nil {
						b.Fatal(err)
					}
				}
				return s
			}
			a, c := state("a"), state("c")
			transfer := func(from, to proto.Message) {
				data, err := proto.Marshal(from)
				if err == nil {
					err = proto.Unmarshal(data, to)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				request, reply := &fleetpb.GossipRequest{}, &fleetpb.GossipReply{}
				transfer(a.Request(now, "c"), request)
				answer, _, err := c.HandleRequest(now, request)
				if err != nil {
					b.Fatal(err)
				}
				transfer(answer, reply)
				if _, err := a.HandleReply(now, now, reply); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
