package roundtrip_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
