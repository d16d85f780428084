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

// ServerConfig holds the configuration of a Server. All fields are required.
type ServerConfig struct {
	// Node is the id of this node.
	Node      string
	Settings  Settings
	Registry  backend.Registry
	Elections leadership.Elections
	Logger    *log.Logger
}

// Server dispatches every service for which this node holds the lease.
type Server struct {
	config     ServerConfig
	log        *log.Logger
	logLimiter *logging.Limiter
	mu         sync.RWMutex
	// runners holds the runner of each service, by service name. Entries are never removed, since there are
	// at most a few hundred.
	runners map[string]*runner
}

var _ dispatchpb.DRPCDispatcherServer = (*Server)(nil)

// NewServer returns a server that grants nothing until Run is called and this node holds a lease.
func NewServer(c ServerConfig) *Server {
	return &Server{config: c, log: c.Logger.WithPrefix("dispatch"), logLimiter: logging.NewLimiter(logging.DefaultLinesPerSecond), runners: map[string]*runner{}}
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

// View returns the dispatcher's view of the service; ok is false if this node is not its dispatcher.
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
	return s.serveStream(stream)
}

// openLocal connects the node of this process without the network.
func (s *Server) openLocal(ctx context.Context) nodeStream {
	p := newPipe(ctx)
	go func() {
		defer p.cancel()
		if err := s.serveStream(pipeDispatcher{p}); err != nil {
			s.log.Debug("local stream ended", "err", logging.Err(err))
		}
	}()
	return pipeNode{p}
}

func (s *Server) serveStream(stream dispatcherStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "read the first message of a stream")
	}
	hello := first.GetHello()
	if hello.GetNode() == "" || hello.GetService() == "" {
		return errors.New("the first message of a stream has no node or service; send a hello first")
	}
	if _, known := s.config.Settings.Service(hello.Service); !known {
		return s.redirect(stream, hello.Service)
	}
	r := s.runner(hello.Service)
	sess := r.startSession(time.Now(), first)
	if sess == nil {
		return s.redirect(stream, hello.Service)
	}
	defer r.endSession(sess)
	go r.receiveLoop(sess, stream)
	return r.sendLoop(sess, stream)
}

// redirect notifies the node that this one is not the dispatcher, and names the dispatcher if it is known.
func (s *Server) redirect(stream dispatcherStream, service string) error {
	reply := &dispatchpb.NotDispatcher{}
	if holder, ok := s.config.Elections.Dispatcher(service); ok && holder.Node != s.config.Node {
		reply.Node, reply.Address = holder.Node, holder.Address
	}
	return errors.Wrap(stream.Send(&dispatchpb.DispatcherBatch{NotDispatcher: reply}), "redirect a node")
}
