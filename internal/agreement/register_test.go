package agreement

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// attempt is one proposer's ballot in one epoch.
type attempt struct {
	epoch    int
	ballot   ballot
	value    []byte
	promises map[int]register
	// chosen is set once a majority of promises allows a choice.
	chosen bool
	votes  map[int]bool
}

// acceptors models the replicas of one register: messages arrive in any order or never, and disks
// are replaced one at a time.
type acceptors struct {
	states   []register
	epoch    int
	attempts []*attempt
	// seen are the values that some proposer has seen decided.
	seen map[string]bool
}

func (a *acceptors) n() int { return len(a.states) }

func (a *acceptors) begin(t *rapid.T) {
	round := rapid.SampledFrom([]uint64{0, 0, 1, 2, 3}).Draw(t, "round")
	b := ballot{round: round}
	if round > 0 {
		b.proposer = fmt.Sprint("p", len(a.attempts))
	}
	a.attempts = append(a.attempts, &attempt{
		epoch: a.epoch, ballot: b, value: []byte(fmt.Sprint("v", len(a.attempts)%3)),
		promises: map[int]register{}, votes: map[int]bool{}, chosen: round == 0,
	})
}

// deliver gives one message of an attempt of this epoch to one acceptor.
func (a *acceptors) deliver(t *rapid.T) {
	var current []*attempt
	for _, at := range a.attempts {
		if at.epoch == a.epoch {
			current = append(current, at)
		}
	}
	if len(current) == 0 {
		a.begin(t)
		return
	}
	at := rapid.SampledFrom(current).Draw(t, "attempt")
	i := rapid.IntRange(0, a.n()-1).Draw(t, "acceptor")
	if !at.chosen {
		next, ok := a.states[i].prepare(at.ballot)
		if ok {
			a.states[i], at.promises[i] = next, next
		}
		a.choose(at)
		return
	}
	next, ok, _ := a.states[i].accept(at.ballot, at.value)
	a.states[i] = next
	at.votes[i] = at.votes[i] || ok
	if len(at.votes) > 0 && count(at.votes) >= majority(a.n()) {
		a.seen[string(at.value)] = true
	}
}

func count(votes map[int]bool) int {
	n := 0
	for _, ok := range votes {
		if ok {
			n++
		}
	}
	return n
}

func (a *acceptors) choose(at *attempt) {
	if len(at.promises) < majority(a.n()) {
		return
	}
	var states []register
	for _, s := range at.promises {
		states = append(states, s)
	}
	value, f := choose(a.n(), states)
	if f == ambiguous {
		return
	}
	if f == bound {
		at.value = value
	}
	at.chosen = true
}

// read sees what any majority of states shows as decided.
func (a *acceptors) read(t *rapid.T) {
	states := rapid.Permutation(a.states).Draw(t, "order")[:majority(a.n())]
	if value, ok := decidedBy(a.n(), states); ok {
		a.seen[string(value)] = true
	}
}

// replace gives one member a new disk, which copies a majority of the other members.
func (a *acceptors) replace(t *rapid.T) {
	lost := rapid.IntRange(0, a.n()-1).Draw(t, "lost")
	var others []register
	for i, s := range a.states {
		if i != lost {
			others = append(others, s)
		}
	}
	others = rapid.Permutation(others).Draw(t, "copied")
	others = others[:rapid.IntRange(majority(a.n()), len(others)).Draw(t, "copies")]
	a.states[lost] = mergeStates(a.n(), 1, others)
	a.epoch++
}

// Guards against two values decided for one register by any order of messages, split fast rounds
// and replacements of disks, and against a decided value that a later ballot can overturn.
func TestOneValuePerRegister(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.checks", "4000")).To(Succeed())
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "members")
		a := &acceptors{states: make([]register, n), seen: map[string]bool{}}
		a.begin(t)
		for range 60 {
			switch step := rapid.IntRange(0, 19).Draw(t, "step"); {
			case step < 3:
				a.begin(t)
			case step < 16:
				a.deliver(t)
			case step < 18:
				a.read(t)
			default:
				a.replace(t)
			}
			if len(a.seen) > 1 {
				t.Fatalf("decided more than one value: %v\n%+v", a.seen, a.states)
			}
		}
	})
}

// Guards against a rule of recovery that proposes another value than one that may be decided.
func TestChooseAfterFastRound(t *testing.T) {
	vote := func(value string) register { return register{hasAccepted: true, value: []byte(value)} }
	none, unknown := register{}, register{unknownVote: true}
	high := register{hasAccepted: true, value: []byte("h"), accepted: ballot{1, "p"}}
	for _, c := range []struct {
		n        int
		promises []register
		value    string
		freedom  freedom
	}{
		{3, []register{none, none}, "", free},
		{3, []register{vote("x"), none}, "x", bound},
		{3, []register{vote("x"), vote("y")}, "", ambiguous},
		{3, []register{vote("x"), vote("y"), none}, "", free},
		{3, []register{vote("x"), vote("y"), vote("y")}, "y", bound},
		{3, []register{vote("x"), vote("y"), unknown}, "", ambiguous},
		{3, []register{none, unknown}, "", ambiguous},
		{3, []register{vote("x"), vote("y"), high}, "h", bound},
		{5, []register{vote("x"), vote("y"), none}, "", ambiguous},
		{5, []register{vote("x"), vote("x"), vote("y")}, "", ambiguous},
		{5, []register{vote("x"), vote("x"), vote("y"), none}, "x", bound},
	} {
		g := NewWithT(t)
		value, f := choose(c.n, c.promises)
		g.Expect(f).To(Equal(c.freedom), "%+v", c)
		if f == bound {
			g.Expect(string(value)).To(Equal(c.value), "%+v", c)
		}
	}
}
