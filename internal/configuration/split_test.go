package configuration_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

func splitDocument(weights ...uint32) *configpb.Document {
	r := &configpb.Route{Id: "r", HostName: "a.example", PathPrefix: "/p", Priority: configpb.Priority_PRIORITY_URGENT, TimeoutMs: 1500, TargetLatencyMs: 600, MaxAttempts: 2, Keyless: true}
	d := &configpb.Document{Version: 3, Routes: []*configpb.Route{r}}
	for i, weight := range weights {
		name := string(rune('a' + i))
		d.Services = append(d.Services, configuration.DefaultService(name))
		r.Parts = append(r.Parts, &configpb.RoutePart{Service: name, Weight: weight})
	}
	return d
}

// A service whose share of the requests differs from its weight would be overloaded or underused.
func TestSplitRoutesKeepTheirWeights(t *testing.T) {
	g := NewWithT(t)
	m, ok := configuration.Compile(splitDocument(90, 0, 10)).Match("a.example", "GET", "/p/1")
	g.Expect(ok).To(BeTrue())
	count := map[string]int{}
	for i := range 1000 {
		count[m.ChooseService(float64(i)/1000)]++
	}
	g.Expect(count).To(Equal(map[string]int{"a": 900, "c": 100}))
	g.Expect(m.Timeout.Milliseconds()).To(BeEquivalentTo(1500))
	g.Expect(m.TargetLatency.Milliseconds()).To(BeEquivalentTo(600))
	g.Expect(m.Attempts).To(Equal(2))
	g.Expect(m.Keyless).To(BeTrue())
}

// A split without a usable service would refuse every request of its route.
func TestFaultySplitsAreRejected(t *testing.T) {
	g := NewWithT(t)
	check := func(d *configpb.Document) *configuration.Rejection {
		return configuration.Validate(configuration.Empty(), &configpb.Change{Kind: &configpb.Change_Supersede{Supersede: &configpb.Supersede{Document: d}}})
	}
	g.Expect(check(splitDocument(1, 2))).To(BeNil())
	g.Expect(check(splitDocument(0, 0))).NotTo(BeNil())
	unknown := splitDocument(1, 2)
	unknown.Routes[0].Parts[1].Service = "z"
	g.Expect(check(unknown)).NotTo(BeNil())
	both := splitDocument(1, 2)
	both.Routes[0].Service = "a"
	g.Expect(check(both)).NotTo(BeNil())
}
