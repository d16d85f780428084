package election_test

import (
	"flag"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// drift keeps the speeds of any two clocks within 5% of each other.
const drift = 0.048

// Runs are reproducible unless the command line sets another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// seeds is the number of worlds to try; the race detector, which runs with -short, needs fewer.
func seeds(n uint64) uint64 {
	if testing.Short() {
		return n / 5
	}
	return n
}

// fault is one random change of the world.
func (w *world) fault(t *rapid.T) {
	p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
	switch rapid.SampledFrom([]string{"none", "freeze", "restart", "kill", "cut", "heal", "loss", "delay", "hosts", "rotate", "spread", "usurp", "lag", "resign"}).Draw(t, "fault") {
	case "freeze":
		p.frozen = w.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond
	case "restart":
		w.restart(p)
	case "kill":
		p.down = true
	case "cut":
		to := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "to")]
		former := w.cut
		w.cut = func(a, b string) bool { return a == p.id && (b == to.id || p == to) || former(a, b) }
	case "heal":
		w.heal()
	case "loss":
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "share")
	case "delay":
		w.delay = time.Duration(rapid.SampledFrom([]int{2, 30, 250}).Draw(t, "ms")) * time.Millisecond
	case "hosts":
		w.changeHosts(rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8}).Draw(t, "hosts")[:rapid.IntRange(3, 9).Draw(t, "count")])
	case "rotate":
		first := 3 * rapid.IntRange(0, 2).Draw(t, "third")
		w.changeHosts([]int{first, first + 1, first + 2})
	case "spread":
		w.spreading = time.Duration(rapid.SampledFrom([]int{5, 200, 1000}).Draw(t, "ms")) * time.Millisecond
	case "usurp":
		w.usurp()
	case "lag":
		w.lag(p)
	case "resign":
		if holders := w.holders(); len(holders) > 0 && rapid.IntRange(0, 3).Draw(t, "chance") == 0 {
			w.send(holders[0], holders[0].candidate.Resign(w.local(holders[0])))
		}
	}
}

// usurp cuts off the holder and restarts all its voters, which forget their votes.
func (w *world) usurp() {
	for _, holder := range w.holders() {
		w.cut = func(from, to string) bool { return from == holder.id || to == holder.id }
		for _, p := range w.processes {
			if p != holder {
				w.start(p)
				w.apply(p, len(w.configs)-1)
			}
		}
	}
}

// lag delays the messages to a process, which is cut off soon after.
func (w *world) lag(p *process) {
	w.late = p.id
	w.after(nil, 700*time.Millisecond, func() {
		w.cut = func(from, _ string) bool { return from == p.id }
	})
}

func (w *world) restart(p *process) {
	w.start(p)
	w.spread(p)
}

func (w *world) spread(p *process) {
	config := len(w.configs) - 1
	longest := w.spreading
	if w.random.IntN(4) == 0 {
		longest = time.Second
	}
	if _, held := p.candidate.Held(w.local(p)); held && w.holderFirst {
		longest = 50 * time.Millisecond
	}
	w.after(p, time.Duration(w.random.Int64N(int64(longest))), func() { w.apply(p, config) })
}

// changeHosts obeys the rule of admission: the last change is in force on a majority of the
// previous group, and was so for one lease.
func (w *world) changeHosts(hosts []int) {
	if !w.inForce() && len(w.configs) > 1 {
		return
	}
	last := len(w.configs)
	w.after(nil, election.VoteLease*105/100, func() {
		if len(w.configs) > last || !w.inForce() && len(w.configs) > 1 {
			return
		}
		slices.Sort(hosts)
		w.configure(hosts...)
		for _, p := range w.processes {
			if !p.down {
				w.spread(p)
			}
		}
	})
}

func (w *world) heal() {
	w.cut = func(string, string) bool { return false }
	w.loss = 0
	w.late = ""
	w.delay = 2 * time.Millisecond
}

// unbound returns a voter that is not bound to the holder, if there is one.
func (w *world) unbound() string {
	for _, p := range w.processes {
		holder, _, _, _ := p.voter.Holder(w.local(p))
		if slices.Contains(w.configs[len(w.configs)-1].Voters(), p.id) && holder != w.holders()[0].id {
			return p.id
		}
	}
	return ""
}

// Guards against two dispatchers at once, whatever the interleaving of votes, delays, losses,
// duplicates, restarts, freezes, one-way cuts, clock drift and changes of hosts; against terms that
// do not rise; and against a group that, once all faults are
// over, elects nobody or a holder that only some of the voters support.
func TestNeverTwoHolders(t *testing.T) {
	violations := invariant.Total()
	leases, checks := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), drift)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			w.fault(t)
		}
		w.heal()
		w.run(time.Second)
		w.heal()
		for _, p := range w.processes {
			w.restart(p)
		}
		w.run(4 * time.Second)
		if w.failure != "" {
			t.Fatal(w.failure)
		}
		if len(w.holders()) != 1 {
			t.Fatalf("nobody holds the lease 4 s after the faults; groups %+v", w.configs[len(w.configs)-1])
		}
		if voter := w.unbound(); voter != "" {
			t.Fatalf("voter %s is not bound to the holder %s", voter, w.holder)
		}
		leases += w.leases
		checks++
	})
	g := NewWithT(t)
	g.Expect(invariant.Total()).To(Equal(violations))
	t.Logf("%d leases", leases)
	g.Expect(leases).To(BeNumerically(">", checks), "too few changes of the holder to prove anything")
}

// Guards against a gap of more than 1 s between two dispatchers, of which 150 ms go to the
// collection of outstanding grants and up to 50 ms to the news.
func TestTakeover(t *testing.T) {
	const limit = 800 * time.Millisecond
	faults := map[string]func(w *world, p *process){
		"kill":         func(_ *world, p *process) { p.down = true },
		"freeze":       func(w *world, p *process) { p.frozen = w.now + time.Hour },
		"hears nobody": func(w *world, p *process) { w.cut = func(_, to string) bool { return to == p.id } },
		"hears nobody, then cut off": func(w *world, p *process) {
			w.cut = func(_, to string) bool { return to == p.id }
			w.after(nil, 350*time.Millisecond, func() { w.cut = func(from, to string) bool { return from == p.id || to == p.id } })
		},
		"heard by nobody": func(w *world, p *process) { w.cut = func(from, _ string) bool { return from == p.id } },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			longest := time.Duration(0)
			for seed := range seeds(100) {
				w := newWorld(seed, drift)
				w.run(2*time.Second + time.Duration(seed)*time.Millisecond)
				first := w.holders()
				g.Expect(first).To(HaveLen(1))
				began := w.now
				fault(w, first[0])
				other := func() bool { h := w.holders(); return len(h) == 1 && h[0] != first[0] }
				for !other() && w.now < began+5*time.Second {
					w.run(time.Millisecond)
				}
				longest = max(longest, w.now-began)
				w.run(2 * time.Second)
				g.Expect(w.failure).To(BeEmpty())
				g.Expect(other()).To(BeTrue(), "the new dispatcher must keep the lease")
			}
			t.Logf("longest takeover %v", longest)
			g.Expect(longest).To(BeNumerically("<", limit))
		})
	}
}

// Guards against an interruption of the dispatcher by a change of hosts that takes up to 1 s to reach
// all voters but reaches the holder early. A holder that learns of it much later than a majority of
// the voters loses the lease, since these refuse its revision.
func TestLeaseOutlivesChangeOfHosts(t *testing.T) {
	g := NewWithT(t)
	for seed := range seeds(50) {
		w := newWorld(seed, drift)
		w.holderFirst = true
		w.run(2 * time.Second)
		holder := w.holder
		for range 3 {
			w.changeHosts([]int{0, 1, 2, 3, 4, 5, 6, 7, 8})
			for range 200 {
				w.run(10 * time.Millisecond)
				g.Expect(w.failure).To(BeEmpty())
				g.Expect(w.holders()).To(HaveLen(1))
			}
		}
		g.Expect(w.configs).To(HaveLen(4))
		g.Expect(w.holder).To(Equal(holder))
	}
}

// Guards against a restarted voter that forgets its vote and grants another one while the first is
// still used: it must be silent for one lease.
func TestRestartedVoterWaits(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 0)
	w.run(2 * time.Second)
	p := w.processes[0]
	w.start(p)
	w.apply(p, 0)
	request := &fleetpb.VoteRequest{
		Service: "booking", Candidate: w.configs[0].Current[0], Incarnation: 1, Term: w.term + 1, HostsRevision: 1,
	}
	for end := w.now + election.VoteLease; w.now < end; w.now += 10 * time.Millisecond {
		g.Expect(p.voter.Vote(w.local(p), request).Granted).To(BeFalse())
	}
	g.Expect(p.voter.Vote(w.local(p), request).Granted).To(BeTrue())
}

// Guards against votes for requests that must have no effect: unknown candidates, another hosts
// revision, used up terms, and a release by another candidate.
func TestRefusedRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	v := election.NewVoter(now.Add(-time.Hour))
	v.SetGroups(election.VotingGroups{Revision: 3, Current: []string{"a", "b", "c"}, Previous: []string{"d"}})
	request := func(candidate string, term, revision uint64) *fleetpb.VoteRequest {
		return &fleetpb.VoteRequest{Candidate: candidate, Incarnation: 1, Term: term, HostsRevision: revision}
	}
	for _, r := range []*fleetpb.VoteRequest{
		request("x", 1, 3), request("d", 1, 3), request("a", 1, 2), request("a", 1, 4),
		request("a", 0, 3), request("a", math.MaxUint64, 3),
	} {
		g.Expect(v.Vote(now, r).Granted).To(BeFalse())
		_, _, _, bound := v.Holder(now)
		g.Expect(bound).To(BeFalse())
	}
	g.Expect(v.Vote(now, request("a", 5, 3)).Granted).To(BeTrue())
	release := request("b", 5, 3)
	release.Release = true
	v.Vote(now, release)
	g.Expect(v.Vote(now, request("b", 6, 3)).Granted).To(BeFalse())
	release.Candidate = "a"
	v.Vote(now, release)
	g.Expect(v.Vote(now, request("a", 5, 3)).Granted).To(BeFalse(), "a late renewal after a release")
	g.Expect(v.Vote(now, request("b", 6, 3)).Granted).To(BeTrue())
}
