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

func altered[T proto.Message](m T, alter func(T)) T {
	alter(m)
	return m
}

var _ = Describe("validation", func() {
	// A change that cannot be served and is accepted breaks every host at once.
	DescribeTable("rejects with the field and a remedy",
		func(c *configpb.Change, field, reason string) {
			fault := configuration.Validate(example(), c)
			Expect(fault).NotTo(BeNil())
			Expect(fault.Field).To(Equal(field))
			Expect(fault.Reason).To(ContainSubstring(reason))
			Expect(fault.Remedy).NotTo(BeEmpty())
			Expect(fault.Error()).To(HaveSuffix(fault.Remedy))
		},
		Entry("no change", &configpb.Change{}, "change", "no known kind"),
		Entry("a data centre without region", put(&configpb.DataCentre{Name: "c"}), "put_data_centre.region", "missing"),
		Entry("a region that tears a service apart", put(&configpb.DataCentre{Name: "b", Region: "s"}), "services[booking].data_centres", "regions"),
		Entry("a host in no data centre", put(host("h3", "x", 3)), "put_host.data_centre", "does not exist"),
		Entry("a host with a taken address", put(host("h3", "a", 1)), "hosts", "already used"),
		Entry("a host that nobody can reach", put(altered(host("h3", "a", 3), func(h *configpb.Host) { h.FleetAddress = "0.0.0.0:1" })), "put_host.fleet_address", "not an address"),
		Entry("a host without role", put(altered(host("h3", "a", 3), func(h *configpb.Host) { h.Role = 0 })), "put_host.role", "missing"),
		Entry("the last node of a service", deleteOf("host", "h1"), "hosts", `"catalogue" would have no node`),
		Entry("an unknown host", deleteOf("host", "h9"), "delete_host", "does not exist"),
		Entry("a service without a node", put(service("new", "far")), "put_service.data_centres", "no node"),
		Entry("a service over two regions", put(service("new", "a", "far")), "put_service.data_centres", "regions"),
		Entry("other data centres of a service", put(service("booking", "a")), "put_service.data_centres", "cannot be changed"),
		Entry("two minimums", put(altered(service("new", "a"), func(s *configpb.Service) { s.MinimumHealthySlots = 1 })), "put_service.minimum_healthy_slots", "percent is 50"),
		Entry("no minimum", put(altered(service("new", "a"), func(s *configpb.Service) { s.MinimumHealthyPercent = 0 })), "put_service.minimum_healthy_slots", "percent is 0"),
		Entry("a minimum above 100%", put(altered(service("new", "a"), func(s *configpb.Service) { s.MinimumHealthyPercent = 101 })), "put_service.minimum_healthy_percent", "range"),
		Entry("no slots", put(altered(service("new", "a"), func(s *configpb.Service) { s.SlotLimit = 0 })), "put_service.slot_limit", "range"),
		Entry("two priorities", put(altered(service("new", "a"), func(s *configpb.Service) { s.Priorities = s.Priorities[:2] })), "put_service.priorities", "2 targets"),
		Entry("a share that is no number", put(altered(service("new", "a"), func(s *configpb.Service) { s.Priorities[0].TargetShare = math.NaN() })), "put_service.priorities.urgent.target_share", "NaN"),
		Entry("shares that leave nothing", put(altered(service("new", "a"), func(s *configpb.Service) { s.Priorities[0].MinimumShare = 0.9 })), "put_service.priorities", "add up"),
		Entry("a service in use by a route", deleteOf("service", "booking"), "delete_service", `route "r1"`),
		Entry("a route to no service", put(route("r3", "", "/x", "nope")), "put_route.service", "does not exist"),
		Entry("two routes for one request", put(route("r3", "shop.example", "/orders", "booking", "POST", "GET")), "put_route", `"r2"`),
		Entry("a path with a dot segment", put(route("r3", "", "/x/../y", "booking")), "put_route.path_prefix", "invalid segment"),
		Entry("a path with a trailing slash", put(route("r3", "", "/x/", "booking")), "put_route.path_prefix", "invalid segment"),
		Entry("a host name with a port", put(route("r3", "a.example:80", "/x", "booking")), "put_route.host_name", "not a valid"),
		Entry("a lower-case method", put(route("r3", "", "/x", "booking", "get")), "put_route.methods", "not a valid method"),
		Entry("a buffered body beyond memory", put(altered(route("r3", "", "/x", "booking"), func(r *configpb.Route) { r.Idempotent = false; r.BodyLimitBytes = 1 << 30 })), "put_route.body_limit_bytes", "range"),
		Entry("a team with an unknown service", put(&configpb.Team{Id: "t", Services: []string{"nope"}}), "put_team.services", "does not exist"),
		Entry("an invalid team id", put(&configpb.Team{Id: "t/1"}), "put_team.id", "not a valid name"),
		Entry("a team id that ends in a hyphen", put(&configpb.Team{Id: "t-"}), "put_team.id", "not a valid name"),
		Entry("a document with a team twice", put(altered(example(), func(d *configpb.Document) { d.Teams = append(d.Teams, d.Teams[0]) })), `teams["archive"]`, "twice"),
		Entry("a document with overlapping routes", put(altered(example(), func(d *configpb.Document) { d.Routes = append(d.Routes, route("r9", "", "/orders", "booking")) })), "routes", `"r1"`),
		Entry("a document that moves a service", put(altered(example(), func(d *configpb.Document) { d.Services[0].DataCentres = []string{"a"} })), "services[0].data_centres", "cannot be changed"),
	)

	DescribeTable("accepts",
		func(c *configpb.Change) { Expect(configuration.Validate(example(), c)).To(BeNil()) },
		Entry("the same document", put(example())),
		Entry("a route that differs in the method", put(route("r3", "shop.example", "/orders", "booking", "POST"))),
		Entry("a route for every method beside one for GET", put(route("r3", "shop.example", "/orders", "booking"))),
		Entry("a data centre's service in another order", put(service("booking", "b", "a"))),
		Entry("a host", put(host("h3", "far", 3))),
		Entry("the removal of a host that others stand in for", deleteOf("host", "h2")),
	)
})

var _ = Describe("changes", func() {
	// Elections need the majorities of the hosts before and after a change.
	It("keep the hosts before the last change of hosts, and only of hosts", func() {
		before := example()
		d, err := configuration.Apply(before, &configpb.Entry{Revision: 8, Change: put(host("h3", "a", 3))})
		Expect(err).NotTo(HaveOccurred())
		d, err = configuration.Apply(d, &configpb.Entry{Revision: 9, Change: put(host("h3", "a", 3))})
		Expect(err).NotTo(HaveOccurred())
		d, err = configuration.Apply(d, &configpb.Entry{Revision: 10, Change: put(&configpb.Team{Id: "t"})})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Hosts).To(HaveLen(3))
		Expect(d.PreviousHosts).To(HaveLen(2))
		Expect(d.HostsRevision).To(BeEquivalentTo(8))
		Expect(proto.Equal(before, example())).To(BeTrue(), "the former document must not change")
	})

	// Entries out of order would give hosts different documents under one revision.
	It("follow each other without gaps", func() {
		_, err := configuration.Apply(example(), &configpb.Entry{Revision: 9, Change: deleteOf("team", "default")})
		Expect(err).To(MatchError(configuration.ErrOutOfSequence))
		_, err = configuration.Apply(example(), &configpb.Entry{Revision: 8, Change: &configpb.Change{}})
		Expect(err).To(MatchError(configuration.ErrUnknownChange))
	})
})

var _ = Describe("the JSON form", func() {
	// An operator who edits what "config get" printed must get back what is in force.
	It("survives a round trip", func() {
		data, err := configuration.FormatDocument(example())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"urgent"`))
		d, err := configuration.ParseDocument(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(d, example())).To(BeTrue())
		for _, c := range []*configpb.Change{put(host("h3", "a", 3)), put(service("s", "a")), put(route("r", "", "/", "s")), put(&configpb.Team{Id: "t"}), put(example()), deleteOf("route", "r")} {
			data, err := configuration.FormatChange(c)
			Expect(err).NotTo(HaveOccurred())
			parsed, err := configuration.ParseChange(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(proto.Equal(parsed, c)).To(BeTrue(), string(data))
		}
	})

	// A misspelt field that is ignored silently leaves a limit at its default.
	DescribeTable("is strict",
		func(text, field, reason string) {
			_, err := configuration.ParseChange([]byte(text))
			var fault *configuration.Rejection
			Expect(err).To(BeAssignableToTypeOf(fault))
			fault = err.(*configuration.Rejection)
			Expect(fault.Field).To(Equal(field))
			Expect(fault.Reason).To(ContainSubstring(reason))
		},
		Entry("unknown field", `{"put_team":{"id":"t","wieght":3}}`, "wieght", "unknown field"),
		Entry("wrong type", `{"put_team":{"id":"t","weight":"3"}}`, "put_team.weight", "string"),
		Entry("unknown priority", `{"put_route":{"id":"r","priority":"rush"}}`, "put_route.priority", "rush"),
		Entry("idempotent left out", `{"put_route":{"id":"r","priority":"urgent"}}`, "put_route.idempotent", "missing"),
		Entry("unknown role", `{"put_host":{"id":"h","role":"boss"}}`, "put_host.role", "boss"),
		Entry("a target left out", `{"put_service":{"name":"s","priorities":{"urgent":{"target_latency_ms":1,"target_share":0.9}}}}`, "put_service.priorities.normal", "missing"),
		Entry("two changes", `{"delete_team":"a","delete_route":"b"}`, "change", "2 members"),
		Entry("no change", `{}`, "change", "0 members"),
		Entry("bad syntax", "{\n!}", "", "line 2"),
		Entry("content after the object", `{"delete_team":"a"} x`, "", "content after"),
		Entry("a long text", `{"delete_team":"`+strings.Repeat("x", 64<<20)+`"}`, "", "64 MiB"),
	)
})
