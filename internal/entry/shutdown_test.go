package entry_test

import (
	"bufio"
	"context"
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
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

// heldListener can leave connections in the kernel's queue until the server stops listening, as a process without
// processor time does.
type heldListener struct {
	*net.TCPListener
	held atomic.Pointer[chan struct{}]
}

func (l *heldListener) hold() {
	c := make(chan struct{})
	l.held.Store(&c)
}

func (l *heldListener) release() {
	if c := l.held.Swap(nil); c != nil {
		close(*c)
	}
}

func (l *heldListener) Accept() (net.Conn, error) {
	if c := l.held.Load(); c != nil {
		<-*c
	}
	return l.TCPListener.Accept()
}

func (l *heldListener) SetDeadline(t time.Time) error {
	defer l.release()
	return l.TCPListener.SetDeadline(t)
}

func (l *heldListener) Close() error {
	defer l.release()
	return l.TCPListener.Close()
}

// rawCaller is a caller that decides itself when it sends which bytes.
type rawCaller struct {
	net.Conn
	responses *bufio.Reader
}

func (f *fleet) open() *rawCaller {
	c, err := net.Dial("tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return &rawCaller{Conn: c, responses: bufio.NewReader(c)}
}

func (c *rawCaller) send(request string) {
	_, err := io.WriteString(c, request)
	Expect(err).NotTo(HaveOccurred())
}

// roundTrip sends bytes that complete a request, and returns the status of the response. It expects the
// Connection header of the response unless that is "".
func (c *rawCaller) roundTrip(rest, connection string) int {
	c.send(rest)
	response, err := http.ReadResponse(c.responses, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	if connection != "" {
		Expect(response.Close).To(Equal(connection == "close"))
	}
	return response.StatusCode
}

// closed reports whether the server has closed the connection.
func (c *rawCaller) closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := c.responses.ReadByte()
	return err == io.EOF
}

var _ = Describe("Graceful shutdown", func() {
	// If a host stopped serving before its callers use other hosts, each deployment would cut off requests
	// of all of them.
	It("cuts no request, for callers that follow the endpoint list", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: 30 * time.Millisecond})
		f := start(func(c *entry.Config) { c.Settings.EndpointTTL = settings.Duration(200 * time.Millisecond) }, b.Address())
		var left atomic.Bool
		var wg sync.WaitGroup
		var served, closing atomic.Int64
		for w := range 16 {
			wg.Go(func() {
				defer GinkgoRecover()
				for n := 0; !left.Load(); n++ {
					a := f.do("POST", "/read", fmt.Sprint(n), "Standin-Size", fmt.Sprint(1000*w))
					Expect(a.err).NotTo(HaveOccurred())
					Expect(a.status).To(Equal(200))
					served.Add(1)
					if a.connectionClose {
						closing.Add(1)
					}
				}
			})
		}
		slow := make(chan callerResponse, 1)
		go func() { slow <- f.do("GET", "/read", "", "Standin-Work", "2700ms") }()
		Eventually(served.Load).Should(BeNumerically(">", 50))
		begun := time.Now()
		// Callers stop using the host within the time to live.
		time.AfterFunc(200*time.Millisecond, func() { left.Store(true) })
		Expect(f.server.Shutdown(context.Background())).To(Succeed())
		Expect(time.Since(begun)).To(BeNumerically(">=", 2200*time.Millisecond), "the host accepts for the time to live plus 2 s")
		Expect((<-slow).status).To(Equal(200))
		wg.Wait()
		Expect(closing.Load()).To(BeNumerically(">", 0))
		Expect(<-f.served).To(Succeed())
		f.served <- nil
		_, err := net.Dial("tcp", f.address)
		Expect(err).To(HaveOccurred(), "the host no longer listens")
	})

	// When the listener closes, connections that the kernel has accepted but the process has not are reset.
	It("answers requests on connections that wait to be accepted", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
		f := start(func(c *entry.Config) { c.LeaveFor = 50 * time.Millisecond }, b.Address())
		f.listener.hold()
		stopped := make(chan error, 1)
		go func() { stopped <- f.server.Shutdown(context.Background()) }()
		const callers = 20
		var wg sync.WaitGroup
		for range callers {
			c := f.open()
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(c.roundTrip("GET /read HTTP/1.1\r\nHost: a\r\n\r\n", "")).To(Equal(200))
			})
		}
		wg.Wait()
		Expect(<-stopped).To(Succeed())
		Expect(<-f.served).To(Succeed())
		f.served <- nil
	})

	// net/http counts a connection as idle until it has read a whole header.
	It("answers a request whose header has arrived in part", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
		f := start(func(c *entry.Config) { c.LeaveFor = 50 * time.Millisecond }, b.Address())
		idle, half := f.open(), f.open()
		for _, c := range []*rawCaller{idle, half} {
			Expect(c.roundTrip("GET /read HTTP/1.1\r\nHost: a\r\n\r\n", "")).To(Equal(200))
		}
		half.send("GET /read HTTP/1.1\r\n")
		stopped := make(chan error, 1)
		go func() { stopped <- f.server.Shutdown(context.Background()) }()
		Eventually(idle.closed, "1s").Should(BeTrue())
		Expect(half.roundTrip("Host: a\r\n\r\n", "close")).To(Equal(200))
		Expect(<-stopped).To(Succeed())
		Expect(<-f.served).To(Succeed())
		f.served <- nil
	})

	// Requests that came late in a planned stop were passed on and cut without a response when the process was killed.
	It("refuses requests that come late and may outlast the process", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
		f := start(func(c *entry.Config) { c.LeaveFor, c.StopAfter = 50*time.Millisecond, time.Second }, b.Address())
		long, short := f.open(), f.open()
		for _, c := range []*rawCaller{long, short} {
			Expect(c.roundTrip("GET /read HTTP/1.1\r\nHost: a\r\n\r\n", "")).To(Equal(200))
			c.send("GET /read HTTP/1.1\r\n")
		}
		stopped := make(chan error, 1)
		go func() { stopped <- f.server.Shutdown(context.Background()) }()
		time.Sleep(150 * time.Millisecond)
		before := b.Arrivals()
		Expect(long.roundTrip("Grpc-Timeout: 2S\r\nHost: a\r\n\r\n", "close")).To(Equal(503))
		Expect(b.Arrivals()).To(Equal(before), "no server got it")
		Expect(short.roundTrip("Grpc-Timeout: 400m\r\nHost: a\r\n\r\n", "close")).To(Equal(200))
		Expect(<-stopped).To(Succeed())
		Expect(<-f.served).To(Succeed())
		f.served <- nil
	})

	// A request that outlasts the process must end with a response that states its outcome.
	It("answers requests in flight before the process ends", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
		f := start(func(c *entry.Config) { c.LeaveFor, c.StopAfter = 50*time.Millisecond, time.Second }, b.Address())
		early, late := make(chan callerResponse, 1), make(chan callerResponse, 1)
		go func() { early <- f.do("GET", "/read", "", "Standin-Work", "20s", "Grpc-Timeout", "25S") }()
		Eventually(b.Arrivals).Should(Equal(1))
		begun := time.Now()
		stopped := make(chan error, 1)
		go func() { stopped <- f.server.Shutdown(context.Background()) }()
		Eventually(f.server.Leaving).Should(BeTrue())
		go func() { late <- f.do("GET", "/read", "", "Standin-Work", "20s", "Grpc-Timeout", "25S") }()
		for _, responses := range []chan callerResponse{early, late} {
			response := <-responses
			Expect(response.err).NotTo(HaveOccurred())
			Expect(response.status).To(Equal(504))
		}
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		Expect(<-stopped).To(Succeed())
		Expect(<-f.served).To(Succeed())
		f.served <- nil
	})

	// Pipelined requests that had been passed on were cut when the host stopped listening: the server had read them
	// together with the request before, and the connection counted as idle.
	DescribeTable("answers pipelined requests that were passed on",
		func(requests, rest string, responses int) {
			b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
			f := start(func(c *entry.Config) {
				c.LeaveFor, c.StopAfter = 100*time.Millisecond, 4*time.Second
				c.Settings.BodyTimeout = settings.Duration(2 * time.Second)
			}, b.Address())
			c := f.open()
			c.send(requests)
			Eventually(b.Arrivals).Should(Equal(1))
			stopped := make(chan error, 1)
			go func() { stopped <- f.server.Shutdown(context.Background()) }()
			Expect(c.roundTrip("", "")).To(Equal(200))
			if rest != "" {
				// The listener has closed before the rest arrives.
				time.Sleep(400 * time.Millisecond)
				c.send(rest)
			}
			for range responses - 1 {
				Expect(c.roundTrip("", "")).To(Equal(200))
			}
			Eventually(c.closed, "2s").Should(BeTrue())
			Expect(<-stopped).To(Succeed())
			Expect(<-f.served).To(Succeed())
			f.served <- nil
			Expect(b.Arrivals()).To(Equal(responses), "no request that was passed on is without a response")
		},
		Entry("two in one segment", slowRequest+slowRequest, "", 2),
		Entry("three, the last behind a response that closes", slowRequest+slowRequest+slowRequest, "", 2),
		Entry("many", strings.Repeat(slowRequest, 40), "", 2),
		Entry("the second one in part of its header", slowRequest+slowRequest[:30], slowRequest[30:], 2),
		Entry("the second one in part of its body", slowRequest+slowUpload[:len(slowUpload)-3], slowUpload[len(slowUpload)-3:], 2),
		Entry("the second one without its body", slowRequest+slowUpload[:len(slowUpload)-5], slowUpload[len(slowUpload)-5:], 2),
		Entry("behind a request with a body", slowUpload+slowRequest, "", 2),
		Entry("behind a request with a body in chunks", slowChunked+slowRequest, "", 2),
	)

	It("answers a pipelined request that waits for 100 Continue", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
		f := start(func(c *entry.Config) { c.LeaveFor, c.StopAfter = 100*time.Millisecond, 4*time.Second }, b.Address())
		c := f.open()
		header, body := slowUpload[:len(slowUpload)-5], slowUpload[len(slowUpload)-5:]
		c.send(slowRequest + strings.Replace(header, "Host: a", "Expect: 100-continue\r\nHost: a", 1))
		Eventually(b.Arrivals).Should(Equal(1))
		stopped := make(chan error, 1)
		go func() { stopped <- f.server.Shutdown(context.Background()) }()
		Expect(c.roundTrip("", "")).To(Equal(200))
		status := c.roundTrip("", "")
		if status == http.StatusContinue {
			status = c.roundTrip(body, "close")
		}
		Expect(status).To(Equal(200))
		Expect(<-stopped).To(Succeed())
		Expect(<-f.served).To(Succeed())
		f.served <- nil
	})
})

// Related paths of pipelined requests that were cut: what can't end in time is answered, and no other timer of a
// connection takes one with a pipelined request for idle.
var _ = Describe("Pipelined requests of a stopping host", func() {
	DescribeTable("get a response each",
		func(requests string, stopAfter time.Duration, configure func(*settings.Entry), statuses ...int) {
			b := newStandin(standin.Config{Slots: 64, WorkTime: time.Millisecond})
			f := start(func(c *entry.Config) {
				c.LeaveFor, c.StopAfter = 100*time.Millisecond, stopAfter
				configure(&c.Settings)
			}, b.Address())
			c := f.open()
			c.send(requests)
			Eventually(b.Arrivals).Should(BeNumerically(">=", 1))
			begun := time.Now()
			stopped := make(chan error, 1)
			go func() { stopped <- f.server.Shutdown(context.Background()) }()
			for _, status := range statuses {
				Expect(c.roundTrip("", "")).To(Equal(status))
			}
			Eventually(c.closed, "2s").Should(BeTrue())
			Expect(time.Since(begun)).To(BeNumerically("<", stopAfter), "before the process ends")
			Expect(<-stopped).To(Succeed())
			Expect(<-f.served).To(Succeed())
			f.served <- nil
		},
		Entry("that may outlast the process", slowRequest+endlessRequest, 1600*time.Millisecond, unchanged, 200, 503),
		Entry("behind one that reaches its deadline", expiringRequest+slowRequest, 4*time.Second, unchanged, 504, 200),
		Entry("behind one that was refused", slowRequest+refusedRequest, 4*time.Second, unchanged, 200, 400),
		Entry("that lasts longer than the idle timeout", slowRequest+slowRequest, 4*time.Second,
			func(s *settings.Entry) { s.IdleTimeout = settings.Duration(50 * time.Millisecond) }, 200, 200),
		Entry("that lasts longer than the header timeout", slowRequest+slowRequest, 4*time.Second,
			func(s *settings.Entry) { s.HeaderTimeout = settings.Duration(50 * time.Millisecond) }, 200, 200),
	)
})

func unchanged(*settings.Entry) {}

const (
	endlessRequest  = "GET /read HTTP/1.1\r\nHost: a\r\nStandin-Work: 20s\r\nGrpc-Timeout: 25S\r\n\r\n"
	expiringRequest = "GET /read HTTP/1.1\r\nHost: a\r\nStandin-Work: 20s\r\nGrpc-Timeout: 300m\r\n\r\n"
	refusedRequest  = "GET /read HTTP/1.1\r\nHost: a\r\nGrpc-Timeout: soon\r\n\r\n"
	// The work of these requests is longer than the time for which a stopping host listens.
	slowRequest = "GET /read HTTP/1.1\r\nHost: a\r\nStandin-Work: 600ms\r\nGrpc-Timeout: 2S\r\n\r\n"
	slowUpload  = "POST /read HTTP/1.1\r\nHost: a\r\nStandin-Work: 600ms\r\nGrpc-Timeout: 2S\r\nContent-Length: 5\r\n\r\nhello"
	slowChunked = "POST /read HTTP/1.1\r\nHost: a\r\nStandin-Work: 600ms\r\nGrpc-Timeout: 2S\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)
