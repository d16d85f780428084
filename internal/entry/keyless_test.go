package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/route"
)

// limitedRoutes sets what a route allows.
type limitedRoutes struct {
	fakeRoutes
	attempts int
	keyless  bool
}

func (l limitedRoutes) Current() route.Snapshot { return l }

func (l limitedRoutes) Match(host, method, path string) (route.Match, bool) {
	m, ok := l.fakeRoutes.Match(host, method, path)
	m.Attempts = l.attempts
	m.Keyless = l.keyless && !m.Idempotent
	return m, ok
}

func limited(attempts int) func(*entry.Config) {
	return func(c *entry.Config) { c.Routes = limitedRoutes{attempts: attempts, keyless: true} }
}

// status answers every request with the status and counts the requests.
func status(code int, count *atomic.Int64) string {
	return raw(func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			count.Add(1)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n", code)
		}
	})
}

// broken reads a request and breaks the connection.
func broken(count *atomic.Int64) string {
	return raw(func(c net.Conn) {
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			count.Add(1)
		}
	})
}

var _ = Describe("A route that limits attempts", func() {
	// Work that must not repeat and has no key is sent once, also when its outcome is unknown.
	It("sends keyless work once after an unknown outcome", func() {
		var runs atomic.Int64
		f := start(limited(5), broken(&runs), broken(&runs))
		a := f.do("POST", "/once", "x")
		Expect(a.kind()).To(Equal("backend-failed"))
		Expect(a.problem.Outcome).To(Equal("unknown"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	// More servers than the route allows must not run the work.
	It("runs repeatable work on no more servers than allowed", func() {
		var runs atomic.Int64
		f := start(limited(1), broken(&runs), broken(&runs))
		Expect(f.do("GET", "/read", "").kind()).To(Equal("backend-failed"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		f = start(limited(2), broken(&runs), broken(&runs), broken(&runs))
		Expect(f.do("GET", "/read", "").kind()).To(Equal("backend-failed"))
		Expect(runs.Load()).To(BeEquivalentTo(3))
	})

	// A server in trouble may send bytes that are no answer and never end them; the request must reach another
	// server while its caller still waits.
	It("tries another server when bytes that are no answer come without end", func() {
		garbage := raw(func(c net.Conn) {
			for {
				if _, err := io.WriteString(c, "garbage "); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		var worked atomic.Int64
		f := start(limited(2), garbage, status(200, &worked))
		began := time.Now()
		Expect(f.do("GET", "/read", "").status).To(Equal(200))
		Expect(worked.Load()).To(BeEquivalentTo(1))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// A server that reports a failure of its own may be followed by one that works; if there is none, the
	// caller gets the server's answer and not one of the host.
	It("tries another server after a failure that a server reports", func() {
		var failed, worked atomic.Int64
		f := start(limited(2), status(500, &failed), status(200, &worked))
		Expect(f.do("GET", "/read", "").status).To(Equal(200))
		Expect(failed.Load()).To(BeEquivalentTo(1))
		f = start(limited(2), status(500, &failed))
		a := f.do("GET", "/read", "")
		Expect(a.status).To(Equal(500))
		Expect(a.kind()).To(BeEmpty())
		f = start(limited(2), status(500, &failed), status(200, &worked))
		Expect(f.do("POST", "/once", "x").status).To(Equal(500))
	})
})

// A split that follows chance gives a part too much or too little over few requests.
func TestSplitPositionsAreEven(t *testing.T) {
	g := NewWithT(t)
	next := entry.NewSplitPositions()
	low := 0
	for range 300 {
		if next("r") < 0.9 {
			low++
		}
	}
	g.Expect(low).To(BeNumerically("~", 270, 3))
}
