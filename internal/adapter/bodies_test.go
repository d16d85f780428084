package adapter_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/adapter"
	"github.com/tarragonmux/tarragonmux/internal/entry/roundtrip"
)

// A body that takes all memory must fail other large ones only while it is there, and never a small one.
func TestBodiesShareTheMemory(t *testing.T) {
	g := NewWithT(t)
	const large, small = 100 << 10, 1 << 10
	memory := roundtrip.NewMemory(4 * large)
	var results []error
	var during func()
	handler := adapter.LimitBodies(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		results = append(results, err)
		if next := during; next != nil {
			during = nil
			next()
		}
	}), memory)
	send := func(size int) {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/", strings.NewReader(strings.Repeat("x", size))))
	}
	during = func() {
		send(large)
		send(small)
	}
	send(large)
	send(large)
	g.Expect(results).To(Equal([]error{nil, adapter.ErrBusy, nil, nil}))
	g.Expect(memory.Reserve(4*large)).To(BeTrue(), "all memory was returned")
}
