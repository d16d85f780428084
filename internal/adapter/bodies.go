package adapter

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
	"github.com/tarragonmux/tarragonmux/internal/inbound"
)

const (
	// freeBodyBytes is the size up to which the body of a request does not count against the memory for bodies.
	freeBodyBytes = 4 << 10
	// bodyCost is the memory that a byte of a body takes: it is read into a buffer that grows, and then decoded.
	bodyCost = 3
)

// ErrBusy is the error of reading a request body while the bodies of other requests take the memory for all. The sender
// may try again, or use another host.
var ErrBusy = errors.New("too many large requests are in progress; try again later or at another host")

// LimitBodies returns a handler whose request bodies share the memory until their requests have ended. Small bodies
// are always read; reading a larger one fails with ErrBusy if there is not enough memory left.
func LimitBodies(next http.Handler, memory *roundtrip.Memory) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &limitedBody{ReadCloser: r.Body, memory: memory, conn: inbound.FromContext(r.Context())}
		defer body.release()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// limitedBody is a request body that reserves memory for what is read.
type limitedBody struct {
	io.ReadCloser
	memory         *roundtrip.Memory
	conn           *inbound.Conn
	read, reserved int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	b.conn.AwaitBody(true)
	n, err := b.ReadCloser.Read(p)
	b.conn.AwaitBody(false)
	b.read += int64(n)
	if missing := (b.read-freeBodyBytes)*bodyCost - b.reserved; missing > 0 {
		if !b.memory.Reserve(missing) {
			b.conn.CountRefusal(inbound.Bodies)
			return 0, ErrBusy
		}
		b.reserved += missing
	}
	return n, err
}

func (b *limitedBody) release() {
	b.memory.Release(b.reserved)
	b.reserved = 0
}
