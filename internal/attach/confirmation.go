package attach

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/membership"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// recheckInterval is how often an unconfirmed departure is compared with the control group and the dispatchers, which
// may have changed.
const recheckInterval = 100 * time.Millisecond

// ErrNotConfirmed means that the dispatcher has not confirmed a departure, or that it is not durable at a majority of the
// control group.
var ErrNotConfirmed = errors.New("the control hosts could not be told; send it again, best to another control host")

// callerGoneWait is how long a withdrawal that names no process waits for the end of its connection or call. A host
// that was paused reads the withdrawal and that end together.
const callerGoneWait = 50 * time.Millisecond

// ErrSenderGone means that the sender of a withdrawal that names no process no longer waits for the confirmation. It
// may have told another control host and started again since.
var ErrSenderGone = errors.New("the sender has disconnected; state the incarnation of the process that leaves")

// RecordDeparture marks a backend server as draining or left and returns nil once the dispatchers of
// its services have confirmed the mark and it is on the disks of a majority of the control group. Every other control host
// polls a majority before it reports its departures to an entry host as current, so within pollInterval
// and a heartbeat all hosts that may send requests to the server know it too. Errors: ErrNotConfirmed, ErrSenderGone,
// MalformedError.
func (s *Server) RecordDeparture(ctx context.Context, d backend.Departure) error {
	instance, incarnation, state := d.Instance, d.Incarnation, d.State
	if err := membership.CheckDeparture(instance, max(incarnation, d.UpTo)); err != nil {
		s.opts.Metrics.observeRefusal(err)
		return err
	}
	started := time.Now()
	if incarnation == 0 && callerGone(ctx) {
		s.opts.Logger.Info("ignored the withdrawal of a backend server whose sender has disconnected", "instance", instance)
		return ErrSenderGone
	}
	c := s.newConfirmation(d)
	defer c.end()
	err := c.await(ctx)
	took := time.Since(started)
	s.opts.Metrics.observeDeparture(took, err)
	if err != nil {
		c.logUnconfirmed(ctx, took)
		return err
	}
	s.tracker.noteConfirmed(instance, incarnation, state)
	if c.isNew || !c.repeated && len(c.requested) > 0 {
		told, durable := c.confirmations()
		s.opts.Logger.Info("took a backend server out", "instance", instance, "incarnation", incarnation,
			"state", state.String(), "services", c.services, "told", told, "durable_at", durable, "took_ms", took.Milliseconds())
	}
	return nil
}

// callerGone reports whether the caller disconnects or cancels at once or has done so.
func callerGone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
	case <-time.After(callerGoneWait):
	}
	return ctx.Err() != nil
}

// departureConfirmation is the state of one call of RecordDeparture.
type departureConfirmation struct {
	server   *Server
	mark     *fleetpb.Mark
	services []string
	// isNew is set if this host did not know the departure, or does not know that the server has left.
	isNew bool
	// repeated is set if this process has confirmed the departure before. A draining server repeats it with
	// each announcement. Only the hosts that must confirm are then told again, unless they are known to have recorded
	// it, in case they have restarted.
	repeated bool
	// requested holds the fleet addresses of the control hosts that are being told. Only RecordDeparture uses it.
	requested map[string]bool
	// changed signals that a control host has confirmed; it buffers one signal.
	changed chan struct{}

	mu sync.Mutex
	// confirmedBy holds the fleet addresses of the control hosts that give the server no new work; durableAt those of
	// them at which the mark is durable.
	confirmedBy, durableAt map[string]bool
	// ended is set once RecordDeparture has returned.
	ended bool
}

func (s *Server) newConfirmation(d backend.Departure) *departureConfirmation {
	instance, incarnation, state := d.Instance, d.Incarnation, d.State
	mark := &fleetpb.Mark{Instance: instance, Incarnation: incarnation, State: fleetpb.ServerState(state)}
	if incarnation == 0 {
		mark.KnownIncarnation = d.UpTo
	}
	services, isNew := s.mark(mark)
	if incarnation == 0 {
		mark.KnownIncarnation = s.tracker.recordedIncarnation(instance)
	}
	c := &departureConfirmation{
		server: s, mark: mark,
		services: services, isNew: isNew || state == backend.Left, repeated: s.tracker.wasConfirmed(instance, incarnation, state),
		requested: map[string]bool{}, changed: make(chan struct{}, 1),
		confirmedBy: map[string]bool{s.opts.Address: true}, durableAt: map[string]bool{},
	}
	if state == backend.Draining && incarnation > 0 {
		for _, address := range s.tracker.recordedBy(instance, incarnation) {
			c.confirmedBy[address], c.durableAt[address] = true, true
		}
	}
	return c
}

// await tells the control hosts and waits until enough of them have confirmed. Errors: ErrNotConfirmed.
func (c *departureConfirmation) await(ctx context.Context) error {
	durableChange := c.checkOwnDisk()
	if c.confirmed() {
		return nil
	}
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	c.requestMarks()
	for !c.confirmed() {
		select {
		case <-ctx.Done():
			return ErrNotConfirmed
		case <-c.changed:
		case <-durableChange:
			durableChange = c.checkOwnDisk()
		case <-ticker.C:
			c.requestMarks()
		}
	}
	return nil
}

// checkOwnDisk counts this host once the mark is durable here. Otherwise it returns a channel that is closed when that
// may have changed.
func (c *departureConfirmation) checkOwnDisk() <-chan struct{} {
	changed := c.server.tracker.durableChange()
	if !c.server.tracker.isDurable(c.mark.GetInstance(), c.mark.GetIncarnation()) {
		return changed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.durableAt[c.server.opts.Address] = true
	return nil
}

// requestMarks tells the control hosts that have not been told.
func (c *departureConfirmation) requestMarks() {
	for _, address := range c.pendingControlHosts() {
		if !c.requested[address] {
			c.requested[address] = true
			c.server.marker.send(address, c)
		}
	}
}

// confirmedAt records that a control host has confirmed the mark, and whether it is durable there.
func (c *departureConfirmation) confirmedAt(address string, durable bool) {
	c.mu.Lock()
	c.confirmedBy[address] = true
	if durable {
		c.durableAt[address] = true
	}
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *departureConfirmation) hasConfirmed(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedBy[address]
}

func (c *departureConfirmation) isDurableAt(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.durableAt[address]
}

// confirmations returns the number of control hosts that have confirmed, including this one, and at how many of them the
// mark is durable.
func (c *departureConfirmation) confirmations() (confirmed, durable int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.confirmedBy), len(c.durableAt)
}

func (c *departureConfirmation) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

func (c *departureConfirmation) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// confirmed reports whether enough hosts have confirmed: a majority of the control group durably, also of the
// previous one after a change of hosts, and the dispatchers of all affected services.
func (c *departureConfirmation) confirmed() bool {
	fleet := c.server.opts.Source.Fleet()
	return fleet != nil && c.hasMajorities(fleet) && len(c.missingDispatchers(fleet)) == 0
}

// hasMajorities reports whether the mark is durable at a majority of the control group, also of the previous one after a
// change of hosts.
func (c *departureConfirmation) hasMajorities(fleet *hostset.Fleet) bool {
	return c.hasMajority(fleet.Hosts) && (len(fleet.PreviousHosts) == 0 || c.hasMajority(fleet.PreviousHosts))
}

// missingDispatchers lists the shards of the affected services whose dispatchers have not confirmed.
func (c *departureConfirmation) missingDispatchers(fleet *hostset.Fleet) (missing []string) {
	for _, part := range fleet.Services {
		if !c.concerns(part.Name) {
			continue
		}
		if h, ok := c.server.opts.Elections.Dispatcher(part.Name); ok && !c.hasConfirmed(h.Address) {
			missing = append(missing, part.Name+"="+h.Node)
		}
	}
	return missing
}

// concerns reports whether the dispatchers of the shard may send requests to the backend server. All shards
// of a service count, since the number of shards may be changing.
func (c *departureConfirmation) concerns(shardName string) bool {
	return slices.Contains(c.services, shard.ServiceOf(shardName))
}

func (c *departureConfirmation) hasMajority(group []hostset.Host) bool {
	count := 0
	for _, h := range group {
		if c.isDurableAt(h.FleetAddress) {
			count++
		}
	}
	return 2*count > len(group)
}

// pendingControlHosts lists the other control hosts to tell: all at which the mark is not durable if the departure is
// new to this host, and otherwise those that must confirm it.
func (c *departureConfirmation) pendingControlHosts() []string {
	var list []string
	add := func(address string) {
		if address != "" && address != c.server.opts.Address && !c.isDurableAt(address) && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	if fleet := c.server.opts.Source.Fleet(); fleet != nil {
		if c.isNew || !c.hasMajorities(fleet) {
			for _, h := range slices.Concat(fleet.Hosts, fleet.PreviousHosts) {
				add(h.FleetAddress)
			}
		}
		for _, part := range fleet.Services {
			if h, ok := c.server.opts.Elections.Dispatcher(part.Name); ok && c.concerns(part.Name) && !c.hasConfirmed(h.Address) {
				add(h.Address)
			}
		}
	}
	if c.repeated || !c.isNew {
		return list
	}
	for _, m := range c.server.opts.Registry.Members() {
		if m.State <= fleetpb.NodeState_NODE_STATE_SUSPECT {
			add(m.FleetAddress)
		}
	}
	return list
}

// logUnconfirmed logs why a departure was not confirmed before the context ended. A sender that disconnects says
// nothing about the control hosts, as when a server announces its departure again in its last moment.
func (c *departureConfirmation) logUnconfirmed(ctx context.Context, waited time.Duration) {
	told, durable := c.confirmations()
	fields := []any{"instance", c.mark.GetInstance(), "repeated", c.repeated, "waited_ms", waited.Milliseconds(), "told", told, "durable_at", durable}
	if errors.Is(ctx.Err(), context.Canceled) {
		c.server.opts.Logger.Info("the sender of a departure disconnected before it was confirmed", fields...)
		return
	}
	var group int
	var dispatchers []string
	if fleet := c.server.opts.Source.Fleet(); fleet != nil {
		group, dispatchers = len(fleet.Hosts), c.missingDispatchers(fleet)
	}
	c.server.opts.Logger.Warn("departure of a backend server was not confirmed",
		append(fields, "group", group, "missing", c.pendingControlHosts(), "missing_dispatchers", dispatchers)...)
}
