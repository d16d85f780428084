package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

// hardHeaderFactor is how far above the limit net/http cuts headers off; between the two the
// caller gets a problem document.
const hardHeaderFactor = 2

// fixedPrefix starts the paths that the host serves itself.
const fixedPrefix = "/v1/"

// Server serves callers and announcements.
type Server struct {
	// tokens tells announcements that were held back from renewals.
	tokens  *tokenClock
	cfg     *Config
	http    *http.Server
	fixed   *mux.Router
	chain   Filter
	leaving atomic.Bool
	close   context.CancelFunc
	once    sync.Once
}

// New builds the server. It serves nothing before Serve.
func New(cfg Config) (*Server, error) {
	if cfg.Routes == nil || cfg.Grants == nil || cfg.Claims == nil || cfg.Backends == nil || cfg.Endpoints == nil {
		return nil, errors.New("entry: a collaborator is missing; set Routes, Grants, Claims, Backends and Endpoints")
	}
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	chain, err := build(ctx, Filters(), &cfg)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &Server{cfg: &cfg, chain: chain, close: cancel, tokens: newTokenClock(time.Now())}
	s.fixed = s.fixedPaths()
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: cfg.Settings.HeaderTimeout.D(),
		IdleTimeout:       cfg.Settings.IdleTimeout.D(),
		MaxHeaderBytes:    hardHeaderFactor * cfg.Settings.MaxHeaderBytes,
		ErrorLog:          cfg.Log.StandardLog(),
	}
	return s, nil
}

func (s *Server) fixedPaths() *mux.Router {
	m := mux.NewRouter().SkipClean(true)
	m.HandleFunc("/v1/endpoints", s.endpoints).Methods(http.MethodGet)
	m.HandleFunc(announcementPath, s.announce).Methods(http.MethodPut)
	m.HandleFunc(announcementPath, s.withdraw).Methods(http.MethodDelete)
	m.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuseAnnouncement(w, malformed("the path is served by the host itself and does not have this method"))
	})
	m.NotFoundHandler = http.HandlerFunc(s.serveRoute)
	return m
}

// Serve accepts connections until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if err == http.ErrServerClosed {
		return nil
	}
	return errors.WithStack(err)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.cfg.Dialect.BuiltInPaths && strings.HasPrefix(r.URL.Path, fixedPrefix) {
		s.fixed.ServeHTTP(w, r)
		return
	}
	s.serveRoute(w, r)
}

func (s *Server) serveRoute(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{ctx: r.Context(), w: w, r: r, dialect: s.cfg.Dialect, arrived: time.Now(), leaving: s.leaving.Load()}
	// The recovery filter, which is the first, returns no error.
	_ = s.chain.Handle(x)
}

// Leave marks the host as leaving: answers ask callers to close their connections.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Leaving tells whether the host is leaving. Endpoint answers of all hosts must leave it out.
func (s *Server) Leaving() bool {
	return s.leaving.Load()
}

// Shutdown leaves, keeps accepting until no caller should use this host any more, then stops
// listening and finishes every request in flight. If the context ends first, it stops waiting
// for callers to go away, but still finishes the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.cfg.Log.Info("leaving; still accepting requests", "for", s.cfg.LeaveFor)
	timer := time.NewTimer(s.cfg.LeaveFor)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	// Requests end at their own deadlines, so this wait is bounded.
	err := s.http.Shutdown(context.WithoutCancel(ctx))
	s.once.Do(s.close)
	s.cfg.Log.Info("stopped; no request is in flight")
	return errors.WithStack(err)
}
