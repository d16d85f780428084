package election_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/election"
	"github.com/tarragonmux/tarragonmux/internal/hostset"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

const tickInterval = 20 * time.Millisecond

// process is one simulated node. Its clock runs at a speed of its own.
type process struct {
	id            string
	clockRate     float64
	clockOffset   time.Duration
	wallClockSkew time.Duration
	started       time.Time
	incarnation   uint64
	voter         *election.Voter
	candidate     *election.Candidate
	// appliedConfig is the index of the configuration that the process has adopted, or -1.
	appliedConfig int
	frozenUntil   time.Duration
	down          bool
}

type event struct {
	at       time.Duration
	sequence int
	target   *process
	// incarnation is the target's when the event was scheduled. A target that has restarted since skips it.
	incarnation uint64
	action      func()
}

// simulation runs the state machines of several nodes as a sequence of events ordered by true time.
type simulation struct {
	now          time.Duration
	random       *rand.Rand
	processes    []*process
	events       []event
	lastSequence int
	configs      []election.VotingGroups
	// lossRate is the share of messages that are lost. A message takes between half of messageDelay and one
	// and a half times that.
	lossRate     float64
	messageDelay time.Duration
	isCut        func(from, to string) bool
	// maxConfigDelay is the longest time until a process adopts a new configuration.
	maxConfigDelay time.Duration
	// holderFirst makes the holder adopt a new configuration within 50 ms.
	holderFirst bool
	// preferred lists the preferred candidates; if it is not empty, nodes outside the voting groups may hold the
	// lease.
	preferred []string
	// slowProcess is the id of a process to which all messages from other processes take 300 ms longer.
	slowProcess string
	// violation describes the first violated invariant.
	violation string
	holder    string
	term      uint64
	leases    int
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, drift float64, preferred ...string) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), messageDelay: 2 * time.Millisecond, maxConfigDelay: time.Second, preferred: preferred}
	s.isCut = func(string, string) bool { return false }
	for i := range 9 {
		p := &process{
			id:            fmt.Sprintf("n%d", i),
			clockRate:     1 + drift*(s.random.Float64()-0.5),
			clockOffset:   time.Duration(s.random.Int64N(int64(time.Hour))),
			wallClockSkew: time.Duration(s.random.Int64N(int64(200 * time.Millisecond))),
		}
		s.processes = append(s.processes, p)
	}
	s.addConfig(0, 1, 2, 3, 4, 5, 6, 7, 8)
	for _, p := range s.processes {
		s.start(p)
		s.applyConfig(p, 0)
	}
	return s
}

// localTime returns the time on the process's clock.
func (s *simulation) localTime(p *process) time.Time {
	return epoch.Add(p.clockOffset + time.Duration(float64(s.now)*p.clockRate))
}

func (s *simulation) start(p *process) {
	p.incarnation++
	p.down = false
	p.frozenUntil = 0
	p.appliedConfig = -1
	p.started = s.localTime(p)
	p.voter = election.NewVoter(p.started)
	p.candidate = election.NewCandidate("booking", p.id, p.incarnation)
	if len(s.preferred) > 0 {
		p.voter.AllowAnyCandidate()
		p.candidate.SetPreferred(s.preferred)
	}
	s.schedule(p, tickInterval, func() { s.tick(p) })
}

// addConfig adds a configuration with the hosts of the given numbers.
func (s *simulation) addConfig(hosts ...int) {
	list := func(numbers []int) []hostset.Host {
		var hosts []hostset.Host
		for _, i := range numbers {
			hosts = append(hosts, hostset.Host{ID: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
		}
		return hosts
	}
	f := hostset.Fleet{Hosts: list(hosts)}
	current, _ := f.VotingGroups(hostset.Service{Name: "booking"})
	g := election.VotingGroups{Revision: uint64(len(s.configs) + 1)}
	for _, h := range current {
		g.Current = append(g.Current, h.ID)
	}
	if len(s.configs) > 0 {
		g.Previous = s.configs[len(s.configs)-1].Current
	}
	s.configs = append(s.configs, g)
}

func (s *simulation) applyConfig(p *process, config int) {
	if config > p.appliedConfig {
		p.appliedConfig = config
		p.voter.SetGroups(s.configs[config])
		p.candidate.SetGroups(s.configs[config])
	}
}

// newestInForce reports whether a majority of the previous group has adopted the newest configuration.
func (s *simulation) newestInForce() bool {
	last := len(s.configs) - 1
	previous := s.configs[last].Previous
	count := 0
	for _, p := range s.processes {
		if slices.Contains(previous, p.id) && p.appliedConfig == last && !p.down {
			count++
		}
	}
	return count > len(previous)/2
}

func (s *simulation) schedule(p *process, delay time.Duration, action func()) {
	s.lastSequence++
	incarnation := uint64(0)
	if p != nil {
		incarnation = p.incarnation
	}
	s.events = append(s.events, event{at: s.now + delay, sequence: s.lastSequence, target: p, incarnation: incarnation, action: action})
}

// run executes the events of the next span of true time. It stops at the first violation.
func (s *simulation) run(span time.Duration) {
	end := s.now + span
	for s.violation == "" {
		e, ok := s.popEvent(end)
		if !ok {
			s.now = end
			return
		}
		s.now = max(s.now, e.at)
		if e.target != nil && (e.target.down || e.target.incarnation != e.incarnation) {
			continue
		}
		if e.target != nil && e.target.frozenUntil > s.now {
			e.at = e.target.frozenUntil
			s.events = append(s.events, e)
			continue
		}
		e.action()
		s.checkInvariants()
	}
}

func (s *simulation) popEvent(end time.Duration) (event, bool) {
	if len(s.events) == 0 {
		return event{}, false
	}
	first := 0
	for i := range s.events {
		a, b := s.events[i], s.events[first]
		if cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence)) < 0 {
			first = i
		}
	}
	e := s.events[first]
	if e.at > end {
		return event{}, false
	}
	last := len(s.events) - 1
	s.events[first] = s.events[last]
	s.events = s.events[:last]
	return e, true
}

func (s *simulation) tick(p *process) {
	now := s.localTime(p)
	floor := uint64(10*time.Hour/time.Millisecond) + uint64((s.now+p.wallClockSkew)/time.Millisecond)
	s.send(p, p.candidate.Tick(now, floor, p.voter.BusyFor(now, p.id)))
	s.schedule(p, time.Duration(float64(tickInterval)/p.clockRate), func() { s.tick(p) })
}

func (s *simulation) send(from *process, requests []election.Request) {
	for _, r := range requests {
		i := slices.IndexFunc(s.processes, func(p *process) bool { return p.id == r.Voter })
		to := s.processes[i]
		copies := 1
		if s.lossRate > 0 && s.random.IntN(20) == 0 {
			copies = 2
		}
		for range copies {
			s.deliver(from, to, func() {
				if to.appliedConfig < 0 {
					return
				}
				reply := to.voter.Vote(s.localTime(to), r.Message)
				s.deliver(to, from, func() { s.receive(from, r, reply) })
			})
		}
	}
}

func (s *simulation) receive(p *process, r election.Request, reply *fleetpb.VoteReply) {
	s.send(p, p.candidate.OnReply(s.localTime(p), r, reply))
}

func (s *simulation) deliver(from, to *process, action func()) {
	if from == to {
		s.schedule(to, 0, action)
		return
	}
	if s.isCut(from.id, to.id) || s.random.Float64() < s.lossRate {
		return
	}
	extraDelay := time.Duration(0)
	if s.slowProcess == to.id {
		extraDelay = 300 * time.Millisecond
	}
	s.schedule(to, extraDelay+s.messageDelay/2+time.Duration(s.random.Int64N(int64(s.messageDelay))), action)
}

// holders returns the processes that would act as dispatcher now, including frozen ones.
func (s *simulation) holders() []*process {
	var holders []*process
	for _, p := range s.processes {
		if _, held := p.candidate.Held(s.localTime(p)); held && !p.down {
			holders = append(holders, p)
		}
	}
	return holders
}

// checkInvariants checks that at most one process holds the lease and that each new lease has a higher
// term. A lease begins at an event, so two leases that overlap are both held right after the event at which
// the second one begins, and a check after each event finds every overlap.
func (s *simulation) checkInvariants() {
	holders := s.holders()
	if len(holders) > 1 {
		s.violation = fmt.Sprintf("%s and %s hold the lease at %v", holders[0].id, holders[1].id, s.now)
		return
	}
	if len(holders) == 0 {
		return
	}
	p := holders[0]
	lease, _ := p.candidate.Held(s.localTime(p))
	name := fmt.Sprintf("%s.%d", p.id, p.incarnation)
	if s.holder == name && s.term == lease.Term {
		return
	}
	if lease.Term <= s.term {
		s.violation = fmt.Sprintf("%s holds term %d after term %d of %s", name, lease.Term, s.term, s.holder)
	}
	s.holder, s.term = name, lease.Term
	s.leases++
}
