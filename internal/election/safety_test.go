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

// drift is the range of clock speeds, 1 ± 2.4%. It keeps any two clocks within 5% of each other.
const drift = 0.048

// A fixed seed makes runs reproducible. The command line may set another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// seedCount returns the number of simulations to run: n, or a fifth of it with -short. Runs under the race
// detector use -short.
func seedCount(n uint64) uint64 {
	if testing.Short() {
		return n / 5
	}
	return n
}

// injectFault makes one random change to the simulation.
func (s *simulation) injectFault(t *rapid.T) {
	p := s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")]
	switch rapid.SampledFrom([]string{"none", "freeze", "restart", "kill", "cut", "clear faults", "loss", "delay", "hosts", "rotate", "configuration delay", "isolate holder", "delay then cut", "resign"}).Draw(t, "fault") {
	case "freeze":
		p.frozenUntil = s.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond
	case "restart":
		s.restart(p)
	case "kill":
		p.down = true
	case "cut":
		to := s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "to")]
		previous := s.isCut
		s.isCut = func(a, b string) bool { return a == p.id && (b == to.id || p == to) || previous(a, b) }
	case "clear faults":
		s.clearFaults()
	case "loss":
		s.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss rate")
	case "delay":
		s.messageDelay = time.Duration(rapid.SampledFrom([]int{2, 30, 250}).Draw(t, "ms")) * time.Millisecond
	case "hosts":
		s.changeHosts(rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8}).Draw(t, "hosts")[:rapid.IntRange(3, 9).Draw(t, "count")])
	case "rotate":
		first := 3 * rapid.IntRange(0, 2).Draw(t, "third")
		s.changeHosts([]int{first, first + 1, first + 2})
	case "configuration delay":
		s.maxConfigDelay = time.Duration(rapid.SampledFrom([]int{5, 200, 1000}).Draw(t, "ms")) * time.Millisecond
	case "isolate holder":
		s.isolateHolder()
	case "delay then cut":
		s.delayThenCut(p)
	case "resign":
		if holders := s.holders(); len(holders) > 0 && rapid.IntRange(0, 3).Draw(t, "chance") == 0 {
			s.send(holders[0], holders[0].candidate.Resign(s.localTime(holders[0])))
		}
	}
}

// isolateHolder cuts off the holder and restarts all other processes, so that its voters forget their votes.
func (s *simulation) isolateHolder() {
	for _, holder := range s.holders() {
		s.isCut = func(from, to string) bool { return from == holder.id || to == holder.id }
		for _, p := range s.processes {
			if p != holder {
				s.start(p)
				s.applyConfig(p, len(s.configs)-1)
			}
		}
	}
}

// delayThenCut delays the messages to a process, and after 700 ms drops all messages from it.
func (s *simulation) delayThenCut(p *process) {
	s.slowProcess = p.id
	s.schedule(nil, 700*time.Millisecond, func() {
		s.isCut = func(from, _ string) bool { return from == p.id }
	})
}

func (s *simulation) restart(p *process) {
	s.start(p)
	s.scheduleConfig(p)
}

func (s *simulation) scheduleConfig(p *process) {
	config := len(s.configs) - 1
	longest := s.maxConfigDelay
	if s.random.IntN(4) == 0 {
		longest = time.Second
	}
	if _, held := p.candidate.Held(s.localTime(p)); held && s.holderFirst {
		longest = 50 * time.Millisecond
	}
	s.schedule(p, time.Duration(s.random.Int64N(int64(longest))), func() { s.applyConfig(p, config) })
}

// changeHosts changes the hosts under the rule of admission: a majority of the previous group must have
// adopted the last change, and still have it after one lease.
func (s *simulation) changeHosts(hosts []int) {
	if !s.newestInForce() && len(s.configs) > 1 {
		return
	}
	last := len(s.configs)
	s.schedule(nil, election.VoteLease*105/100, func() {
		if len(s.configs) > last || !s.newestInForce() && len(s.configs) > 1 {
			return
		}
		slices.Sort(hosts)
		s.addConfig(hosts...)
		for _, p := range s.processes {
			if !p.down {
				s.scheduleConfig(p)
			}
		}
	})
}

func (s *simulation) clearFaults() {
	s.isCut = func(string, string) bool { return false }
	s.lossRate = 0
	s.slowProcess = ""
	s.messageDelay = 2 * time.Millisecond
}

// unboundVoter returns the id of a voter that is not bound to the holder, or "".
func (s *simulation) unboundVoter() string {
	for _, p := range s.processes {
		holder, _, _, _ := p.voter.Holder(s.localTime(p))
		if slices.Contains(s.configs[len(s.configs)-1].Voters(), p.id) && holder != s.holders()[0].id {
			return p.id
		}
	}
	return ""
}

// Guards against two dispatchers at the same time and against terms that do not rise, under random
// interleavings of votes, delays, losses, duplicates, restarts, freezes, one-way cuts, clock drift and
// changes of hosts. After all faults have been cleared, exactly one node must hold the lease, with the votes
// of all voters.
func TestNeverTwoHolders(t *testing.T) {
	violations := invariant.Total()
	leases, checks := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		preferred := [][]string{nil, {"n7", "n3", "n8"}}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), drift, rapid.SampledFrom(preferred).Draw(t, "preferred")...)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			s.injectFault(t)
		}
		s.clearFaults()
		s.run(time.Second)
		s.clearFaults()
		for _, p := range s.processes {
			s.restart(p)
		}
		s.run(4 * time.Second)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		if len(s.holders()) != 1 {
			t.Fatalf("nobody holds the lease 4 s after the faults; groups %+v", s.configs[len(s.configs)-1])
		}
		if voter := s.unboundVoter(); voter != "" {
			t.Fatalf("voter %s is not bound to the holder %s", voter, s.holder)
		}
		leases += s.leases
		checks++
	})
	g := NewWithT(t)
	g.Expect(invariant.Total()).To(Equal(violations))
	t.Logf("%d leases", leases)
	g.Expect(leases).To(BeNumerically(">", checks), "too few changes of the holder to prove anything")
}

// Guards against a gap of more than 1 s between two dispatchers. The limit is 800 ms, since collecting the
// outstanding grants takes another 150 ms and notifying the nodes up to 50 ms.
func TestTakeover(t *testing.T) {
	const limit = 800 * time.Millisecond
	faults := map[string]func(s *simulation, p *process){
		"kill":                 func(_ *simulation, p *process) { p.down = true },
		"freeze":               func(s *simulation, p *process) { p.frozenUntil = s.now + time.Hour },
		"no incoming messages": func(s *simulation, p *process) { s.isCut = func(_, to string) bool { return to == p.id } },
		"no incoming messages, then isolated": func(s *simulation, p *process) {
			s.isCut = func(_, to string) bool { return to == p.id }
			s.schedule(nil, 350*time.Millisecond, func() { s.isCut = func(from, to string) bool { return from == p.id || to == p.id } })
		},
		"no outgoing messages": func(s *simulation, p *process) { s.isCut = func(from, _ string) bool { return from == p.id } },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			longest := time.Duration(0)
			for seed := range seedCount(100) {
				s := newSimulation(seed, drift)
				s.run(2*time.Second + time.Duration(seed)*time.Millisecond)
				first := s.holders()
				g.Expect(first).To(HaveLen(1))
				start := s.now
				fault(s, first[0])
				takenOver := func() bool { h := s.holders(); return len(h) == 1 && h[0] != first[0] }
				for !takenOver() && s.now < start+5*time.Second {
					s.run(time.Millisecond)
				}
				longest = max(longest, s.now-start)
				s.run(2 * time.Second)
				g.Expect(s.violation).To(BeEmpty())
				g.Expect(takenOver()).To(BeTrue(), "the new dispatcher must keep the lease")
			}
			t.Logf("longest takeover %v", longest)
			g.Expect(longest).To(BeNumerically("<", limit))
		})
	}
}

// Guards against a change of hosts that interrupts the dispatcher although it reaches the holder early; it
// takes up to 1 s to reach all voters. A holder that learns of the change much later than a majority of the
// voters loses the lease, since they refuse its revision.
func TestLeaseOutlivesChangeOfHosts(t *testing.T) {
	g := NewWithT(t)
	for seed := range seedCount(50) {
		s := newSimulation(seed, drift)
		s.holderFirst = true
		s.run(2 * time.Second)
		holder := s.holder
		for range 3 {
			s.changeHosts([]int{0, 1, 2, 3, 4, 5, 6, 7, 8})
			for range 200 {
				s.run(10 * time.Millisecond)
				g.Expect(s.violation).To(BeEmpty())
				g.Expect(s.holders()).To(HaveLen(1))
			}
		}
		g.Expect(s.configs).To(HaveLen(4))
		g.Expect(s.holder).To(Equal(holder))
	}
}

// Guards against a restarted voter that has forgotten its vote and grants another one while the first is
// still in use: it must grant nothing for one lease.
func TestRestartedVoterWaits(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(1, 0)
	s.run(2 * time.Second)
	p := s.processes[0]
	s.start(p)
	s.applyConfig(p, 0)
	request := &fleetpb.VoteRequest{
		Service: "booking", Candidate: s.configs[0].Current[0], Incarnation: 1, Term: s.term + 1, HostsRevision: 1,
	}
	for end := s.now + election.VoteLease; s.now < end; s.now += 10 * time.Millisecond {
		g.Expect(p.voter.Vote(s.localTime(p), request).Granted).To(BeFalse())
	}
	g.Expect(p.voter.Vote(s.localTime(p), request).Granted).To(BeTrue())
}

// Guards against votes for unknown candidates, another hosts revision, the query term 0 and exhausted
// terms, against a release by another candidate, and against a late renewal after a release.
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
