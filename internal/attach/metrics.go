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
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.heartbeats.WithLabelValues(result).Observe(took.Seconds())
}
