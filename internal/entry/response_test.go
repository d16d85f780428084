package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/route"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

// respondOnce reads one request on a connection, sends the text and closes the connection.
func respondOnce(text string) string {
	return rawServer(func(c net.Conn) {
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	})
}

var _ = Describe("A truncated response", func() {
	// A caller that mistakes a part for the complete response would show a shortened cue list
	// without an error.
	DescribeTable("is an error to the caller, wherever it is cut", func(head, body string) {
		var cut atomic.Int64
		text := head + body
		b := rawServer(func(c net.Conn) {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text[:cut.Load()])
			}
		})
		f := start(nil, b)
		for n := range text {
			cut.Store(int64(n))
			a := f.do("GET", "/read", "")
			if a.err == nil {
				Expect(a.kind()).To(Or(Equal("backend-failed"), Equal("answer-truncated")), "cut at byte %d gave %d %q", n, a.status, a.body)
				Expect(a.problem.Outcome).To(Equal("unknown"))
			}
		}
		cut.Store(int64(len(text)))
		a := f.do("GET", "/read", "")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(HaveLen(20))
	},
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n", "01234567890123456789"),
		Entry("chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n"),
	)

	// The headers of a response that is too long to be buffered have been sent already, so that
	// only a broken connection can tell the caller of the error.
	It("breaks the caller's connection when it is long", func() {
		b := newStandin(standin.Config{WorkTime: -1})
		b.SetFaults(standin.Faults{TruncateShare: 1})
		f := start(nil, b.Address())
		a := f.do("GET", "/read", "", "Standin-Size", "500000")
		Expect(a.status).To(Equal(200))
		Expect(a.err).To(MatchError(io.ErrUnexpectedEOF))
		Eventually(f.observed.outcomes).Should(Equal([]string{entry.OutcomeBroken}))
		Expect(f.grants.ended()).To(Equal([]grant.Result{grant.Broken}))
	})

	// Another server can run idempotent work again, so the caller should not see the failure.
	It("is replaced by one from another server if it is short and the work is idempotent", func() {
		good := newStandin(standin.Config{WorkTime: -1})
		f := start(nil, respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort"), good.Address())
		a := f.do("POST", "/read", "body")
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(HavePrefix("instance=i-1"))
		Expect(f.grants.ended()).To(Equal([]grant.Result{grant.Broken, grant.OK}))
		Expect(f.grants.purposes).To(Equal([]grant.Purpose{grant.First, grant.Retry}))
	})
})

var _ = Describe("Cancellation", func() {
	// Work for callers that have disconnected takes slots from those that still wait.
	It("reaches the backend server when the caller disconnects", func() {
		b := newStandin(standin.Config{})
		b.SetFaults(standin.Faults{StallWork: true})
		f := start(nil, b.Address())
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, "GET", "http://"+f.address+"/read", nil)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			defer GinkgoRecover()
			Eventually(func() int { return b.Ledger().Total.Started }).Should(Equal(1))
			cancel()
		}()
		Expect(f.send(r).err).To(MatchError(context.Canceled))
		Eventually(func() int { return b.Ledger().Total.Cancelled }).Should(Equal(1))
		Eventually(f.grants.ended).Should(Equal([]grant.Result{grant.Cancelled}))
		Eventually(f.observed.outcomes).Should(Equal([]string{entry.OutcomeCallerGone}))
	})

	// No caller waits for a response after the deadline, and its connection must not carry a later
	// request.
	It("reaches the backend server at the deadline, which is passed on to it", func() {
		var timeout atomic.Value
		gone := make(chan struct{})
		b := httpServer(func(_ http.ResponseWriter, r *http.Request) {
			timeout.Store(r.Header.Get("Grpc-Timeout"))
			<-r.Context().Done()
			close(gone)
		})
		f := start(nil, b)
		a := f.do("GET", "/read", "", "Grpc-Timeout", "80m")
		Expect(a.kind()).To(Equal("deadline-passed"))
		Expect(a.problem.Outcome).To(Equal("unknown"))
		Eventually(gone).Should(BeClosed())
		left, err := time.ParseDuration(strings.Replace(timeout.Load().(string), "u", "us", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 80*time.Millisecond)))
		Expect(f.grants.ended()).To(Equal([]grant.Result{grant.Timeout}))
	})
})

var _ = Describe("A hedge", func() {
	enableHedges := func(f *fleet, addresses ...string) {
		f.grants.addresses = addresses
		f.grants.hedgeDelay = 30 * time.Millisecond
	}

	// If the work of the losing attempt is not cancelled and its grant not released, hedges use up
	// the capacity.
	It("wins over a stalled server, whose work is cancelled", func() {
		slow := newStandin(standin.Config{Instance: "slow"})
		slow.SetFaults(standin.Faults{StallWork: true})
		fast := newStandin(standin.Config{Instance: "fast", WorkTime: -1})
		f := start(nil)
		enableHedges(f, slow.Address(), fast.Address())
		a := f.do("GET", "/urgent", "")
		Expect(a.body).To(HavePrefix("instance=fast "))
		Eventually(func() int { return slow.Ledger().Total.Cancelled }).Should(Equal(1))
		Eventually(f.grants.ended).Should(ConsistOf(grant.Cancelled, grant.OK))
		Expect(f.grants.purposes).To(Equal([]grant.Purpose{grant.First, grant.Hedge}))
	})

	It("loses against a first attempt that responds sooner, and is cancelled", func() {
		first := newStandin(standin.Config{Instance: "first", WorkTime: 80 * time.Millisecond})
		second := newStandin(standin.Config{Instance: "second"})
		second.SetFaults(standin.Faults{StallWork: true})
		f := start(nil)
		enableHedges(f, first.Address(), second.Address())
		Expect(f.do("GET", "/urgent", "").body).To(HavePrefix("instance=first "))
		Eventually(func() int { return second.Ledger().Total.Cancelled }).Should(Equal(1))
		Eventually(f.grants.ended).Should(ConsistOf(grant.Cancelled, grant.OK))
	})

	// A server that failed the hedge is likely to fail the retry too.
	It("excludes its server from later retries", func() {
		late := rawServer(func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			time.Sleep(70 * time.Millisecond)
			c.Close()
		})
		good := newStandin(standin.Config{WorkTime: -1})
		f := start(nil)
		enableHedges(f, late, respondOnce(""), good.Address())
		Expect(f.do("GET", "/urgent", "").body).To(HavePrefix("instance=i-1 "))
		Expect(f.grants.purposes).To(Equal([]grant.Purpose{grant.First, grant.Hedge, grant.Retry}))
		Eventually(f.grants.ended).Should(Equal([]grant.Result{grant.Broken, grant.Broken, grant.OK}))
	})

	// The request has ended by then: its exchange belongs to the first attempt, and no caller waits
	// for the work.
	It("returns its grant unused if the grant arrives after the first response", func() {
		first := newStandin(standin.Config{Instance: "first", WorkTime: 50 * time.Millisecond})
		second := newStandin(standin.Config{Instance: "second", WorkTime: -1})
		f := start(nil)
		enableHedges(f, first.Address(), second.Address())
		f.grants.hedgeGrantDelay = 80 * time.Millisecond
		Expect(f.do("GET", "/urgent", "").body).To(HavePrefix("instance=first "))
		Eventually(f.grants.ended).Should(Equal([]grant.Result{grant.OK, grant.Unused}))
		Expect(second.Ledger().Total.Started).To(BeZero())
	})

	// A server that has begun to respond is not stalled, so a hedge would only waste a slot.
	It("is not sent once the first response has begun", func() {
		begun := httpServer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			fmt.Fprint(w, "ab")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(w, "cd")
		})
		f := start(nil)
		enableHedges(f, begun, refusingAddress())
		Expect(f.do("GET", "/urgent", "").body).To(Equal("abcd"))
		Expect(f.grants.purposes).To(Equal([]grant.Purpose{grant.First}))
	})

	// A hedge of non-idempotent work would run it twice.
	It("is never sent for non-idempotent work", func() {
		first := newStandin(standin.Config{Instance: "first", WorkTime: 150 * time.Millisecond})
		second := newStandin(standin.Config{Instance: "second"})
		f := start(nil)
		enableHedges(f, first.Address(), second.Address())
		Expect(f.do("POST", "/urgent-once", "x", "Idempotency-Key", "k").status).To(Equal(200))
		Expect(second.Ledger().Total.Started).To(BeZero())
	})

	// The advice to leave a server that stalls is for work that may repeat.
	It("is never sent for non-idempotent work when the first server is ejected", func() {
		for _, keyless := range []bool{true, false} {
			var runs atomic.Int64
			stalled := rawServer(func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					runs.Add(1)
				}
			})
			f := start(func(c *entry.Config) { c.Routes = limitedRoutes{keyless: keyless} }, stalled, statusServer(200, &runs))
			f.grants.hedgeDelay = 30 * time.Millisecond
			f.grants.advised = make(chan struct{})
			close(f.grants.advised)
			a := f.do("POST", "/urgent-once", "x", "Idempotency-Key", "k", "Grpc-Timeout", "400m")
			Expect([]string{a.kind(), a.problem.Outcome}).To(Equal([]string{"deadline-passed", "unknown"}))
			Expect(runs.Load()).To(BeEquivalentTo(1))
			Expect(f.grants.purposes).To(Equal([]grant.Purpose{grant.First}))
		}
	})

	// Without the second attempt, requests in flight to an ejected server would wait until their
	// deadline.
	It("is sent at once when the first server is ejected", func() {
		slow := newStandin(standin.Config{Instance: "slow"})
		slow.SetFaults(standin.Faults{StallWork: true})
		fast := newStandin(standin.Config{Instance: "fast", WorkTime: -1})
		f := start(nil, slow.Address(), fast.Address())
		f.grants.advised = make(chan struct{})
		time.AfterFunc(150*time.Millisecond, func() { close(f.grants.advised) })
		Expect(f.do("GET", "/read", "").body).To(HavePrefix("instance=fast "))
		Expect(f.grants.purposes).To(Equal([]grant.Purpose{grant.First, grant.Retry}))
	})
})

// Operators limit how many servers may run one request. Each way to begin another attempt has to count the
// former one, also if it never ended by itself.
var _ = Describe("The limit of attempts", func() {
	failing := func(ran *atomic.Int64, delay time.Duration) string {
		return httpServer(func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			time.Sleep(delay)
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	stalled := func(ran *atomic.Int64) string {
		return rawServer(func(c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				ran.Add(1)
			}
		})
	}
	advise := func(f *fleet) {
		f.grants.advised = make(chan struct{})
		time.AfterFunc(150*time.Millisecond, func() { close(f.grants.advised) })
	}

	It("counts a stalled server whose request an advised retry took over", func() {
		var ran atomic.Int64
		f := start(nil, stalled(&ran), failing(&ran, 0), failing(&ran, 0))
		advise(f)
		Expect(f.do("GET", "/two", "").status).To(Equal(500))
		Expect(ran.Load()).To(BeEquivalentTo(2))
	})

	It("counts an advised retry that runs when the first server reports a failure", func() {
		var ran atomic.Int64
		f := start(nil, failing(&ran, 250*time.Millisecond), failing(&ran, 200*time.Millisecond), failing(&ran, 0))
		advise(f)
		Expect(f.do("GET", "/two", "").status).To(Equal(500))
		Expect(ran.Load()).To(BeEquivalentTo(2))
	})

	It("leaves an advised retry running when the first server reports a failure", func() {
		var ran atomic.Int64
		good := newStandin(standin.Config{Instance: "good", WorkTime: 200 * time.Millisecond})
		f := start(nil, failing(&ran, 250*time.Millisecond), good.Address())
		advise(f)
		Expect(f.do("GET", "/two", "").body).To(HavePrefix("instance=good "))
	})

	It("counts a hedge", func() {
		var ran atomic.Int64
		f := start(func(c *entry.Config) { c.Routes = urgentTwice{} }, failing(&ran, 100*time.Millisecond), stalled(&ran), failing(&ran, 0))
		f.grants.hedgeDelay = 30 * time.Millisecond
		Expect(f.do("GET", "/urgent", "", "Grpc-Timeout", "1S").status).To(Equal(500))
		Expect(ran.Load()).To(BeEquivalentTo(2))
	})
})

// urgentTwice allows two attempts on each route.
type urgentTwice struct{ fakeRoutes }

func (u urgentTwice) Current() route.Snapshot { return u }

func (u urgentTwice) Match(host, method, path string) (route.Match, bool) {
	m, ok := u.fakeRoutes.Match(host, method, path)
	m.Attempts = 2
	return m, ok
}

var _ = Describe("Headers", func() {
	// Hop-by-hop and internal headers that are passed on break the framing or reveal callers to
	// each other.
	It("are passed on only if they are end-to-end and not internal", func() {
		seen := make(chan http.Header, 1)
		b := httpServer(func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header
			w.Header().Set("Tarragon-State", "draining")
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.Header().Set("X-End", "1")
			fmt.Fprint(w, "ok")
		})
		f := start(nil, b)
		a := f.do("GET", "/read?q=%2F", "", "Tarragon-Team", "t", "Connection", "X-Mine", "X-Mine", "1", "X-Kept", "1", "Proxy-Authorization", "p", "Te", "trailers")
		request := <-seen
		for _, name := range []string{"Tarragon-Team", "X-Mine", "Proxy-Authorization", "Te", "Connection"} {
			Expect(request).NotTo(HaveKey(name))
		}
		Expect(request).To(HaveKeyWithValue("X-Kept", []string{"1"}))
		Expect(request).To(HaveKeyWithValue("Via", []string{"1.1 tarragonmux"}))
		Expect(request["Request-Id"]).To(Equal(a.header["Request-Id"]))
		Expect(a.header).NotTo(HaveKey("Tarragon-State"))
		Expect(a.header).NotTo(HaveKey("X-Hop"))
		Expect(a.header).To(HaveKey("X-End"))
		Expect(f.backends.draining).To(Equal([]string{b}))
	})
})
