package roundtrip_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

// respondRepeatedly responds to each request with the text. If the text ends with '!', it closes the
// connection after the first response.
func respondRepeatedly(t *testing.T, text string) string {
	return listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
			if text[len(text)-1] == '!' {
				return
			}
		}
	})
}

func fetchEcho(p *roundtrip.Pool, address string) (string, error) {
	r := get("/")
	r.EchoName, r.EchoValue, r.CloseDelimited = "X-Id", "7", true
	a, err := p.Send(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// A response that came too late for its own request must not be delivered to the next caller.
func TestMismatchedResponsesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	mismatched := "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nwrong"
	matching := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nright"
	body, err := fetchEcho(newPool(t, roundtrip.Config{}), respondRepeatedly(t, mismatched+matching))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("right"))
	_, err = fetchEcho(newPool(t, roundtrip.Config{}), respondRepeatedly(t, mismatched+"!"))
	g.Expect(err).To(HaveOccurred())
}

// A late copy of a former response that does not state the id of its request must not be delivered to the
// next caller on the connection. On a new connection there is no other request that it could belong to.
func TestResponsesWithoutIDAreTakenOnNewConnectionsOnly(t *testing.T) {
	g := NewWithT(t)
	p := newPool(t, roundtrip.Config{})
	bare := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbare"
	address := respondRepeatedly(t, bare)
	body, err := fetchEcho(p, address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("bare"))
	_, err = fetchEcho(p, address)
	g.Expect(err).To(MatchError(roundtrip.ErrUnattributed))
	g.Expect(p.Open()).To(BeZero())
}

// A response to another request may contain what looks like a response to this one.
func TestLongMismatchedResponsesEndTheConnection(t *testing.T) {
	g := NewWithT(t)
	forged := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 6\r\n\r\nforged"
	const padding = 1<<20 + 1
	mismatched := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: %d\r\n\r\n", padding+len(forged)) + strings.Repeat("x", padding) + forged
	_, err := fetchEcho(newPool(t, roundtrip.Config{}), respondRepeatedly(t, mismatched))
	g.Expect(err).To(HaveOccurred())
}

// A response that ends with its connection is complete, but the connection cannot be reused.
func TestCloseDelimitedResponses(t *testing.T) {
	g := NewWithT(t)
	p := newPool(t, roundtrip.Config{})
	address := respondRepeatedly(t, "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nall of it!")
	for range 3 {
		body, err := fetchEcho(p, address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("all of it!"))
	}
	g.Expect(p.Open()).To(BeZero())
}

// A server that stops within the head of its response must not have sent a response with an empty or a short body.
// The body may end with the connection, so the end of the connection is no error there.
func TestTruncatedHeadsAreNoResponses(t *testing.T) {
	g := NewWithT(t)
	body := "all of the body"
	for _, framing := range []string{"Content-Length: 15\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nX-Id: 7\r\n" + framing + "X-Last: value\r\n\r\n"
		for cut := range len(head) {
			address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
				defer c.Close()
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(c, head[:cut])
				}
			})
			got, err := fetchEcho(newPool(t, roundtrip.Config{}), address)
			g.Expect(err).To(HaveOccurred(), "%q was taken for a response with the body %q", head[:cut], got)
		}
		if framing == "" {
			continue
		}
		text := body
		if framing != "Content-Length: 15\r\n" {
			text = "f\r\n" + body + "\r\n0\r\n\r\n"
		}
		for cut := range len(text) {
			address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
				defer c.Close()
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(c, head+text[:cut])
				}
			})
			got, err := fetchEcho(newPool(t, roundtrip.Config{}), address)
			g.Expect(err).To(HaveOccurred(), "%q was taken for the whole body", got)
		}
	}
}

// A skipped response that announces the end of its connection must not end the request behind it, whose response may
// still come.
func TestMismatchedResponseWithCloseDoesNotEndTheRequest(t *testing.T) {
	g := NewWithT(t)
	p := newPool(t, roundtrip.Config{})
	for _, framing := range []string{"Content-Length: 5\r\n\r\nwrong", "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"} {
		mismatched := "HTTP/1.1 503 Service Unavailable\r\nX-Id: 6\r\nConnection: close\r\n" + framing
		matching := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nright"
		body, err := fetchEcho(p, respondRepeatedly(t, mismatched+matching))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("right"))
		g.Expect(p.Open()).To(BeZero(), "the connection is not reused")
	}
	endless := "HTTP/1.1 503 Service Unavailable\r\nX-Id: 6\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nwrong"
	_, err := fetchEcho(p, respondRepeatedly(t, endless))
	g.Expect(err).To(HaveOccurred(), "a response without a length ends with the connection")
}

// The body of a skipped response must not be looked at for the response to a HEAD request, which has none.
func TestMismatchedBodyIsNoResponseToHEAD(t *testing.T) {
	g := NewWithT(t)
	forged := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Forged: yes\r\nContent-Length: 5\r\n\r\n"
	mismatched := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: %d\r\n\r\n%s", len(forged), forged)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: 6\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(forged), forged)
	empty := "HTTP/1.1 503 Service Unavailable\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n"
	matching := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\n"
	for text, accepted := range map[string]bool{mismatched + matching: false, chunked + matching: false, empty + matching: true} {
		p := newPool(t, roundtrip.Config{})
		r := get("/")
		r.Method, r.EchoName, r.EchoValue = http.MethodHead, "X-Id", "7"
		resp, err := p.Send(context.Background(), respondRepeatedly(t, text), r)
		g.Expect(err == nil).To(Equal(accepted), "%v after %q", err, text)
		if err == nil {
			g.Expect(resp.Header.Get("X-Forged")).To(BeEmpty())
			resp.Close()
		}
	}
}
