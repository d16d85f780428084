package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// uniformSizes have work of nearly uniform duration, whose stall threshold of 4 x p95 is longer than a
// hang.
var uniformSizes = []serviceSize{{"cuefeed", 14, 6, 100 * time.Millisecond}, {"booking", 20, 3, 100 * time.Millisecond}}

// A server that hangs for 500 ms and works for 500 ms must lose its work within 1 s even where 500 ms is
// below the stall threshold; otherwise its callers wait again and again.
func TestFlappingServerIsFoundBelowTheThreshold(t *testing.T) {
	for _, size := range uniformSizes {
		for _, load := range []float64{0.2, 0.7} {
			t.Run(fmt.Sprintf("%s/%v", size.name, load), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				for seed := range uint64(2) {
					w := newSimulation(size, seed)
					w.sigma = 0.12
					loadMixed(w, load)
					w.run(warmUp)
					bad, began := w.names[w.random.IntN(len(w.names))], w.now
					w.servers[bad].stalled = flap(began, 500*time.Millisecond)
					w.run(3 * time.Second)
					g.Expect(w.newWorkDuration(bad, began)).To(BeNumerically("<", detectionLimit), "seed %d", seed)
				}
			})
		}
	}
}

// A pause of 200 ms, as of a garbage collector, delays all requests of a server at once. It must not take
// the server out of rotation, however uniform the work is.
func TestPausedServersStayWithUniformWork(t *testing.T) {
	for _, size := range uniformSizes {
		for _, load := range []float64{0.2, 0.7} {
			t.Run(fmt.Sprintf("%s/%v", size.name, load), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				w := newSimulation(size, 1)
				w.sigma = 0.12
				loadMixed(w, load)
				w.run(warmUp)
				for i, name := range w.names {
					pause := w.now.Add(time.Duration(i) * time.Second)
					w.servers[name].stalled = func(now time.Time) time.Time {
						if now.Before(pause) {
							return now
						}
						return pause.Add(200 * time.Millisecond)
					}
				}
				w.run(22 * time.Second)
				g.Expect(w.ejectedAt).To(BeEmpty())
			})
		}
	}
}

// A server that crashed must not be reported as ejected: operators would look for a false ejection, and the
// next dispatcher would take it over as ejected.
func TestCrashedServerIsShownAsCrashed(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(uniformSizes[0], 1)
	loadMixed(w, 0.6)
	w.run(warmUp)
	w.crashFingerprint = 42
	w.startStream(&stream{priority: priority.Normal, team: "crash", rate: 5, deadline: 2 * time.Second, fingerprint: 42, retries: true})
	seen := map[string]int{}
	for range 60 {
		w.run(50 * time.Millisecond)
		for _, s := range w.machine.View(w.now).Servers {
			seen[s.State]++
		}
	}
	g.Expect(seen).To(HaveKey(dispatch.ViewCrashed))
	g.Expect(seen).NotTo(HaveKey(dispatch.ViewEjected))
}

// At a low rate, the refusals of a crashed server come later than 500 ms after the break, and a response
// from before the crash may be reported after it. The server must not be ejected for the request that
// crashed it.
func TestCrashAtALowRateIsNoEjection(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	m := dispatch.New(now, dispatch.Config{Service: "x", MinimumHealthyPercent: 50})
	var servers []backend.Server
	for _, name := range []string{"a", "b", "c", "d"} {
		servers = append(servers, backend.Server{Instance: name, State: backend.Ready, Slots: 4, Renewed: now})
	}
	m.SetServers(now, servers)
	m.Connect(now, "n", "dc", 1, nil, nil)
	now = now.Add(dispatch.CollectionPeriod)
	others := []string{"b", "c", "d"}
	send := func(id uint64) {
		a := acquire(m, now, id, func(q *dispatch.Request) { q.Exclude, q.Fingerprint = others, id })
		g.Expect(a).To(HaveLen(1))
		g.Expect(a[0].Instance).To(Equal("a"))
	}
	send(1)
	send(2)
	m.Complete(now, "n", 1, grant.Completion{Result: grant.Broken, Total: time.Millisecond})
	m.Complete(now.Add(time.Millisecond), "n", 2, grant.Completion{Result: grant.OK, FirstByte: time.Millisecond, Total: time.Millisecond})
	for id := uint64(3); id <= 4; id++ {
		now = now.Add(700 * time.Millisecond)
		for i := range servers {
			servers[i].Renewed = now
		}
		m.SetServers(now, servers)
		if a := acquire(m, now, id, func(q *dispatch.Request) { q.Exclude = others }); len(a) == 1 && a[0].Kind == dispatch.Granted {
			m.Complete(now, "n", id, grant.Completion{Result: grant.ConnectFailed, Total: time.Millisecond})
		}
	}
	g.Expect(m.Stats().Ejections).To(BeZero())
	g.Expect(m.Stats().Crashes).To(BeEquivalentTo(1))
}
