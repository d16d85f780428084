package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
)

const (
	detectionLimit = time.Second
	warmUp         = 4 * time.Second
	seeds          = 2
)

func loadMixed(w *simulation, load float64) []*stream {
	rate := load * w.capacity()
	all := []*stream{
		{priority: priority.Urgent, team: "desk", rate: rate * 0.3, deadline: 2 * time.Second, retries: true},
		{priority: priority.Normal, team: "office", rate: rate * 0.4, deadline: 2 * time.Second, retries: true},
		{priority: priority.Normal, team: "sign-off", rate: rate * 0.1, deadline: 2 * time.Second, nonIdempotent: true},
		{priority: priority.Background, team: "archive", rate: rate * 0.2, deadline: 5 * time.Second, retries: true},
	}
	for _, s := range all {
		w.startStream(s)
	}
	return all
}

// flap alternates between good and bad phases; requests that end in a bad phase hang until its end.
func flap(start time.Time, half time.Duration) func(time.Time) time.Time {
	return func(now time.Time) time.Time {
		phase := now.Sub(start) % (2 * half)
		if phase < half {
			return now.Add(half - phase)
		}
		return time.Time{}
	}
}

// newWorkDuration returns for how long a server got new work after the first request that met its fault.
func (w *simulation) newWorkDuration(name string, began time.Time) time.Duration {
	times := w.grantTimes[name]
	first := slices.IndexFunc(times, func(t time.Time) bool { return t.After(began.Add(-w.size.median)) })
	if first < 0 {
		return 0
	}
	return times[len(times)-1].Sub(times[first])
}

// A server that fails real work while it announces itself as ready must soon get no more work; otherwise
// its callers wait. The bound is that of the design page: under 1 s at p99.
func TestBadServerIsFound(t *testing.T) {
	faults := map[string]func(w *simulation, s *fakeServer){
		"stalled": func(w *simulation, s *fakeServer) { s.stalled = flap(w.now, time.Hour) },
		"slow":    func(_ *simulation, s *fakeServer) { s.factor = 10 },
		"flapping": func(w *simulation, s *fakeServer) {
			s.stalled = flap(w.now, 700*time.Millisecond)
		},
		"flapping slowly": func(w *simulation, s *fakeServer) { s.stalled = flap(w.now, 3*time.Second) },
		"failing":         func(_ *simulation, s *fakeServer) { s.failing = 1 },
	}
	for _, size := range sizes {
		for _, load := range []float64{0.2, 0.7} {
			for name, fault := range faults {
				t.Run(fmt.Sprintf("%s/%v/%s", size.name, load, name), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					for seed := range uint64(seeds) {
						w := newSimulation(size, seed)
						loadMixed(w, load)
						w.run(warmUp)
						bad := w.names[w.random.IntN(len(w.names))]
						fault(w, w.servers[bad])
						began := w.now
						w.run(3 * time.Second)
						g.Expect(w.newWorkDuration(bad, began)).To(BeNumerically("<", detectionLimit), "seed %d", seed)
						delete(w.ejectedAt, bad)
						g.Expect(w.ejectedAt).To(BeEmpty(), "seed %d", seed)
					}
				})
			}
		}
	}
}

// A server that hangs for 400 ms and works for 400 ms delays many responses, but none of them for long. The
// bound is that of the design page for flapping servers.
func TestQuicklyFlappingServerIsFound(t *testing.T) {
	t.Parallel()
	for _, size := range sizes {
		g := NewWithT(t)
		for seed := range uint64(24) {
			w := newSimulation(size, seed)
			loadMixed(w, 0.2)
			w.run(warmUp)
			bad, began := w.names[w.random.IntN(len(w.names))], w.now
			w.servers[bad].stalled = flap(began, 400*time.Millisecond)
			w.run(3 * time.Second)
			g.Expect(w.newWorkDuration(bad, began)).To(BeNumerically("<", detectionLimit), "%s seed %d", size.name, seed)
		}
	}
}

// A server that fails half of its requests must be ejected even though its good responses continue.
func TestHalfFailingServerIsEjected(t *testing.T) {
	for _, size := range sizes {
		g := NewWithT(t)
		w := newSimulation(size, 1)
		loadMixed(w, 0.5)
		w.run(warmUp)
		w.servers["s04"].failing = 0.5
		w.run(3 * time.Second)
		g.Expect(w.ejectedAt).To(HaveLen(1))
		g.Expect(w.ejectedAt).To(HaveKey("s04"))
	}
}

// A false ejection of a healthy server costs a small fleet a large part of its capacity.
func TestHealthyServersStay(t *testing.T) {
	t.Parallel()
	cases := map[string]func(w *simulation){
		"quiet":   func(w *simulation) { loadMixed(w, 0.2); w.run(15 * time.Second) },
		"idle":    func(w *simulation) { loadMixed(w, 0.01); w.run(40 * time.Second) },
		"busy":    func(w *simulation) { loadMixed(w, 0.9); w.run(10 * time.Second) },
		"unequal": func(w *simulation) { w.sigma = 1; loadMixed(w, 0.5); w.run(20 * time.Second) },
		"flood": func(w *simulation) {
			loadMixed(w, 0.5)
			w.run(warmUp)
			w.startStream(&stream{priority: priority.Background, team: "flood", rate: 4 * w.capacity(), deadline: 5 * time.Second})
			w.run(6 * time.Second)
		},
		"cut to a data centre": func(w *simulation) {
			loadMixed(w, 0.6)
			w.run(warmUp)
			w.dropsMessages = func(_, to string) bool { return to == "dc1" }
			w.run(6 * time.Second)
		},
		"cut from a data centre": func(w *simulation) {
			loadMixed(w, 0.6)
			w.run(warmUp)
			w.dropsMessages = func(from, _ string) bool { return from == "dc1" }
			w.run(6 * time.Second)
		},
		"cut between two data centres": func(w *simulation) {
			loadMixed(w, 0.6)
			w.run(warmUp)
			w.dropsMessages = func(from, to string) bool { return from == "dc1" && to == "dc2" }
			w.run(6 * time.Second)
		},
		"bad path of one node to one server": func(w *simulation) {
			loadMixed(w, 0.5)
			w.run(warmUp)
			w.badPath = func(n *fakeNode, s *fakeServer) bool { return n.id == "n05" && s.Instance == "s03" }
			w.run(8 * time.Second)
		},
		"bad paths of one node": func(w *simulation) {
			loadMixed(w, 0.5)
			w.run(warmUp)
			w.badPath = func(n *fakeNode, _ *fakeServer) bool { return n.id == "n05" }
			w.run(8 * time.Second)
		},
		"pauses": func(w *simulation) {
			loadMixed(w, 0.6)
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
		},
		"longer work for all": func(w *simulation) {
			loadMixed(w, 0.2)
			w.run(warmUp)
			w.sigma = 1.1
			w.run(15 * time.Second)
		},
		"all servers hang": func(w *simulation) {
			loadMixed(w, 0.6)
			w.run(warmUp)
			hang := w.now.Add(1500 * time.Millisecond)
			for _, s := range w.servers {
				s.stalled = func(time.Time) time.Time { return hang }
			}
			w.run(8 * time.Second)
		},
		"all servers slow": func(w *simulation) {
			loadMixed(w, 0.1)
			w.run(warmUp)
			for _, s := range w.servers {
				s.factor = 6
			}
			w.run(10 * time.Second)
		},
	}
	for _, size := range sizes {
		for name, run := range cases {
			t.Run(size.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				w := newSimulation(size, uint64(len(name)))
				run(w)
				g.Expect(w.ejectedAt).To(BeEmpty())
			})
		}
	}
}

// A request that crashes its server and is sent repeatedly must not take down the fleet, and the servers
// that it crashed must not be ejected for it.
func TestCrashRequestIsStopped(t *testing.T) {
	t.Parallel()
	for _, size := range sizes {
		t.Run(size.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(seeds) {
				w := newSimulation(size, seed)
				loadMixed(w, 0.6)
				w.run(warmUp)
				w.crashFingerprint = 42
				w.startStream(&stream{priority: priority.Normal, team: "crash", rate: 5, deadline: 2 * time.Second, fingerprint: 42, retries: true})
				w.run(10 * time.Second)
				g.Expect(w.crashes).To(BeNumerically("<=", 3), "seed %d", seed)
				g.Expect(w.machine.Stats().Ejections).To(BeZero(), "seed %d", seed)
				g.Expect(w.machine.Stats().PoisonRequests).To(BeEquivalentTo(1), "seed %d", seed)
			}
		})
	}
}

// Ejections must stop at the minimum healthy capacity however many servers are bad.
func TestEjectionsStopAtTheMinimum(t *testing.T) {
	for _, size := range sizes {
		t.Run(size.name, func(t *testing.T) {
			g := NewWithT(t)
			before := invariant.Total()
			w := newSimulation(size, 1)
			w.config.MinimumHealthyPercent = 80
			w.takeOver()
			loadMixed(w, 0.3)
			w.run(warmUp)
			for i, name := range w.names[:size.servers*2/5] {
				w.after(time.Duration(i)*1500*time.Millisecond, func() { w.servers[name].stalled = flap(w.now, time.Hour) })
			}
			for range 150 {
				w.run(100 * time.Millisecond)
				v := w.machine.View(w.now)
				g.Expect(v.Healthy).To(BeNumerically(">=", v.Minimum))
			}
			g.Expect(w.machine.Stats().Ejections).NotTo(BeZero())
			g.Expect(w.machine.Stats().EjectionsDenied).NotTo(BeZero())
			g.Expect(invariant.Total()).To(Equal(before))
		})
	}
}
