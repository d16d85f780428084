package configuration_test

import (
	"math"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

func modified[T proto.Message](m T, modify func(T)) T {
	modify(m)
	return m
}

var _ = Describe("validation", func() {
	// An invalid change that is accepted breaks all hosts at the same time.
	DescribeTable("rejects with the field and a remedy",
		func(c *configpb.Change, field, reason string) {
			rejection := configuration.Validate(example(), c)
			Expect(rejection).NotTo(BeNil())
			Expect(rejection.Field).To(Equal(field))
			Expect(rejection.Reason).To(ContainSubstring(reason))
			Expect(rejection.Remedy).NotTo(BeEmpty())
			Expect(rejection.Error()).To(HaveSuffix(rejection.Remedy))
		},
		Entry("no change", &configpb.Change{}, "change", "no known kind"),
		Entry("a data centre without region", putChange(&configpb.DataCentre{Name: "c"}), "put_data_centre.region", "missing"),
		Entry("a region that splits a service over two regions", putChange(&configpb.DataCentre{Name: "b", Region: "s"}), "services[booking].data_centres", "regions"),
		Entry("a host in no data centre", putChange(host("h3", "x", 3)), "put_host.data_centre", "does not exist"),
		Entry("a host with an address that is in use", putChange(host("h3", "a", 1)), "hosts", "already used"),
		Entry("a host with an unspecified address", putChange(modified(host("h3", "a", 3), func(h *configpb.Host) { h.FleetAddress = "0.0.0.0:1" })), "put_host.fleet_address", "not an address"),
		Entry("a host without role", putChange(modified(host("h3", "a", 3), func(h *configpb.Host) { h.Role = 0 })), "put_host.role", "missing"),
		Entry("the last node of a service", deleteChange("host", "h1"), "hosts", `"catalogue" would have no node`),
		Entry("an unknown host", deleteChange("host", "h9"), "delete_host", "does not exist"),
		Entry("a service without a node", putChange(service("new", "far")), "put_service.data_centres", "no node"),
		Entry("a service in two regions", putChange(service("new", "a", "far")), "put_service.data_centres", "regions"),
		Entry("a change of the data centres of a service", putChange(service("booking", "a")), "put_service.data_centres", "cannot be changed"),
		Entry("two minimums", putChange(modified(service("new", "a"), func(s *configpb.Service) { s.MinimumHealthySlots = 1 })), "put_service.minimum_healthy_slots", "percent is 50"),
		Entry("no minimum", putChange(modified(service("new", "a"), func(s *configpb.Service) { s.MinimumHealthyPercent = 0 })), "put_service.minimum_healthy_slots", "percent is 0"),
		Entry("a minimum above 100%", putChange(modified(service("new", "a"), func(s *configpb.Service) { s.MinimumHealthyPercent = 101 })), "put_service.minimum_healthy_percent", "range"),
		Entry("no slots", putChange(modified(service("new", "a"), func(s *configpb.Service) { s.SlotLimit = 0 })), "put_service.slot_limit", "range"),
		Entry("two priorities", putChange(modified(service("new", "a"), func(s *configpb.Service) { s.Priorities = s.Priorities[:2] })), "put_service.priorities", "2 targets"),
		Entry("a share that is not a number", putChange(modified(service("new", "a"), func(s *configpb.Service) { s.Priorities[0].TargetShare = math.NaN() })), "put_service.priorities.urgent.target_share", "NaN"),
		Entry("minimum shares that add up to too much", putChange(modified(service("new", "a"), func(s *configpb.Service) { s.Priorities[0].MinimumShare = 0.9 })), "put_service.priorities", "add up"),
		Entry("a service in use by a route", deleteChange("service", "booking"), "delete_service", `route "r1"`),
		Entry("a route to an unknown service", putChange(route("r3", "", "/x", "nope")), "put_route.service", "does not exist"),
		Entry("two routes for one request", putChange(route("r3", "shop.example", "/orders", "booking", "POST", "GET")), "put_route", `"r2"`),
		Entry("a path with a dot segment", putChange(route("r3", "", "/x/../y", "booking")), "put_route.path_prefix", "invalid segment"),
		Entry("a path with two trailing slashes", putChange(route("r3", "", "/x//", "booking")), "put_route.path_prefix", "invalid segment"),
		Entry("a path of two slashes", putChange(route("r3", "", "//", "booking")), "put_route.path_prefix", "invalid segment"),
		Entry("two routes for the paths below one", putChange(modified(example(), func(d *configpb.Document) {
			d.Routes = append(d.Routes, route("r3", "", "/x/", "booking"), route("r4", "", "/x/", "booking"))
		})), "routes", `"r3"`),
		Entry("a host name with a port", putChange(route("r3", "a.example:80", "/x", "booking")), "put_route.host_name", "not a valid"),
		Entry("a lower-case method", putChange(route("r3", "", "/x", "booking", "get")), "put_route.methods", "not a valid method"),
		Entry("a body limit too large to buffer", putChange(modified(route("r3", "", "/x", "booking"), func(r *configpb.Route) { r.Idempotent = false; r.BodyLimitBytes = 1 << 30 })), "put_route.body_limit_bytes", "range"),
		Entry("a team with an unknown service", putChange(&configpb.Team{Id: "t", Services: []string{"nope"}}), "put_team.services", "does not exist"),
		Entry("an invalid team id", putChange(&configpb.Team{Id: "t/1"}), "put_team.id", "not a valid name"),
		Entry("a team id that ends in a hyphen", putChange(&configpb.Team{Id: "t-"}), "put_team.id", "not a valid name"),
		Entry("a document with a team twice", putChange(modified(example(), func(d *configpb.Document) { d.Teams = append(d.Teams, d.Teams[0]) })), `teams["archive"]`, "twice"),
		Entry("a document with overlapping routes", putChange(modified(example(), func(d *configpb.Document) { d.Routes = append(d.Routes, route("r9", "", "/orders", "booking")) })), "routes", `"r1"`),
		Entry("a document that changes the data centres of a service", putChange(modified(example(), func(d *configpb.Document) { d.Services[0].DataCentres = []string{"a"} })), "services[0].data_centres", "cannot be changed"),
	)

	DescribeTable("accepts",
		func(c *configpb.Change) { Expect(configuration.Validate(example(), c)).To(BeNil()) },
		Entry("the same document", putChange(example())),
		Entry("a route that differs in the method", putChange(route("r3", "shop.example", "/orders", "booking", "POST"))),
		Entry("a route for every method beside one for GET", putChange(route("r3", "shop.example", "/orders", "booking"))),
		Entry("the data centres of a service in another order", putChange(service("booking", "b", "a"))),
		Entry("a host", putChange(host("h3", "far", 3))),
		Entry("the removal of a host that is not the last node of a service", deleteChange("host", "h2")),
	)
})

var _ = Describe("changes", func() {
	// Elections need a majority of the hosts before and after a change.
	It("keep the hosts before the last change of hosts, and only of hosts", func() {
		before := example()
		d, err := configuration.Apply(before, &configpb.Entry{Revision: 8, Change: putChange(host("h3", "a", 3))})
		Expect(err).NotTo(HaveOccurred())
		d, err = configuration.Apply(d, &configpb.Entry{Revision: 9, Change: putChange(host("h3", "a", 3))})
		Expect(err).NotTo(HaveOccurred())
		d, err = configuration.Apply(d, &configpb.Entry{Revision: 10, Change: putChange(&configpb.Team{Id: "t"})})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Hosts).To(HaveLen(3))
		Expect(d.PreviousHosts).To(HaveLen(2))
		Expect(d.HostsRevision).To(BeEquivalentTo(8))
		Expect(proto.Equal(before, example())).To(BeTrue(), "the previous document must not change")
	})

	// Entries applied out of order would give hosts different documents at the same revision.
	It("follow each other without gaps", func() {
		_, err := configuration.Apply(example(), &configpb.Entry{Revision: 9, Change: deleteChange("team", "default")})
		Expect(err).To(MatchError(configuration.ErrOutOfSequence))
		_, err = configuration.Apply(example(), &configpb.Entry{Revision: 8, Change: &configpb.Change{}})
		Expect(err).To(MatchError(configuration.ErrUnknownChange))
	})
})

var _ = Describe("the JSON form", func() {
	// An operator who sends back the output of "config get" must get the same document.
	It("survives a round trip", func() {
		data, err := configuration.FormatDocument(example())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"urgent"`))
		d, err := configuration.ParseDocument(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(d, example())).To(BeTrue())
		for _, c := range []*configpb.Change{putChange(host("h3", "a", 3)), putChange(service("s", "a")), putChange(route("r", "", "/", "s")), putChange(&configpb.Team{Id: "t"}), putChange(example()), deleteChange("route", "r")} {
			data, err := configuration.FormatChange(c)
			Expect(err).NotTo(HaveOccurred())
			parsed, err := configuration.ParseChange(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(proto.Equal(parsed, c)).To(BeTrue(), string(data))
		}
	})

	// A misspelt field that is silently ignored would leave a limit at its default.
	DescribeTable("is strict",
		func(text, field, reason string) {
			_, err := configuration.ParseChange([]byte(text))
			var rejection *configuration.Rejection
			Expect(err).To(BeAssignableToTypeOf(rejection))
			rejection = err.(*configuration.Rejection)
			Expect(rejection.Field).To(Equal(field))
			Expect(rejection.Reason).To(ContainSubstring(reason))
		},
		Entry("unknown field", `{"put_team":{"id":"t","wieght":3}}`, "wieght", "unknown field"),
		Entry("wrong type", `{"put_team":{"id":"t","weight":"3"}}`, "put_team.weight", "string"),
		Entry("unknown priority", `{"put_route":{"id":"r","priority":"rush"}}`, "put_route.priority", "rush"),
		Entry("missing idempotent", `{"put_route":{"id":"r","priority":"urgent"}}`, "put_route.idempotent", "missing"),
		Entry("unknown role", `{"put_host":{"id":"h","role":"boss"}}`, "put_host.role", "boss"),
		Entry("a missing target", `{"put_service":{"name":"s","priorities":{"urgent":{"target_latency_ms":1,"target_share":0.9}}}}`, "put_service.priorities.normal", "missing"),
		Entry("two changes", `{"delete_team":"a","delete_route":"b"}`, "change", "2 members"),
		Entry("no change", `{}`, "change", "0 members"),
		Entry("bad syntax", "{\n!}", "", "line 2"),
		Entry("content after the object", `{"delete_team":"a"} x`, "", "content after"),
		Entry("a long text", `{"delete_team":"`+strings.Repeat("x", 64<<20)+`"}`, "", "64 MiB"),
	)
})
