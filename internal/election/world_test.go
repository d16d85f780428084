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

const tick = 20 * time.Millisecond

// process is one node. Its clock runs at its own speed.
type process struct {
	id          string
	rate        float64
	offset      time.Duration
	skew        time.Duration
	started     time.Time
	incarnation uint64
	voter       *election.Voter
	candidate   *election.Candidate
	// applied is the index of the configuration in force, or -1.
	applied int
	frozen  time.Duration
	down    bool
}

type event struct {
	at    time.Duration
	order int
	to    *process
	// incarnation is the run of the process that the event is for.
	incarnation uint64
	do          func()
}

// world runs the state machines of several nodes by events in the order of true time.
type world struct {
	now       time.Duration
	random    *rand.Rand
	processes []*process
	events    []event
	order     int
	configs   []election.VotingGroups
	// loss is the share of lost messages, delay the longest way of a message.
	loss  float64
	delay time.Duration
	cut   func(from, to string) bool
	// spreading is the longest time until a process has a new configuration in force.
	spreading time.Duration
	// holderFirst lets the holder learn of a new configuration within 50 ms.
	holderFirst bool
	// late is a process to which all messages take 300 ms longer.
	late string
	// failure is the first broken promise.
	failure string
	holder  string
	term    uint64
	leases  int
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, drift float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), delay: 2 * time.Millisecond, spreading: time.Second}
	w.cut = func(string, string) bool { return false }
	for i := range 9 {
		p := &process{
			id:     fmt.Sprintf("n%d", i),
			rate:   1 + drift*(w.random.Float64()-0.5),
			offset: time.Duration(w.random.Int64N(int64(time.Hour))),
			skew:   time.Duration(w.random.Int64N(int64(200 * time.Millisecond))),
		}
		w.processes = append(w.processes, p)
	}
	w.configure(0, 1, 2, 3, 4, 5, 6, 7, 8)
	for _, p := range w.processes {
		w.start(p)
		w.apply(p, 0)
	}
	return w
}

// local is the time on the process's clock.
func (w *world) local(p *process) time.Time {
	return epoch.Add(p.offset + time.Duration(float64(w.now)*p.rate))
}

func (w *world) start(p *process) {
	p.incarnation++
	p.down = false
	p.frozen = 0
	p.applied = -1
	p.started = w.local(p)
	p.voter = election.NewVoter(p.started)
	p.candidate = election.NewCandidate("booking", p.id, p.incarnation)
	w.after(p, tick, func() { w.tick(p) })
}

// configure adds a configuration with the hosts of the given numbers.
func (w *world) configure(hosts ...int) {
	list := func(numbers []int) []hostset.Host {
		var hosts []hostset.Host
		for _, i := range numbers {
			hosts = append(hosts, hostset.Host{ID: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
		}
		return hosts
	}
	f := hostset.Fleet{Hosts: list(hosts)}
	current, _ := f.VotingGroups(hostset.Service{Name: "booking"})
	g := election.VotingGroups{Revision: uint64(len(w.configs) + 1)}
	for _, h := range current {
		g.Current = append(g.Current, h.ID)
	}
	if len(w.configs) > 0 {
		g.Previous = w.configs[len(w.configs)-1].Current
	}
	w.configs = append(w.configs, g)
}

func (w *world) apply(p *process, config int) {
	if config > p.applied {
		p.applied = config
		p.voter.SetGroups(w.configs[config])
		p.candidate.SetGroups(w.configs[config])
	}
}

// inForce tells whether a majority of the previous group has the newest configuration in force.
func (w *world) inForce() bool {
	last := len(w.configs) - 1
	previous := w.configs[last].Previous
	count := 0
	for _, p := range w.processes {
		if slices.Contains(previous, p.id) && p.applied == last && !p.down {
			count++
		}
	}
	return count > len(previous)/2
}

func (w *world) after(p *process, wait time.Duration, do func()) {
	w.order++
	incarnation := uint64(0)
	if p != nil {
		incarnation = p.incarnation
	}
	w.events = append(w.events, event{at: w.now + wait, order: w.order, to: p, incarnation: incarnation, do: do})
}

// run handles the events of the given span of true time.
func (w *world) run(span time.Duration) {
	end := w.now + span
	for w.failure == "" {
		e, ok := w.pop(end)
		if !ok {
			w.now = end
			return
		}
		w.now = max(w.now, e.at)
		if e.to != nil && (e.to.down || e.to.incarnation != e.incarnation) {
			continue
		}
		if e.to != nil && e.to.frozen > w.now {
			e.at = e.to.frozen
			w.events = append(w.events, e)
			continue
		}
		e.do()
		w.check()
	}
}

func (w *world) pop(end time.Duration) (event, bool) {
	if len(w.events) == 0 {
		return event{}, false
	}
	first := 0
	for i := range w.events {
		a, b := w.events[i], w.events[first]
		if cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) < 0 {
			first = i
		}
	}
	e := w.events[first]
	if e.at > end {
		return event{}, false
	}
	last := len(w.events) - 1
	w.events[first] = w.events[last]
	w.events = w.events[:last]
	return e, true
}

func (w *world) tick(p *process) {
	now := w.local(p)
	holder, _, _, bound := p.voter.Holder(now)
	floor := uint64(10*time.Hour/time.Millisecond) + uint64((w.now+p.skew)/time.Millisecond)
	w.send(p, p.candidate.Tick(now, floor, bound && holder != p.id))
	w.after(p, time.Duration(float64(tick)/p.rate), func() { w.tick(p) })
}

func (w *world) send(from *process, requests []election.Request) {
	for _, r := range requests {
		i := slices.IndexFunc(w.processes, func(p *process) bool { return p.id == r.Voter })
		to := w.processes[i]
		copies := 1
		if w.loss > 0 && w.random.IntN(20) == 0 {
			copies = 2
		}
		for range copies {
			w.deliver(from, to, func() {
				if to.applied < 0 {
					return
				}
				reply := to.voter.Vote(w.local(to), r.Message)
				w.deliver(to, from, func() { w.receive(from, r, reply) })
			})
		}
	}
}

func (w *world) receive(p *process, r election.Request, reply *fleetpb.VoteReply) {
	w.send(p, p.candidate.OnReply(w.local(p), r, reply))
}

func (w *world) deliver(from, to *process, do func()) {
	if from == to {
		w.after(to, 0, do)
		return
	}
	if w.cut(from.id, to.id) || w.random.Float64() < w.loss {
		return
	}
	lag := time.Duration(0)
	if w.late == to.id {
		lag = 300 * time.Millisecond
	}
	w.after(to, lag+w.delay/2+time.Duration(w.random.Int64N(int64(w.delay))), do)
}

// holders returns the processes that would act as dispatcher now, frozen ones included.
func (w *world) holders() []*process {
	var holders []*process
	for _, p := range w.processes {
		if _, held := p.candidate.Held(w.local(p)); held && !p.down {
			holders = append(holders, p)
		}
	}
	return holders
}

// check compares the present with the history of leases. A lease begins at an event, so two leases
// that overlap are both held right after the event at which the second one begins.
func (w *world) check() {
	holders := w.holders()
	if len(holders) > 1 {
		w.failure = fmt.Sprintf("%s and %s hold the lease at %v", holders[0].id, holders[1].id, w.now)
		return
	}
	if len(holders) == 0 {
		return
	}
	p := holders[0]
	lease, _ := p.candidate.Held(w.local(p))
	name := fmt.Sprintf("%s.%d", p.id, p.incarnation)
	if w.holder == name && w.term == lease.Term {
		return
	}
	if lease.Term <= w.term {
		w.failure = fmt.Sprintf("%s holds term %d after term %d of %s", name, lease.Term, w.term, w.holder)
	}
	w.holder, w.term = name, lease.Term
	w.leases++
}
