package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration/control"
	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/configuration/store"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/registerfake"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

var background = context.Background()

type feedServer interface {
	Fetch(context.Context, *configpb.FetchRequest) (*configpb.FetchReply, error)
}

// network connects servers by address. A key of unresponsive is an address, whose server never responds, or
// "id>address", so that only the node with that id gets no response from the server.
type network struct {
	mu           sync.Mutex
	servers      map[string]feedServer
	unresponsive map[string]bool
}

func (n *network) set(address string, s feedServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = s
}

func (n *network) setUnresponsive(unresponsive bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.unresponsive[a] = unresponsive
	}
}

func (n *network) Fetch(ctx context.Context, address string, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	n.mu.Lock()
	s, unresponsive := n.servers[address], n.unresponsive[address] || n.unresponsive[r.GetFrom().GetId()+">"+address]
	n.mu.Unlock()
	if s == nil {
		return nil, errors.New("connection refused; start the process")
	}
	time.Sleep(time.Millisecond)
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := s.Fetch(ctx, r)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return reply, err
}

var controls = []string{"c0", "c1", "c2"}

// fleet is a set of three control replicas and some nodes, run on virtual time.
type fleet struct {
	*WithT
	*network
	ctx    context.Context
	logs   []*control.Log
	stores []*store.Store
	stops  []context.CancelFunc
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:2", i+1) }

func (f *fleet) start(i int, folder string) {
	s := store.New(store.Options{ID: fmt.Sprint("h", i), Address: address(i), Control: controls, Peers: []string{address(0), address(1)}, Client: f.network, Folder: folder, Logger: logging.Discard()})
	ctx, stop := context.WithCancel(f.ctx)
	f.stores[i], f.stops[i] = s, stop
	f.set(address(i), s)
	go func() { _ = s.Run(ctx) }()
}

func inFleet(t *testing.T, nodes int, scenario func(f *fleet)) {
	violations := invariant.Total()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(background)
		// The sleep lets the goroutines end even after a failed expectation.
		defer func() {
			stop()
			time.Sleep(time.Second)
		}()
		f := &fleet{WithT: NewWithT(t), ctx: ctx, network: &network{servers: map[string]feedServer{}, unresponsive: map[string]bool{}}, stores: make([]*store.Store, nodes), stops: make([]context.CancelFunc, nodes)}
		registers := registerfake.New(1, registerfake.Faults{MaxDelay: 4 * time.Millisecond})
		for _, c := range controls {
			l := control.New(control.Options{Proposer: registers.Proposer(), Logger: logging.Discard()})
			f.logs = append(f.logs, l)
			f.set(c, l)
			go func() { _ = l.Run(ctx) }()
		}
		d := &configpb.Document{DataCentres: []*configpb.DataCentre{{Name: "a", Region: "r"}}}
		for i := range nodes {
			d.Hosts = append(d.Hosts, &configpb.Host{Id: fmt.Sprint("h", i), DataCentre: "a", Role: configpb.HostRole_HOST_ROLE_NODE, EntryAddress: fmt.Sprintf("10.0.0.%d:1", i+1), FleetAddress: address(i)})
		}
		f.change(0, &configpb.Change{Kind: &configpb.Change_ReplaceAll{ReplaceAll: &configpb.ReplaceAll{Document: d}}})
		for i := range nodes {
			f.start(i, "")
		}
		time.Sleep(time.Second)
		scenario(f)
	})
	NewWithT(t).Expect(invariant.Total()).To(Equal(violations))
}

// change applies one change at the first control replica.
func (f *fleet) change(expected uint64, c *configpb.Change) {
	reply, err := f.logs[0].Apply(f.ctx, &configpb.ApplyRequest{ExpectedRevision: expected, RequestId: uuid.NewString(), Change: c})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(reply.GetVerdict()).To(Equal(configpb.Verdict_VERDICT_ACCEPTED), "%v", reply)
}

func team(quota uint64) *configpb.Change {
	return &configpb.Change{Kind: &configpb.Change_PutTeam{PutTeam: &configpb.Team{Id: "t", InFlightQuota: uint32(quota)}}}
}

// inForce waits until the nodes have the revision in force, and returns how long that took.
func (f *fleet) inForce(revision uint64, limit time.Duration, nodes ...int) time.Duration {
	began := time.Now()
	for _, i := range nodes {
		for f.stores[i].Revision() < revision {
			f.Expect(time.Since(began)).To(BeNumerically("<=", limit), "revision %d at node %d", revision, i)
			time.Sleep(5 * time.Millisecond)
		}
		f.Expect(f.stores[i].Current().Team("t").InFlightQuota).To(BeEquivalentTo(revision))
	}
	return time.Since(began)
}

func firstNodes(n int) (indices []int) {
	for i := range n {
		indices = append(indices, i)
	}
	return indices
}

// A change must be in force on 48 hosts within 2 s although one control replica is unresponsive, even if the
// nodes are polling that one, and without hints from gossip.
func TestInForceOn48Hosts(t *testing.T) {
	inFleet(t, 48, func(f *fleet) {
		random := rand.New(rand.NewPCG(1, 1))
		slowest := time.Duration(0)
		revision := uint64(1)
		for unresponsive := range 3 {
			f.setUnresponsive(true, controls[unresponsive])
			for range 8 {
				f.change(revision, team(revision+1))
				revision++
				slowest = max(slowest, f.inForce(revision, 2*time.Second, firstNodes(48)...))
				time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
			f.setUnresponsive(false, controls[unresponsive])
		}
		t.Logf("slowest of %d changes: %s", revision-1, slowest)
	})
}

// Nodes that reach no control replica must get new revisions from peers that gossip hints at.
func TestFollowsPeersWithoutControl(t *testing.T) {
	inFleet(t, 6, func(f *fleet) {
		for i := 3; i < 6; i++ {
			for _, c := range controls {
				f.setUnresponsive(true, fmt.Sprintf("h%d>%s", i, c))
			}
		}
		f.change(1, team(2))
		f.change(2, team(3))
		f.inForce(3, 2*time.Second, 0, 1, 2)
		f.setUnresponsive(true, address(1))
		for i := 3; i < 6; i++ {
			f.stores[i].Hint(address(1), 3)
			f.stores[i].Hint(address(0), 3)
		}
		f.inForce(3, 300*time.Millisecond, 3, 4, 5)
		f.change(3, team(4))
		f.inForce(4, 2*time.Second, 0, 1, 2)
		f.stores[3].Hint(address(2), 4)
		f.inForce(4, 300*time.Millisecond, 3)
		f.stores[4].Hint(address(3), 4)
		f.inForce(4, 300*time.Millisecond, 4)
	})
}

// A node without a stored document that restarts while all control replicas are unreachable must not serve an
// older revision than before. It may only start once enough peers have replied.
func TestRestartWithoutControl(t *testing.T) {
	inFleet(t, 6, func(f *fleet) {
		f.change(1, team(2))
		f.inForce(2, 2*time.Second, firstNodes(6)...)
		f.setUnresponsive(true, controls...)
		f.setUnresponsive(true, address(1), address(2), address(3))
		f.stops[5]()
		f.start(5, "")
		time.Sleep(10 * time.Second)
		f.Expect(f.stores[5].Ready()).To(BeFalse(), "two of five other hosts are less than half")
		f.Expect(f.stores[5].Current()).To(BeNil())
		f.setUnresponsive(false, address(3))
		time.Sleep(2 * time.Second)
		f.Expect(f.stores[5].Ready()).To(BeTrue())
		f.Expect(f.stores[5].Revision()).To(BeEquivalentTo(2))
		f.stops[4]()
		// The replica responds before the node starts. Otherwise the first query of the node may come before,
		// and a query has no response for longer than the bound below.
		f.setUnresponsive(false, controls[1])
		f.start(4, "")
		time.Sleep(500 * time.Millisecond)
		f.Expect(f.stores[4].Ready()).To(BeTrue(), "one control replica that reads from a majority is enough")
	})
}

// A node with a stored document must start without any other process, but not from a corrupt file.
func TestRestartWithDisk(t *testing.T) {
	folder := t.TempDir()
	inFleet(t, 3, func(f *fleet) {
		f.stops[2]()
		f.start(2, folder)
		f.change(1, team(2))
		f.inForce(2, 2*time.Second, 2)
		f.stops[2]()
		f.setUnresponsive(true, append(controls, address(0), address(1))...)
		f.start(2, folder)
		time.Sleep(2 * time.Second)
		f.Expect(f.stores[2].Ready()).To(BeFalse(), "a majority may still report a newer revision")
		time.Sleep(3 * time.Second)
		f.Expect(f.stores[2].Ready()).To(BeTrue())
		f.Expect(f.stores[2].Revision()).To(BeEquivalentTo(2))
		f.stops[2]()
		path := filepath.Join(folder, "document")
		data, err := os.ReadFile(path)
		f.Expect(err).NotTo(HaveOccurred())
		data[len(data)/2] ^= 1
		f.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
		f.start(2, folder)
		time.Sleep(5 * time.Second)
		f.Expect(f.stores[2].Ready()).To(BeFalse())
	})
}

type fixedReply configpb.FetchReply

func (a *fixedReply) Fetch(context.Context, *configpb.FetchRequest) (*configpb.FetchReply, error) {
	time.Sleep(50 * time.Millisecond)
	return (*configpb.FetchReply)(a), nil
}

// A control group that was created again by mistake, or a reply that skips revisions, must not replace the
// revision in force by an older or wrong one.
func TestNeverGoesBack(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.change(1, team(2))
		f.inForce(2, 2*time.Second, firstNodes(3)...)
		wrongReplies := []*fixedReply{
			{Revision: 1, Document: &configpb.Document{Revision: 1}, Confirmed: true},
			{Revision: 9, Entries: []*configpb.Entry{{Revision: 9, Change: team(9)}}},
			{Revision: 3, Entries: []*configpb.Entry{{Revision: 3, Change: &configpb.Change{}}}},
		}
		for _, a := range wrongReplies {
			for _, c := range controls {
				f.set(c, a)
			}
			time.Sleep(3 * time.Second)
			f.inForce(2, 0, firstNodes(3)...)
			f.Expect(f.stores[0].Snapshot().Document().GetHosts()).To(HaveLen(3))
		}
		for i, c := range controls {
			f.set(c, f.logs[i])
		}
		f.change(2, team(3))
		f.inForce(3, 5*time.Second, firstNodes(3)...)
	})
}

// slowLink is the network of a host that receives all replies over one link of 2 Mbit/s.
type slowLink struct {
	tail       *feed.Tail
	mu         sync.Mutex
	linkFreeAt time.Time
}

func (l *slowLink) Fetch(ctx context.Context, _ string, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	reply := l.tail.Fetch(ctx, r)
	reply.Confirmed = r.GetWaitMs() == 0
	for remaining := proto.Size(reply); remaining > 0; remaining -= packetBytes {
		select {
		case <-time.After(time.Until(l.schedulePacket(min(remaining, packetBytes)))):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return reply, nil
}

const packetBytes = 1400

// schedulePacket returns the arrival time of a packet sent now. Transfers share the link packet by packet.
func (l *slowLink) schedulePacket(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.linkFreeAt.Before(now) {
		l.linkFreeAt = now
	}
	l.linkFreeAt = l.linkFreeAt.Add(time.Duration(bytes) * 8 * time.Second / 2_000_000)
	return l.linkFreeAt
}

// If every control host sends the document at the same time, it saturates the link of a starting host until
// all queries time out and are repeated, without end.
func TestStartOnASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, stop := context.WithCancel(background)
		defer func() {
			stop()
			time.Sleep(5 * time.Second)
		}()
		link := &slowLink{tail: feed.NewTail(0)}
		for revision := uint64(1); revision <= 17; revision++ {
			d := &configpb.Document{Revision: revision, Teams: []*configpb.Team{{Id: strings.Repeat("x", 60<<10)}}}
			link.tail.Publish(d, &configpb.Entry{Revision: revision, Change: &configpb.Change{
				Kind: &configpb.Change_ReplaceAll{ReplaceAll: &configpb.ReplaceAll{Document: d}},
			}})
		}
		var control []string
		for i := range 11 {
			control = append(control, fmt.Sprint("c", i))
		}
		s := store.New(store.Options{ID: "h", Address: address(0), Control: control, Client: link, Logger: logging.Discard()})
		go func() { _ = s.Run(ctx) }()
		began := time.Now()
		for !s.Ready() && time.Since(began) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		// A change of the configuration must be in force within 2 s.
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	})
}

// Polls and hints started transfers of the same document until all of them exceeded their timeouts, without end.
func TestLargeChangeOnASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, stop := context.WithCancel(background)
		defer func() {
			stop()
			time.Sleep(5 * time.Second)
		}()
		link := &slowLink{tail: feed.NewTail(feed.RetainedBases)}
		link.tail.Publish(&configpb.Document{Revision: 1}, nil)
		var control []string
		for i := range 11 {
			control = append(control, fmt.Sprint("c", i))
		}
		s := store.New(store.Options{ID: "h", Address: address(0), Control: control, Client: link, Logger: logging.Discard()})
		go func() { _ = s.Run(ctx) }()
		time.Sleep(time.Second)
		link.tail.Publish(&configpb.Document{Revision: 2, Teams: []*configpb.Team{{Id: strings.Repeat("x", 400<<10)}}}, nil)
		began := time.Now()
		for i := 0; s.Revision() < 2 && time.Since(began) < 20*time.Second; i++ {
			if i%20 == 0 {
				s.Hint(control[i/20%len(control)], 2)
			}
			time.Sleep(25 * time.Millisecond)
		}
		// The document alone takes 1.64 s.
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	})
}
