package roundtrip_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

// endlessBody is a request body that never ends, as one that is much longer than what the server reads of it.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat("x", len(p))), nil
}

// A response without a length that was reset on the way reached the caller as complete, if the write of a large request
// body got the error of the reset, and the read the end of the stream.
func TestResetIsNotTheEndOfAResponseWithoutALength(t *testing.T) {
	g := NewWithT(t)
	const resets = 300
	half := strings.Repeat("half ", 100)
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n"+half)
		_, _ = io.CopyN(io.Discard, br, 256<<10)
		// Closes with a reset.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	p := newPool(t, roundtrip.Config{})
	taken := 0
	for range resets {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		r := get("/")
		r.Method, r.EchoName, r.EchoValue, r.CloseDelimited = "POST", "X-Id", "7", true
		r.Stream, r.Length, r.Interrupt = endlessBody{}, 1<<30, func() {}
		response, err := p.Send(ctx, address, r)
		if err == nil {
			_, err = io.Copy(io.Discard, response)
			response.Close()
		}
		if err == nil {
			taken++
		}
		cancel()
	}
	g.Expect(taken).To(BeZero(), "of %d resets", resets)
}

// A server that ends its response without a length in an orderly way has sent all of it, also if it leaves a part of the
// request unread for a moment.
func TestOrderlyEndOfAResponseWithoutALength(t *testing.T) {
	g := NewWithT(t)
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, br)
	})
	p := newPool(t, roundtrip.Config{})
	for range 20 {
		r := get("/")
		r.Method, r.EchoName, r.EchoValue, r.CloseDelimited = "POST", "X-Id", "7", true
		r.Stream, r.Length, r.Interrupt = endlessBody{}, 1<<30, func() {}
		response, err := p.Send(context.Background(), address, r)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response)
		response.Close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("all of it"))
	}
}
