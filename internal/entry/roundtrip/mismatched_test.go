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

// A copy may state that the connection ends, although the response to the present request follows. That response is
// delivered, and the connection is not used again.
func TestMismatchedResponsesThatCloseAreSkipped(t *testing.T) {
	g := NewWithT(t)
	matching := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nright"
	for _, mismatched := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 6\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 200 OK\r\nX-Id: 6\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-Id: 6\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 503 Service Unavailable\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n",
	} {
		p := newPool(t, roundtrip.Config{})
		body, err := fetchEcho(p, respondRepeatedly(t, mismatched+matching))
		g.Expect(err).NotTo(HaveOccurred(), mismatched)
		g.Expect(body).To(Equal("right"))
		g.Expect(p.Open()).To(BeZero())
	}
}

// The limit of response headers does not apply to the bodies of skipped responses, whatever their bytes.
func TestBodiesOfSkippedResponsesDoNotCountAsHeaders(t *testing.T) {
	g := NewWithT(t)
	matching := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nright"
	for _, skipped := range []string{strings.Repeat("x", 300<<10), strings.Repeat("x", 1<<20), strings.Repeat("\n", 64<<10)} {
		mismatched := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: %d\r\n\r\n%s", len(skipped), skipped)
		body, err := fetchEcho(newPool(t, roundtrip.Config{}), respondRepeatedly(t, mismatched+mismatched+matching))
		g.Expect(err).NotTo(HaveOccurred(), "%d bytes", len(skipped))
		g.Expect(body).To(Equal("right"))
	}
}

// The headers of skipped responses count together with those of the response behind them.
func TestHeadersOfSkippedResponsesCount(t *testing.T) {
	g := NewWithT(t)
	header := strings.Repeat("X-Padding: "+strings.Repeat("x", 1000)+"\r\n", 100)
	mismatched := "HTTP/1.1 200 OK\r\nX-Id: 6\r\n" + header + "Content-Length: 5\r\n\r\nwrong"
	matching := "HTTP/1.1 200 OK\r\nX-Id: 7\r\n" + header + "Content-Length: 5\r\n\r\nright"
	_, err := fetchEcho(newPool(t, roundtrip.Config{}), respondRepeatedly(t, mismatched+mismatched+matching))
	g.Expect(err).To(MatchError(roundtrip.ErrHeaderTooLarge))
}

// A response to another request that ends with the connection may contain what looks like a response to this one.
func TestMismatchedResponsesWithoutLengthEndTheConnection(t *testing.T) {
	g := NewWithT(t)
	forged := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 6\r\n\r\nforged"
	for _, header := range []string{"", "Connection: close\r\n", "Connection: keep-alive\r\n"} {
		p := newPool(t, roundtrip.Config{})
		_, err := fetchEcho(p, respondRepeatedly(t, "HTTP/1.1 200 OK\r\nX-Id: 6\r\n"+header+"\r\n"+forged))
		g.Expect(err).To(MatchError(roundtrip.ErrMismatchedResponse), header)
		g.Expect(p.Open()).To(BeZero())
	}
}

// A late copy of a former response that does not state the id of its request must not be delivered to the
// next caller on the connection. On a new connection there is no other request that it could belong to.
func TestResponsesWithoutIDAreTakenOnNewConnectionsOnly(t *testing.T) {
	g := NewWithT(t)
	p := newPool(t, roundtrip.Config{})
	bare := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbare"
	body, err := fetchEcho(p, respondRepeatedly(t, bare))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("bare"))
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		for _, text := range []string{"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nright", bare} {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
	})
	g.Expect(fetchEcho(p, address)).To(Equal("right"))
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

// The body of the copy of a former response must not be looked at for the response to a HEAD request, which has none.
func TestCopiedBodyIsNoResponseToHEAD(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Forged: yes\r\nContent-Length: 5\r\n\r\n"
	for _, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(forged), forged),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(forged), forged),
	} {
		g := NewWithT(t)
		former := "HTTP/1.1 200 OK\r\nX-Id: 6\r\n" + framing
		address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
			defer c.Close()
			for copied := ""; ; copied = former {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if r.Method == http.MethodHead {
					_, _ = io.WriteString(c, copied+"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\n")
					continue
				}
				_, _ = io.WriteString(c, former)
			}
		})
		p := newPool(t, roundtrip.Config{Connections: 1})
		r := get("/")
		r.EchoName, r.EchoValue = "X-Id", "6"
		resp, err := p.Send(context.Background(), address, r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(resp)).To(BeEquivalentTo(forged))
		resp.Close()
		r = get("/")
		r.Method, r.EchoName, r.EchoValue = http.MethodHead, "X-Id", "7"
		resp, err = p.Send(context.Background(), address, r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Header.Get("X-Forged")).To(BeEmpty())
		resp.Close()
	}
}
