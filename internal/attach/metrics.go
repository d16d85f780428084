package attach

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragonmux/tarragonmux/internal/membership"
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
	refused    *prometheus.CounterVec
	kept       prometheus.Gauge
	notDurable prometheus.Gauge
	complete   prometheus.Gauge
}

// NewServerMetrics registers the metrics.
func NewServerMetrics(r prometheus.Registerer) (*ServerMetrics, error) {
	m := &ServerMetrics{
		departures: newDepartureTimes("tarragonmux_departure_confirmation_seconds",
			"Time until the departure of a backend server was confirmed, or until its sender was gone, by result."),
		marks: newDepartureTimes("tarragonmux_departure_mark_seconds",
			"Time of a call that tells another control host of departures, by result."),
		writes: newDepartureTimes("tarragonmux_departure_write_seconds",
			"Time until departures were durable on the disk of this host, by result. Departures that come meanwhile share the next write."),
		written: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tarragonmux_departure_written_total",
			Help: "Entries about departures that were written to the disk of this host.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_server_entries_refused_total",
			Help: "Announcements and withdrawals of backend servers that were refused for good, by the field at fault; unreadable if no field could be read.",
		}, []string{"field"}),
		kept: newDepartureGauge("kept",
			"Departures of backend servers that this host keeps, those that it read at its start included."),
		notDurable: newDepartureGauge("not_durable",
			"Departures of backend servers that this host keeps and has not written to its disk yet."),
		complete: newDepartureGauge("complete",
			"1 if this host knows all departures that it has confirmed, 0 after its start until then."),
	}
	for _, c := range []prometheus.Collector{m.departures, m.marks, m.writes, m.written, m.refused, m.kept, m.notDurable, m.complete} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "attach: cannot register metrics; use one registry per process")
		}
	}
	return m, nil
}

func newDepartureTimes(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: departureBuckets}, []string{"result"})
}

func newDepartureGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: "tarragonmux_departures_" + name, Help: help})
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

// unreadableField is the label of an entry of which no field could be read.
const unreadableField = "unreadable"

// observeRefusal counts an entry that was refused because of a field. It ignores other errors.
func (m *ServerMetrics) observeRefusal(err error) {
	var malformed *membership.MalformedError
	if m != nil && errors.As(err, &malformed) {
		m.refused.WithLabelValues(malformed.Field).Inc()
	}
}

func (m *ServerMetrics) observeUnreadable() {
	if m != nil {
		m.refused.WithLabelValues(unreadableField).Inc()
	}
}

func (m *ServerMetrics) setDepartures(kept, notDurable int, complete bool) {
	if m == nil {
		return
	}
	m.kept.Set(float64(kept))
	m.notDurable.Set(float64(notDurable))
	m.complete.Set(0)
	if complete {
		m.complete.Set(1)
	}
}
