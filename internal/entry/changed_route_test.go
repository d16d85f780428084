package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/route"
)

// changingRoutes replaces the configuration by another one while requests are under way. All routes are idempotent in
// the first one.
type changingRoutes struct {
	changed atomic.Bool
	// then is what the later configuration says of each route.
	then func(m route.Match) (route.Match, bool)
}

func (c *changingRoutes) Current() route.Snapshot {
	if c.changed.Load() {
		return laterRoutes{then: c.then}
	}
	return fakeRoutes{}
}

type laterRoutes struct {
	fakeRoutes
	then func(m route.Match) (route.Match, bool)
}

func (laterRoutes) Revision() uint64 { return 2 }

func (l laterRoutes) Match(host, method, path string) (route.Match, bool) {
	m, ok := l.fakeRoutes.Match(host, method, path)
	if !ok {
		return m, false
	}
	return l.then(m)
}

// changingGrants changes the configuration when a request asks for a grant after the first one.
type changingGrants struct {
	grant.Source
	routes *changingRoutes
}

func (c changingGrants) Acquire(ctx context.Context, r grant.Request) (grant.Grant, error) {
	if r.Purpose != grant.First {
		c.routes.changed.Store(true)
	}
	return c.Source.Acquire(ctx, r)
}

// lostResponse is how the response to the first attempt fails to come.
type lostResponse int

const (
	connectionCloses lostResponse = iota
	serverError
	responseBreaksOff
	serverStalls
)

var _ = Describe("A configuration that changes while a request is under way", func() {
	// The request may be one of a route whose work must not repeat: a host learns of such a route after its callers.
	DescribeTable("decides whether the request is sent again", func(lost lostResponse, path string, waits bool, then func(route.Match) (route.Match, bool), sent int) {
		routes := &changingRoutes{then: then}
		var runs atomic.Int64
		failing := rawServer(func(c net.Conn) {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			runs.Add(1)
			if !waits {
				routes.changed.Store(true)
			}
			switch lost {
			case serverError:
				_, _ = io.WriteString(c, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
			case responseBreaksOff:
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
			case serverStalls:
				_, _ = io.Copy(io.Discard, c)
			}
		})
		f := start(func(c *entry.Config) {
			c.Routes, c.Grants = routes, changingGrants{Source: c.Grants, routes: routes}
		}, failing, statusServer(200, &runs))
		if lost == serverStalls {
			f.grants.hedgeDelay = 40 * time.Millisecond
			f.grants.advised = make(chan struct{})
			time.AfterFunc(150*time.Millisecond, func() { close(f.grants.advised) })
		}
		a := f.do("GET", path, "", "Grpc-Timeout", "400m")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(runs.Load()).To(BeEquivalentTo(sent))
		if sent > 1 {
			Expect(a.status).To(Equal(http.StatusOK))
		}
	},
		Entry("connection closed, now non-idempotent", connectionCloses, "/read", false, nonIdempotent, 1),
		Entry("server error, now non-idempotent", serverError, "/read", false, nonIdempotent, 1),
		Entry("response broken off, now non-idempotent", responseBreaksOff, "/read", false, nonIdempotent, 1),
		Entry("advised to retry, now non-idempotent", serverStalls, "/read", false, nonIdempotent, 1),
		Entry("hedge due, now non-idempotent", serverStalls, "/urgent", false, nonIdempotent, 1),
		Entry("connection closed, non-idempotent when a grant comes", connectionCloses, "/read", true, nonIdempotent, 1),
		Entry("server error, non-idempotent when a grant comes", serverError, "/read", true, nonIdempotent, 1),
		Entry("advised to retry, non-idempotent when a grant comes", serverStalls, "/read", true, nonIdempotent, 1),
		Entry("hedge due, non-idempotent when a grant comes", serverStalls, "/urgent", true, nonIdempotent, 1),
		Entry("connection closed, still idempotent", connectionCloses, "/read", false, stillIdempotent, 2),
		Entry("server error, still idempotent", serverError, "/read", false, stillIdempotent, 2),
		Entry("advised to retry, still idempotent", serverStalls, "/read", false, stillIdempotent, 2),
		Entry("connection closed, route removed", connectionCloses, "/read", false, removed, 2),
	)
})

func nonIdempotent(m route.Match) (route.Match, bool) {
	m.Idempotent, m.Keyless = false, true
	return m, true
}

func stillIdempotent(m route.Match) (route.Match, bool) { return m, true }

func removed(route.Match) (route.Match, bool) { return route.Match{}, false }
