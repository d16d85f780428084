package membership_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/internal/membership"

	. "github.com/onsi/gomega"
)

// Guards against a fleet that does not converge, and against renewals that reach a node after the
// cut-off: 48 nodes must see 36 healthy servers as usable without any gap.
func TestConvergenceAndRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 48)
		defer f.stop()
		took := f.until(15*time.Second, f.allAlive)
		t.Logf("48 nodes joined in %v", took)
		f.g.Expect(took).To(BeNumerically("<", 10*time.Second))
		stop := f.announce(36)
		defer stop()
		time.Sleep(3 * time.Second)
		gaps, oldest := 0, time.Duration(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			f.count(func(r *membership.Runner) bool {
				for _, s := range r.Servers(service) {
					oldest = max(oldest, time.Since(s.Renewed))
					if !s.Usable(time.Now()) {
						gaps++
					}
				}
				return true
			})
		}
		t.Logf("oldest renewal %v", oldest)
		f.g.Expect(gaps).To(BeZero())
	})
}

// announce renews the servers s0, s1, … every 500 ms, each time at another node, until the returned
// function is called.
func (f *fleet) announce(servers int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for i := range servers {
		f.done.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				if r := f.node(f.ids[(i+k)%len(f.ids)]); r != nil {
					_ = r.Announce(ctx, server(fmt.Sprintf("s%d", i), backend.Ready))
				}
				select {
				case <-ctx.Done():
				case <-time.After(backend.RenewEvery):
				}
			}
		})
	}
	return cancel
}

// Guards against nodes that do not learn of a newer configuration revision, that do not show the
// revision of a member, or that send callers to a host that cannot reach the service.
func TestRevisionsAndReachabilityAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24)
		defer f.stop()
		f.until(10*time.Second, f.allAlive)
		f.node("n3").SetRevision(7)
		f.node("n3").SetUnreachable([]string{service})
		time.Sleep(5 * time.Second)
		for _, id := range f.ids {
			newer, ok := f.newerRevisions.Load(id)
			f.g.Expect(ok).To(Equal(id != "n3"), id)
			if ok {
				f.g.Expect(newer).To(Equal(membership.PeerRevision{Node: "n3", Address: f.config.Hosts[3].FleetAddress, Revision: 7}))
			}
			m, _ := f.node(id).Member("n3")
			f.g.Expect(m.Revision).To(Equal(uint64(7)))
			f.g.Expect(f.node(id).Eligibility("n3", service)).To(Equal(hostset.Ineligible))
			f.g.Expect(f.node(id).Eligibility("n3", "catalogue")).To(Equal(hostset.Eligible))
		}
	})
}
