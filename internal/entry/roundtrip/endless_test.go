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
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

const (
	// requestTime is what a caller gives a request, and soon is well below: a request that waits until its time
	// is over cannot be sent anywhere else.
	requestTime = 3 * time.Second
	soon        = time.Second
	// mostTaken is what a server may get rid of before its connection is closed: the bound on heads and stray
	// answers, and the buffers of the kernel on both sides.
	mostTaken = roundtrip.MaxResponseHeaderBytes + 8<<20
)

// flood answers the first request of each connection with the beginning and then repeats the rest until the
// connection is closed.
type flood struct {
	begin, rest string
	pause       time.Duration
	sent        atomic.Int64
	closed      atomic.Bool
}

func (f *flood) listen(t *testing.T) string {
	return listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		n, err := io.WriteString(c, f.begin)
		f.sent.Add(int64(n))
		part := f.rest
		if f.pause == 0 && part != "" {
			part = strings.Repeat(part, 1+4096/len(part))
		}
		for err == nil && f.rest != "" {
			time.Sleep(f.pause)
			n, err = io.WriteString(c, part)
			f.sent.Add(int64(n))
		}
		if f.rest == "" {
			// The server stays silent until the connection ends.
			_, _ = io.Copy(io.Discard, br)
		}
		f.closed.Store(true)
	})
}

// Bytes that are no answer may come without end. Waiting for their end, or for the request's, holds the caller
// up, fills the link and the memory of the host, and leaves no time for another server.
func TestBytesThatAreNoAnswerEndTheRequestSoon(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]*flood{
		"no head, without end":             {rest: "garbage "},
		"no head, slowly without end":      {rest: "garbage ", pause: 100 * time.Millisecond},
		"no head, then silence":            {begin: "\x16\x03\x01 no answer"},
		"another protocol, then silence":   {begin: "SSH-2.0-server\r\n"},
		"headers without end":              {begin: head, rest: "X-More: and more\r\n"},
		"one header without end":           {begin: head + "X-More: ", rest: "and more "},
		"interim answers without end":      {rest: "HTTP/1.1 100 Continue\r\n\r\n"},
		"answers to others without end":    {rest: "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nwrong"},
		"an answer to another without end": {begin: "HTTP/1.1 200 OK\r\nX-Id: 6\r\nTransfer-Encoding: chunked\r\n\r\n", rest: "5\r\nwrong\r\n"},
		"garbage for a chunk, without end": {begin: chunked, rest: "garbage "},
		"a chunk's size without end":       {begin: chunked, rest: "0"},
		"a chunk's extension without end":  {begin: chunked + "5;", rest: "x=y;"},
		"empty extensions without end":     {begin: chunked, rest: "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		"trailers without end":             {begin: chunked + "0\r\n", rest: "X-More: and more\r\n"},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := newPool(t, roundtrip.Config{})
			ctx, cancel := context.WithTimeout(context.Background(), requestTime)
			defer cancel()
			r := get("/")
			r.EchoName, r.EchoValue, r.CloseDelimited = "X-Id", "7", true
			began := time.Now()
			a, err := p.Send(ctx, f.listen(t), r)
			if err == nil {
				_, err = io.Copy(io.Discard, a)
				a.Close()
			}
			g.Expect(err).To(HaveOccurred(), "it is no whole answer")
			g.Expect(time.Since(began)).To(BeNumerically("<", soon))
			g.Eventually(f.closed.Load, soon).Should(BeTrue(), "the connection is closed")
			g.Expect(f.sent.Load()).To(BeNumerically("<", mostTaken))
			g.Expect(p.Open()).To(BeZero())
		})
	}
}

// A server that goes on after the end of its answer fills the buffers of an idle connection, which count as
// memory of the host.
func TestIdleConnectionsWithUnaskedBytesAreClosed(t *testing.T) {
	g := NewWithT(t)
	p := newPool(t, roundtrip.Config{})
	f := &flood{begin: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright", rest: "and more ", pause: 50 * time.Millisecond}
	body, err := fetch(context.Background(), p, f.listen(t), "/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("right"))
	g.Eventually(f.closed.Load, 2*time.Second).Should(BeTrue())
}

// A body without end has to stop with the request, also if it is framed well.
func TestBodiesWithoutEndStopWithTheRequest(t *testing.T) {
	for name, f := range map[string]*flood{
		"chunks":             {begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", rest: "5\r\nright\r\n"},
		"no stated length":   {begin: "HTTP/1.1 200 OK\r\n\r\n", rest: "and more "},
		"slowly, no length":  {begin: "HTTP/1.1 200 OK\r\n\r\n", rest: "and more ", pause: 20 * time.Millisecond},
		"a length never met": {begin: "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", rest: "and more "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := newPool(t, roundtrip.Config{})
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			r := get("/")
			r.CloseDelimited = true
			a, err := p.Send(ctx, f.listen(t), r)
			g.Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			_, err = io.Copy(io.Discard, a)
			a.Close()
			g.Expect(err).To(MatchError(context.DeadlineExceeded))
			g.Expect(time.Since(began)).To(BeNumerically("<", soon))
			g.Eventually(f.closed.Load, soon).Should(BeTrue())
		})
	}
}
