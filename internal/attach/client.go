package attach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// HeartbeatInterval is the time between two heartbeats of an entry host.
	HeartbeatInterval = 500 * time.Millisecond
	// callTimeout is how long an answer is awaited before another control host is asked as well, so that a
	// silent one is passed over within a second.
	callTimeout = 400 * time.Millisecond
	// lateTimeout bounds a heartbeat. A late answer still tells what has changed; one that is later than the
	// 2 s of a drain is of no use.
	lateTimeout = 2 * time.Second
	// retryEvery is the pause before the next control host is tried.
	retryEvery = 50 * time.Millisecond
	// seekEvery is the pause between heartbeats while a service has no known dispatcher.
	seekEvery = 100 * time.Millisecond
	// seekTries is how often one control host is asked for a dispatcher that was lost, before the next one
	// is: a control host that is cut off from the others does not hear of the successor.
	seekTries = 2
	// controlKeptFor is how long a control host that no answer names any longer is still asked in turn.
	controlKeptFor = time.Minute
	// believedFor is how long a term that was heard keeps out lower ones: three heartbeats.
	believedFor = 3 * HeartbeatInterval
)

// ControlClient sends heartbeats. Tests replace it.
type ControlClient interface {
	Attach(ctx context.Context, address string, r *fleetpb.AttachRequest) (*fleetpb.AttachReply, error)
}

// ClientOptions configure a Client.
type ClientOptions struct {
	ID           string
	Incarnation  uint64
	DataCentre   string
	EntryAddress string
	FleetAddress string
	// Seeds returns fleet addresses of control hosts to begin with.
	Seeds   func() []string
	Control ControlClient
	// OnRevision is told the newest revision that a control host knows, and its address.
	OnRevision func(address string, revision uint64)
	// Servers takes the departures of backend servers; nil if this host has another registry.
	Servers *Servers
	// Metrics may be nil.
	Metrics *Metrics
	Logger  *log.Logger
}

// Client keeps an entry host attached. It implements leadership.Elections for a host that holds no
// lease. It is safe for concurrent use.
type Client struct {
	o    ClientOptions
	wake chan struct{}

	mu      sync.Mutex
	ready   bool
	leaving bool
	address string
	// control is when each control host was named last.
	control     map[string]time.Time
	dispatchers map[string]leadership.Holder
	// heard is when the term of each dispatcher was heard last.
	heard map[string]time.Time
	// broken holds the terms of dispatchers whose stream ended, by service.
	broken   map[string]uint64
	attached bool
	// departures is what this host has of the departures of the control host that answered last, and
	// outdated is set if those were not current.
	departures fleetpb.DeparturesRequest
	outdated   bool
	// hosts is how many entry hosts there are; 0 before it is known.
	hosts int
}

var (
	_ leadership.Elections = (*Client)(nil)
	_ leadership.Observer  = (*Client)(nil)
)

// NewClient returns a client that knows nothing until Run.
func NewClient(o ClientOptions) *Client {
	o.Logger = o.Logger.WithPrefix("attach")
	return &Client{
		o:           o,
		wake:        make(chan struct{}, 1),
		control:     map[string]time.Time{},
		dispatchers: map[string]leadership.Holder{},
		heard:       map[string]time.Time{},
		broken:      map[string]uint64{},
	}
}

// Run sends heartbeats until the context ends.
func (c *Client) Run(ctx context.Context) error {
	var late sync.WaitGroup
	defer late.Wait()
	tries, outdated := 0, 0
	for ctx.Err() == nil {
		pause := HeartbeatInterval
		switch {
		case !c.heartbeat(ctx, &late):
			pause = retryEvery
		case c.seeking():
			pause = seekEvery
			if tries++; tries%seekTries == 0 {
				c.turn()
			}
		case c.isOutdated():
			// Once all were asked, none is current, and asking sooner finds no better one.
			if outdated++; outdated <= len(c.ControlHosts()) {
				pause = seekEvery
			}
			c.turn()
		default:
			tries, outdated = 0, 0
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.wake:
		}
		timer.Stop()
	}
	return nil
}

// errLate means that a control host has not answered in time; its answer still counts when it comes.
var errLate = errors.New("the control host has not answered in time; check its load and the links of both hosts")

// heartbeat sends one heartbeat, and turns to another control host if it fails or is late.
func (c *Client) heartbeat(ctx context.Context, late *sync.WaitGroup) bool {
	address, request := c.request()
	if address == "" {
		return false
	}
	sent := time.Now()
	answered := make(chan error, 1)
	late.Go(func() { answered <- c.call(ctx, address, request) })
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	err := errLate
	select {
	case err = <-answered:
	case <-timer.C:
	}
	if err != nil {
		c.lost(address, time.Since(sent), err)
	}
	return err == nil
}

// call sends one heartbeat and takes its answer.
func (c *Client) call(ctx context.Context, address string, request *fleetpb.AttachRequest) error {
	ctx, cancel := context.WithTimeout(ctx, lateTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := c.o.Control.Attach(ctx, address, request)
	c.o.Metrics.heartbeat(time.Since(sent), err)
	if err != nil {
		return err
	}
	c.learn(address, sent, reply)
	return nil
}

func (c *Client) request() (string, *fleetpb.AttachRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == "" {
		c.address = c.next("")
	}
	state := fleetpb.NodeState_NODE_STATE_ALIVE
	if c.leaving {
		state = fleetpb.NodeState_NODE_STATE_LEAVING
	}
	return c.address, &fleetpb.AttachRequest{
		Host: &fleetpb.Node{
			Id: c.o.ID, Incarnation: c.o.Incarnation, DataCentre: c.o.DataCentre, State: state,
			EntryAddress: c.o.EntryAddress, FleetAddress: c.o.FleetAddress, Ready: c.ready && !c.leaving,
		},
		DeparturesLog:  c.departures.GetLog(),
		DeparturesSeen: c.departures.GetSeen(),
	}
}

// next returns the control host after the given one. The caller holds the mutex.
func (c *Client) next(after string) string {
	addresses := c.addresses()
	if len(addresses) == 0 {
		return ""
	}
	if after == "" {
		// Hosts begin at different control hosts, so that the heartbeats are spread.
		return addresses[c.o.Incarnation%uint64(len(addresses))]
	}
	at, found := slices.BinarySearch(addresses, after)
	if found {
		at++
	}
	return addresses[at%len(addresses)]
}

// addresses lists the control hosts that are known, and the seeds, in an order that does not depend on which
// of them answered last: in a cut, each names only those on its own side. The caller holds the mutex.
func (c *Client) addresses() []string {
	now := time.Now()
	list := slices.Clone(c.o.Seeds())
	for address, named := range c.control {
		if now.Sub(named) >= controlKeptFor {
			delete(c.control, address)
			continue
		}
		list = append(list, address)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// turn makes the next heartbeat go to the next control host.
func (c *Client) turn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = c.next(c.address)
}

func (c *Client) lost(address string, took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attached {
		c.attached = false
		c.o.Logger.Warn("lost the control host", "address", address, "waited_ms", took.Milliseconds(), "err", logging.Err(err))
	}
	// A late answer may have come from another one meanwhile.
	if c.address == address {
		c.address = c.next(address)
	}
}

// learn takes the answer to a heartbeat that was sent at the given time.
func (c *Client) learn(address string, sent time.Time, reply *fleetpb.AttachReply) {
	c.takeDepartures(sent, reply)
	c.mu.Lock()
	if !c.attached {
		c.attached = true
		c.address = address
		c.o.Logger.Info("attached to a control host", "address", address, "answered_ms", time.Since(sent).Milliseconds(),
			"control_hosts", len(reply.GetControl()))
	}
	if known := reply.GetKnownIncarnation(); known >= c.o.Incarnation && known > 0 {
		c.o.Incarnation = known + 1
		c.poke()
	}
	if count := int(reply.GetEntryHosts()); count > 0 {
		c.hosts = count
	}
	now := time.Now()
	for _, known := range reply.GetControl() {
		c.control[known] = now
	}
	for _, d := range reply.GetDispatchers() {
		c.hear(d)
	}
	c.mu.Unlock()
	if c.o.OnRevision != nil {
		c.o.OnRevision(address, reply.GetRevision())
	}
}

// takeDepartures takes what the control host knows of departures. They are as old as it says when it answers,
// which is after the heartbeat was sent.
func (c *Client) takeDepartures(sent time.Time, reply *fleetpb.AttachReply) {
	old := time.Duration(reply.GetDeparturesAgeMs()) * time.Millisecond
	asOf := sent.Add(-old)
	if old < 0 {
		asOf = time.Time{}
	}
	if c.o.Servers != nil {
		c.o.Servers.ApplyDepartures(time.Now(), asOf, reply.GetDepartures().GetList())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures.Log, c.departures.Seen = reply.GetDepartures().GetLog(), reply.GetDepartures().GetSeen()
	c.outdated = old < 0 || old >= currentFor
}

// isOutdated tells whether the control host that answered last may have missed departures.
func (c *Client) isOutdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outdated
}

// hear takes word of a dispatcher unless its term is over. A control host may name a former dispatcher for a
// while; a higher term that no control host names any longer gives way. The caller holds the mutex.
func (c *Client) hear(d *fleetpb.Dispatcher) {
	known, ok := c.dispatchers[d.GetService()]
	now := time.Now()
	if ok && d.GetTerm() < known.Term {
		if now.Sub(c.heard[d.GetService()]) < believedFor {
			return
		}
		delete(c.broken, d.GetService())
	}
	c.heard[d.GetService()] = now
	if known.Node != d.GetNode() || known.Term != d.GetTerm() {
		c.o.Logger.Info("learned a dispatcher", "service", d.GetService(), "dispatcher", d.GetNode(), "term", d.GetTerm())
	}
	c.dispatchers[d.GetService()] = leadership.Holder{Node: d.GetNode(), Address: d.GetAddress(), Term: d.GetTerm()}
}

// seeking tells whether a dispatcher was lost and its successor is not known.
func (c *Client) seeking() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, term := range c.broken {
		if c.dispatchers[service].Term <= term {
			return true
		}
	}
	return len(c.dispatchers) == 0
}

// Held implements leadership.Elections; an attached host holds no lease.
func (c *Client) Held(string) (leadership.Lease, bool) { return leadership.Lease{}, false }

// Dispatcher implements leadership.Elections.
func (c *Client) Dispatcher(service string) (leadership.Holder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.dispatchers[service]
	return h, ok
}

// DispatcherResponded implements leadership.Observer.
func (c *Client) DispatcherResponded(service, _ string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term >= c.broken[service] {
		delete(c.broken, service)
	}
}

// DispatcherStreamEnded implements leadership.Observer: the client asks for the successor at once.
func (c *Client) DispatcherStreamEnded(service string) {
	c.mu.Lock()
	c.broken[service] = c.dispatchers[service].Term
	c.mu.Unlock()
	c.poke()
}

// ControlHosts returns the fleet addresses of the control hosts that are known, and the seeds. The one that this
// host is attached to comes first, so that hosts which use the list in order spread over the control hosts.
func (c *Client) ControlHosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.addresses()
	at := max(slices.Index(list, c.address), 0)
	return slices.Concat(list[at:], list[:at])
}

// EntryHosts is how many entry hosts there are, as a control host said last; 0 if none has.
func (c *Client) EntryHosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// SetReady records whether this host serves callers; a change is told at once.
func (c *Client) SetReady(ready bool) {
	c.mu.Lock()
	changed := c.ready != ready
	c.ready = ready
	c.mu.Unlock()
	if changed {
		c.poke()
	}
}

func (c *Client) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Leave tells every control host that this host leaves. It returns when all were told or the context ends.
func (c *Client) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	addresses := c.addresses()
	c.mu.Unlock()
	_, request := c.request()
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A control host that cannot be told now learns it from the others.
			_, _ = c.o.Control.Attach(bounded, address, request)
		})
	}
	group.Wait()
}
