package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

var _ = Describe("Refusals before any work", func() {
	// A malformed or excessive request must cost no grant and be told not-run with a typed kind.
	DescribeTable("are typed and not-run", func(kind, method, path string, headers ...string) {
		f := start(nil, refused())
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
		Entry("deadline of nothing", "deadline-passed", "GET", "/read", "Grpc-Timeout", "0S"),
		Entry("bad request id", "bad-request", "GET", "/read", "Request-Id", "\u00e9"),
		Entry("loop", "loop", "GET", "/read", "Via", "1.0 a, 1.1 tarragonmux"),
		Entry("upgrade", "bad-request", "GET", "/read", "Upgrade", "websocket", "Connection", "Upgrade"),
		Entry("dot segments", "bad-request", "GET", "/read/%2e%2e/once"),
	)

	// An HTTP/1.0 answer without a length ends with the connection, so a broken one looks whole.
	It("turn HTTP/1.0 away", func() {
		f := start(nil, refused())
		Expect(f.wire("GET /read HTTP/1.0\r\n\r\n")).To(ContainSubstring("bad-request"))
	})

	// A slow sender must not hold memory and a place for as long as it likes.
	It("turn slow senders away", func() {
		f := start(nil, refused())
		begun := time.Now()
		var wg sync.WaitGroup
		for start, refusal := range map[string]string{
			"POST /read HTTP/1.1\r\nContent-Length: 9":                 "bad-request",
			"POST /none HTTP/1.1\r\nContent-Length: 9":                 "no-route",
			"PUT /v1/backends/cuefeed/i HTTP/1.1\r\nContent-Length: 9": "bad-request",
		} {
			wg.Go(func() {
				defer GinkgoRecover()
				reply := f.wire(start + "\r\nHost: h\r\n\r\nabc")
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

	// One team's flood must not take the whole host.
	It("bound the requests of a team and of the host", func() {
		b := raw(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
		for _, limit := range []struct {
			kind   string
			change func(*entry.Config)
		}{
			{"quota", func(c *entry.Config) { c.Routes = fakeRoutes{quota: 1} }},
			{"queue-full", func(c *entry.Config) { c.Settings.MaxRequests = 1 }},
		} {
			f := start(limit.change, b)
			first := make(chan answered)
			go func() { first <- f.do("GET", "/read", "", "Grpc-Timeout", "300m") }()
			Eventually(f.grants.held).Should(Equal(1))
			a := f.do("GET", "/read", "")
			Expect(a.kind()).To(Equal(limit.kind))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect((<-first).kind()).To(Equal("deadline-passed"))
			Expect(f.do("GET", "/read", "", "Grpc-Timeout", "1m").kind()).To(Equal("deadline-passed"), "the place is free again")
		}
	})

	It("say that the host is starting", func() {
		f := start(func(c *entry.Config) { c.Ready = func() bool { return false } })
		Expect(f.do("GET", "/read", "").kind()).To(Equal("starting"))
		Expect(f.do("GET", "/v1/endpoints?service=cuefeed", "").kind()).To(Equal("starting"))
	})
})

// wire sends the text on a new connection and returns what comes back until it ends.
func (f *fleet) wire(text string) string {
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
	silent := func() string {
		return raw(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	}
	resets := func() string {
		return raw(func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			c.Close()
		})
	}
	shed := "HTTP/1.1 503 Busy\r\nTarragon-Outcome: not-run\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"

	// not-run for work that may have run makes callers send it twice.
	DescribeTable("is truthful", func(method, path string, server func() string, kind, outcome, claim string, results ...grant.Result) {
		f := start(nil, server())
		a := f.do(method, path, "body", "Idempotency-Key", "k", "Grpc-Timeout", "150m")
		Expect(a.err).NotTo(HaveOccurred())
		Expect([]string{a.kind(), a.problem.Outcome}).To(Equal([]string{kind, outcome}))
		Expect(f.claims.state("k")).To(Equal(claim))
		Expect(f.grants.ended()).To(Equal(results))
	},
		Entry("connection refused", "POST", "/once", refused, "backend-failed", "not-run", "abandoned", grant.ConnectFailed),
		Entry("no answer by the deadline", "POST", "/once", silent, "deadline-passed", "unknown", "unknown", grant.Timeout),
		Entry("broken before the answer", "POST", "/once", resets, "backend-failed", "unknown", "unknown", grant.Broken),
		Entry("broken within the headers", "POST", "/once", func() string { return once("HTTP/1.1 200 OK\r\nCont") }, "backend-failed", "unknown", "unknown", grant.Broken),
		Entry("broken within the body", "POST", "/once", func() string { return once("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc") }, "answer-truncated", "unknown", "unknown", grant.Broken),
		Entry("rejected by the server", "POST", "/once", func() string { return once(shed) }, "no-capacity", "not-run", "abandoned", grant.Shed),
		Entry("no answer, idempotent", "POST", "/read", silent, "deadline-passed", "unknown", "", grant.Timeout),
		Entry("refused, idempotent", "POST", "/read", refused, "backend-failed", "not-run", "", grant.ConnectFailed),
	)

	// The outcome of the last attempt alone would hide that an earlier one may have run.
	It("remembers an earlier attempt that may have run", func() {
		f := start(nil, resets(), refused())
		a := f.do("GET", "/read", "")
		Expect([]string{a.kind(), a.problem.Outcome}).To(Equal([]string{"backend-failed", "unknown"}))
	})

	It("is the dispatcher's when there is no grant", func() {
		f := start(nil)
		f.grants.refusal = problem.New(problem.DeadlineUnmeetable, problem.NotRun, "")
		Expect(f.do("POST", "/once", "", "Idempotency-Key", "k").kind()).To(Equal("deadline-unmeetable"))
		Expect(f.claims.state("k")).To(Equal("abandoned"), "the claim must not block a resend")
	})

	// A body that streams was sent in part: a break must not be retried or told as not-run.
	DescribeTable("after a caller stopped sending a streamed body", func(sent int, outcome string) {
		good := newStandin(standin.Config{})
		f := start(nil, silent(), good.Address())
		text := fmt.Sprintf("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 100<<10, strings.Repeat("x", sent))
		Expect(f.wire(text)).To(And(ContainSubstring("bad-request"), ContainSubstring(`"outcome":"`+outcome+`"`)))
		Expect(good.Ledger().Total.Started).To(BeZero())
	},
		Entry("is unknown once a part was sent on", 70<<10, "unknown"),
		Entry("is not-run before", 0, "not-run"),
	)
})
