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

// limitedRoutes sets the limit of attempts and keyless mode of the routes of fakeRoutes.
type limitedRoutes struct {
	fakeRoutes
	maxAttempts int
	keyless     bool
}

func (l limitedRoutes) Current() route.Snapshot { return l }

func (l limitedRoutes) Match(host, method, path string) (route.Match, bool) {
	m, ok := l.fakeRoutes.Match(host, method, path)
	m.Attempts = l.maxAttempts
	m.Keyless = l.keyless && !m.Idempotent
	return m, ok
}

func limitedTo(attempts int) func(*entry.Config) {
	return func(c *entry.Config) { c.Routes = limitedRoutes{maxAttempts: attempts, keyless: true} }
}

// statusServer responds to every request with the status and counts the requests.
func statusServer(code int, count *atomic.Int64) string {
	return rawServer(func(c net.Conn) {
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

// resettingServer reads a request and closes the connection without a response.
func resettingServer(count *atomic.Int64) string {
	return rawServer(func(c net.Conn) {
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			count.Add(1)
		}
	})
}

var _ = Describe("A route that limits attempts", func() {
	// Non-idempotent work without a key must be sent once, even if its outcome is unknown. A retry
	// could run it twice.
	It("sends keyless work once after an unknown outcome", func() {
		var runs atomic.Int64
		f := start(limitedTo(5), resettingServer(&runs), resettingServer(&runs))
		a := f.do("POST", "/once", "x")
		Expect(a.kind()).To(Equal("backend-failed"))
		Expect(a.problem.Outcome).To(Equal("unknown"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	// Retries must not run the work on more servers than the route allows.
	It("runs idempotent work on no more servers than allowed", func() {
		var runs atomic.Int64
		f := start(limitedTo(1), resettingServer(&runs), resettingServer(&runs))
		Expect(f.do("GET", "/read", "").kind()).To(Equal("backend-failed"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		f = start(limitedTo(2), resettingServer(&runs), resettingServer(&runs), resettingServer(&runs))
		Expect(f.do("GET", "/read", "").kind()).To(Equal("backend-failed"))
		Expect(runs.Load()).To(BeEquivalentTo(3))
	})

	// A faulty server may send bytes that are not an HTTP response without end. The request must be
	// retried at another server while its caller still waits.
	It("tries another server when bytes that are no answer come without end", func() {
		garbage := rawServer(func(c net.Conn) {
			for {
				if _, err := io.WriteString(c, "garbage "); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		var worked atomic.Int64
		f := start(limitedTo(2), garbage, statusServer(200, &worked))
		began := time.Now()
		Expect(f.do("GET", "/read", "").status).To(Equal(200))
		Expect(worked.Load()).To(BeEquivalentTo(1))
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// Another server may succeed after one has responded with a server error. If none does, the
	// caller must get the server's response and not a refusal by the host.
	It("tries another server after a server error", func() {
		var failed, worked atomic.Int64
		f := start(limitedTo(2), statusServer(500, &failed), statusServer(200, &worked))
		Expect(f.do("GET", "/read", "").status).To(Equal(200))
		Expect(failed.Load()).To(BeEquivalentTo(1))
		f = start(limitedTo(2), statusServer(500, &failed))
		a := f.do("GET", "/read", "")
		Expect(a.status).To(Equal(500))
		Expect(a.kind()).To(BeEmpty())
		f = start(limitedTo(2), statusServer(500, &failed), statusServer(200, &worked))
		Expect(f.do("POST", "/once", "x").status).To(Equal(500))
	})
})

// With random positions, a part of a split route can get too many or too few of a small number of
// requests.
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
