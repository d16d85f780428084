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
	// idleTimeout is longer than the time for which the proxy keeps idle connections, so that the server
	// does not close a connection that the proxy is about to use.
	idleTimeout       = time.Minute
	readHeaderTimeout = 5 * time.Second
	// pollInterval is the time between attempts to listen again after a crash, and between checks of the
	// remaining work while draining.
	pollInterval = 20 * time.Millisecond
)

// Server is a simulated backend server. It is safe for concurrent use.
type Server struct {
	cfg     Config
	ledger  *ledger
	control *http.Server
	// controlListener stays open until Close, also during a simulated crash.
	controlListener net.Listener

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// token is the one from the last response to an announcement; only the announcing goroutine uses it.
	token string
	// arrived counts the work requests that reached the server, run or not.
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

// process is the state of one simulated server process, from its start to its crash.
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
	// pending counts all work from its arrival to the end of its response.
	pending atomic.Int64
}

// New returns a stand-in server that does not listen before Start.
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

// Start listens and starts serving and announcing, which continue until Close.
func (s *Server) Start() error {
	control, err := net.Listen("tcp", s.cfg.ControlAddress)
	if err != nil {
		return errors.Wrap(err, "standin: cannot listen on the control address; choose a free one")
	}
	if err := s.startProcess(); err != nil {
		// Nothing has been accepted yet, so an error does not matter.
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

// startProcess starts a simulated process: cold, with a new incarnation, at the address of the previous one.
func (s *Server) startProcess() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("standin: the server is closed; create a new one")
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "standin: cannot listen on the work address; choose a free one")
	}
	s.address = l.Addr().String()
	// The wall clock makes incarnations increase across restarts of the real process. The second term makes
	// them increase if two starts fall into the same millisecond.
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

// Address returns the ip:port of the work listener.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ControlAddress returns the ip:port of the control listener.
func (s *Server) ControlAddress() string {
	return s.controlListener.Addr().String()
}

// Instance returns the name of the instance.
func (s *Server) Instance() string {
	return s.cfg.Instance
}

// Incarnation returns the incarnation of the current process, or of the last one while the server is down.
func (s *Server) Incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults. If inbound connections are refused, the open ones are reset.
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

// Arrivals returns the number of work requests that reached the server, run or not.
func (s *Server) Arrivals() int {
	return int(s.arrived.Load())
}

// Server returns the current announcement.
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

// state returns the state to announce, which is Left while the server is down.
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

// Drain announces draining and rejects new work. It returns when the accepted work has ended, or with an
// error if the context ends first.
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
			return errors.Wrap(context.Cause(ctx), "standin: draining ended before all work had finished")
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

// Crash resets all connections and stops listening. The server starts again after RestartAfter.
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
	// The listener is closed first, so that no client that saw its connection reset can connect again. The
	// connections are reset before the work is cancelled, so that work ending now cannot send a response.
	_ = p.listener.Close()
	p.listener.(*limitedListener).resetAll()
	// This also closes connections that were accepted in the meantime.
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
		s.cfg.Log.Warn("cannot restart after the simulated crash; retrying", "error", err)
		if !sleep(s.ctx, pollInterval) {
			return
		}
	}
}

// Close withdraws the announcement, cancels all work and returns when all goroutines have ended.
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

// sleep waits for d. It returns false if the context ended first.
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
