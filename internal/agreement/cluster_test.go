package agreement_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/agreement/agreementtest"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// cluster runs replicas on an in-memory network and in-memory disks, inside a synctest bubble.
type cluster struct {
	t       *testing.T
	g       *WithT
	network *agreementtest.Network
	members []agreement.Member
	disks   map[string]*storage.MemFS
	running map[string]*replicaProcess
	retain  func(string, []byte, bool) bool
	segment int64
	// joins holds the replicas that must not form the first group again.
	joins map[string]bool
	// fs returns the file system of the next process of a replica; nil means its disk.
	fs func(id string) storage.FS
}

type replicaProcess struct {
	replica *agreement.Replica
	cancel  context.CancelFunc
	done    chan error
}

func newCluster(t *testing.T, seed uint64, ids ...string) *cluster {
	c := &cluster{
		t: t, g: NewWithT(t), network: agreementtest.NewNetwork(seed),
		disks: map[string]*storage.MemFS{}, running: map[string]*replicaProcess{},
	}
	unsubscribe := invariant.Subscribe(func(v invariant.Violation) { t.Errorf("invariant %s: %s", v.Name, v.Detail) })
	t.Cleanup(unsubscribe)
	for _, id := range ids {
		c.members = append(c.members, agreement.Member{ID: id, Address: id})
	}
	for _, id := range ids {
		c.start(id)
	}
	return c
}

// disk returns the disk of a replica, which is initially empty.
func (c *cluster) disk(id string) *storage.MemFS {
	if c.disks[id] == nil {
		c.disks[id] = storage.NewMemFS()
	}
	return c.disks[id]
}

func (c *cluster) start(id string) *agreement.Replica {
	fs := storage.FS(c.disk(id))
	if c.fs != nil {
		fs = c.fs(id)
	}
	r, err := agreement.NewReplica(agreement.ReplicaConfig{
		ID: id, Address: id, FS: fs, Folder: "data", FirstGroup: c.members, Join: c.joins[id],
		Client: c.network.Client(id), SegmentBytes: c.segment, Retain: c.retain,
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	p := &replicaProcess{replica: r, cancel: cancel, done: make(chan error, 1)}
	c.running[id] = p
	c.network.Attach(id, r)
	go func() { p.done <- r.Run(ctx) }()
	return r
}

// crash stops the process without syncing pending writes.
func (c *cluster) crash(id string) {
	p := c.running[id]
	if p == nil {
		return
	}
	delete(c.running, id)
	c.network.Detach(id)
	c.disks[id].Crash(nil)
	p.cancel()
	<-p.done
}

// loseDisk crashes the process and replaces its disk by an empty one.
func (c *cluster) loseDisk(id string) {
	c.crash(id)
	c.disks[id] = storage.NewMemFS()
}

func (c *cluster) stop() {
	for id := range c.running {
		c.crash(id)
	}
	// Calls that wait for an unresponsive process end with their timeouts.
	time.Sleep(2 * time.Minute)
	synctest.Wait()
}

// waitUntilVoting waits in virtual time until all given replicas vote.
func (c *cluster) waitUntilVoting(ids ...string) {
	c.t.Helper()
	for range 100 {
		synctest.Wait()
		all := true
		for _, id := range ids {
			all = all && c.running[id].replica.Status().State == agreement.Voting
		}
		if all {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, p := range c.running {
		s := p.replica.Status()
		c.t.Logf("%s: %s epoch %d: %s", s.ID, s.State, s.Epoch, s.Reason)
	}
	c.t.Fatalf("replicas %v do not vote", ids)
}

func (c *cluster) proposer(id string) agreement.Proposer {
	return agreement.NewProposer(agreement.ProposerConfig{ID: id, FirstGroup: c.members, Client: c.network.Client(id)})
}

func (c *cluster) swap(via, remove, add string) *agreementpb.SwapReply {
	out, err := c.running[via].replica.Swap(context.Background(), &agreementpb.SwapRequest{
		RemoveId: remove, Add: &agreementpb.Member{Id: add, Address: add},
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	return out
}

func (c *cluster) remove(via, id string) *agreementpb.SwapReply {
	out, err := c.running[via].replica.Swap(context.Background(), &agreementpb.SwapRequest{RemoveId: id})
	c.g.Expect(err).NotTo(HaveOccurred())
	return out
}

// Guards against a first group that does not form, and against a second value for a decided register.
func TestFormationAndFirstDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.stop()
		c.waitUntilVoting("a", "b", "c")
		p, q := c.proposer("p"), c.proposer("q")
		for i, propose := range []func(context.Context, string, uint64, []byte) ([]byte, error){p.Propose, p.ProposeFast} {
			index := uint64(i + 1)
			value, err := propose(t.Context(), "config", index, []byte("mine"))
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(string(value)).To(Equal("mine"))
			value, err = q.ProposeFast(t.Context(), "config", index, []byte("other"))
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(string(value)).To(Equal("mine"))
		}
		chain, err := q.Read(t.Context(), "config", 1)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(chain.Decided).To(HaveLen(2))
		c.g.Expect(chain.Undecided).To(BeFalse())
	})
}
