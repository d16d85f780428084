package dispatchrpc

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// ServerConfig holds what a Server needs. All fields are required.
type ServerConfig struct {
	// Node is the id of this node.
	Node      string
	Settings  Settings
	Registry  backend.Registry
	Elections leadership.Elections
	Logger    *log.Logger
}

// Server dispatches every service on which this node holds the lease.
type Server struct {
	config ServerConfig
	log    *log.Logger
	lines  *logging.Limiter
	mu     sync.RWMutex
	// runners by service; entries are never removed, since there are at most a few hundred.
	runners map[string]*runner
}

var _ dispatchpb.DRPCDispatcherServer = (*Server)(nil)

// NewServer returns a server that grants nothing until Run is called and a lease is held.
func NewServer(c ServerConfig) *Server {
	return &Server{config: c, log: c.Logger.WithPrefix("dispatch"), lines: logging.NewLimiter(logging.DefaultLinesPerSecond), runners: map[string]*runner{}}
}

// Run drives the state machines until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return nil
		case <-ticker.C:
			for _, service := range s.config.Settings.Services() {
				s.runner(service).tick(time.Now())
			}
		}
	}
}

func (s *Server) stop() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, r := range s.runners {
		r.mu.Lock()
		r.resign()
		r.mu.Unlock()
	}
}

// View returns what the dispatcher of the service sees; ok is false if this node is not it.
func (s *Server) View(service string) (v dispatch.View, stats dispatch.Stats, ok bool) {
	s.mu.RLock()
	r := s.runners[service]
	s.mu.RUnlock()
	if r == nil {
		return v, stats, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.machine == nil {
		return v, stats, false
	}
	return r.machine.View(time.Now()), r.machine.Stats(), true
}

func (s *Server) runner(service string) *runner {
	s.mu.RLock()
	r := s.runners[service]
	s.mu.RUnlock()
	if r != nil {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r = s.runners[service]; r == nil {
		r = &runner{server: s, service: service, sessions: map[string]*session{}}
		s.runners[service] = r
	}
	return r
}

// Stream serves one node. It implements dispatchpb.DRPCDispatcherServer.
func (s *Server) Stream(stream dispatchpb.DRPCDispatcher_StreamStream) error {
	return s.serve(stream)
}

// open connects the node of this process without the network.
func (s *Server) open(ctx context.Context) nodeLink {
	p := newPipe(ctx)
	go func() {
		defer p.cancel()
		if err := s.serve(pipeDispatcher{p}); err != nil {
			s.log.Debug("local stream ended", "err", logging.Err(err))
		}
	}()
	return pipeNode{p}
}

func (s *Server) serve(link dispatcherLink) error {
	first, err := link.Recv()
	if err != nil {
		return errors.Wrap(err, "read the first message of a stream")
	}
	hello := first.GetHello()
	if hello.GetNode() == "" || hello.GetService() == "" {
		return errors.New("the first message of a stream has no node or service; send a hello first")
	}
	if _, known := s.config.Settings.Service(hello.Service); !known {
		return s.redirect(link, hello.Service)
	}
	r := s.runner(hello.Service)
	x := r.join(time.Now(), first)
	if x == nil {
		return s.redirect(link, hello.Service)
	}
	defer r.leave(x)
	go r.receive(x, link)
	return r.send(x, link)
}

// redirect tells the node who the dispatcher is.
func (s *Server) redirect(link dispatcherLink, service string) error {
	reply := &dispatchpb.NotDispatcher{}
	if holder, ok := s.config.Elections.Dispatcher(service); ok && holder.Node != s.config.Node {
		reply.Node, reply.Address = holder.Node, holder.Address
	}
	return errors.Wrap(link.Send(&dispatchpb.DispatcherBatch{NotDispatcher: reply}), "redirect a node")
}
