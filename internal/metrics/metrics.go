// Package metrics counts finished requests for Prometheus.
//
// Labels are bounded: service and priority come from the configuration, outcomes
// from a fixed list. Teams are not a label.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragonmux/tarragonmux/internal/entry"
)

// latencyBuckets in seconds cover the targets of all priorities.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// Requests is an entry.Observer that keeps request metrics.
type Requests struct {
	total    *prometheus.CounterVec
	attempts *prometheus.CounterVec
	hedges   *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewRequests registers the request metrics.
func NewRequests(registry prometheus.Registerer) *Requests {
	labels := []string{"service", "priority"}
	r := &Requests{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_requests_total",
			Help: "Finished requests by outcome: answered, replayed, caller-gone, broken, or a problem kind.",
		}, append(labels, "outcome")),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_attempts_total",
			Help: "Requests sent to backend servers, with retries and hedges.",
		}, labels),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_hedged_requests_total",
			Help: "Requests for which a hedge was sent.",
		}, labels),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "tarragonmux_request_seconds",
			Help:    "Time from a request's headers to the end of its answer, in seconds; refusals are left out.",
			Buckets: latencyBuckets,
		}, labels),
	}
	registry.MustRegister(r.total, r.attempts, r.hedges, r.latency)
	return r
}

// Observe implements entry.Observer.
func (r *Requests) Observe(o entry.Observation) {
	service, priority := o.Match.Service, o.Priority().String()
	if !o.Matched {
		service, priority = "none", "none"
	}
	r.total.WithLabelValues(service, priority, o.Outcome).Inc()
	r.attempts.WithLabelValues(service, priority).Add(float64(o.Attempts))
	if o.Hedged {
		r.hedges.WithLabelValues(service, priority).Inc()
	}
	if o.Outcome == entry.OutcomeAnswered || o.Outcome == entry.OutcomeReplayed {
		r.latency.WithLabelValues(service, priority).Observe(o.Latency.Seconds())
	}
}
