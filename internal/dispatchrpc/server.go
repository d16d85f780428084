package dispatchrpc

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/leadership"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/shard"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// ServerConfig holds the configuration of a Server. All fields are required.
type ServerConfig struct {
	// Node is the id of this node.
	Node      string
	Settings  Settings
	Registry  backend.Registry
	Elections leadership.Elections
	// EntryHosts lists the ids of the entry hosts that run; nil if they are the members of the services' host sets.
	EntryHosts func() []string
	Logger     *log.Logger
}

// Server dispatches every service for which this node holds the lease.
type Server struct {
	config     ServerConfig
	log        *log.Logger
	logLimiter *logging.Limiter
	mu         sync.RWMutex
	// runners holds the runner of each shard, by its name. Entries are never removed, since there are at most
	// a few hundred.
	runners map[string]*runner
	// sessions is the number of streams that all dispatchers of this process serve.
	sessions atomic.Int64
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
			s.tick()
		}
	}
}

// tick advances the dispatchers of all shards. A runner of a shard that is no longer configured resigns.
func (s *Server) tick() {
	for _, service := range s.config.Settings.Services() {
		settings, _ := s.config.Settings.Service(service)
		for _, part := range shard.All(service, settings.Shards) {
			s.runner(part)
		}
	}
	s.mu.RLock()
	runners := slices.Collect(maps.Values(s.runners))
	s.mu.RUnlock()
	for _, r := range runners {
		r.tick(time.Now())
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

// countSessions records the number of streams of one dispatcher and returns that of the process. The caller
// holds the mutex of the runner.
func (s *Server) countSessions(r *runner, sessions int) int {
	delta := int64(sessions) - r.countedSessions
	r.countedSessions += delta
	return int(s.sessions.Add(delta))
}

// View returns the view of the dispatchers of the service's shards on this node, as one view; ok is false if
// there is none.
func (s *Server) View(service string) (v dispatch.View, stats dispatch.Stats, ok bool) {
	settings, _ := s.config.Settings.Service(service)
	for _, part := range shard.All(service, settings.Shards) {
		s.mu.RLock()
		r := s.runners[part.String()]
		s.mu.RUnlock()
		if r == nil {
			continue
		}
		r.mu.Lock()
		if r.machine != nil {
			v.Merge(r.machine.View(time.Now()))
			stats.Add(r.machine.Stats())
			ok = true
		}
		r.mu.Unlock()
	}
	return v, stats, ok
}

func (s *Server) runner(part shard.Shard) *runner {
	name := part.String()
	s.mu.RLock()
	r := s.runners[name]
	s.mu.RUnlock()
	if r != nil {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r = s.runners[name]; r == nil {
		r = &runner{server: s, part: part, name: name, sessions: map[string]*session{}, closedStreams: map[string]time.Time{}}
		s.runners[name] = r
	}
	return r
}

// requestedShard returns the shard that a node asks for; ok is false if the service is not configured or is
// divided in another way.
func (s *Server) requestedShard(name string) (part shard.Shard, ok bool) {
	settings, known := s.config.Settings.Service(shard.ServiceOf(name))
	if !known {
		return part, false
	}
	for _, part := range shard.All(shard.ServiceOf(name), settings.Shards) {
		if part.String() == name {
			return part, true
		}
	}
	return part, false
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
	part, known := s.requestedShard(hello.Service)
	if !known {
		return s.redirect(stream, hello.Service)
	}
	r := s.runner(part)
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
