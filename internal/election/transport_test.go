package election_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

type fixedFleet struct{ fleet *hostset.Fleet }

func (f fixedFleet) Fleet() *hostset.Fleet { return f.fleet }

type voteServer struct {
	fleetpb.DRPCFleetUnimplementedServer
	runner *election.Runner
}

func (s *voteServer) Vote(ctx context.Context, r *fleetpb.VoteRequest) (*fleetpb.VoteReply, error) {
	return s.runner.Vote(ctx, r)
}

// Guards against votes that do not pass the real transport: seven nodes on loopback elect one dispatcher,
// all learn it, and they elect another one when it resigns.
func TestElectionOverTransport(t *testing.T) {
	g := NewWithT(t)
	const nodes = 7
	var listeners []net.Listener
	fleet := &hostset.Fleet{HostsRevision: 1, Services: []hostset.Service{{Name: "booking"}}}
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		fleet.Hosts = append(fleet.Hosts, hostset.Host{
			ID: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), FleetAddress: l.Addr().String(),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2*nodes)
	runners := map[string]*election.Runner{}
	for i, l := range listeners {
		r := election.NewRunner(election.Options{
			ID: fleet.Hosts[i].ID, Incarnation: 1, Source: fixedFleet{fleet},
			PeerClient: election.NewPeerClient(transport.NewPool(transport.NewDialer())), Logger: logging.Discard(),
		})
		runners[fleet.Hosts[i].ID] = r
		mux := transport.NewMux()
		g.Expect(mux.Register(&voteServer{runner: r}, fleetpb.DRPCFleetDescription{})).To(Succeed())
		go func() { done <- transport.Serve(ctx, l, mux, logging.Discard()) }()
		go func() { done <- r.Run(ctx) }()
	}
	defer func() {
		cancel()
		for range 2 * nodes {
			<-done
		}
	}()
	agreedDispatcher := func() string {
		holder := ""
		for _, r := range runners {
			h, ok := r.Dispatcher("booking")
			if !ok || holder != "" && h.Node != holder {
				return ""
			}
			holder = h.Node
		}
		return holder
	}
	g.Eventually(agreedDispatcher, 3*time.Second, 10*time.Millisecond).ShouldNot(BeEmpty())
	first := agreedDispatcher()
	_, held := runners[first].Held("booking")
	g.Expect(held).To(BeTrue())
	runners[first].Resign(ctx)
	g.Eventually(agreedDispatcher, 2*time.Second, 10*time.Millisecond).ShouldNot(Or(BeEmpty(), Equal(first)))
}
