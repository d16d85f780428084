package transport_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// panickingFeed panics at requests for revision 0.
type panickingFeed struct{ feed }

func (f panickingFeed) Fetch(ctx context.Context, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	if r.Revision == 0 {
		panic("malformed request")
	}
	return f.feed.Fetch(ctx, r)
}

// A handler that panics must end its call only. Without the containment the whole process ends.
func TestPanicEndsOneCall(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	mux := transport.NewMux()
	g.Expect(mux.Register(panickingFeed{}, configpb.DRPCFeedDescription{})).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- transport.Serve(ctx, l, mux, logging.Discard()) }()
	defer func() {
		cancel()
		<-done
	}()
	pool := transport.NewPool(transport.NewDialer())
	defer func() { _ = pool.Close() }()
	fetch := func(revision uint64) error {
		_, err := configpb.NewDRPCFeedClient(pool.Conn(ctx, l.Addr().String())).Fetch(ctx, &configpb.FetchRequest{Revision: revision})
		return err
	}
	before := invariant.Total()
	g.Expect(fetch(0)).To(MatchError(ContainSubstring("a call panicked")))
	g.Expect(fetch(1)).To(Succeed())
	g.Expect(invariant.Total()).To(Equal(before+1), "the panic is counted")
}
