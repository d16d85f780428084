package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

const (
	announcerIdleTimeout = 5 * time.Second
	// idleTimeout is longer than the proxy keeps idle connections.
	idleTimeout       = time.Minute
	readHeaderTimeout = 5 * time.Second
	// pollInterval is the pause between attempts to listen again after a crash.
	pollInterval = 20 * time.Millisecond
)

// Server is one stand-in backend server. It is safe for concurrent use.
type Server struct {
	cfg     Config
	ledger  *ledger
	control *http.Server
	// controlListener never closes before Close.
	controlListener net.Listener

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// token is that of the last answer to an announcement; only the announcing goroutine uses it.
	token string
	// arrived counts the requests for work that reached the server.
	arrived atomic.Int64

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	faultsSetAt time.Time
	process     *process
	address     string
	draining    bool
	// faultsChanged is closed and replaced when the faults change, to wake stalled work.
	faultsChanged chan struct{}
	incarnation   uint64
	samples       []statusSample
	closed        bool
}

// process is the time from one start to the next crash.
type process struct {
	ctx         context.Context
	cancel      context.CancelFunc
	listener    net.Listener
	http        *http.Server
	startedAt   time.Time
	incarnation uint64
	slots       chan struct{}
	waiting     atomic.Int64
	running     atomic.Int64
	// pending counts all work from arrival to the end of its answer.
	pending atomic.Int64
}

// New builds a stand-in. It listens after Start.
func New(cfg Config) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg: cfg, ledger: newLedger(cfg.LedgerLimit), ctx: ctx, cancel: cancel,
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), faultsChanged: make(chan struct{}), address: cfg.Address,
	}, nil
}

// Start listens, serves and announces until Close.
func (s *Server) Start() error {
	control, err := net.Listen("tcp", s.cfg.ControlAddress)
	if err != nil {
		return errors.Wrap(err, "standin: cannot listen for control; choose a free control address")
	}
	if err := s.startProcess(); err != nil {
		// The listener was not served yet.
		_ = control.Close()
		return err
	}
	s.controlListener = control
	s.control = &http.Server{Handler: s.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	s.spawn(func() { _ = s.control.Serve(control) })
	s.spawn(s.recordSamples)
	if len(s.cfg.Entries) > 0 {
		s.spawn(s.announceUntilClosed)
	}
	return nil
}

func (s *Server) spawn(task func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		task()
	}()
}

// startProcess starts a life: cold, with a new incarnation, at the address of the last one.
func (s *Server) startProcess() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("standin: the server is closed; build a new one")
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "standin: cannot listen for work; choose a free address")
	}
	s.address = l.Addr().String()
	// The wall clock makes incarnations rise over restarts of the process; the second term over fast crashes.
	s.incarnation = max(uint64(time.Now().UnixMilli()), s.incarnation+1)
	ctx, cancel := context.WithCancel(s.ctx)
	p := &process{
		ctx: ctx, cancel: cancel, startedAt: time.Now(), incarnation: s.incarnation, slots: make(chan struct{}, s.cfg.Slots),
	}
	p.listener = &limitedListener{Listener: l, refuse: s.refusesInbound, limit: int64(s.cfg.Connections)}
	p.http = &http.Server{
		Handler: s.workHandler(p), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	s.process = p
	s.spawn(func() { _ = p.http.Serve(p.listener) })
	return nil
}

// Address returns the ip:port for work.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ControlAddress returns the ip:port of the control listener.
func (s *Server) ControlAddress() string {
	return s.controlListener.Addr().String()
}

// Instance returns the instance's name.
func (s *Server) Instance() string {
	return s.cfg.Instance
}

// Incarnation returns the incarnation of the current or last life.
func (s *Server) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.faultsSetAt = time.Now()
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	p := s.process
	s.mu.Unlock()
	if f.RefuseInbound && p != nil {
		p.listener.(*limitedListener).resetAll()
	}
}

// Ledger returns a copy of the log of work.
func (s *Server) Ledger() Ledger {
	return s.ledger.snapshot()
}

// Arrivals returns how many requests for work reached the server, run or not.
func (s *Server) Arrivals() int {
	return int(s.arrived.Load())
}

// Server returns what would be announced now.
func (s *Server) Server() backend.Server {
	state := s.state()
	load := s.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ReportIdle {
		load = 0
	}
	return backend.Server{
		Service: s.cfg.Service, Instance: s.cfg.Instance, Incarnation: s.incarnation, Address: s.address,
		DataCentre: s.cfg.DataCentre, State: state, Slots: s.cfg.Slots, Connections: s.cfg.Connections,
		WarmUp: s.cfg.WarmUp, Load: load,
	}
}

// state returns the announced state; Left while the server is down.
func (s *Server) state() backend.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.process == nil:
		return backend.Left
	case s.draining:
		return backend.Draining
	case time.Since(s.process.startedAt) < s.cfg.ColdStart:
		return backend.Starting
	default:
		return backend.Ready
	}
}

// Drain announces draining, rejects new work, and returns when the accepted work has ended or the
// context has.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.pendingWork() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(context.Cause(ctx), "standin: work is still running")
		}
	}
	return nil
}

func (s *Server) pendingWork() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return 0
	}
	return s.process.pending.Load()
}

// Resume ends draining.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
}

// Crash breaks all connections and stops listening. The server starts again after RestartAfter.
func (s *Server) Crash() {
	s.mu.Lock()
	p := s.process
	s.process = nil
	restart := !s.closed && s.cfg.RestartAfter >= 0
	if p != nil && restart {
		s.spawn(s.restart)
	}
	s.mu.Unlock()
	if p != nil {
		p.abort()
	}
}

func (p *process) abort() {
	// The listener closes first, so that nobody who saw the break can connect again. The connections
	// break before the work is cancelled, so that no work that ends now can still answer.
	_ = p.listener.Close()
	p.listener.(*limitedListener).resetAll()
	// Closing also breaks connections that were accepted meanwhile.
	_ = p.http.Close()
	p.cancel()
}

func (s *Server) restart() {
	if !sleep(s.ctx, s.cfg.RestartAfter) {
		return
	}
	for {
		err := s.startProcess()
		if err == nil || s.ctx.Err() != nil {
			return
		}
		s.cfg.Log.Warn("cannot start again; retrying", "error", err)
		if !sleep(s.ctx, pollInterval) {
			return
		}
	}
}

// Close withdraws the announcement, ends all work and returns when nothing runs any more.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	p := s.process
	s.process = nil
	s.mu.Unlock()
	s.withdraw()
	s.cancel()
	if p != nil {
		p.abort()
	}
	if s.control != nil {
		_ = s.control.Close()
	}
	s.tasks.Wait()
	s.cfg.Client.CloseIdleConnections()
}

// sleep returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
