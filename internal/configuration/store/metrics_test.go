package store_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragonmux/tarragonmux/internal/configuration/feed"
	"github.com/tarragonmux/tarragonmux/internal/configuration/store"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// sample returns the value of a counter, or the count of a histogram, with one label of the given value; 0 if there is
// none.
func sample(g *WithT, registry *prometheus.Registry, name, label string) float64 {
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if family.GetName() == name && m.GetLabel()[0].GetValue() == label {
				return m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
			}
		}
	}
	return 0
}

// Operators could not tell configurations that are too large from ones that are transferred too often.
func TestMetricsTellWhatIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const size = 400 << 10
		ctx, stop := context.WithCancel(background)
		defer func() {
			stop()
			time.Sleep(5 * time.Second)
		}()
		registry := prometheus.NewRegistry()
		metrics, err := store.NewMetrics(registry)
		g.Expect(err).NotTo(HaveOccurred())
		link := &slowLink{tail: feed.NewTail(feed.RetainedBases)}
		link.tail.Publish(&configpb.Document{Revision: 1}, nil)
		s := store.New(store.Options{ID: "h", Address: address(0), Control: []string{"c"}, Client: link, Metrics: metrics})
		go func() { _ = s.Run(ctx) }()
		time.Sleep(time.Second)
		g.Expect(sample(g, registry, "tarragonmux_configuration_transfer_seconds", "applied")).To(BeNumerically("==", 1), "that of the start")
		link.tail.Publish(&configpb.Document{Revision: 2, Teams: []*configpb.Team{{Id: strings.Repeat("x", size)}}}, nil)
		time.Sleep(4 * time.Second)
		g.Expect(s.Revision()).To(BeNumerically("==", 2))
		fetched := sample(g, registry, "tarragonmux_configuration_fetched_bytes_total", "difference") +
			sample(g, registry, "tarragonmux_configuration_fetched_bytes_total", "document")
		g.Expect(fetched).To(And(BeNumerically(">=", size), BeNumerically("<", 1.1*size)), "it was transferred once")
		g.Expect(sample(g, registry, "tarragonmux_configuration_transfer_seconds", "applied")).To(BeNumerically("==", 2))
		g.Expect(sample(g, registry, "tarragonmux_configuration_transfer_seconds", "failed")).To(BeZero())
	})
}
