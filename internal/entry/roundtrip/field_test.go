package roundtrip_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

// A name with a line end, as from a dispatcher of a former version, was written into a header as it was. It ended the
// headers of the request early, and the server ran it without its body.
func TestFieldsThatEndTheirLineAreNotWritten(t *testing.T) {
	g := NewWithT(t)
	requests := make(chan struct{}, 100)
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		defer c.Close()
		if _, err := http.ReadRequest(br); err == nil {
			requests <- struct{}{}
		}
	})
	pool := newPool(t, roundtrip.Config{})

	for _, value := range []string{"i-0\r\n", "i-0\n", "i\r0", "i-0\x00"} {
		for _, r := range []*roundtrip.Request{
			{Extra: [roundtrip.MaxExtraFields]roundtrip.Field{{Name: "X-Expect", Value: value}}},
			{Header: http.Header{"X-Team": {"a", value}}},
			{Extra: [roundtrip.MaxExtraFields]roundtrip.Field{{Name: value, Value: "a"}}},
		} {
			r.Method, r.Target, r.Host, r.Body = http.MethodPost, "/signoff", "a", []byte("signed")
			_, err := pool.Send(context.Background(), address, r)
			var failure *roundtrip.Error
			g.Expect(errors.As(err, &failure)).To(BeTrue(), "%q", value)
			g.Expect(failure.Written).To(BeFalse())
			g.Expect(errors.Is(err, roundtrip.ErrInvalidField)).To(BeTrue())
		}
	}
	g.Expect(requests).To(BeEmpty())
}
