package entry_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/entry"
)

const announced = `{"address":"127.0.0.1:80","data_centre":"a","slots":6,"connections":330,"state":"ready","incarnation":7,"warm_up_ms":0,"load":0.5}`

var _ = Describe("The announcement of a backend server", func() {
	It("is recorded as sent and grants a lease", func() {
		f := start(nil)
		a := f.do("PUT", "/v1/backends/cuefeed/i-1", announced)
		var lease entry.Lease
		Expect(json.Unmarshal([]byte(a.body), &lease)).To(Succeed())
		Expect(lease.Token).NotTo(BeEmpty())
		lease.Token = ""
		Expect(lease).To(Equal(entry.Lease{LeaseMS: 2000, RenewMS: 500}))
		recorded := f.backends.all()
		Expect(recorded).To(HaveLen(1))
		Expect(recorded[0].Renewed).To(BeTemporally("~", time.Now(), time.Second))
		recorded[0].Renewed = time.Time{}
		Expect(recorded).To(Equal([]backend.Server{{
			Service: "cuefeed", Instance: "i-1", Incarnation: 7, Address: "127.0.0.1:80", DataCentre: "a",
			State: backend.Ready, Slots: 6, Connections: 330, Load: 0.5,
		}}))
	})

	// If a malformed announcement is accepted, requests are sent to an address without a server.
	DescribeTable("is refused when malformed", func(kind, path, old, replacement string) {
		f := start(nil)
		a := f.do("PUT", path, strings.Replace(announced, old, replacement, 1))
		Expect(a.kind()).To(Equal(kind))
		Expect(f.backends.all()).To(BeEmpty())
	},
		Entry("unknown service", "no-route", "/v1/backends/other/i-1", "", ""),
		Entry("bad instance", "bad-request", "/v1/backends/cuefeed/-", "", ""),
		Entry("host name", "bad-request", "/v1/backends/cuefeed/i-1", "127.0.0.1", "localhost"),
		Entry("no port", "bad-request", "/v1/backends/cuefeed/i-1", ":80", ":0"),
		Entry("unspecified address", "bad-request", "/v1/backends/cuefeed/i-1", "127.0.0.1", "0.0.0.0"),
		Entry("unknown state", "bad-request", "/v1/backends/cuefeed/i-1", "ready", "left"),
		Entry("negative slots", "bad-request", "/v1/backends/cuefeed/i-1", ":6", ":-6"),
		Entry("load out of range", "bad-request", "/v1/backends/cuefeed/i-1", "0.5", "1.5"),
		Entry("no incarnation", "bad-request", "/v1/backends/cuefeed/i-1", ":7", ":0"),
		Entry("unknown field", "bad-request", "/v1/backends/cuefeed/i-1", "load", "lode"),
		Entry("trailing content", "bad-request", "/v1/backends/cuefeed/i-1", "0.5}", "0.5}{}"),
		Entry("too large", "body-too-large", "/v1/backends/cuefeed/i-1", "{", strings.Repeat(" ", 5000)+"{"),
	)

	// A delayed withdrawal by an earlier start of the server must not remove the current one.
	It("is withdrawn only with its incarnation", func() {
		f := start(nil)
		Expect(f.do("DELETE", "/v1/backends/cuefeed/i-1", "").kind()).To(Equal("bad-request"))
		Expect(f.do("DELETE", "/v1/backends/cuefeed/i-1?incarnation=7", "").status).To(Equal(204))
		Expect(f.backends.all()).To(ConsistOf(And(HaveField("State", backend.Left), HaveField("Incarnation", uint64(7)))))
	})

	It("leaves other paths to the routes", func() {
		f := start(nil)
		Expect(f.do("GET", "/v1/endpoints?service=cuefeed", "").body).To(MatchJSON(`{"endpoints":[{"address":"127.0.0.1:1","data_centre":"a"}],"ttl_ms":100}`))
		Expect(f.do("GET", "/v1/endpoints?service=none", "").kind()).To(Equal("no-route"))
		Expect(f.do("POST", "/v1/endpoints", "x").kind()).To(Equal("bad-request"))
		Expect(f.do("GET", "/v1/other", "").kind()).To(Equal("no-capacity"))
	})
})

// Arbitrary bytes must result in a valid server or a refusal, never in a panic or values out of range.
func FuzzParseAnnouncement(f *testing.F) {
	f.Add("cuefeed", "i-1", []byte(announced))
	f.Add("", "..", []byte(`{"load":1e999}`))
	f.Fuzz(func(t *testing.T, service, instance string, body []byte) {
		s, refusal := entry.ParseAnnouncement(service, instance, body)
		if refusal != nil {
			return
		}
		valid := s.Slots >= 0 && s.Connections >= 0 && s.Incarnation > 0 && s.WarmUp >= 0 && s.Load >= 0 && s.Load <= 1 &&
			s.State >= backend.Starting && s.State <= backend.Draining && s.Address != "" && s.Service == service && s.Instance == instance
		if !valid {
			t.Fatalf("an invalid announcement was accepted: %+v", s)
		}
	})
}
