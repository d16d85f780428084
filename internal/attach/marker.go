package attach

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// markTimeout and maxMarkTimeout bound one call of Mark. The first one notices soon that a connection has stopped
	// delivering data; a control host that is slow to respond gets more time with each call.
	markTimeout    = 300 * time.Millisecond
	maxMarkTimeout = 1200 * time.Millisecond
	// markRetryInterval is the pause after a call of Mark that failed.
	markRetryInterval = 50 * time.Millisecond
	// markDurableWait is how long a control host that is told of departures waits for its disk before it says that they
	// are not durable yet. It is below markTimeout, so that the sender learns that the departures are in effect.
	markDurableWait = 150 * time.Millisecond
	// maxFurtherMarks limits the marks of one call, besides the first one.
	maxFurtherMarks = 255
)

// marker tells other control hosts of departures. At most one call to a control host is in progress, and departures
// that come in the meantime are sent together in the next one: the number of calls does not grow with that of the
// departures, also if the control hosts take long to respond. It is safe for concurrent use.
type marker struct {
	opts *ServerOptions
	mu   sync.Mutex
	// queues holds the departures that each control host has yet to confirm, by fleet address. A queue exists while
	// its run method does.
	queues map[string]*markQueue
}

// markQueue holds the departures that one control host has yet to confirm.
type markQueue struct {
	waiting []*departureConfirmation
	timeout time.Duration
}

func newMarker(o *ServerOptions) *marker {
	return &marker{opts: o, queues: map[string]*markQueue{}}
}

// send tells the control host of a departure and calls the method confirmedAt once it has recorded it. A call that fails,
// or after which the departure is not durable, is repeated until the confirmation has ended.
func (m *marker) send(address string, c *departureConfirmation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queues[address]
	if q == nil {
		q = &markQueue{timeout: markTimeout}
		m.queues[address] = q
		go m.run(address, q)
	}
	q.waiting = append(q.waiting, c)
}

// run sends the departures of the queue until there are none.
func (m *marker) run(address string, q *markQueue) {
	for {
		batch := m.takeBatch(address, q)
		if len(batch) == 0 {
			return
		}
		recorded, durable, err := m.call(address, q, batch)
		for _, c := range batch[:recorded] {
			c.confirmedAt(address, durable)
		}
		if !durable {
			recorded = 0
		}
		m.putBack(q, batch[recorded:])
		if err != nil {
			m.opts.Logger.Debug("could not mark backend servers at a control host", "address", address, "marks", len(batch), "err", logging.Err(err))
		}
		if err != nil || !durable {
			time.Sleep(markRetryInterval)
		}
	}
}

// takeBatch returns the departures for the next call. It removes the queue if there are none.
func (m *marker) takeBatch(address string, q *markQueue) []*departureConfirmation {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(len(q.waiting), 1+maxFurtherMarks)
	batch := q.waiting[:n:n]
	q.waiting = q.waiting[n:]
	if n == 0 {
		delete(m.queues, address)
	}
	return batch
}

// putBack queues departures again that were not recorded, unless nobody waits for them.
func (m *marker) putBack(q *markQueue, batch []*departureConfirmation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range batch {
		if !c.hasEnded() {
			q.waiting = append(q.waiting, c)
		}
	}
}

// call sends one call and returns how many departures of the batch the control host has recorded, from the first one
// on, and whether they are durable there.
func (m *marker) call(address string, q *markQueue, batch []*departureConfirmation) (recorded int, durable bool, err error) {
	first := batch[0].mark
	request := &fleetpb.MarkRequest{
		Instance: first.Instance, Incarnation: first.Incarnation, State: first.State, KnownIncarnation: first.KnownIncarnation,
	}
	for _, c := range batch[1:] {
		request.Further = append(request.Further, c.mark)
	}
	// The call goes on when the announcement that caused it has ended, so that the control host learns of the departure
	// soon.
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	sent := time.Now()
	reply, err := m.opts.Peers.Mark(ctx, address, request)
	took := time.Since(sent)
	m.opts.Metrics.observeMark(took, err)
	if err != nil {
		q.timeout = min(2*q.timeout, maxMarkTimeout)
		return 0, false, err
	}
	q.timeout = min(max(2*took, markTimeout), maxMarkTimeout)
	return min(1+int(reply.GetFurther()), len(batch)), !reply.GetNotDurable(), nil
}
