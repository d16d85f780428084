package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

var _ = Describe("Refusals before any work", func() {
	// A malformed or oversized request must not use a grant, and its refusal must state its kind
	// and not-run.
	DescribeTable("are typed and not-run", func(kind, method, path string, headers ...string) {
		f := start(nil, refusingAddress())
		a := f.do(method, path, "0123456789x", headers...)
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.kind()).To(Equal(kind))
		Expect(a.problem.Outcome).To(Equal("not-run"))
		Expect(a.header.Get("Request-Id")).NotTo(BeEmpty())
		Expect(f.grants.purposes).To(BeEmpty())
		Expect(f.observed.outcomes()).To(Equal([]string{kind}))
	},
		Entry("no route", "no-route", "GET", "/none"),
		Entry("team without the service", "no-route", "GET", "/read", "Tarragon-Team", "stranger"),
		Entry("body too large", "body-too-large", "POST", "/small"),
		Entry("headers too large", "header-too-large", "GET", "/read", "X", strings.Repeat("x", 40<<10)),
		Entry("no key", "key-required", "POST", "/once"),
		Entry("long key", "bad-request", "POST", "/once", "Idempotency-Key", strings.Repeat("k", 256)),
		Entry("bad deadline", "bad-request", "GET", "/read", "Grpc-Timeout", "5"),
		Entry("bad deadline unit", "bad-request", "GET", "/read", "Grpc-Timeout", "5s"),
		Entry("zero deadline", "deadline-passed", "GET", "/read", "Grpc-Timeout", "0S"),
		Entry("bad request id", "bad-request", "GET", "/read", "Request-Id", "\u00e9"),
		Entry("loop", "loop", "GET", "/read", "Via", "1.0 a, 1.1 tarragonmux"),
		Entry("upgrade", "bad-request", "GET", "/read", "Upgrade", "websocket", "Connection", "Upgrade"),
		Entry("dot segments", "bad-request", "GET", "/read/%2e%2e/once"),
	)

	// An HTTP/1.0 response without a length ends with the connection, so a truncated one looks complete.
	It("reject HTTP/1.0", func() {
		f := start(nil, refusingAddress())
		Expect(f.sendRaw("GET /read HTTP/1.0\r\n\r\n")).To(ContainSubstring("bad-request"))
	})

	// A slow sender must not occupy memory and a place among the requests in flight without limit.
	It("turn slow senders away", func() {
		f := start(nil, refusingAddress())
		begun := time.Now()
		var wg sync.WaitGroup
		for start, refusal := range map[string]string{
			"POST /read HTTP/1.1\r\nContent-Length: 9":                 "bad-request",
			"POST /none HTTP/1.1\r\nContent-Length: 9":                 "no-route",
			"PUT /v1/backends/cuefeed/i HTTP/1.1\r\nContent-Length: 9": "bad-request",
		} {
			wg.Go(func() {
				defer GinkgoRecover()
				reply := f.sendRaw(start + "\r\nHost: h\r\n\r\nabc")
				Expect(reply).To(And(ContainSubstring(refusal), ContainSubstring("Connection: close")))
			})
		}
		wg.Wait()
		Expect(time.Since(begun)).To(BeNumerically("<", 5*time.Second), "the connections were closed")
	})

	It("bound a body without a stated length", func() {
		f := start(nil, newStandin(standin.Config{WorkTime: -1}).Address())
		r, err := http.NewRequest("POST", "http://"+f.address+"/small", io.MultiReader(strings.NewReader("01234567890")))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.send(r).kind()).To(Equal("body-too-large"))
	})

	// Too many requests of one team must not use up the capacity of the host.
	It("limit the requests of a team and of the host", func() {
		b := rawServer(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
		for _, limit := range []struct {
			kind   string
			change func(*entry.Config)
		}{
			{"quota", func(c *entry.Config) { c.Routes = fakeRoutes{quota: 1} }},
			{"queue-full", func(c *entry.Config) { c.Settings.MaxRequests = 1 }},
		} {
			f := start(limit.change, b)
			first := make(chan callerResponse)
			go func() { first <- f.do("GET", "/read", "", "Grpc-Timeout", "300m") }()
			Eventually(f.grants.outstanding).Should(Equal(1))
			a := f.do("GET", "/read", "")
			Expect(a.kind()).To(Equal(limit.kind))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect((<-first).kind()).To(Equal("deadline-passed"))
			Expect(f.do("GET", "/read", "", "Grpc-Timeout", "1m").kind()).To(Equal("deadline-passed"), "the request is no longer counted as in flight")
		}
	})

	// After a loss of power all hosts start together, and refusals would reach callers that have no other address.
	It("are not given while the first configuration is on its way", func() {
		b := newStandin(standin.Config{Slots: 4, WorkTime: time.Millisecond})
		var ready atomic.Bool
		f := start(func(c *entry.Config) { c.Ready = ready.Load }, b.Address())
		time.AfterFunc(300*time.Millisecond, func() { ready.Store(true) })
		sent := time.Now()
		Expect(f.do("GET", "/read", "", "Grpc-Timeout", "200m").kind()).To(Equal("starting"))
		Expect(time.Since(sent)).To(BeNumerically("<", 200*time.Millisecond), "a refusal must come while the caller can still use it")
		Expect(f.do("GET", "/read", "", "Grpc-Timeout", "5S").status).To(Equal(200))
	})

	It("come at once when the first configuration is overdue", func() {
		f := start(func(c *entry.Config) { c.Ready = func() bool { return false } })
		Expect(f.do("GET", "/read", "").kind()).To(Equal("starting"))
		sent := time.Now()
		Expect(f.do("GET", "/read", "").kind()).To(Equal("starting"))
		Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
	})

	It("state that the host is starting", func() {
		f := start(func(c *entry.Config) { c.Ready = func() bool { return false } })
		Expect(f.do("GET", "/read", "").kind()).To(Equal("starting"))
		Expect(f.do("GET", "/v1/endpoints?service=cuefeed", "").kind()).To(Equal("starting"))
	})
})

// sendRaw sends the text on a new connection and returns all bytes received until the connection ends.
func (f *fleet) sendRaw(text string) string {
	c, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetReadDeadline(time.Now().Add(6 * time.Second))).To(Succeed())
	reply, _ := io.ReadAll(c)
	return string(reply)
}

var _ = Describe("The outcome of a refusal", func() {
	unresponsive := func() string {
		return rawServer(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	}
	resets := func() string {
		return rawServer(func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			c.Close()
		})
	}
	shed := "HTTP/1.1 503 Busy\r\nTarragon-Outcome: not-run\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"

	// If work that may have run is reported as not-run, callers send it again and it runs twice.
	DescribeTable("is truthful", func(method, path string, server func() string, kind, outcome, claim string, results ...grant.Result) {
		f := start(nil, server())
		a := f.do(method, path, "body", "Idempotency-Key", "k", "Grpc-Timeout", "150m")
		Expect(a.err).NotTo(HaveOccurred())
		Expect([]string{a.kind(), a.problem.Outcome}).To(Equal([]string{kind, outcome}))
		Expect(f.claims.state("k")).To(Equal(claim))
		Expect(f.grants.ended()).To(Equal(results))
	},
		Entry("connection refused", "POST", "/once", refusingAddress, "backend-failed", "not-run", "abandoned", grant.ConnectFailed),
		Entry("no response by the deadline", "POST", "/once", unresponsive, "deadline-passed", "unknown", "unknown", grant.Timeout),
		Entry("broken before the response", "POST", "/once", resets, "backend-failed", "unknown", "unknown", grant.Broken),
		Entry("broken within the headers", "POST", "/once", func() string { return respondOnce("HTTP/1.1 200 OK\r\nCont") }, "backend-failed", "unknown", "unknown", grant.Broken),
		Entry("broken within the body", "POST", "/once", func() string { return respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc") }, "answer-truncated", "unknown", "unknown", grant.Broken),
		Entry("rejected by the server", "POST", "/once", func() string { return respondOnce(shed) }, "no-capacity", "not-run", "abandoned", grant.Shed),
		Entry("no response, idempotent", "POST", "/read", unresponsive, "deadline-passed", "unknown", "", grant.Timeout),
		Entry("refused, idempotent", "POST", "/read", refusingAddress, "backend-failed", "not-run", "", grant.ConnectFailed),
	)

	// The outcome of the last attempt alone would hide that an earlier one may have run the work.
	It("takes into account an earlier attempt that may have run", func() {
		f := start(nil, resets(), refusingAddress())
		a := f.do("GET", "/read", "")
		Expect([]string{a.kind(), a.problem.Outcome}).To(Equal([]string{"backend-failed", "unknown"}))
	})

	It("is the dispatcher's when there is no grant", func() {
		f := start(nil)
		f.grants.refusal = problem.New(problem.DeadlineUnmeetable, problem.NotRun, "")
		Expect(f.do("POST", "/once", "", "Idempotency-Key", "k").kind()).To(Equal("deadline-unmeetable"))
		Expect(f.claims.state("k")).To(Equal("abandoned"), "the claim must not block a resend")
	})

	// A part of a streamed body may have reached the server. A failure must not be retried or
	// reported as not-run then.
	DescribeTable("after a caller stopped sending a streamed body", func(sent int, outcome string) {
		good := newStandin(standin.Config{})
		f := start(nil, unresponsive(), good.Address())
		text := fmt.Sprintf("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 100<<10, strings.Repeat("x", sent))
		Expect(f.sendRaw(text)).To(And(ContainSubstring("bad-request"), ContainSubstring(`"outcome":"`+outcome+`"`)))
		Expect(good.Ledger().Total.Started).To(BeZero())
	},
		Entry("is unknown once a part was forwarded", 70<<10, "unknown"),
		Entry("is not-run before", 0, "not-run"),
	)
})
