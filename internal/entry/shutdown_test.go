package entry_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

var _ = Describe("Graceful shutdown", func() {
	// If a host stopped serving before its callers use other hosts, each deployment would cut off requests
	// of all of them.
	It("cuts no request, for callers that follow the endpoint list", func() {
		b := newStandin(standin.Config{Slots: 64, WorkTime: 30 * time.Millisecond})
		f := start(func(c *entry.Config) { c.Settings.EndpointTTL = settings.Duration(200 * time.Millisecond) }, b.Address())
		var left atomic.Bool
		var wg sync.WaitGroup
		var served, closing atomic.Int64
		for w := range 16 {
			wg.Go(func() {
				defer GinkgoRecover()
				for n := 0; !left.Load(); n++ {
					a := f.do("POST", "/read", fmt.Sprint(n), "Standin-Size", fmt.Sprint(1000*w))
					Expect(a.err).NotTo(HaveOccurred())
					Expect(a.status).To(Equal(200))
					served.Add(1)
					if a.connectionClose {
						closing.Add(1)
					}
				}
			})
		}
		slow := make(chan callerResponse, 1)
		go func() { slow <- f.do("GET", "/read", "", "Standin-Work", "2700ms") }()
		Eventually(served.Load).Should(BeNumerically(">", 50))
		begun := time.Now()
		// Callers stop using the host within the time to live.
		time.AfterFunc(200*time.Millisecond, func() { left.Store(true) })
		Expect(f.server.Shutdown(context.Background())).To(Succeed())
		Expect(time.Since(begun)).To(BeNumerically(">=", 2200*time.Millisecond), "the host accepts for the time to live plus 2 s")
		Expect((<-slow).status).To(Equal(200))
		wg.Wait()
		Expect(closing.Load()).To(BeNumerically(">", 0))
		Expect(<-f.served).To(Succeed())
		f.served <- nil
		_, err := net.Dial("tcp", f.address)
		Expect(err).To(HaveOccurred(), "the host no longer listens")
	})
})
