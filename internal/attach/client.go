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
	// failoverTimeout is how long a response is awaited before another control host is asked as well,
	// so that an unresponsive control host is bypassed within a second. It also bounds the calls of
	// Leave.
	failoverTimeout = 400 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat. A response after failoverTimeout still carries changes; one
	// after the 2 s within which a drain takes effect is useless.
	heartbeatTimeout = 2 * time.Second
	// retryInterval is the pause before the next control host is tried.
	retryInterval = 50 * time.Millisecond
	// seekInterval is the pause between heartbeats while a service has no known dispatcher.
	seekInterval = 100 * time.Millisecond
	// seekAttempts is how often one control host is asked for the successor of a lost dispatcher before
	// the next one is asked: a control host that is cut off from the others does not learn of the
	// successor.
	seekAttempts = 2
	// controlHostRetention is how long a control host that responses no longer name still receives
	// heartbeats in turn.
	controlHostRetention = time.Minute
	// termHoldPeriod is how long lower terms are ignored after a term was last reported: three
	// heartbeats.
	termHoldPeriod = 3 * HeartbeatInterval
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
	// Seeds returns fleet addresses of control hosts to start with.
	Seeds   func() []string
	Control ControlClient
	// OnRevision is called with the address of a control host and the newest revision that it knows.
	OnRevision func(address string, revision uint64)
	// Servers receives the departures of backend servers; nil if this host has another registry.
	Servers *Servers
	// Metrics may be nil.
	Metrics *Metrics
	Logger  *log.Logger
}

// Client keeps an entry host attached to a control host. It implements leadership.Elections for a host
// that holds no lease. It is safe for concurrent use.
type Client struct {
	opts ClientOptions
	wake chan struct{}

	mu             sync.Mutex
	ready          bool
	leaving        bool
	controlAddress string
	// controlNamedAt is when a response last named each control host, by fleet address.
	controlNamedAt map[string]time.Time
	dispatchers    map[string]leadership.Holder
	// termHeardAt is when the current term of each dispatcher was last reported, by service.
	termHeardAt map[string]time.Time
	// endedTerms holds the dispatchers whose stream ended, by service.
	endedTerms map[string]endedTerm
	attached   bool
	// departures identifies which departures of the control host that responded last this host already
	// has. departuresOutdated is set if those were not current.
	departures         fleetpb.DeparturesRequest
	departuresOutdated bool
	// entryHosts is the number of entry hosts; 0 before it is known.
	entryHosts int
}

var (
	_ leadership.Elections = (*Client)(nil)
	_ leadership.Observer  = (*Client)(nil)
)

// NewClient returns a client that has no state until Run has received a response.
func NewClient(o ClientOptions) *Client {
	o.Logger = o.Logger.WithPrefix("attach")
	return &Client{
		opts:           o,
		wake:           make(chan struct{}, 1),
		controlNamedAt: map[string]time.Time{},
		dispatchers:    map[string]leadership.Holder{},
		termHeardAt:    map[string]time.Time{},
		endedTerms:     map[string]endedTerm{},
	}
}

// Run sends heartbeats until the context ends.
func (c *Client) Run(ctx context.Context) error {
	var lateCalls sync.WaitGroup
	defer lateCalls.Wait()
	attempts, outdatedReplies := 0, 0
	for ctx.Err() == nil {
		pause := HeartbeatInterval
		switch {
		case !c.heartbeat(ctx, &lateCalls):
			pause = retryInterval
		case c.seeksDispatcher():
			pause = seekInterval
			if attempts++; attempts%seekAttempts == 0 {
				c.rotateControlHost()
			}
		case c.hasOutdatedDepartures():
			// Once every control host has been asked and none has current departures, asking more often
			// finds no better one.
			if outdatedReplies++; outdatedReplies <= len(c.ControlHosts()) {
				pause = seekInterval
			}
			c.rotateControlHost()
		default:
			attempts, outdatedReplies = 0, 0
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

// errHeartbeatLate means that a control host did not respond within failoverTimeout. Its response is
// still used when it arrives.
var errHeartbeatLate = errors.New("the control host did not respond in time; check its load and the network links of both hosts")

// heartbeat sends one heartbeat and switches to another control host if it fails or is late.
func (c *Client) heartbeat(ctx context.Context, lateCalls *sync.WaitGroup) bool {
	address, request := c.newHeartbeat()
	if address == "" {
		return false
	}
	sent := time.Now()
	result := make(chan error, 1)
	lateCalls.Go(func() { result <- c.sendHeartbeat(ctx, address, request) })
	timer := time.NewTimer(failoverTimeout)
	defer timer.Stop()
	err := errHeartbeatLate
	select {
	case err = <-result:
	case <-timer.C:
	}
	if err != nil {
		c.heartbeatFailed(address, time.Since(sent), err)
	}
	return err == nil
}

// sendHeartbeat sends one heartbeat and applies the response.
func (c *Client) sendHeartbeat(ctx context.Context, address string, request *fleetpb.AttachRequest) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := c.opts.Control.Attach(ctx, address, request)
	c.opts.Metrics.observeHeartbeat(time.Since(sent), err)
	if err != nil {
		return err
	}
	c.handleReply(address, sent, reply)
	return nil
}

func (c *Client) newHeartbeat() (string, *fleetpb.AttachRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controlAddress == "" {
		c.controlAddress = c.nextControlHost("")
	}
	state := fleetpb.NodeState_NODE_STATE_ALIVE
	if c.leaving {
		state = fleetpb.NodeState_NODE_STATE_LEAVING
	}
	return c.controlAddress, &fleetpb.AttachRequest{
		Host: &fleetpb.Node{
			Id: c.opts.ID, Incarnation: c.opts.Incarnation, DataCentre: c.opts.DataCentre, State: state,
			EntryAddress: c.opts.EntryAddress, FleetAddress: c.opts.FleetAddress, Ready: c.ready && !c.leaving,
		},
		DeparturesLog:  c.departures.GetLog(),
		DeparturesSeen: c.departures.GetSeen(),
	}
}

// nextControlHost returns the control host after the given one. The caller holds the mutex.
func (c *Client) nextControlHost(after string) string {
	addresses := c.controlAddresses()
	if len(addresses) == 0 {
		return ""
	}
	if after == "" {
		// Entry hosts start at different control hosts, so that the heartbeats are spread.
		return addresses[c.opts.Incarnation%uint64(len(addresses))]
	}
	at, found := slices.BinarySearch(addresses, after)
	if found {
		at++
	}
	return addresses[at%len(addresses)]
}

// controlAddresses lists the known control hosts and the seeds in an order that does not depend on
// which of them responded last: in a network partition, each control host names only those on its own
// side. The caller holds the mutex.
func (c *Client) controlAddresses() []string {
	now := time.Now()
	list := slices.Clone(c.opts.Seeds())
	for address, named := range c.controlNamedAt {
		if now.Sub(named) >= controlHostRetention {
			delete(c.controlNamedAt, address)
			continue
		}
		list = append(list, address)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// rotateControlHost directs the next heartbeat to the next control host.
func (c *Client) rotateControlHost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controlAddress = c.nextControlHost(c.controlAddress)
}

func (c *Client) heartbeatFailed(address string, took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attached {
		c.attached = false
		c.opts.Logger.Warn("lost the control host", "address", address, "waited_ms", took.Milliseconds(), "err", logging.Err(err))
	}
	// A late response may have switched to another control host in the meantime.
	if c.controlAddress == address {
		c.controlAddress = c.nextControlHost(address)
	}
}

// handleReply applies the response to a heartbeat that was sent at the given time.
func (c *Client) handleReply(address string, sent time.Time, reply *fleetpb.AttachReply) {
	c.applyDepartures(sent, reply)
	c.mu.Lock()
	if !c.attached {
		c.attached = true
		c.controlAddress = address
		c.opts.Logger.Info("attached to a control host", "address", address, "answered_ms", time.Since(sent).Milliseconds(),
			"control_hosts", len(reply.GetControl()))
	}
	if known := reply.GetKnownIncarnation(); known >= c.opts.Incarnation && known > 0 {
		c.opts.Incarnation = known + 1
		c.wakeRun()
	}
	if count := int(reply.GetEntryHosts()); count > 0 {
		c.entryHosts = count
	}
	now := time.Now()
	for _, known := range reply.GetControl() {
		c.controlNamedAt[known] = now
	}
	for _, d := range reply.GetDispatchers() {
		c.updateDispatcher(d)
	}
	c.mu.Unlock()
	if c.opts.OnRevision != nil {
		c.opts.OnRevision(address, reply.GetRevision())
	}
}

// applyDepartures applies the departures in a response. Their age is as of the time of the response;
// counting it from the time at which the heartbeat was sent never understates it.
func (c *Client) applyDepartures(sent time.Time, reply *fleetpb.AttachReply) {
	age := time.Duration(reply.GetDeparturesAgeMs()) * time.Millisecond
	asOf := sent.Add(-age)
	if age < 0 {
		asOf = time.Time{}
	}
	if c.opts.Servers != nil {
		c.opts.Servers.ApplyDepartures(time.Now(), asOf, reply.GetDepartures().GetList())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures.Log, c.departures.Seen = reply.GetDepartures().GetLog(), reply.GetDepartures().GetSeen()
	c.departuresOutdated = age < 0 || age >= departuresMaxAge
}

// hasOutdatedDepartures reports whether the control host that responded last may have missed
// departures.
func (c *Client) hasOutdatedDepartures() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departuresOutdated
}

// updateDispatcher records a dispatcher unless its term is over. A control host may name a former
// dispatcher for a while, so a lower term is ignored; it is accepted once no control host has named the
// higher term for termHoldPeriod. The caller holds the mutex.
func (c *Client) updateDispatcher(d *fleetpb.Dispatcher) {
	known, ok := c.dispatchers[d.GetService()]
	now := time.Now()
	if ok && d.GetTerm() < known.Term {
		if now.Sub(c.termHeardAt[d.GetService()]) < termHoldPeriod {
			return
		}
		delete(c.endedTerms, d.GetService())
	}
	c.termHeardAt[d.GetService()] = now
	if known.Node != d.GetNode() || known.Term != d.GetTerm() {
		c.opts.Logger.Info("learned a dispatcher", "service", d.GetService(), "dispatcher", d.GetNode(), "term", d.GetTerm())
	}
	c.dispatchers[d.GetService()] = leadership.Holder{Node: d.GetNode(), Address: d.GetAddress(), Term: d.GetTerm()}
}

// endedTerm is the term of a dispatcher whose stream ended at the given time.
type endedTerm struct {
	term uint64
	at   time.Time
}

// seekPeriod is how long a host asks control hosts in quick succession for the successor of a dispatcher. The
// service may have been removed, or divided among other dispatchers.
const seekPeriod = 10 * time.Second

// seeksDispatcher reports whether a dispatcher was lost and its successor is not known, or no
// dispatcher is known at all.
func (c *Client) seeksDispatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, ended := range c.endedTerms {
		if c.dispatchers[service].Term <= ended.term && time.Since(ended.at) < seekPeriod {
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
	if term >= c.endedTerms[service].term {
		delete(c.endedTerms, service)
	}
}

// DispatcherStreamEnded implements leadership.Observer: the client immediately asks for the successor.
func (c *Client) DispatcherStreamEnded(service string) {
	c.mu.Lock()
	c.endedTerms[service] = endedTerm{term: c.dispatchers[service].Term, at: time.Now()}
	c.mu.Unlock()
	c.wakeRun()
}

// ControlHosts returns the fleet addresses of the known control hosts and the seeds. The list starts
// with the control host that this host is attached to, so that hosts which use the list in order spread
// over the control hosts.
func (c *Client) ControlHosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.controlAddresses()
	at := max(slices.Index(list, c.controlAddress), 0)
	return slices.Concat(list[at:], list[:at])
}

// EntryHosts returns the number of entry hosts as last reported by a control host; 0 if none was
// reported.
func (c *Client) EntryHosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryHosts
}

// SetReady records whether this host serves callers; a change is sent immediately.
func (c *Client) SetReady(ready bool) {
	c.mu.Lock()
	changed := c.ready != ready
	c.ready = ready
	c.mu.Unlock()
	if changed {
		c.wakeRun()
	}
}

func (c *Client) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Leave notifies every control host that this host leaves. It returns when all calls have ended or the
// context is cancelled.
func (c *Client) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	addresses := c.controlAddresses()
	c.mu.Unlock()
	_, request := c.newHeartbeat()
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, failoverTimeout)
			defer cancel()
			// A control host that cannot be notified now learns it from the others.
			_, _ = c.opts.Control.Attach(bounded, address, request)
		})
	}
	group.Wait()
}
