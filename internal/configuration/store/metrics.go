package store

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// Values of the label that tells what a reply contains.
const (
	contentsNone       = "none"
	contentsEntries    = "entries"
	contentsDifference = "difference"
	contentsDocument   = "document"
)

// transferBuckets are in seconds. The 2 s within which a change is to be in force and the timeouts of transfers lie
// within their range.
var transferBuckets = []float64{.05, .1, .25, .5, 1, 2, 4, 8, 16, 32, 64}

// Metrics measures what a node fetches of the configuration. A nil *Metrics records nothing.
type Metrics struct {
	fetchedBytes    *prometheus.CounterVec
	transferSeconds *prometheus.HistogramVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		fetchedBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonmux_configuration_fetched_bytes_total",
			Help: "Bytes of the replies to fetches of the configuration, by contents.",
		}, []string{"contents"}),
		transferSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "tarragonmux_configuration_transfer_seconds",
			Help:    "Time to transfer a configuration apart from the polls, by result.",
			Buckets: transferBuckets,
		}, []string{"result"}),
	}
	for _, c := range []prometheus.Collector{m.fetchedBytes, m.transferSeconds} {
		if err := r.Register(c); err != nil {
			return nil, errors.Wrap(err, "configuration: cannot register metrics; use one registry per process")
		}
	}
	return m, nil
}

func (m *Metrics) observeReply(reply *configpb.FetchReply) {
	if m == nil {
		return
	}
	m.fetchedBytes.WithLabelValues(contentsOf(reply)).Add(float64(proto.Size(reply)))
}

func (m *Metrics) observeTransfer(took time.Duration, succeeded bool) {
	if m == nil {
		return
	}
	result := "failed"
	if succeeded {
		result = "applied"
	}
	m.transferSeconds.WithLabelValues(result).Observe(took.Seconds())
}

func contentsOf(reply *configpb.FetchReply) string {
	switch {
	case reply.GetDocument() != nil:
		return contentsDocument
	case reply.GetDifference() != nil:
		return contentsDifference
	case len(reply.GetEntries()) > 0:
		return contentsEntries
	default:
		return contentsNone
	}
}
