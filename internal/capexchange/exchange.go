package capexchange

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/transport"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const (
	// Interval is the time between two reports.
	Interval = 250 * time.Millisecond
	// callTimeout bounds one call. A report that takes longer is replaced by the next one.
	callTimeout = 500 * time.Millisecond
	// partRetention is how long the last report of a part is remembered, so that a late one is not merged after it.
	partRetention = time.Minute
)

// Dispatchers are the dispatchers of this process.
type Dispatchers interface {
	ReportDemand() []*fleetpb.PartDemand
	MergeDemand(reports []*fleetpb.PartDemand) (parts []string)
	DemandDelivered(reports []*fleetpb.PartDemand, parts []string)
}

// Client sends reports to another control host.
type Client interface {
	ShareDemand(ctx context.Context, address string, r *fleetpb.DemandReport) (*fleetpb.DemandReply, error)
}

// Options configure an Exchange.
type Options struct {
	Local Dispatchers
	// Peers returns the fleet addresses of the other control hosts that dispatch a service.
	Peers  func() []string
	Client Client
	Logger *log.Logger
}

// Exchange sends and receives reports. It is safe for concurrent use.
type Exchange struct {
	opts Options

	mu sync.Mutex
	// busy holds the peers with a call in progress.
	busy map[string]bool
	// latest holds the last report that was merged of each part.
	latest map[string]position
}

// position identifies a report of a part.
type position struct {
	term, number uint64
	at           time.Time
}

// New returns an exchange that sends nothing until Run is called.
func New(o Options) *Exchange {
	o.Logger = o.Logger.WithPrefix("caps")
	return &Exchange{opts: o, busy: map[string]bool{}, latest: map[string]position{}}
}

// Run sends reports until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		reports := e.opts.Local.ReportDemand()
		if len(reports) == 0 {
			continue
		}
		// Dispatchers of this process learn of each other without a call.
		e.opts.Local.DemandDelivered(reports, e.Receive(&fleetpb.DemandReport{Parts: reports}).GetParts())
		for _, address := range e.idlePeers() {
			calls.Go(func() { e.send(ctx, address, reports) })
		}
	}
}

// idlePeers returns the peers without a call in progress and marks them as busy.
func (e *Exchange) idlePeers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var idle []string
	for _, address := range e.opts.Peers() {
		if !e.busy[address] {
			e.busy[address] = true
			idle = append(idle, address)
		}
	}
	return idle
}

func (e *Exchange) send(ctx context.Context, address string, reports []*fleetpb.PartDemand) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := e.opts.Client.ShareDemand(ctx, address, &fleetpb.DemandReport{Parts: reports})
	if err != nil {
		e.opts.Logger.Debug("could not send the demand of teams to a control host", "address", address, "err", logging.Err(err))
	} else {
		e.opts.Local.DemandDelivered(reports, reply.GetParts())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.busy, address)
}

// Receive merges the reports of a control host that are newer than those merged before. Those of this process go the same
// way: after a suspension it may report for a part that another one dispatches by now.
func (e *Exchange) Receive(r *fleetpb.DemandReport) *fleetpb.DemandReply {
	// The mutex is held during the merge, so that two calls cannot change places.
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var newer []*fleetpb.PartDemand
	for _, part := range r.GetParts() {
		last := e.latest[part.GetPart()]
		if part.GetTerm() < last.term || part.GetTerm() == last.term && part.GetNumber() <= last.number {
			continue
		}
		e.latest[part.GetPart()] = position{part.GetTerm(), part.GetNumber(), now}
		newer = append(newer, part)
	}
	for part, p := range e.latest {
		if now.Sub(p.at) >= partRetention {
			delete(e.latest, part)
		}
	}
	if len(newer) == 0 {
		return &fleetpb.DemandReply{}
	}
	return &fleetpb.DemandReply{Parts: e.opts.Local.MergeDemand(newer)}
}

type poolClient struct {
	pool *transport.Pool
}

// NewClient returns a client that uses the pool's connections.
func NewClient(pool *transport.Pool) Client {
	return &poolClient{pool: pool}
}

func (c *poolClient) ShareDemand(ctx context.Context, address string, r *fleetpb.DemandReport) (*fleetpb.DemandReply, error) {
	reply, err := fleetpb.NewDRPCFleetClient(c.pool.Conn(ctx, address)).ShareDemand(ctx, r)
	return reply, errors.Wrapf(err, "share the demand of teams with %s; check that the process runs and can be reached", address)
}
