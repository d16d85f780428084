package attach

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// heartbeatBuckets are in seconds. The timeouts of a heartbeat (0.4 s and 2 s) and the 2 s limit on a
// drain lie within their range.
var heartbeatBuckets = []float64{.005, .02, .05, .1, .2, .4, .8, 1.5, 2.5}

// Metrics measures the heartbeats of an entry host. A nil *Metrics records nothing.
type Metrics struct {
	heartbeats *prometheus.HistogramVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{heartbeats: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "tarragonmux_attach_heartbeat_seconds",
		Help:    "Time from a heartbeat to its answer, or to its failure, by result.",
		Buckets: heartbeatBuckets,
	}, []string{"result"})}
	if err := r.Register(m.heartbeats); err != nil {
		return nil, errors.Wrap(err, "attach: cannot register metrics; use one registry per process")
	}
	return m, nil
}

func (m *Metrics) observeHeartbeat(took time.Duration, err error) {
	if m == nil {
		return
	}
	m.heartbeats.WithLabelValues(resultLabel(err, "answered")).Observe(took.Seconds())
}

// resultLabel returns the label of a success, or "failed".
func resultLabel(err error, success string) string {
	if err != nil {
		return "failed"
	}
	return success
}

// departureBuckets are in seconds. The time for which the sender of an announcement waits (1 s) lies within their
// range.
var departureBuckets = []float64{.005, .01, .02, .05, .1, .2, .3, .5, .8, 1.2}

// ServerMetrics measures the departures of backend servers at a control host. A nil *ServerMetrics records nothing.
type ServerMetrics struct {
	departures *prometheus.HistogramVec
	marks      *prometheus.HistogramVec
	writes     *prometheus.HistogramVec
	written    prometheus.Counter
}

// NewServerMetrics registers the metrics.
func NewServerMetrics(r prometheus.Registerer) (*ServerMetrics, error) {
	m := &ServerMetrics{
		departures: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "tarragonmux_departure_confirmation_seconds",
			Help:    "Time until the departure of a backend server was confirmed, or until its sender was gone, by result.",
			Buckets: departureBuckets,
		}, []string{"result"}),
		marks: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "tarragonmux_departure_mark_seconds",
			Help:    "Time of a call that tells another control host of departures, by result.",
			Buckets: departureBuckets,
		}, []string{"result"}),
		writes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "tarragonmux_departure_write_seconds",
			Help:    "Time until departures were durable on the disk of this host, by result. Departures that come meanwhile share the next write.",
			Buckets: departureBuckets,
		}, []string{"result"}),
		written: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonmux_departure_written_total",
			Help: "Entries about departures that were written to the disk of this host.",
		}),
	}
	for _, c := range []prometheus.Collector{m.departures, m.marks, m.writes, m.written} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "attach: cannot register metrics; use one registry per process")
		}
	}
	return m, nil
}

func (m *ServerMetrics) observeDeparture(took time.Duration, err error) {
	if m == nil {
		return
	}
	m.departures.WithLabelValues(resultLabel(err, "confirmed")).Observe(took.Seconds())
}

func (m *ServerMetrics) observeMark(took time.Duration, err error) {
	if m == nil {
		return
	}
	m.marks.WithLabelValues(resultLabel(err, "recorded")).Observe(took.Seconds())
}

func (m *ServerMetrics) observeWrite(took time.Duration, entries int, err error) {
	if m == nil {
		return
	}
	m.writes.WithLabelValues(resultLabel(err, "durable")).Observe(took.Seconds())
	if err == nil {
		m.written.Add(float64(entries))
	}
}
