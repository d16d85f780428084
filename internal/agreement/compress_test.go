package agreement_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"storj.io/drpc"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// formerRelease describes the replica service of a release without AcceptCompressed, the last method.
type formerRelease struct {
	agreementpb.DRPCReplicaDescription
}

func (d formerRelease) NumMethods() int { return d.DRPCReplicaDescription.NumMethods() - 1 }

// sentBytes counts the bytes that its connections send.
type sentBytes struct {
	transport.Dialer
	sent atomic.Int64
}

type sentBytesConn struct {
	net.Conn
	sent *atomic.Int64
}

func (d *sentBytes) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return sentBytesConn{c, &d.sent}, nil
}

func (c sentBytesConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// A change of a large configuration went whole to each member. It must take a small part of that, and members of former
// releases must vote for the same value.
func TestLargeValueIsCompressedOnItsWay(t *testing.T) {
	var routes strings.Builder
	for i := range 5200 {
		fmt.Fprintf(&routes, `{"name":"r-%d","spec":{"host":"%x.example","path_prefix":"/p%x/","kind":"safe","timeout":"%dms","service":"s%d"}}`, i, i*7919, i*104729, 1000+i%700, i%9)
	}
	value := []byte(routes.String())
	for name, c := range map[string]struct {
		former int
		// maxBytes allows one value for all members that read compressed ones, and one for each other.
		maxBytes int
	}{
		"members of this release":        {0, len(value)},
		"one member of a former release": {1, 2 * len(value)},
		"members of former releases":     {3, 4 * len(value)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var members []agreement.Member
			var listeners []net.Listener
			for i := range 3 {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				listeners = append(listeners, l)
				members = append(members, agreement.Member{ID: fmt.Sprint(i), Address: l.Addr().String()})
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			pool := transport.NewPool(transport.NewDialer())
			defer func() { g.Expect(pool.Close()).To(Succeed()) }()
			var replicas []*agreement.Replica
			for i, m := range members {
				r, err := agreement.NewReplica(agreement.ReplicaConfig{
					ID: m.ID, Address: m.Address, FS: storage.NewMemFS(), Folder: "data", FirstGroup: members,
					Client: agreement.NewTransportClient(pool),
				})
				g.Expect(err).NotTo(HaveOccurred())
				replicas = append(replicas, r)
				description := drpc.Description(agreementpb.DRPCReplicaDescription{})
				if i < c.former {
					description = formerRelease{}
				}
				mux := transport.NewMux()
				g.Expect(mux.Register(r, description)).To(Succeed())
				go func() { _ = transport.Serve(ctx, listeners[i], mux, logging.Discard()) }()
				go func() { _ = r.Run(ctx) }()
			}
			// A member that does not vote yet would learn the decision only by its next read.
			for _, r := range replicas {
				g.Eventually(func() agreement.State { return r.Status().State }, "10s", "20ms").Should(Equal(agreement.Voting))
			}
			dialer := &sentBytes{Dialer: transport.NewDialer()}
			own := transport.NewPool(dialer)
			defer func() { g.Expect(own.Close()).To(Succeed()) }()
			p := agreement.NewProposer(agreement.ProposerConfig{ID: "p", FirstGroup: members, Client: agreement.NewTransportClient(own)})
			g.Eventually(func() error {
				_, err := p.Propose(ctx, "config", 1, []byte("first"))
				return err
			}, "10s", "50ms").Should(Succeed())
			before := dialer.sent.Load()
			decided, err := p.Propose(ctx, "config", 2, value)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(decided).To(Equal(value))
			for _, r := range replicas {
				g.Eventually(func() bool {
					held, ok := r.DecidedValue("config", 2)
					return ok && string(held) == string(value)
				}, "5s", "20ms").Should(BeTrue())
			}
			time.Sleep(100 * time.Millisecond)
			t.Logf("sent %d bytes for a value of %d", dialer.sent.Load()-before, len(value))
			g.Expect(dialer.sent.Load() - before).To(BeNumerically("<", c.maxBytes))
		})
	}
}

// A compressed value that claims to be too large, or that is none, must be refused without the memory for it.
func TestMalformedCompressedValuesAreRefused(t *testing.T) {
	withCluster(t, func(c *cluster, p agreement.Proposer) {
		c.mustDecide(p, "config", 1, "first")
		for _, compressed := range [][]byte{nil, {0xff}, {0xff, 0xff, 0xff, 0xff, 0x0f, 0}, []byte("no compressed value")} {
			_, err := c.running["a"].replica.AcceptCompressed(t.Context(), &agreementpb.AcceptRequest{
				Key: "config/2", Ballot: &agreementpb.Ballot{Round: 1, Proposer: "q"}, CompressedValue: compressed,
			})
			c.g.Expect(err).To(HaveOccurred())
		}
		c.mustDecide(p, "config", 2, "second")
	})
}
