package dispatchmetrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
)

// Viewer provides the state of the dispatchers of this node; *dispatchrpc.Server implements it.
type Viewer interface {
	// View returns the dispatcher's view of the service; ok is false if this node is not its dispatcher.
	View(service string) (v dispatch.View, stats dispatch.Stats, ok bool)
}

const (
	// MaxServices limits the values of the service label. It exceeds the 480 services of the target fleet
	// size.
	MaxServices = 1024

	prefix       = "tarragonmux_dispatch_"
	labelService = "service"
)

// metric has one series per service.
type metric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(v *dispatch.View, s *dispatch.Stats) float64
}

// collector reads the state of the dispatchers on each scrape.
type collector struct {
	server   Viewer
	services func() []string
	metrics  []metric
}

var _ prometheus.Collector = (*collector)(nil)

// NewCollector returns a collector for the services whose dispatcher is this node. Both arguments are used
// on each scrape and must be safe for concurrent use.
func NewCollector(server Viewer, services func() []string) prometheus.Collector {
	return &collector{server: server, services: services, metrics: append(counters(), gauges()...)}
}

func counter(name, help string, read func(s *dispatch.Stats) uint64) metric {
	return metric{
		desc: prometheus.NewDesc(prefix+name+"_total", help, []string{labelService}, nil),
		kind: prometheus.CounterValue,
		read: func(_ *dispatch.View, s *dispatch.Stats) float64 { return float64(read(s)) },
	}
}

func gauge(name, help string, read func(v *dispatch.View, s *dispatch.Stats) float64) metric {
	return metric{desc: prometheus.NewDesc(prefix+name, help, []string{labelService}, nil), kind: prometheus.GaugeValue, read: read}
}

func counters() []metric {
	return []metric{
		counter("granted", "Requests granted.", func(s *dispatch.Stats) uint64 { return s.Granted }),
		counter("refused", "Requests refused before they ran.", func(s *dispatch.Stats) uint64 { return s.Refused }),
		counter("capped", "Requests refused because of the usage cap of their team.", func(s *dispatch.Stats) uint64 { return s.Capped }),
		counter("retries", "Granted requests that were retries.", func(s *dispatch.Stats) uint64 { return s.Retries }),
		counter("hedges", "Granted requests that were hedges.", func(s *dispatch.Stats) uint64 { return s.Hedges }),
		counter("ejections", "Ejections of backend servers.", func(s *dispatch.Stats) uint64 { return s.Ejections }),
		counter("ejections_denied", "Ejections denied by the minimum healthy capacity.", func(s *dispatch.Stats) uint64 { return s.EjectionsDenied }),
		counter("returns", "Returns of backend servers to rotation.", func(s *dispatch.Stats) uint64 { return s.Returns }),
		counter("bad_paths", "Bad paths that were routed around.", func(s *dispatch.Stats) uint64 { return s.PathBlocks }),
		counter("crashes", "Crashes of backend servers.", func(s *dispatch.Stats) uint64 { return s.Crashes }),
		counter("poison_requests", "Requests found to crash backend servers.", func(s *dispatch.Stats) uint64 { return s.PoisonRequests }),
	}
}

func gauges() []metric {
	return []metric{
		gauge("queued", "Requests that wait for a grant.", func(_ *dispatch.View, s *dispatch.Stats) float64 { return float64(s.Queued) }),
		gauge("healthy_slots", "Healthy capacity in slots.", func(v *dispatch.View, _ *dispatch.Stats) float64 { return float64(v.Healthy) }),
		gauge("minimum_slots", "Minimum healthy capacity in slots.", func(v *dispatch.View, _ *dispatch.Stats) float64 { return float64(v.Minimum) }),
		gauge("servers_out", "Usable backend servers that are out of rotation.", func(v *dispatch.View, _ *dispatch.Stats) float64 { return float64(v.Counts.Out) }),
		gauge("servers_unused", "Usable backend servers without work for 2 s, in rotation or out of it.", func(v *dispatch.View, _ *dispatch.Stats) float64 {
			return float64(v.Counts.UnusedInRotation + v.Counts.UnusedOutOfRotation)
		}),
		gauge("servers_untested_seconds", "Longest time since the last request to a backend server that is out of rotation.", func(v *dispatch.View, _ *dispatch.Stats) float64 {
			return v.Counts.LongestUntested.Seconds()
		}),
		gauge("overload", "1 while the service is in overload.", func(_ *dispatch.View, s *dispatch.Stats) float64 {
			if s.Overload {
				return 1
			}
			return 0
		}),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, m := range c.metrics {
		out <- m.desc
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	names := c.services()
	for _, service := range names[:min(len(names), MaxServices)] {
		view, stats, ok := c.server.View(service)
		if !ok {
			continue
		}
		for _, m := range c.metrics {
			out <- prometheus.MustNewConstMetric(m.desc, m.kind, m.read(&view, &stats), service)
		}
	}
}
