package admin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/admin"
)

func get(h http.Handler, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// Guards against a process that reports ready before it can serve, or that gives no reason why it is not
// ready.
func TestReadiness(t *testing.T) {
	g := NewWithT(t)
	readiness := admin.NewReadiness("configuration", "entry")
	h := admin.Handler(admin.NewRegistry(), readiness)
	g.Expect(get(h, "/healthz").Code).To(Equal(http.StatusOK))
	w := get(h, "/readyz")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Body.String()).To(ContainSubstring("configuration: starting"))

	readiness.Set("configuration", "")
	readiness.Set("entry", "leaving")
	g.Expect(get(h, "/readyz").Body.String()).To(Equal("entry: leaving\n"))
	readiness.Set("entry", "")
	g.Expect(get(h, "/readyz").Code).To(Equal(http.StatusOK))
	g.Expect(get(h, "/metrics").Body.String()).To(ContainSubstring("tarragonmux_invariant_violations_total 0"))
}
