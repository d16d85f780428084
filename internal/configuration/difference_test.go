package configuration_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// drawDocument draws a document in canonical order whose items have few different keys and contents.
func drawDocument(t *rapid.T, revision uint64) *configpb.Document {
	d := &configpb.Document{Revision: revision, Version: revision, HostsRevision: 1, Source: []byte("text")}
	present := func(label string) bool { return rapid.Bool().Draw(t, label) }
	for i := range 6 {
		id := fmt.Sprint(i)
		value := rapid.Uint32Range(1, 2).Draw(t, "value")
		if present("data centre") {
			d.DataCentres = append(d.DataCentres, &configpb.DataCentre{Name: id, Region: fmt.Sprint(value)})
		}
		if present("host") {
			d.Hosts = append(d.Hosts, &configpb.Host{Id: id, FleetAddress: fmt.Sprint(value)})
		}
		if present("service") {
			d.Services = append(d.Services, &configpb.Service{Name: id, SlotLimit: value})
		}
		if present("route") {
			d.Routes = append(d.Routes, &configpb.Route{Id: id, MaxAttempts: value})
		}
		if present("team") {
			d.Teams = append(d.Teams, &configpb.Team{Id: id, Weight: value})
		}
	}
	return d
}

// A host that gets the difference must have the same configuration as one that gets the whole document.
func TestDifferenceLeadsToTheNewDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		base, next := drawDocument(t, 4), drawDocument(t, 9)
		patched, err := configuration.Patch(base, configuration.Diff(base, next))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proto.Equal(patched, configuration.WithoutSource(next))).To(BeTrue(), "%v, expected %v", patched, next)
		_, err = configuration.Patch(next, configuration.Diff(base, next))
		g.Expect(err).To(MatchError(configuration.ErrOtherBase))
	})
}
