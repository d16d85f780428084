package attach_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// fakeControl responds for all control hosts.
type fakeControl struct {
	mu    sync.Mutex
	down  map[string]bool
	calls []string
	reply *fleetpb.AttachReply
	last  *fleetpb.Node
}

func (b *fakeControl) Attach(_ context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, address)
	if b.down[address] {
		return nil, errors.New("silent")
	}
	b.last = r.GetHost()
	return b.reply, nil
}

// Guards against an entry host that does not find the fleet through any one seed, or that does not
// continue when it loses its control host.
func TestClientSwitchesToAnotherControlHost(t *testing.T) {
	g := NewWithT(t)
	fake := &fakeControl{down: map[string]bool{"s1:1": true}, reply: &fleetpb.AttachReply{
		Control:     []string{"c1:1", "c2:1"},
		Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: "c1", Address: "c1:1", Term: 5}},
	}}
	c := attach.NewClient(attach.ClientOptions{
		ID: "front-1", Incarnation: 2, DataCentre: "a", Control: fake, Logger: logging.Discard(),
		Seeds: func() []string { return []string{"s1:1", "s2:1"} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	g.Eventually(func() bool { _, ok := c.Dispatcher("cuefeed"); return ok }).Should(BeTrue())
	fake.mu.Lock()
	fake.down["s2:1"] = true
	fake.reply = &fleetpb.AttachReply{KnownIncarnation: 40, Dispatchers: []*fleetpb.Dispatcher{
		{Service: "cuefeed", Node: "old", Address: "old:1", Term: 4},
	}}
	fake.mu.Unlock()
	c.DispatcherStreamEnded("cuefeed")
	g.Eventually(func() uint64 {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		return fake.last.GetIncarnation()
	}, "3s").Should(BeEquivalentTo(41), "a host whose clock was set back exceeds the known incarnation")
	h, _ := c.Dispatcher("cuefeed")
	g.Expect(h.Node).To(Equal("c1"), "a lower term is ignored")
	c.Leave(ctx)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	g.Expect(fake.last.GetState()).To(Equal(fleetpb.NodeState_NODE_STATE_LEAVING))
}

// Guards against a list that misses a removal: a host that lost its dispatcher would send requests to
// a drained server.
func TestServersFollowUpdates(t *testing.T) {
	g := NewWithT(t)
	s := attach.NewServers()
	entry := func(name, address string) *dispatchpb.ServerEntry {
		return &dispatchpb.ServerEntry{Instance: name, Address: address, Slots: 6}
	}
	s.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Reset_: true, Changed: []*dispatchpb.ServerEntry{entry("b", "b:1"), entry("a", "a:1")}})
	s.ApplyUpdate("cuefeed", &dispatchpb.ServerNews{Removed: []string{"a"}, Changed: []*dispatchpb.ServerEntry{entry("c", "c:1"), entry("b", "b:2")}})
	list := s.Servers("cuefeed")
	g.Expect(list).To(HaveLen(2))
	g.Expect([]string{list[0].Instance, list[0].Address, list[1].Instance}).To(Equal([]string{"b", "b:2", "c"}))
	s.MarkDraining("cuefeed", "b")
	g.Expect(s.Servers("cuefeed")).To(HaveLen(1))
	g.Expect(s.Announce(context.Background(), backend.Server{})).To(MatchError(attach.ErrAnnouncementsRefused))
}

// Guards against an entry host that keeps a term which no control host names any longer: it would
// reject the current dispatcher, whose term may be lower, until it is restarted.
func TestUnconfirmedTermGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		naming := func(node string, term uint64) *fleetpb.AttachReply {
			return &fleetpb.AttachReply{Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: node, Address: node + ":1", Term: term}}}
		}
		fake := &fakeControl{reply: naming("c2", 9)}
		c := attach.NewClient(attach.ClientOptions{
			ID: "front-1", Incarnation: 2, DataCentre: "a", Control: fake, Logger: logging.Discard(),
			Seeds: func() []string { return []string{"s1:1"} },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = c.Run(ctx) }()
		defer func() { cancel(); <-done }()
		dispatcher := func() string { h, _ := c.Dispatcher("cuefeed"); return h.Node }
		time.Sleep(100 * time.Millisecond)
		g.Expect(dispatcher()).To(Equal("c2"))
		c.DispatcherStreamEnded("cuefeed")
		fake.mu.Lock()
		fake.reply = naming("c1", 5)
		fake.mu.Unlock()
		time.Sleep(time.Second)
		g.Expect(dispatcher()).To(Equal("c2"), "a former dispatcher that is named late is ignored")
		time.Sleep(time.Second)
		g.Expect(dispatcher()).To(Equal("c1"))
	})
}

// partitionedControl responds for control hosts that are split into two parts: each names only the
// control hosts of its own part.
type partitionedControl struct {
	mu      sync.Mutex
	named   map[string][]string
	replies map[string]*fleetpb.AttachReply
}

func (h *partitionedControl) Attach(_ context.Context, address string, _ *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := &fleetpb.AttachReply{Control: []string{address}, Dispatchers: h.replies[address].GetDispatchers()}
	for _, other := range h.named[address] {
		if other != address {
			reply.Control = append(reply.Control, other)
		}
	}
	return reply, nil
}

// Control hosts in the part without a majority name only each other. Guards against an entry host that
// asks only those named in the last response: it never leaves their part and never learns of the new
// dispatcher.
func TestClientThatSeeksLeavesTheHalfOfItsControlHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dispatched := func(by string, term uint64) *fleetpb.AttachReply {
			return &fleetpb.AttachReply{Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: by, Address: by, Term: term}}}
		}
		all := []string{"c1:1", "c2:1", "c3:1", "c4:1", "c5:1"}
		fake := &partitionedControl{named: map[string][]string{}, replies: map[string]*fleetpb.AttachReply{}}
		for _, c := range all {
			fake.named[c], fake.replies[c] = all, dispatched("c1:1", 5)
		}
		client := attach.NewClient(attach.ClientOptions{
			ID: "front-1", Incarnation: 3, DataCentre: "a", Control: fake, Logger: logging.Discard(),
			Seeds: func() []string { return []string{"c1:1", "c4:1", "c5:1"} },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = client.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(100 * time.Millisecond)
		fake.mu.Lock()
		minority, majority := all[:2], all[2:]
		for _, c := range minority {
			fake.named[c], fake.replies[c] = minority, &fleetpb.AttachReply{}
		}
		for _, c := range majority {
			fake.named[c], fake.replies[c] = majority, dispatched("c4:1", 9)
		}
		fake.mu.Unlock()
		client.DispatcherStreamEnded("cuefeed")
		time.Sleep(1500 * time.Millisecond)
		h, _ := client.Dispatcher("cuefeed")
		g.Expect(h.Node).To(Equal("c4:1"))
	})
}

// oneInformedControl responds for control hosts of which only one knows the current dispatcher, as in a
// network partition among them.
type oneInformedControl struct {
	knows string
	reply *fleetpb.AttachReply
}

func (s *oneInformedControl) Attach(_ context.Context, address string, _ *fleetpb.AttachRequest) (*fleetpb.AttachReply, error) {
	if address == s.knows {
		return s.reply, nil
	}
	return &fleetpb.AttachReply{}, nil
}

// Guards against an entry host that stays with a control host on the smaller side of a network
// partition: it would never learn of the new dispatcher and continue to use a list with servers that
// have drained since.
func TestClientThatSeeksTurnsToOtherControlHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		seeds := []string{"s1:1", "s2:1", "s3:1", "s4:1", "s5:1"}
		reply := &fleetpb.AttachReply{Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: "c1", Address: "c1:1", Term: 5}}}
		fake := &oneInformedControl{knows: seeds[2], reply: reply}
		c := attach.NewClient(attach.ClientOptions{
			ID: "front-1", Incarnation: 2, DataCentre: "a", Control: fake, Logger: logging.Discard(), Seeds: func() []string { return seeds },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = c.Run(ctx) }()
		defer func() { cancel(); <-done }()
		time.Sleep(100 * time.Millisecond)
		h, _ := c.Dispatcher("cuefeed")
		g.Expect(h.Node).To(Equal("c1"))
		// The control host of this entry host is now cut off, and another one knows the successor.
		fake.knows = seeds[1]
		fake.reply = &fleetpb.AttachReply{Dispatchers: []*fleetpb.Dispatcher{{Service: "cuefeed", Node: "c2", Address: "c2:1", Term: 9}}}
		c.DispatcherStreamEnded("cuefeed")
		// A draining server must get no new work after 2 s, and the drain may be confirmed immediately.
		time.Sleep(2 * time.Second)
		h, _ = c.Dispatcher("cuefeed")
		g.Expect(h.Node).To(Equal("c2"))
	})
}
