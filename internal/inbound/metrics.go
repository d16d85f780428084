package inbound

import "github.com/prometheus/client_golang/prometheus"

var (
	refusedDesc     = prometheus.NewDesc("tarragonmux_inbound_refused_total", "Connections and requests that were refused because a budget was used up.", []string{"budget"}, nil)
	closedDesc      = prometheus.NewDesc("tarragonmux_inbound_closed_total", "Connections that waited for their clients and were closed in favour of others because a budget was used up.", []string{"budget"}, nil)
	connectionsDesc = prometheus.NewDesc("tarragonmux_inbound_connections", "Open connections of clients.", nil, nil)
	bytesDesc       = prometheus.NewDesc("tarragonmux_inbound_bytes", "Memory that clients hold beyond their allowances.", nil, nil)
)

var _ prometheus.Collector = (*Budget)(nil)

// Describe implements prometheus.Collector.
func (b *Budget) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(b, out)
}

// Collect implements prometheus.Collector.
func (b *Budget) Collect(out chan<- prometheus.Metric) {
	b.mu.Lock()
	refused, closed, open, held := b.refused, b.closed, b.open, b.held
	b.mu.Unlock()
	for k := range kinds {
		out <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(refused[k]), k.String())
		out <- prometheus.MustNewConstMetric(closedDesc, prometheus.CounterValue, float64(closed[k]), k.String())
	}
	out <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(open))
	out <- prometheus.MustNewConstMetric(bytesDesc, prometheus.GaugeValue, float64(held))
}
