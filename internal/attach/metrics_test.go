package attach_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragonmux/tarragonmux/internal/attach"
	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/membership"
)

// valuesOf returns the values of counters and gauges, by name and the values of their labels.
func valuesOf(g *WithT, registry *prometheus.Registry) map[string]float64 {
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	values := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			for _, label := range m.GetLabel() {
				name += " " + label.GetValue()
			}
			values[name] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return values
}

// An operator could not see which entries of backend servers are refused, or what a restarted host knows of departures and
// whether that is on its disk.
func TestMetricsShowRefusedEntriesAndKeptDepartures(t *testing.T) {
	withDiskGroup(t, 3, func(d *diskGroup) {
		restart := func(diskLost bool) *prometheus.Registry {
			d.kill(nil, 0)
			registry := prometheus.NewRegistry()
			metrics, err := attach.NewServerMetrics(registry)
			d.g.Expect(err).NotTo(HaveOccurred())
			d.metrics = metrics
			d.start(0, diskLost)
			d.metrics = nil
			time.Sleep(time.Second)
			return registry
		}
		d.g.Expect(d.announce(0, "i-1", 5, backend.Draining)).To(Succeed())
		registry := restart(false)
		d.g.Expect(valuesOf(d.g, registry)).To(And(
			HaveKeyWithValue("tarragonmux_departures_kept", 1.0), HaveKeyWithValue("tarragonmux_departures_complete", 1.0),
			HaveKeyWithValue("tarragonmux_departures_not_durable", 0.0)))

		d.hosts[0].fs.Fill(true)
		d.g.Expect(d.announce(0, "i-2", 5, backend.Left)).To(Succeed())
		d.hosts[0].registry.refuseServer = &membership.MalformedError{Field: "server.service", Reason: "is empty"}
		d.g.Expect(d.announce(0, "i-3", 5, backend.Ready)).NotTo(Succeed())
		d.g.Expect(d.announce(0, "i-3\n", 5, backend.Left)).NotTo(Succeed())
		d.hosts[0].server.EntryUnreadable()
		time.Sleep(time.Second)
		d.g.Expect(valuesOf(d.g, registry)).To(And(
			HaveKeyWithValue("tarragonmux_departures_kept", 2.0), HaveKeyWithValue("tarragonmux_departures_not_durable", 1.0),
			HaveKeyWithValue("tarragonmux_server_entries_refused_total server.service", 1.0),
			HaveKeyWithValue("tarragonmux_server_entries_refused_total server.instance", 1.0),
			HaveKeyWithValue("tarragonmux_server_entries_refused_total unreadable", 1.0)))

		d.kill(nil, 1, 2)
		d.loseDisk(0)
		d.g.Expect(valuesOf(d.g, restart(true))).To(HaveKeyWithValue("tarragonmux_departures_complete", 0.0))
	})
}
