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
)

// echoingDialect is the native dialect with servers that repeat the id of a request, and that may state with any status
// that they did not run it.
func echoingDialect() *entry.Dialect {
	d := entry.Native()
	d.EchoesRequestID = true
	d.NotRun = func(_ int, h http.Header) bool { return h.Get("Tarragon-Outcome") == "not-run" }
	d.AddressReassigned = func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest }
	return d
}

// copyTime is when a copying server writes a refusal once more.
type copyTime int

const (
	withTheRefusal copyTime = iota
	whileIdle
	beforeTheNext
	behindTheNext
	twiceBeforeNext
)

const (
	// pauseUntilCopied is how long after a refusal a server writes the copy for an idle connection.
	pauseUntilCopied  = 4 * time.Millisecond
	refusedPathSuffix = "refused"
)

// copyingServer refuses the first request with each id whose path ends with refusedPathSuffix, and runs all others. It
// writes each refusal once more on its connection.
type copyingServer struct {
	refusalCase
	mu sync.Mutex
	// refused has the ids that were refused, runs counts the runs by id.
	refused map[string]bool
	runs    map[string]int
}

func (s *copyingServer) refusal(id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nTarragon-Outcome: not-run\r\nRetry-After: 1\r\n", s.status)
	if s.echoes {
		head += "Request-Id: " + id + "\r\n"
	}
	switch s.framing {
	case "length":
		return head + "Content-Length: 4\r\n\r\nbusy"
	case "chunked":
		return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"
	case "close":
		return head + "Connection: close\r\nContent-Length: 4\r\n\r\nbusy"
	default:
		return head + "Content-Length: 0\r\n\r\n"
	}
}

// begin decides on a request: it is refused, or it runs.
func (s *copyingServer) begin(r *http.Request) (id string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id = r.Header.Get("Request-Id")
	if strings.HasSuffix(r.URL.Path, refusedPathSuffix) && !s.refused[id] {
		s.refused[id] = true
		return id, true
	}
	s.runs[id]++
	return id, false
}

func (s *copyingServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var copies string
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id, refuse := s.begin(r)
		if refuse && s.early {
			copies = s.refuse(c, id)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if refuse && !s.early {
			copies = s.refuse(c, id)
		}
		if refuse {
			continue
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		if s.at == behindTheNext {
			_, _ = io.WriteString(c, response+copies)
		} else {
			_, _ = io.WriteString(c, copies+response)
		}
		copies = ""
	}
}

// refuse writes a refusal, and returns what is to be written with the next response.
func (s *copyingServer) refuse(c net.Conn, id string) (later string) {
	refusal := s.refusal(id)
	switch s.at {
	case withTheRefusal:
		_, _ = io.WriteString(c, refusal+refusal)
	case whileIdle:
		_, _ = io.WriteString(c, refusal)
		time.Sleep(pauseUntilCopied)
		_, _ = io.WriteString(c, refusal)
	case twiceBeforeNext:
		_, _ = io.WriteString(c, refusal)
		return refusal + refusal
	default:
		_, _ = io.WriteString(c, refusal)
		return refusal
	}
	return ""
}

func (s *copyingServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// check expects that the response states truthfully whether the request ran, and that it did not run twice.
func (s *copyingServer) check(a callerResponse, id, what string) {
	ran := s.ran(id)
	Expect(ran).To(BeNumerically("<=", 1), "%s ran twice", what)
	if a.status == http.StatusOK {
		Expect(a.body).To(Equal(id), what)
		Expect(ran).To(Equal(1), what)
		return
	}
	if a.problem.Outcome == "not-run" {
		Expect(ran).To(BeZero(), "%s ran, and its caller was told that it did not", what)
	}
}

// refusalBody is a request body, and the idempotency key with which it is sent, if any.
type refusalBody struct {
	name  string
	bytes int
	keyed bool
}

var refusalBodies = []refusalBody{
	{"no body", 0, false}, {"40 KB buffered", 40 << 10, false}, {"200 KB streamed", 200 << 10, false},
	{"with a key", 10, true}, {"200 KB with a key", 200 << 10, true},
}

// refusalCase is one refusal and its copies.
type refusalCase struct {
	status  int
	framing string
	// early is set if the server refuses the request before it reads the body.
	early  bool
	at     copyTime
	echoes bool
}

// String returns what sets the case apart from the others of a spec. It has no spaces.
func (r refusalCase) String() string {
	return fmt.Sprintf("%d-%s-early-%t", r.status, strings.ReplaceAll(r.framing, " ", "-"), r.early)
}

// run sends a request that is refused, others on its connection, and the refused one again.
func (r refusalCase) run(f *fleet, b refusalBody) {
	what := fmt.Sprintf("%s, %s", r, b.name)
	s := &copyingServer{refusalCase: r, refused: map[string]bool{}, runs: map[string]int{}}
	address := rawServer(s.serve)
	body := strings.Repeat("x", b.bytes)
	send := func(id, path, body string) callerResponse {
		headers := []string{"Request-Id", id, "Grpc-Timeout", "2S"}
		if b.keyed {
			headers = append(headers, "Idempotency-Key", id)
		}
		a := f.do("POST", path, body, headers...)
		Expect(a.err).NotTo(HaveOccurred(), what)
		s.check(a, id, what)
		return a
	}
	first, retried := r.String()+"-first", r.String()+"-retried"
	f.grants.reset(address + "#1")
	refused := send(first, "/once/"+refusedPathSuffix, body)
	Expect(refused.problem.Outcome).To(Equal("not-run"), "%s: %d %s", what, refused.status, refused.body)
	time.Sleep(2 * pauseUntilCopied)

	f.grants.reset(address + "#1")
	for _, id := range []string{r.String() + "-next", r.String() + "-third"} {
		other := send(id, "/once", "x")
		Expect(other.status).To(Equal(http.StatusOK), "%s: the request behind the refused one got %s %s", what, other.kind(), other.problem.Outcome)
	}
	Expect(f.grants.ended()).To(Equal([]grant.Result{grant.OK, grant.OK}), what)
	Expect(f.grants.allSignals()).To(HaveEach(grant.ServerSignals{}), what)

	f.grants.reset(address + "#2")
	Expect(send(first, "/once/"+refusedPathSuffix, body).status).To(Equal(http.StatusOK), what)

	f.grants.reset(address+"#1", address+"#2", address+"#3")
	again := send(retried, "/once/"+refusedPathSuffix, body)
	if b.keyed || b.bytes <= entry.MaxReplayBytes {
		Expect(again.status).To(Equal(http.StatusOK), what)
	}
	if b.keyed {
		Expect([]string{f.claims.state(first), f.claims.state(retried)}).To(HaveEach("done"), what)
	}
}

// runAll plays the refusals with each kind of request body.
func runAll(refusals []refusalCase) {
	var wg sync.WaitGroup
	for _, b := range refusalBodies {
		f := start(func(c *entry.Config) {
			c.Routes = limitedRoutes{keyless: !b.keyed}
			if refusals[0].echoes {
				c.Dialect = echoingDialect()
			}
		})
		wg.Go(func() {
			defer GinkgoRecover()
			for _, r := range refusals {
				r.run(f, b)
			}
		})
	}
	wg.Wait()
}

var _ = Describe("The copy of a refusal", func() {
	// A copy that is taken for the response to another request, or to the same one under way again, makes work run
	// twice, fails the next request, or puts the server out of use.
	DescribeTable("is nobody's response", func(echoes bool, at copyTime, statuses ...int) {
		var refusals []refusalCase
		for _, status := range statuses {
			for _, r := range []refusalCase{
				{framing: "no body"}, {framing: "length"}, {framing: "chunked"}, {framing: "close"},
				{framing: "no body", early: true}, {framing: "length", early: true}, {framing: "chunked", early: true},
			} {
				r.status, r.at, r.echoes = status, at, echoes
				refusals = append(refusals, r)
			}
		}
		runAll(refusals)
	},
		Entry("with the refusal", true, withTheRefusal, 503, 429, 421, 400),
		Entry("while the connection is idle", true, whileIdle, 503, 429, 421, 400),
		Entry("before the next response", true, beforeTheNext, 503, 429, 421, 400),
		Entry("behind the next response", true, behindTheNext, 503, 429, 421, 400),
		Entry("twice before the next response", true, twiceBeforeNext, 503, 429, 421, 400),
		Entry("with the refusal, without ids", false, withTheRefusal, 503),
		Entry("while the connection is idle, without ids", false, whileIdle, 503),
		Entry("before the next response, without ids", false, beforeTheNext, 503),
		Entry("behind the next response, without ids", false, behindTheNext, 503),
		Entry("twice before the next response, without ids", false, twiceBeforeNext, 503),
	)
})
