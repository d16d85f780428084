package configuration_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// A control host keeps several former documents. When each of them held its own routes, many small changes of a large
// document, which operators send whole, took as much memory as as many large documents.
func TestDocumentsShareWhatHasNotChanged(t *testing.T) {
	g := NewWithT(t)
	sent := &configpb.Document{Version: 1, Services: []*configpb.Service{configuration.DefaultService("stock")}}
	for i := range 50 {
		sent.Routes = append(sent.Routes, &configpb.Route{Id: fmt.Sprintf("r%02d", 49-i), PathPrefix: fmt.Sprintf("/r%d", i), Service: "stock"})
	}
	supersede := func(d *configpb.Document) *configpb.Document {
		// A document arrives encoded.
		sent = proto.CloneOf(sent)
		next, err := configuration.Apply(d, &configpb.Entry{Revision: d.GetRevision() + 1, Change: &configpb.Change{
			Kind: &configpb.Change_Supersede{Supersede: &configpb.Supersede{Document: sent}},
		}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proto.Equal(&configpb.Document{Routes: next.GetRoutes(), Services: next.GetServices()},
			&configpb.Document{Routes: configuration.Canonical(sent).GetRoutes(), Services: sent.GetServices()})).To(BeTrue())
		return next
	}
	first := supersede(configuration.Empty())
	sent = proto.CloneOf(sent)
	sent.Version, sent.Routes[10].MaxAttempts = 2, 7
	sent.Routes = append(sent.Routes[:20], sent.Routes[21:]...)
	sent.Routes = append(sent.Routes, &configpb.Route{Id: "new", PathPrefix: "/new", Service: "stock"})
	second := supersede(first)
	shared := map[*configpb.Route]bool{}
	for _, r := range first.GetRoutes() {
		shared[r] = true
	}
	own := 0
	for _, r := range second.GetRoutes() {
		if !shared[r] {
			own++
		}
	}
	g.Expect(own).To(Equal(2), "the changed and the new route")
	g.Expect(second.GetServices()[0]).To(BeIdenticalTo(first.GetServices()[0]))
}
