package roundtrip_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

const (
	// requestTimeout is the deadline of a request. shortTime is well below it: a request that fails
	// only at its deadline cannot be retried at another server.
	requestTimeout = 3 * time.Second
	shortTime      = time.Second
	// maxSentBytes is how much a server may be able to send before its connection is closed: the
	// limit on response headers, and 8 MiB for mismatched responses and the kernel's buffers on
	// both sides.
	maxSentBytes = roundtrip.MaxResponseHeaderBytes + 8<<20
)

// floodServer responds to the first request of each connection with prefix and then sends repeated
// until the connection is closed.
type floodServer struct {
	prefix, repeated string
	pause            time.Duration
	sent             atomic.Int64
	closed           atomic.Bool
}

func (f *floodServer) listen(t *testing.T) string {
	return listen(t, f.serve)
}

// dial connects to the server without the network, for tests in virtual time.
func (f *floodServer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go f.serve(1, server, bufio.NewReader(server))
	return client, nil
}

func (f *floodServer) serve(_ int, c net.Conn, br *bufio.Reader) {
	defer c.Close()
	if _, err := http.ReadRequest(br); err != nil {
		return
	}
	n, err := io.WriteString(c, f.prefix)
	f.sent.Add(int64(n))
	part := f.repeated
	if f.pause == 0 && part != "" {
		part = strings.Repeat(part, 1+4096/len(part))
	}
	for err == nil && f.repeated != "" {
		time.Sleep(f.pause)
		n, err = io.WriteString(c, part)
		f.sent.Add(int64(n))
	}
	if f.repeated == "" {
		// The server sends nothing more until the connection ends.
		_, _ = io.Copy(io.Discard, br)
	}
	f.closed.Store(true)
}

// A faulty server may send bytes that are not a response without end. Waiting for their end or for
// the deadline delays the caller, fills the link and the memory of the host, and leaves no time to
// try another server.
func TestBytesThatAreNoAnswerEndTheRequestSoon(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]*floodServer{
		"no status line, endless":                {repeated: "garbage "},
		"no status line, slow and endless":       {repeated: "garbage ", pause: 100 * time.Millisecond},
		"no status line, then nothing":           {prefix: "\x16\x03\x01 no answer"},
		"another protocol, then nothing":         {prefix: "SSH-2.0-server\r\n"},
		"endless headers":                        {prefix: head, repeated: "X-More: and more\r\n"},
		"one endless header":                     {prefix: head + "X-More: ", repeated: "and more "},
		"endless informational responses":        {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
		"endless responses to other requests":    {repeated: "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nwrong"},
		"an endless response to another request": {prefix: "HTTP/1.1 200 OK\r\nX-Id: 6\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "5\r\nwrong\r\n"},
		"endless garbage instead of a chunk":     {prefix: chunked, repeated: "garbage "},
		"an endless chunk size":                  {prefix: chunked, repeated: "0"},
		"an endless chunk extension":             {prefix: chunked + "5;", repeated: "x=y;"},
		"endless chunks with long extensions":    {prefix: chunked, repeated: "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		"endless trailers":                       {prefix: chunked + "0\r\n", repeated: "X-More: and more\r\n"},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := newPool(t, roundtrip.Config{Dial: f.dial})
				ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
				defer cancel()
				r := get("/")
				r.EchoName, r.EchoValue, r.CloseDelimited = "X-Id", "7", true
				began := time.Now()
				a, err := p.Send(ctx, "server:1", r)
				if err == nil {
					_, err = io.Copy(io.Discard, a)
					a.Close()
				}
				g.Expect(err).To(HaveOccurred(), "the response is not complete")
				g.Expect(time.Since(began)).To(BeNumerically("<", shortTime))
				time.Sleep(shortTime)
				g.Expect(f.closed.Load()).To(BeTrue(), "the connection is closed")
				g.Expect(f.sent.Load()).To(BeNumerically("<", maxSentBytes))
				g.Expect(p.Open()).To(BeZero())
			})
		})
	}
}

// A server that continues to send after the end of its response fills the buffers of an idle
// connection, which occupy memory of the host.
func TestIdleConnectionsWithUnaskedBytesAreClosed(t *testing.T) {
	g := NewWithT(t)
	p := newPool(t, roundtrip.Config{})
	f := &floodServer{prefix: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright", repeated: "and more ", pause: 50 * time.Millisecond}
	body, err := fetch(context.Background(), p, f.listen(t), "/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("right"))
	g.Eventually(f.closed.Load, 2*time.Second).Should(BeTrue())
}

// Reading an endless body must stop at the deadline of the request, even if the body is framed correctly.
func TestBodiesWithoutEndStopWithTheRequest(t *testing.T) {
	for name, f := range map[string]*floodServer{
		"chunks":                         {prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "5\r\nright\r\n", pause: time.Millisecond},
		"no stated length":               {prefix: "HTTP/1.1 200 OK\r\n\r\n", repeated: "and more ", pause: time.Millisecond},
		"slowly, no length":              {prefix: "HTTP/1.1 200 OK\r\n\r\n", repeated: "and more ", pause: 20 * time.Millisecond},
		"a length that is never reached": {prefix: "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", repeated: "and more ", pause: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := newPool(t, roundtrip.Config{Dial: f.dial})
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				defer cancel()
				r := get("/")
				r.CloseDelimited = true
				a, err := p.Send(ctx, "server:1", r)
				g.Expect(err).NotTo(HaveOccurred())
				began := time.Now()
				_, err = io.Copy(io.Discard, a)
				a.Close()
				g.Expect(err).To(MatchError(context.DeadlineExceeded))
				g.Expect(time.Since(began)).To(BeNumerically("<", shortTime))
				time.Sleep(shortTime)
				g.Expect(f.closed.Load()).To(BeTrue())
			})
		})
	}
}
