package attach_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/storage"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// diskHost is a control host with a disk. Its registry is lost with its process; there is no gossip.
type diskHost struct {
	address  string
	fs       *storage.MemFS
	registry *registry
	server   *attach.Server
	stop     func()
}

// diskGroup is a control group of hosts with disks, of which any may be down. It is the fleet of its hosts.
type diskGroup struct {
	g     *WithT
	fleet *hostset.Fleet
	mu    sync.Mutex
	hosts []*diskHost
	// holder dispatches; its host may be down.
	holder leadership.Holder
	// inMemory keeps departures in memory only.
	inMemory bool
	// metrics are those of the next process that is started; nil for none.
	metrics *attach.ServerMetrics
	// marks counts the calls that tell a host of departures.
	marks int
}

func (d *diskGroup) Fleet() *hostset.Fleet { return d.fleet }

// Held and Dispatcher implement leadership.Elections.
func (d *diskGroup) Held(string) (leadership.Lease, bool) { return leadership.Lease{}, false }
func (d *diskGroup) Dispatcher(string) (leadership.Holder, bool) {
	return d.holder, d.holder.Node != ""
}

func (d *diskGroup) serverAt(address string) (*attach.Server, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.hosts, func(h *diskHost) bool { return h.address == address })
	if d.hosts[i].server == nil {
		return nil, errors.New("the host is down")
	}
	return d.hosts[i].server, nil
}

func (d *diskGroup) Mark(ctx context.Context, address string, r *fleetpb.MarkRequest) (*fleetpb.MarkReply, error) {
	s, err := d.serverAt(address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.marks++
	d.mu.Unlock()
	time.Sleep(linkDelay)
	return s.Mark(ctx, r)
}

func (d *diskGroup) ListDepartures(ctx context.Context, address string, r *fleetpb.DeparturesRequest) (*fleetpb.Departures, error) {
	s, err := d.serverAt(address)
	if err != nil {
		return nil, err
	}
	time.Sleep(linkDelay)
	return s.ListDepartures(ctx, r)
}

// newDiskGroup returns a group whose hosts have not started.
func newDiskGroup(g *WithT, hosts int) *diskGroup {
	d := &diskGroup{g: g, fleet: &hostset.Fleet{Services: []hostset.Service{{Name: "cuefeed"}}}}
	for i := range hosts {
		address := fmt.Sprintf("c%02d:1", i)
		d.fleet.Hosts = append(d.fleet.Hosts, hostset.Host{ID: address, FleetAddress: address})
		d.hosts = append(d.hosts, &diskHost{address: address, fs: storage.NewMemFS()})
	}
	return d
}

// newServer returns the server of a new process at the host.
func (d *diskGroup) newServer(i int, diskLost bool) *attach.Server {
	h := d.hosts[i]
	h.registry = &registry{servers: map[string]backend.Server{}}
	o := attach.ServerOptions{
		ID: h.address, Address: h.address, Registry: h.registry, Source: d, Peers: d, Elections: d,
		Metrics:     d.metrics,
		Departures:  &attach.DepartureFolder{FS: h.fs, Path: "departures", DiskLost: diskLost},
		Incarnation: uint64(time.Now().UnixMilli()), Revision: func() uint64 { return 9 }, Logger: logging.New(io.Discard, "error", true),
	}
	if d.inMemory {
		o.Departures = nil
	}
	return startServer(o)
}

// start starts a process at the host.
func (d *diskGroup) start(i int, diskLost bool) {
	h := d.hosts[i]
	s := d.newServer(i, diskLost)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = s.Run(ctx)
		close(ended)
	}()
	h.stop = func() {
		cancel()
		<-ended
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h.server = s
}

// kill ends the processes at the hosts at the same moment; if random is not nil, their machines lose power as well.
func (d *diskGroup) kill(random *rand.Rand, hosts ...int) {
	var killed []*diskHost
	d.mu.Lock()
	for _, i := range hosts {
		if h := d.hosts[i]; h.server != nil {
			h.server = nil
			killed = append(killed, h)
		}
	}
	d.mu.Unlock()
	for _, h := range killed {
		if random != nil {
			h.fs.LosePower(random)
		} else {
			h.fs.Kill()
		}
	}
	for _, h := range killed {
		h.stop()
	}
}

func (d *diskGroup) killAll(random *rand.Rand) {
	all := make([]int, len(d.hosts))
	for i := range all {
		all[i] = i
	}
	d.kill(random, all...)
}

// files lists the files in which the host keeps departures.
func (d *diskGroup) files(i int) (names []string) {
	fs := d.hosts[i].fs
	journals, err := fs.List("departures")
	d.g.Expect(err).NotTo(HaveOccurred())
	for _, journal := range journals {
		list, err := fs.List("departures/" + journal)
		d.g.Expect(err).NotTo(HaveOccurred())
		for _, name := range list {
			names = append(names, "departures/"+journal+"/"+name)
		}
	}
	d.g.Expect(names).NotTo(BeEmpty())
	return names
}

// withDiskGroup plays with a group, in virtual time, whose hosts all know the departures.
func withDiskGroup(t *testing.T, hosts int, play func(d *diskGroup)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDiskGroup(NewWithT(t), hosts)
		defer d.end()
		d.startAll()
		time.Sleep(5 * time.Second)
		play(d)
	})
}

// loseDisk replaces the disk of a host, which must be down or be restarted, by an empty one.
func (d *diskGroup) loseDisk(i int) {
	d.hosts[i].fs = storage.NewMemFS()
}

// end kills all processes and waits for the calls in progress.
func (d *diskGroup) end() {
	d.killAll(nil)
	time.Sleep(departureBound)
}

func (d *diskGroup) startAll() {
	for i := range d.hosts {
		if d.hosts[i].server == nil {
			d.start(i, false)
		}
	}
}

// announce sends an announcement or withdrawal to the host within the time for which a backend server waits.
func (d *diskGroup) announce(i int, instance string, incarnation uint64, state backend.State) error {
	s, err := d.serverAt(d.hosts[i].address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), responseWait)
	defer cancel()
	if state == backend.Left {
		return s.RecordDeparture(ctx, backend.Departure{Instance: instance, Incarnation: incarnation, State: state})
	}
	return s.Announce(ctx, backend.Server{
		Service: "cuefeed", Instance: instance, Incarnation: incarnation, Address: "10.0.0.1:80", DataCentre: "a", State: state,
	})
}

// departuresAt returns what an entry host learns from the host, and whether it counts as current.
func (d *diskGroup) departuresAt(i int) (covered map[string]uint64, current bool) {
	reply, err := d.hosts[i].server.Attach(context.Background(), &fleetpb.AttachRequest{Host: &fleetpb.Node{Id: "front-1", Incarnation: 1, EntryAddress: "10.0.1.1:80", DataCentre: "a"}})
	d.g.Expect(err).NotTo(HaveOccurred())
	covered = map[string]uint64{}
	for _, e := range reply.GetDepartures().GetList() {
		covered[e.GetInstance()] = e.GetIncarnation()
	}
	return covered, reply.GetDeparturesAgeMs() >= 0
}

// The power of all control hosts goes in the moment of the confirmation, and one disk with it. The host that lost its disk
// must not pass for one that knows all departures before it has learned them.
func TestConfirmedDeparturesOutliveTheLossOfPowerAndADisk(t *testing.T) {
	withDiskGroup(t, 3, func(d *diskGroup) {
		d.g.Expect(d.announce(0, "i-1", 5, backend.Draining)).To(Succeed())
		d.killAll(rand.New(rand.NewPCG(53, 0)))
		d.loseDisk(0)
		d.start(1, false)
		// Its first process is killed before it has done anything. The next one finds files, but no departures.
		d.newServer(0, true)
		d.hosts[0].fs.Kill()
		d.start(0, false)
		time.Sleep(10 * time.Second)
		_, current := d.departuresAt(0)
		d.g.Expect(current).To(BeFalse(), "the third host may be the only other one that knows a departure")
		_, current = d.departuresAt(1)
		d.g.Expect(current).To(BeFalse())

		// Once more, before it has learned anything.
		d.kill(nil, 0)
		d.start(0, false)
		time.Sleep(10 * time.Second)
		_, current = d.departuresAt(0)
		d.g.Expect(current).To(BeFalse(), "the file says that the disk was lost")

		d.start(2, false)
		time.Sleep(time.Second)
		for i := range d.hosts {
			covered, current := d.departuresAt(i)
			d.g.Expect(current).To(BeTrue())
			d.g.Expect(covered).To(HaveKeyWithValue("i-1", uint64(5)))
			d.g.Expect(d.announce(i, "i-1", 5, backend.Ready)).To(Succeed())
			d.g.Expect(d.hosts[i].registry.stateOf("i-1")).To(Equal(backend.Draining))
			d.g.Expect(d.announce(i, "i-1", 6, backend.Ready)).To(Succeed())
			d.g.Expect(d.hosts[i].registry.stateOf("i-1")).To(Equal(backend.Ready), "a new process")
		}
		d.kill(nil, 0)
		d.start(0, false)
		covered, _ := d.departuresAt(0)
		d.g.Expect(covered).To(HaveKey("i-1"), "what a host has learned is on its disk as well")
	})
}

// A control host confirmed a withdrawal that names no start of a server that it did not know, as after a restart, and
// recorded nothing; or others recorded nothing, as they did not know the server yet. A late heartbeat put the server into
// use. A process that states its start is another one, unless the withdrawal covered it somewhere.
func TestWithdrawalsWithoutAnIncarnationBindEverywhere(t *testing.T) {
	for _, known := range []uint64{0, 1, 1760000000000} {
		t.Run(fmt.Sprint("incarnation known to one host: ", known), func(t *testing.T) {
			withDiskGroup(t, 3, func(d *diskGroup) {
				if known > 0 {
					d.g.Expect(d.announce(0, "i-1", known, backend.Ready)).To(Succeed())
				}
				d.g.Expect(d.announce(0, "i-1", 0, backend.Left)).To(Succeed())
				d.killAll(rand.New(rand.NewPCG(53, 2)))
				// The host that was asked does not return.
				d.start(1, false)
				d.start(2, false)
				time.Sleep(time.Second)
				for _, i := range []int{1, 2} {
					d.g.Expect(d.announce(i, "i-1", max(known, 1), backend.Ready)).To(Succeed())
					time.Sleep(time.Second)
					d.g.Expect(d.hosts[i].registry.stateOf("i-1")).To(Equal(backend.Draining), "a late heartbeat at host %d", i)
					d.g.Expect(d.announce(i, "i-1", max(known, 1)+1, backend.Ready)).To(Succeed())
					time.Sleep(time.Second)
					d.g.Expect(d.hosts[i].registry.stateOf("i-1")).To(Equal(backend.Ready), "a new process at host %d", i)
				}
			})
		})
	}
}

// A departure that is on too few disks must not be confirmed, and a few slow or full disks must not keep departures from
// being confirmed: neither those of the host that is asked nor those of the dispatcher.
func TestDeparturesNeedAMajorityOfDisks(t *testing.T) {
	for _, c := range []struct {
		name      string
		bad       int
		spoil     func(*storage.MemFS, bool)
		confirmed bool
	}{
		{"stalled at two of five", 2, stall, true},
		{"stalled at three of five", 3, stall, false},
		{"full at two of five", 2, (*storage.MemFS).Fill, true},
		{"full at three of five", 3, (*storage.MemFS).Fill, false},
		{"failing at two of five", 2, (*storage.MemFS).FailSyncs, true},
		{"failing at three of five", 3, (*storage.MemFS).FailSyncs, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withDiskGroup(t, 5, func(d *diskGroup) {
				d.holder = leadership.Holder{Node: "c00:1", Address: "c00:1", Term: 3}
				d.g.Expect(d.announce(0, "i-1", 5, backend.Ready)).To(Succeed())
				for i := range c.bad {
					c.spoil(d.hosts[i].fs, true)
				}
				for i := range d.hosts {
					err := d.announce(i, "i-1", 5, backend.Draining)
					d.g.Expect(err == nil).To(Equal(c.confirmed), "asked host %d: %v", i, err)
				}
				d.g.Expect(d.hosts[0].registry.stateOf("i-1")).To(Equal(backend.Draining), "it gets no new work in either case")

				for i := range c.bad {
					c.spoil(d.hosts[i].fs, false)
				}
				time.Sleep(stallTime + 2*time.Second)
				d.g.Expect(d.announce(0, "i-1", 5, backend.Draining)).To(Succeed())
				d.g.Expect(d.announce(1, "i-2", 5, backend.Left)).To(Succeed())
				d.killAll(rand.New(rand.NewPCG(53, 1)))
				d.startAll()
				for i := range d.hosts {
					covered, _ := d.departuresAt(i)
					d.g.Expect(covered).To(HaveKey("i-1"), "host %d has written it once its disk works again", i)
				}
			})
		})
	}
}

// stallTime is how long a stalled disk hangs.
const stallTime = 8 * time.Second

func stall(fs *storage.MemFS, on bool) {
	if on {
		fs.DelaySyncs(stallTime)
		return
	}
	fs.DelaySyncs(0)
}

// Departures are kept for a minute, over restarts too, and no longer: a server without a start time returns under its id.
// The file must not grow with the servers that come and go.
func TestKeptDeparturesExpire(t *testing.T) {
	withDiskGroup(t, 1, func(d *diskGroup) {
		d.g.Expect(d.announce(0, "i-1", 1, backend.Left)).To(Succeed())
		time.Sleep(30 * time.Second)
		d.kill(nil, 0)
		time.Sleep(10 * time.Second)
		d.start(0, false)
		d.g.Expect(d.announce(0, "i-1", 1, backend.Ready)).To(Succeed())
		d.g.Expect(d.hosts[0].registry.stateOf("i-1")).To(Equal(backend.Draining))
		d.kill(nil, 0)
		time.Sleep(21 * time.Second)
		d.start(0, false)
		d.g.Expect(d.announce(0, "i-1", 1, backend.Ready)).To(Succeed())
		d.g.Expect(d.hosts[0].registry.stateOf("i-1")).To(Equal(backend.Ready))

		const departures = 30_000
		for n := range departures {
			d.g.Expect(d.announce(0, fmt.Sprint("server-", n), 1760000000000, backend.Left)).To(Succeed())
			time.Sleep(20 * time.Millisecond)
		}
		size := 0
		names := d.files(0)
		for _, name := range names {
			data, err := d.hosts[0].fs.ReadFile(name)
			d.g.Expect(err).NotTo(HaveOccurred())
			size += len(data)
		}
		t.Logf("%d bytes in %d files after %d departures", size, len(names), departures)
		d.g.Expect(size).To(BeNumerically("<", 1<<20))
	})
}

// A damaged file is no file: the host learns the departures from the others before it counts.
func TestDamagedFileOfDeparturesCountsAsLost(t *testing.T) {
	withDiskGroup(t, 3, func(d *diskGroup) {
		d.g.Expect(d.announce(0, "i-1", 5, backend.Left)).To(Succeed())
		d.killAll(nil)
		for _, name := range d.files(0) {
			d.g.Expect(d.hosts[0].fs.Damage(name, 10)).To(Succeed())
		}
		d.start(0, false)
		time.Sleep(10 * time.Second)
		_, current := d.departuresAt(0)
		d.g.Expect(current).To(BeFalse())
		d.startAll()
		time.Sleep(time.Second)
		covered, current := d.departuresAt(0)
		d.g.Expect(current).To(BeTrue())
		d.g.Expect(covered).To(HaveKey("i-1"))
	})
}
