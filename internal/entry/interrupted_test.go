package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
)

var _ = Describe("A caller whose body was no longer needed", func() {
	// A connection that ends although its last response did not say so costs the caller its next request. The read of
	// the body may reach its end just when it is interrupted, and net/http then takes the caller for gone.
	It("is told that its connection ends", func() {
		const callers, rounds, size = 8, 250, 200 << 10
		refusing := rawServer(func(c net.Conn) {
			defer c.Close()
			br := bufio.NewReader(c)
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.ContentLength < size {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nTarragon-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbusy")
			_, _ = io.Copy(io.Discard, r.Body)
		})
		body := strings.Repeat("x", size)
		var kept, lost atomic.Int64
		var wg sync.WaitGroup
		for range callers {
			f := start(func(c *entry.Config) { c.Routes = limitedRoutes{keyless: true} }, refusing)
			wg.Go(func() {
				defer GinkgoRecover()
				for range rounds {
					a := f.do("POST", "/once", body)
					Expect(a.err).NotTo(HaveOccurred())
					if a.connectionClose {
						continue
					}
					kept.Add(1)
					if f.do("POST", "/once", "x").err != nil {
						lost.Add(1)
					}
				}
			})
		}
		wg.Wait()
		Expect(lost.Load()).To(BeZero(), fmt.Sprintf("of %d connections that were to stay open", kept.Load()))
	})
})
