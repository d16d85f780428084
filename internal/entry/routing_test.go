package entry_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

// pathRoutes records the paths that are looked up.
type pathRoutes struct {
	fakeRoutes
	mu    *sync.Mutex
	paths *[]string
}

func (p pathRoutes) Current() route.Snapshot { return p }

func (p pathRoutes) Match(host, method, path string) (route.Match, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.paths = append(*p.paths, path)
	return p.fakeRoutes.Match(host, method, "/read")
}

var _ = Describe("The path that selects a route", func() {
	// A path that is compared in another form than the operator wrote the prefixes for selects another route, whose
	// requests may be repeated.
	DescribeTable("is the one of the request target",
		func(target, literal, decoded string) {
			b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
			for _, isLiteral := range []bool{true, false} {
				var paths []string
				f := start(func(c *entry.Config) {
					c.Routes = pathRoutes{mu: &sync.Mutex{}, paths: &paths}
					d := *entry.Native()
					d.LiteralPaths = isLiteral
					c.Dialect = &d
				}, b.Address())
				f.open().roundTrip("GET "+target+" HTTP/1.1\r\nHost: a\r\n\r\n", "")
				want := decoded
				if isLiteral {
					want = literal
				}
				Expect(paths).To(Equal([]string{want}))
			}
		},
		Entry("plain", "/orders", "/orders", "/orders"),
		Entry("with a last slash", "/orders/", "/orders/", "/orders/"),
		Entry("with a query", "/orders?x=/orders/", "/orders", "/orders"),
		Entry("with an encoded slash", "/orders%2F", "/orders%2F", "/orders/"),
		Entry("with an encoded letter", "/%6Frders/", "/%6Frders/", "/orders/"),
		Entry("with two slashes", "//orders/", "//orders/", "//orders/"),
		Entry("absolute", "http://a/orders/?x", "/orders/", "/orders/"),
		Entry("absolute with an encoded slash", "http://a/orders%2F", "/orders%2F", "/orders/"),
		Entry("absolute without a path", "http://a", "/", "/"),
	)

	// A backend server could resolve dot segments to a path of another route.
	It("refuses dot segments", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
		f := start(func(c *entry.Config) {
			d := *entry.Native()
			d.LiteralPaths = true
			c.Dialect = &d
		}, b.Address())
		for _, target := range []string{"/./orders/", "/orders/../x", "/%2e/orders/"} {
			Expect(f.open().roundTrip("GET "+target+" HTTP/1.1\r\nHost: a\r\n\r\n", "")).To(Equal(400), target)
		}
		Expect(b.Arrivals()).To(BeZero())
	})

	// The host must not state that a request was run that no server got.
	It("refuses a target that has no path", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
		f := start(nil, b.Address())
		Expect(f.open().roundTrip("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "")).To(Equal(400))
		Expect(b.Arrivals()).To(BeZero())
	})
})
