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

	"github.com/tarragonmux/tarragonmux/internal/entry/readahead"
	"github.com/tarragonmux/tarragonmux/internal/httpstop"
	"github.com/tarragonmux/tarragonmux/internal/inbound"
)

// hardHeaderFactor multiplied by the configured limit is the size of headers above which net/http itself
// rejects a request. Between the limit and this size the caller gets a problem document.
const hardHeaderFactor = 2

// builtInPrefix is the prefix of the paths that the host serves itself.
const builtInPrefix = "/v1/"

// Server serves callers and the announcements of backend servers.
type Server struct {
	// tokens distinguishes announcements that were delayed on their way from renewals.
	tokens     *tokenIssuer
	cfg        *Config
	http       *http.Server
	builtIn    *mux.Router
	filters    Filter
	leaving    atomic.Bool
	cancel     context.CancelFunc
	cancelOnce sync.Once
	listener   atomic.Pointer[httpstop.Listener]
}

// New returns a server that serves nothing until Serve is called.
func New(cfg Config) (*Server, error) {
	if cfg.Routes == nil || cfg.Grants == nil || cfg.Claims == nil || cfg.Backends == nil || cfg.Endpoints == nil {
		return nil, errors.New("entry: a dependency is missing; set Routes, Grants, Claims, Backends and Endpoints")
	}
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	chain, err := buildChain(ctx, Filters(), &cfg)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &Server{cfg: &cfg, filters: chain, cancel: cancel, tokens: newTokenIssuer(time.Now())}
	s.builtIn = s.builtInRouter()
	s.http = &http.Server{
		Handler:           cfg.Inbound.Handler(s),
		ReadHeaderTimeout: cfg.Settings.HeaderTimeout.D(),
		IdleTimeout:       cfg.Settings.IdleTimeout.D(),
		MaxHeaderBytes:    hardHeaderFactor * cfg.Settings.MaxHeaderBytes,
		ErrorLog:          cfg.Log.StandardLog(),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return inbound.Context(readahead.Context(ctx, conn), conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			httpstop.ConnState(conn, state)
			inbound.ConnState(conn, state)
		},
		// net/http would respond with 200 to OPTIONS *, which no backend server has run.
		DisableGeneralOptionsHandler: true,
	}
	return s, nil
}

func (s *Server) builtInRouter() *mux.Router {
	m := mux.NewRouter().SkipClean(true)
	m.HandleFunc("/v1/endpoints", s.handleEndpoints).Methods(http.MethodGet)
	m.HandleFunc(announcementPath, s.handleAnnounce).Methods(http.MethodPut)
	m.HandleFunc(announcementPath, s.handleWithdraw).Methods(http.MethodDelete)
	m.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refuseAndClose(w, malformedRequest("the path is served by the host itself and does not have this method"))
	})
	m.NotFoundHandler = http.HandlerFunc(s.serveRoute)
	return m
}

// Serve accepts connections until Shutdown and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	listener := httpstop.NewListener(s.cfg.Inbound.Listen(readahead.NewListener(l)))
	s.listener.Store(listener)
	err := s.http.Serve(listener)
	if err == http.ErrServerClosed || listener.Stopped() {
		return nil
	}
	return errors.WithStack(err)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.cfg.Dialect.BuiltInPaths && strings.HasPrefix(r.URL.Path, builtInPrefix) {
		s.builtIn.ServeHTTP(w, r)
		return
	}
	s.serveRoute(w, r)
}

func (s *Server) serveRoute(w http.ResponseWriter, r *http.Request) {
	held := &heldMemory{memory: s.cfg.Pool.Memory, free: freeBodyBytes}
	defer held.end()
	kept := &heldMemory{memory: s.cfg.BodyMemory, free: freeKeptBytes}
	defer kept.end()
	x := &Exchange{
		ctx: r.Context(), w: w, r: r, dialect: s.cfg.Dialect, arrivedAt: time.Now(), leaving: s.leaving.Load(), held: held, kept: kept,
	}
	// The recovery filter, which is the first one, returns no error.
	_ = s.filters.Handle(x)
}

// Leave marks the host as leaving: responses ask callers to close their connections.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.cfg.stopping.begin(time.Now())
}

// Leaving reports whether the host is leaving. All hosts must omit a leaving host from their
// endpoint lists.
func (s *Server) Leaving() bool {
	return s.leaving.Load()
}

// Shutdown marks the host as leaving and continues to accept requests for Config.LeaveFor, until no
// caller should use this host any more. Then it stops listening and finishes all requests in
// flight. If the context ends first, it stops listening immediately but still finishes the requests
// in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	s.cfg.Log.Info("leaving; still accepting requests", "for", s.cfg.LeaveFor)
	timer := time.NewTimer(s.cfg.LeaveFor)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	// Each request ends at its own deadline, or at the end of Config.StopAfter, so this wait is bounded.
	err := s.stopServing(context.WithoutCancel(ctx))
	s.cancelOnce.Do(s.cancel)
	s.cfg.Log.Info("stopped; no request is in flight")
	return errors.WithStack(err)
}

func (s *Server) stopServing(ctx context.Context) error {
	if listener := s.listener.Load(); listener != nil {
		if err := listener.Stop(ctx); err != nil {
			return err
		}
	}
	return s.http.Shutdown(ctx)
}
