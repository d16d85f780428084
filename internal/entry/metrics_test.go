package entry_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/route"
)

var _ = Describe("Metrics", func() {
	// Without a limit on label values a node runs out of memory as routes are added and removed.
	It("limit their label values and distinguish good from bad requests", func() {
		registry := prometheus.NewRegistry()
		m, err := entry.NewMetrics(registry)
		Expect(err).NotTo(HaveOccurred())
		for i := range entry.MaxRouteLabels + 100 {
			m.Observe(entry.Observation{
				Matched: true, Outcome: entry.OutcomeAnswered, Status: 200, Latency: 2 * time.Millisecond,
				Match: route.Match{Route: fmt.Sprint(i), Service: fmt.Sprint(i), TargetLatency: time.Duration(i%2+1) * 1500 * time.Microsecond},
			})
		}
		m.Observe(entry.Observation{Outcome: "no-route"})
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		series := map[string]int{}
		for _, f := range families {
			series[f.GetName()] = len(f.GetMetric())
		}
		Expect(series["tarragonmux_entry_route_requests_total"]).To(Equal(entry.MaxRouteLabels+3), "the limit, other with two results, and none")
		Expect(series["tarragonmux_entry_requests_total"]).To(Equal(entry.MaxServiceLabels + 2))
		Expect(series["tarragonmux_entry_team_requests_total"]).To(Equal(3), "one bucket with three results")
		_, err = entry.NewMetrics(registry)
		Expect(err).To(MatchError(ContainSubstring("one registry per server")))
	})
})
