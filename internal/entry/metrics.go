package entry

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// MaxRouteLabels limits the number of values of the route label. It exceeds the 5,200 routes of
	// the target size.
	MaxRouteLabels = 8192
	// MaxServiceLabels limits the number of values of the service label. It exceeds the 480
	// services of the target size.
	MaxServiceLabels = 1024

	// labelOther replaces all values beyond a limit; labelNone is used for requests without a route.
	labelOther = "other"
	labelNone  = "none"
)

// Results of requests in the metrics of routes and teams.
const (
	resultGood    = "good"
	resultBad     = "bad"
	resultRefused = "refused"
)

// latencyBuckets are the upper bounds in seconds; they cover the usual latency targets.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Metrics is an Observer that counts requests for Prometheus. The number of label values is bounded.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	routes   *prometheus.CounterVec
	teams    *prometheus.CounterVec
	extra    *prometheus.CounterVec
	rejected *prometheus.CounterVec
	skipped  *prometheus.CounterVec

	routeLabels   labelSet
	serviceLabels labelSet
	// series caches the resolved series of each combination of labels, which is cheaper than
	// resolving them for each request.
	series sync.Map
	cached atomic.Int64
}

// labelSet admits a bounded number of label values.
type labelSet struct {
	limit int64
	count atomic.Int64
	known sync.Map
}

// seriesKey identifies the series that one observation updates.
type seriesKey struct {
	service, route, outcome, result string
	priority                        uint8
	bucket                          int
}

type resolvedSeries struct {
	requests, route, team prometheus.Counter
	latency               prometheus.Observer
}

// maxSeries limits the cache of series. Series beyond it are resolved for each request.
const maxSeries = 1 << 16

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_entry_requests_total", Help: "Finished requests by service, priority and outcome.",
		}, []string{"service", "priority", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tarragonmux_entry_request_seconds", Help: "Time from the headers of a request to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"service", "priority"}),
		routes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_entry_route_requests_total", Help: "Finished requests by route and result.",
		}, []string{"route", "result"}),
		teams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_entry_team_requests_total", Help: "Finished requests by hashed team bucket and result.",
		}, []string{"bucket", "result"}),
		extra: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_entry_extra_attempts_total", Help: "Retries and hedges by service.",
		}, []string{"service", "kind"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_entry_rejected_attempts_total", Help: "Attempts whose backend server stated that it did not run the request, by service.",
		}, []string{"service"}),
		skipped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_entry_skipped_responses_total", Help: "Responses to other requests that backend servers sent where the next one was due, by service.",
		}, []string{"service"}),
		routeLabels:   labelSet{limit: MaxRouteLabels},
		serviceLabels: labelSet{limit: MaxServiceLabels},
	}
	for _, c := range []prometheus.Collector{m.requests, m.latency, m.routes, m.teams, m.extra, m.rejected, m.skipped} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "entry: cannot register metrics; use one registry per server")
		}
	}
	return m, nil
}

// Observe implements Observer.
func (m *Metrics) Observe(o Observation) {
	s := m.resolve(o)
	s.requests.Inc()
	s.route.Inc()
	s.team.Inc()
	if o.Outcome == OutcomeAnswered {
		s.latency.Observe(o.Latency.Seconds())
	}
	if o.Attempts > 1 {
		m.extra.WithLabelValues(m.serviceLabel(o), "retry").Add(float64(o.Attempts - 1))
	}
	if o.Hedged {
		m.extra.WithLabelValues(m.serviceLabel(o), "hedge").Inc()
	}
	if o.Rejected > 0 {
		m.rejected.WithLabelValues(m.serviceLabel(o)).Add(float64(o.Rejected))
	}
	if o.Skipped > 0 {
		m.skipped.WithLabelValues(m.serviceLabel(o)).Add(float64(o.Skipped))
	}
}

func (m *Metrics) resolve(o Observation) *resolvedSeries {
	key := seriesKey{
		service: m.serviceLabel(o), route: m.routeLabel(o), outcome: o.Outcome, result: resultOfObservation(o),
		priority: uint8(o.Priority()), bucket: o.TeamBucket,
	}
	if known, ok := m.series.Load(key); ok {
		return known.(*resolvedSeries)
	}
	name := o.Priority().String()
	s := &resolvedSeries{
		requests: m.requests.WithLabelValues(key.service, name, key.outcome),
		latency:  m.latency.WithLabelValues(key.service, name),
		route:    m.routes.WithLabelValues(key.route, key.result),
		team:     m.teams.WithLabelValues(strconv.Itoa(key.bucket), key.result),
	}
	if m.cached.Add(1) <= maxSeries {
		m.series.Store(key, s)
	}
	return s
}

func (m *Metrics) serviceLabel(o Observation) string {
	if !o.Matched {
		return labelNone
	}
	return m.serviceLabels.admit(o.Match.Service)
}

func (m *Metrics) routeLabel(o Observation) string {
	if !o.Matched {
		return labelNone
	}
	return m.routeLabels.admit(o.Match.Route)
}

func resultOfObservation(o Observation) string {
	switch o.Outcome {
	case OutcomeAnswered, OutcomeReplayed, OutcomeBroken, OutcomeCallerGone:
		if o.Good() {
			return resultGood
		}
		return resultBad
	default:
		return resultRefused
	}
}

// admit returns the value, or labelOther if the value is new and the limit is reached.
func (l *labelSet) admit(value string) string {
	if _, ok := l.known.Load(value); ok {
		return value
	}
	if l.count.Add(1) > l.limit {
		l.count.Add(-1)
		return labelOther
	}
	if _, loaded := l.known.LoadOrStore(value, struct{}{}); loaded {
		l.count.Add(-1)
	}
	return value
}
