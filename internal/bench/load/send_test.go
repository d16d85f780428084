package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
)

// Guards against resends by the HTTP client. A resent request has two outcomes, of which the caller receives
// only the second. A correct refusal of the second request as not run would look like a false refusal of the
// first, which may have run.
func TestSendIsNotRepeatedByTheClient(t *testing.T) {
	g := NewWithT(t)
	var arrived atomic.Int32
	var bodies atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
			bodies.Add(1)
		}
		if r.URL.Path == "/first" {
			return
		}
		arrived.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, r := range []load.Request{
		{Method: http.MethodGet, Path: "/break"},
		{Method: http.MethodPost, Path: "/break", Key: "k", Body: "body"},
	} {
		arrived.Store(0)
		bodies.Store(0)
		client := load.NewClient(nil)
		r.Deadline = time.Second
		first := r
		first.Path = "/first"
		g.Expect(load.Send(context.Background(), client, address, first).Err).NotTo(HaveOccurred())
		g.Expect(load.Send(context.Background(), client, address, r).Err).To(HaveOccurred())
		g.Expect(arrived.Load()).To(BeEquivalentTo(1), "%s on a reused connection", r.Method)
		g.Expect(bodies.Load() > 0).To(Equal(r.Body != ""), "only requests with a body announce one")
		client.CloseIdleConnections()
	}
}
