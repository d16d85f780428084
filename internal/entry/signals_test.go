package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

var _ = Describe("What a backend server says about itself", func() {
	// The dispatcher limits the rate for all hosts, so it must learn of it with the end of the request.
	It("reaches the dispatcher, and not the caller", func() {
		b := newStandin(standin.Config{WorkTime: -1})
		b.SetFaults(standin.Faults{RateLimit: 2.5})
		f := start(nil, b.Address())
		a := f.do("GET", "/read", "")
		Expect(a.status).To(Equal(200))
		Expect(a.header).NotTo(HaveKey("Tarragon-Rate-Limit"))
		Expect(f.grants.lastSignals()).To(Equal(grant.ServerSignals{RateLimited: true, Rate: 2.5}))
		b.SetFaults(standin.Faults{})
		Expect(f.do("GET", "/read", "").status).To(Equal(200))
		Expect(f.grants.lastSignals()).To(BeZero())
	})

	// A download lasts for minutes, and a server that leaves must get no further requests meanwhile.
	It("reaches the dispatcher before a long response ends", func() {
		const length = 1 << 20
		released := make(chan struct{})
		b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Tarragon-State", "draining")
			w.Header().Set("Content-Length", strconv.Itoa(length))
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-released
			_, _ = w.Write(make([]byte, length))
		}))
		release := sync.OnceFunc(func() { close(released) })
		defer b.Close()
		defer release()
		f := start(nil, b.Listener.Addr().String())
		response := make(chan callerResponse, 1)
		go func() { response <- f.do("GET", "/read", "") }()
		Eventually(f.grants.earlySignals).Should(ConsistOf(grant.ServerSignals{Draining: true}))
		Expect(f.grants.ended()).To(BeEmpty())
		release()
		Expect((<-response).status).To(Equal(200))
	})

	It("includes how long it wants no requests from this host", func() {
		b := newStandin(standin.Config{WorkTime: -1})
		b.SetFaults(standin.Faults{PauseMS: 1500})
		f := start(nil, b.Address())
		Expect(f.do("GET", "/read", "").status).To(Equal(503))
		Expect(f.grants.lastSignals()).To(Equal(grant.ServerSignals{Pause: 1500 * time.Millisecond}))
	})

	It("states a pause that ends at a time of day", func() {
		until := time.Now().Add(10 * time.Second).UTC().Format(http.TimeFormat)
		pause := entry.UnavailableFor(503, http.Header{"Retry-After": {until}})
		Expect(pause).To(And(BeNumerically(">", 5*time.Second), BeNumerically("<=", 10*time.Second)))
	})

	DescribeTable("states a pause with a status of 503", func(status int, text string, shortest, longest time.Duration) {
		pause := entry.UnavailableFor(status, http.Header{"Retry-After": {text}})
		Expect(pause).To(And(BeNumerically(">=", shortest), BeNumerically("<=", longest)))
	},
		Entry("seconds", 503, "2", 2*time.Second, 2*time.Second),
		Entry("a fraction", 503, "0.25", 250*time.Millisecond, 250*time.Millisecond),
		Entry("a time of day", 503, "Fri, 01 Jan 2100 00:00:00 GMT", time.Hour, time.Hour),
		Entry("a past time", 503, "Mon, 02 Jan 2006 15:04:05 GMT", time.Duration(0), time.Duration(0)),
		Entry("very long", 503, "1e30", time.Hour, time.Hour),
		Entry("malformed", 503, "soon", time.Duration(0), time.Duration(0)),
		Entry("another status", 429, "2", time.Duration(0), time.Duration(0)),
	)

	DescribeTable("names a rate as a decimal number of at least 0", func(text string, rate float64, valid bool) {
		parsed, ok := entry.ParseNumber(text)
		Expect(ok).To(Equal(valid))
		if valid {
			Expect(parsed).To(Equal(rate))
		}
	},
		Entry("whole", "3", 3.0, true),
		Entry("fraction", "0.25", 0.25, true),
		Entry("zero", "0", 0.0, true),
		Entry("missing", "", 0.0, false),
		Entry("negative", "-1", 0.0, false),
		Entry("not a number", "NaN", 0.0, false),
		Entry("infinite", "Inf", 0.0, false),
		Entry("another text", "many", 0.0, false),
	)
})
