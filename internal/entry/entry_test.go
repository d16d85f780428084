package entry_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

// callerResponse is a response, or an error, as a caller received it.
type callerResponse struct {
	status          int
	header          http.Header
	body            string
	err             error
	connectionClose bool
	problem         struct {
		Type    string
		Outcome string
	}
}

func (a callerResponse) kind() string {
	return strings.TrimPrefix(a.problem.Type, "urn:tarragonmux:problem:")
}

// do sends a request; headers alternates names and values.
func (f *fleet) do(method, path, body string, headers ...string) callerResponse {
	r, err := http.NewRequest(method, "http://"+f.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return f.send(r)
}

func (f *fleet) send(r *http.Request) (a callerResponse) {
	response, err := f.client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err = response.StatusCode, response.Header, string(body), err
	a.connectionClose = response.Close
	if a.header.Get("Content-Type") == "application/problem+json" {
		Expect(json.Unmarshal(body, &a.problem)).To(Succeed())
	}
	return a
}

func newStandin(cfg standin.Config) *standin.Server {
	cfg.Service, cfg.DataCentre = "cuefeed", "a"
	if cfg.Instance == "" {
		cfg.Instance = "i-1"
	}
	s, err := standin.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Start()).To(Succeed())
	DeferCleanup(s.Close)
	return s
}

var _ = Describe("A request", func() {
	// A response delivered to the wrong caller is the worst fault that a shared proxy can have.
	It("gets the whole answer to itself under concurrency", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: 2 * time.Millisecond})
		f := start(nil, b.Address())
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				defer GinkgoRecover()
				for n := range 20 {
					id := fmt.Sprintf("r-%d-%d", i, n)
					size := 200 + i*n*97
					a := f.do("GET", "/read/"+id, "", "Request-Id", id, "Standin-Size", fmt.Sprint(size))
					Expect(a.err).NotTo(HaveOccurred())
					Expect(a.status).To(Equal(200), a.body)
					Expect(a.body).To(HavePrefix("instance=i-1 request=" + id + " "))
					Expect(a.body).To(HaveLen(size))
					Expect(a.header.Get("Request-Id")).To(Equal(id))
				}
			})
		}
		wg.Wait()
		Expect(b.Ledger().Total.Finished).To(Equal(800))
	})
})

var _ = Describe("A request body", func() {
	// If a body is truncated, duplicated or framed differently on its way, the server responds to a
	// request that the caller did not send.
	DescribeTable("reaches the backend server complete, buffered or streamed", func(size int, chunked bool) {
		b := newStandin(standin.Config{WorkTime: -1})
		f := start(nil, refusingAddress(), b.Address())
		text := strings.Repeat("0123456789abcde\n", size/16)
		for range 3 {
			var body io.Reader = strings.NewReader(text)
			if chunked {
				body = io.MultiReader(body)
			}
			r, err := http.NewRequest("PUT", "http://"+f.address+"/read", body)
			Expect(err).NotTo(HaveOccurred())
			a := f.send(r)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(HaveSuffix(fmt.Sprintf("body=%d:%x\n", len(text), sha256.Sum256([]byte(text)))))
		}
	},
		Entry("empty", 0, false),
		Entry("short", 160, false),
		Entry("short, chunked", 160, true),
		Entry("largest that is buffered", entry.MaxReplayBytes, true),
		Entry("streamed", 1<<20, false),
		Entry("streamed, chunked", 1<<20, true),
	)
})

var _ = Describe("A caller's connection", func() {
	// A deadline of one request that remains set on the connection would cut off a later one.
	It("carries no time limit from one request to the next", func() {
		b := newStandin(standin.Config{WorkTime: -1})
		f := start(func(c *entry.Config) { c.Settings.HeaderTimeout = settings.Duration(100 * time.Millisecond) }, b.Address())
		f.client.Transport.(*http.Transport).MaxConnsPerHost = 1
		Expect(f.do("POST", "/read", "body", "Grpc-Timeout", "100m").status).To(Equal(200))
		time.Sleep(150 * time.Millisecond)
		Expect(f.do("GET", "/none", "").kind()).To(Equal("no-route"))
		Expect(f.do("POST", "/read", "body", "Standin-Work", "300ms").status).To(Equal(200))
		Expect(f.do("GET", "/read", "", "Standin-Work", "300ms").status).To(Equal(200))
	})
})

var _ = Describe("Announcements", func() {
	// If a stand-in cannot announce itself, all other tests lack backend servers.
	It("reach the registry, are renewed and are withdrawn", func() {
		f := start(nil)
		b, err := standin.New(standin.Config{
			Service: "cuefeed", Instance: "i-1", DataCentre: "a", Slots: 3,
			Entries: []string{refusingAddress(), f.address}, RenewEvery: 20 * time.Millisecond, ColdStart: 50 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Start()).To(Succeed())
		Eventually(f.backends.all).Should(ContainElement(HaveField("State", backend.Starting)))
		Eventually(f.backends.all).Should(ContainElement(And(HaveField("State", backend.Ready), HaveField("Slots", 3), HaveField("Address", b.Address()))))
		b.Close()
		all := f.backends.all()
		Expect(all[len(all)-1]).To(And(HaveField("State", backend.Left), HaveField("Incarnation", b.Incarnation())))
	})
})
