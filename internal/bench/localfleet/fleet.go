package localfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonmux/tarragonmux/internal/bench/netem"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/operator"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/standin"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// firstOctet and octetCount define the loopback networks 127.20.0.0/16 to 127.219.0.0/16, of which the fleet
	// uses a free one.
	firstOctet = 20
	octetCount = 200
	// readyPollInterval is the interval at which WaitReady and other waits check their condition.
	readyPollInterval = 20 * time.Millisecond
	// announceNodes is the number of nodes to which a stand-in can announce itself.
	announceNodes = 3
	// maxParallelStarts bounds the number of processes that start in parallel.
	maxParallelStarts = 16
	// announcerIdleTimeout is how long a stand-in keeps an idle connection to an entry host.
	announcerIdleTimeout = 5 * time.Second
	// joinPeerCount is the number of nodes through which each host joins the fleet.
	joinPeerCount = 3
)

// Fleet is a running fleet.
type Fleet struct {
	Nodes    []*Host
	Controls []*Host
	Backends map[string][]*standin.Server

	config       Config
	octet        int
	networkGuard net.Listener
	folder       string
	removeFolder bool
	replicas     []settings.Replica
	peers        []string
	pool         *transport.Pool
	// Operator is a client of the fleet's control replicas.
	Operator *operator.Client
}

// Start starts the hosts, applies the initial configuration, starts the stand-ins, and waits until
// every node is ready and knows all stand-ins. If it returns an error, it has stopped everything it started.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{config: config, Backends: map[string][]*standin.Server{}}
	if f.config.Logger == nil {
		f.config.Logger = logging.Discard()
	}
	if err := f.prepare(); err != nil {
		return nil, err
	}
	if err := f.start(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) prepare() error {
	if err := f.reserveNetwork(); err != nil {
		return err
	}
	f.folder = f.config.Folder
	if f.folder == "" {
		folder, err := os.MkdirTemp("", "tarragonmux-")
		if err != nil {
			return errors.Wrap(err, "create a temporary folder")
		}
		f.folder, f.removeFolder = folder, true
	}
	for i := range f.config.Controls {
		f.replicas = append(f.replicas, settings.Replica{ID: controlID(i), Address: f.address(f.config.Nodes+i, fleetPort)})
	}
	for i := range min(joinPeerCount, f.config.Nodes) {
		f.peers = append(f.peers, f.address(i, fleetPort))
	}
	for i := range f.config.Nodes {
		f.Nodes = append(f.Nodes, f.newHost(i, nodeID(i), true))
	}
	for i := range f.config.Controls {
		f.Controls = append(f.Controls, f.newHost(f.config.Nodes+i, controlID(i), false))
	}
	f.pool = transport.NewPool(transport.NewDialer())
	f.Operator = operator.New(f.pool, f.controlAddresses())
	return nil
}

// reserveNetwork selects a loopback network that no other fleet on this machine uses, and reserves it by
// listening on an address in it.
func (f *Fleet) reserveNetwork() error {
	begin := rand.IntN(octetCount)
	for i := range octetCount {
		f.octet = firstOctet + (begin+i)%octetCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", f.octet, fleetPort))
		if err == nil {
			f.networkGuard = l
			return nil
		}
	}
	return errors.New("no loopback network is free; stop other fleets on this machine")
}

// OperatorAt returns a client of the control replicas that tries the i-th one first.
func (f *Fleet) OperatorAt(i int) *operator.Client {
	addresses := f.controlAddresses()
	first := i % len(addresses)
	return operator.New(f.pool, slices.Concat(addresses[first:], addresses[:first]))
}

func nodeID(i int) string    { return fmt.Sprintf("node-%02d", i+1) }
func controlID(i int) string { return fmt.Sprintf("control-%d", i+1) }

func (f *Fleet) controlAddresses() []string {
	addresses := make([]string, 0, len(f.replicas))
	for _, r := range f.replicas {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

func (f *Fleet) start(ctx context.Context) error {
	if err := startAll(ctx, f.Controls); err != nil {
		return err
	}
	if err := startAll(ctx, f.Nodes); err != nil {
		return err
	}
	if err := f.applyInitialDocument(ctx); err != nil {
		return err
	}
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	if err := f.startAllBackends(); err != nil {
		return err
	}
	return f.waitBackends(ctx)
}

func startAll(ctx context.Context, hosts []*Host) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelStarts)
	for _, h := range hosts {
		group.Go(func() error { return h.Start(ctx) })
	}
	return group.Wait()
}

// Document returns the initial configuration.
func (f *Fleet) Document() *configpb.Document {
	d := &configpb.Document{Services: f.config.Services, Routes: f.config.Routes, Teams: f.config.Teams}
	for _, name := range f.config.DataCentres {
		d.DataCentres = append(d.DataCentres, &configpb.DataCentre{Name: name, Region: f.config.Region})
	}
	for _, h := range f.Nodes {
		d.Hosts = append(d.Hosts, &configpb.Host{
			Id:           h.ID,
			DataCentre:   h.DataCentre,
			EntryAddress: h.Settings.Entry.Address,
			FleetAddress: h.Settings.Fleet.Address,
			Role:         configpb.HostRole_HOST_ROLE_NODE,
		})
	}
	return d
}

func (f *Fleet) applyInitialDocument(ctx context.Context) error {
	change := &configpb.Change{Kind: &configpb.Change_ReplaceAll{ReplaceAll: &configpb.ReplaceAll{Document: f.Document()}}}
	request := operator.NewApplyRequest(0, "localfleet", change)
	for {
		reply, err := f.Operator.Apply(ctx, request)
		if err == nil && reply.GetVerdict() == configpb.Verdict_VERDICT_ACCEPTED {
			return nil
		}
		if err == nil && (reply.GetVerdict() == configpb.Verdict_VERDICT_REJECTED || reply.GetVerdict() == configpb.Verdict_VERDICT_CONFLICT) {
			return errors.Errorf("initial configuration refused: %s: %s; %s", reply.GetField(), reply.GetReason(), reply.GetRemedy())
		}
		if err := waitReadyPoll(ctx); err != nil {
			return errors.Wrap(err, "apply the initial configuration")
		}
	}
}

func waitReadyPoll(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-time.After(readyPollInterval):
		return nil
	}
}

// WaitReady waits until every running node has a configuration in force.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return f.waitNodes(ctx, "a configuration in force", func(h *Host) bool {
		return h.Process().Node().Store.Ready()
	})
}

func (f *Fleet) waitNodes(ctx context.Context, condition string, done func(*Host) bool) error {
	for _, h := range f.Nodes {
		for h.Process() != nil && !done(h) {
			if err := waitReadyPoll(ctx); err != nil {
				return errors.Wrapf(err, "node %s: wait for %s", h.ID, condition)
			}
		}
	}
	return nil
}

func (f *Fleet) startAllBackends() error {
	n := f.config.Nodes + f.config.Controls
	for _, b := range f.config.Backends {
		for i := range b.Instances {
			server, err := f.startBackend(b, i, n)
			if err != nil {
				return err
			}
			f.Backends[b.Service] = append(f.Backends[b.Service], server)
			n++
		}
	}
	return nil
}

func (f *Fleet) startBackend(b Backends, i, n int) (*standin.Server, error) {
	dataCentre := f.config.DataCentres[i%len(f.config.DataCentres)]
	instance := fmt.Sprintf("%s-%02d", b.Service, i+1)
	address := f.address(n, workPort)
	if f.config.Network != nil {
		f.config.Network.SetLocation(address, netem.Location{Host: instance, DataCentre: dataCentre})
	}
	server, err := standin.New(standin.Config{
		Service:        b.Service,
		Instance:       instance,
		DataCentre:     dataCentre,
		Address:        address,
		ControlAddress: f.address(n, controlPort),
		Slots:          b.Slots,
		Connections:    b.Connections,
		WorkTime:       b.WorkTime,
		ColdStart:      b.ColdStart,
		WarmUp:         b.WarmUp,
		HealthLag:      b.HealthLag,
		RestartAfter:   b.RestartAfter,
		Entries:        f.announceAddresses(i),
		Client:         f.announcer(instance, dataCentre),
		Seed:           f.config.Seed + uint64(n),
	})
	if err != nil {
		return nil, err
	}
	return server, server.Start()
}

// announcer returns the client with which a stand-in announces itself through the emulated network. Without
// such a network it returns nil, and the stand-in uses its own client.
func (f *Fleet) announcer(instance, dataCentre string) *http.Client {
	if f.config.Network == nil {
		return nil
	}
	dialer := f.config.Network.Dialer(netem.Location{Host: instance, DataCentre: dataCentre})
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: announcerIdleTimeout}}
}

func (f *Fleet) announceAddresses(i int) []string {
	var entries []string
	for k := range min(announceNodes, len(f.Nodes)) {
		entries = append(entries, f.Nodes[(i+k*len(f.Nodes)/announceNodes)%len(f.Nodes)].Settings.Entry.Address)
	}
	return entries
}

// waitBackends waits until every node knows every stand-in and, unless a baseline grants, the dispatcher of
// every service.
func (f *Fleet) waitBackends(ctx context.Context) error {
	return f.waitNodes(ctx, "backend servers", func(h *Host) bool {
		for _, b := range f.config.Backends {
			node := h.Process().Node()
			if len(node.Membership.Servers(b.Service)) < b.Instances {
				return false
			}
			if _, ok := node.Elections.Dispatcher(b.Service); !ok && f.config.Grants == nil {
				return false
			}
		}
		return true
	})
}

// Stop stops the nodes gracefully, then everything else immediately.
func (f *Fleet) Stop(ctx context.Context) error {
	group := errgroup.Group{}
	for _, h := range f.Nodes {
		group.Go(func() error { return h.Stop(ctx) })
	}
	err := group.Wait()
	f.Kill()
	return err
}

// Kill stops everything immediately, without draining.
func (f *Fleet) Kill() {
	if f.config.Network != nil {
		f.config.Network.HealAll()
	}
	group := errgroup.Group{}
	for _, h := range append(append([]*Host(nil), f.Nodes...), f.Controls...) {
		group.Go(func() error {
			h.Kill()
			return nil
		})
	}
	for _, servers := range f.Backends {
		for _, s := range servers {
			group.Go(func() error {
				s.Close()
				return nil
			})
		}
	}
	_ = group.Wait()
	_ = f.pool.Close()
	_ = f.networkGuard.Close()
	if f.removeFolder {
		_ = os.RemoveAll(f.folder)
	}
}

// EntryAddresses lists the entry addresses of all nodes.
func (f *Fleet) EntryAddresses() []string {
	addresses := make([]string, 0, len(f.Nodes))
	for _, h := range f.Nodes {
		addresses = append(addresses, h.Settings.Entry.Address)
	}
	return addresses
}
