package entry_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

var _ = Describe("Non-idempotent work", func() {
	// A sign-off that runs twice bills a client twice.
	It("runs at most once under faults, crashes and resends", func() {
		var servers []*standin.Server
		var addresses []string
		for i := range 4 {
			b := newStandin(standin.Config{Instance: fmt.Sprint("i-", i), Slots: 2, Queue: -1, WorkTime: 2 * time.Millisecond, RestartAfter: 20 * time.Millisecond})
			servers, addresses = append(servers, b), append(addresses, b.Address())
		}
		servers[0].SetFaults(standin.Faults{TruncateShare: 0.3, ErrorShare: 0.3})
		servers[1].SetFaults(standin.Faults{FlapMS: 30})
		f := start(nil, addresses...)
		stop := make(chan struct{})
		var chaos, wg sync.WaitGroup
		chaos.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
					servers[n%4].Crash()
				}
			}
		})
		done := make([]int, 8)
		for w := range 8 {
			random := rand.New(rand.NewPCG(7, uint64(w)))
			wg.Go(func() {
				defer GinkgoRecover()
				for n := range 40 {
					key := fmt.Sprintf("k-%d-%d", w, n)
					for range 3 {
						a := f.do("POST", "/once", "pay", "Idempotency-Key", key, "Grpc-Timeout", fmt.Sprintf("%dm", 10+random.IntN(60)))
						if a.err == nil && a.status < 300 {
							done[w]++
							break
						}
					}
				}
			})
		}
		wg.Wait()
		close(stop)
		chaos.Wait()
		runs := map[string]int{}
		for _, b := range servers {
			ledger := b.Ledger()
			Expect(ledger.Overflowed).To(BeFalse())
			for key, run := range ledger.Keys {
				runs[key] += run.Started
			}
		}
		Expect(len(runs)).To(BeNumerically(">", 100), "enough operations must have run for the check to mean something")
		for key, n := range runs {
			Expect(n).To(Equal(1), key)
		}
	})

	// A resent request must get the recorded response. Running it again would duplicate its effect.
	It("gets the recorded response when it is resent", func() {
		b := newStandin(standin.Config{WorkTime: -1})
		f := start(nil, b.Address())
		first := f.do("POST", "/once", "x", "Idempotency-Key", "k", "Standin-Status", "201")
		again := f.do("POST", "/once", "x", "Idempotency-Key", "k")
		Expect([]any{again.status, again.body}).To(Equal([]any{201, first.body}))
		Expect(b.Ledger().Keys["k"].Started).To(Equal(1))
		Eventually(f.observed.outcomes).Should(Equal([]string{entry.OutcomeAnswered, entry.OutcomeReplayed}))
	})

	// A refusal or a long wait for a server, instead of the recorded response, would tell the
	// caller that its order was not run although it was.
	DescribeTable("gets the recorded response when no server is available", func(grants func(*fakeGrants)) {
		b := newStandin(standin.Config{WorkTime: -1})
		f := start(nil, b.Address())
		first := f.do("POST", "/once", "x", "Idempotency-Key", "k")
		grants(f.grants)
		f.claims.delay = 20 * time.Millisecond
		begin := time.Now()
		Expect(f.do("POST", "/once", "x", "Idempotency-Key", "k").body).To(Equal(first.body))
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
	},
		Entry("refused", func(g *fakeGrants) { g.refusal = problem.New(problem.QueueFull, problem.NotRun, "") }),
		Entry("queued", func(g *fakeGrants) { g.queued = true }),
	)

	// What the records say about the operation takes precedence over a refusal of this request.
	It("is not reported as not-run by a full queue when its outcome is unknown", func() {
		f := start(nil)
		f.claims.records = map[string]*fakeClaim{"k": {owner: f.claims, state: "unknown"}}
		f.grants.refusal = problem.New(problem.QueueFull, problem.NotRun, "")
		f.claims.delay = 20 * time.Millisecond
		Expect(f.do("POST", "/once", "", "Idempotency-Key", "k").problem.Outcome).To(Equal("unknown"))
	})

	It("is reported as run when its response was too large to be recorded", func() {
		b := newStandin(standin.Config{WorkTime: -1})
		f := start(nil, b.Address())
		Expect(f.do("POST", "/once", "", "Idempotency-Key", "k", "Standin-Size", "100000").body).To(HaveLen(100000))
		Expect(f.do("POST", "/once", "", "Idempotency-Key", "k").problem.Outcome).To(Equal("run"))
	})

	// Work that was rejected, or whose connection was refused, did not run. Another server may run
	// it under the same claim.
	It("is sent to another server only while it has not run", func() {
		full := newStandin(standin.Config{Instance: "full"})
		Expect(full.Drain(GinkgoT().Context())).To(Succeed())
		good := newStandin(standin.Config{Instance: "good", WorkTime: -1})
		f := start(nil, refusingAddress(), full.Address(), good.Address())
		a := f.do("POST", "/once", "", "Idempotency-Key", "k")
		Expect(a.body).To(HavePrefix("instance=good "))
		Expect(f.grants.ended()).To(Equal([]grant.Result{grant.ConnectFailed, grant.Shed, grant.OK}))
		Expect(f.backends.draining).To(Equal([]string{full.Address()}))
	})

	// If the records are not available, the work might run twice, so it must not be sent.
	It("is not sent without a claim, and a grant that expires during the claim is returned", func() {
		b := newStandin(standin.Config{WorkTime: -1})
		f := start(nil, b.Address())
		f.claims.refusal = problem.New(problem.RecordsUnavailable, problem.NotRun, "")
		Expect(f.do("POST", "/once", "", "Idempotency-Key", "k").kind()).To(Equal("records-unavailable"))
		Expect(f.grants.ended()).To(Equal([]grant.Result{grant.Unused}))
		f.claims.refusal = nil
		f.claims.delay = 60 * time.Millisecond
		f.grants.validity = 20 * time.Millisecond
		Expect(f.do("POST", "/once", "", "Idempotency-Key", "k").status).To(Equal(200))
		Expect(f.grants.ended()).To(Equal([]grant.Result{grant.Unused, grant.Unused, grant.OK}))
		Expect(b.Ledger().Total.Started).To(Equal(1))
	})
})
