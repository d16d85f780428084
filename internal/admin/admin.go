// Package admin serves metrics, health and readiness of a process over HTTP.
//
// /healthz returns 200 while the process runs. /readyz returns 200 if every component
// is ready to do its work, and 503 with the reasons otherwise. /metrics returns the
// metrics in the Prometheus format.
package admin

import (
	"context"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/tarragonmux/tarragonmux/internal/inbound"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
)

const (
	headerTimeout = 5 * time.Second
	// readTimeout and writeTimeout bound a request and its response, and idleTimeout the time between two. Collectors
	// of metrics ask each 15 to 30 s.
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// NewRegistry returns a metrics registry with the process's own metrics and the invariant counters.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "tarragonmux_invariant_violations_total",
			Help: "Violated invariants; any value above 0 is a defect of the program.",
		}, func() float64 { return float64(invariant.Total()) }),
	)
	return registry
}

// Readiness collects the reasons why a process is not ready. It is safe for concurrent use.
type Readiness struct {
	mu sync.Mutex
	// reasons maps each component that is not ready to its reason.
	reasons map[string]string
}

// NewReadiness returns a Readiness in which every listed component is still starting.
func NewReadiness(components ...string) *Readiness {
	r := &Readiness{reasons: map[string]string{}}
	for _, component := range components {
		r.reasons[component] = "starting"
	}
	return r
}

// Set marks a component as ready if the reason is empty, and otherwise as not ready for the reason.
func (r *Readiness) Set(component, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason == "" {
		delete(r.reasons, component)
		return
	}
	r.reasons[component] = reason
}

// Reasons returns "component: reason" for each component that is not ready.
func (r *Readiness) Reasons() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	reasons := make([]string, 0, len(r.reasons))
	for component, reason := range r.reasons {
		reasons = append(reasons, component+": "+reason)
	}
	sort.Strings(reasons)
	return reasons
}

// Handler returns the handler of the admin listener.
func Handler(registry *prometheus.Registry, readiness *Readiness) http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}).Methods(http.MethodGet)
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		reasons := readiness.Reasons()
		if len(reasons) > 0 {
			http.Error(w, strings.Join(reasons, "\n"), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}).Methods(http.MethodGet)
	return router
}

// Serve handles requests on the listener until the context ends. Its connections count against the budget.
func Serve(ctx context.Context, l net.Listener, handler http.Handler, budget *inbound.Budget) error {
	server := &http.Server{
		Handler:           budget.Handler(handler),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       inbound.Context,
		ConnState:         inbound.ConnState,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(budget.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the admin listener")
	}
	return nil
}
