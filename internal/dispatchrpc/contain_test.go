package dispatchrpc

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// A message that makes the dispatcher panic must end the stream of its node only.
func TestMessageThatPanicsEndsOneStream(t *testing.T) {
	g := NewWithT(t)
	d := newSoleDispatcher(4)
	s := NewServer(ServerConfig{Node: "self", Settings: d, Registry: d, Elections: d, Logger: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	connect := func(name string) nodeStream {
		node := s.openLocal(ctx)
		g.Expect(node.Send(&dispatchpb.NodeBatch{Hello: &dispatchpb.Hello{Node: name, Incarnation: 1, Service: takeoverService}})).To(Succeed())
		_, err := node.Recv()
		g.Expect(err).NotTo(HaveOccurred())
		return node
	}
	faulty, other := connect("faulty"), connect("other")
	before := invariant.Total()
	g.Expect(faulty.Send(&dispatchpb.NodeBatch{Acquires: []*dispatchpb.Acquire{nil}})).To(Succeed())
	g.Eventually(func() error {
		_, err := faulty.Recv()
		return err
	}).Should(HaveOccurred())
	g.Expect(invariant.Total()).To(Equal(before + 1))
	g.Expect(other.Send(&dispatchpb.NodeBatch{Acquires: []*dispatchpb.Acquire{{Id: 1, Idempotent: true, DeadlineMs: 5000}}})).To(Succeed())
	deadline := time.Now().Add(5 * time.Second)
	for granted := false; !granted; {
		batch, err := other.Recv()
		g.Expect(err).NotTo(HaveOccurred())
		granted = len(batch.GetGrants()) == 1
		g.Expect(time.Now()).To(BeTemporally("<", deadline))
	}
}
