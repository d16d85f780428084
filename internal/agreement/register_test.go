package agreement

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// attempt is the ballot of one proposer in one epoch.
type attempt struct {
	epoch    int
	ballot   ballot
	value    []byte
	promises map[int]register
	// valueSelected is set once a majority of promises determines the value to propose.
	valueSelected bool
	votes         map[int]bool
}

// acceptors models the replicas of one register: messages arrive in any order or not at all, and disks
// are replaced one at a time.
type acceptors struct {
	states   []register
	epoch    int
	attempts []*attempt
	// decidedValues are the values that some proposer has observed as decided.
	decidedValues map[string]bool
}

func (a *acceptors) n() int { return len(a.states) }

func (a *acceptors) beginAttempt(t *rapid.T) {
	round := rapid.SampledFrom([]uint64{0, 0, 1, 2, 3}).Draw(t, "round")
	b := ballot{round: round}
	if round > 0 {
		b.proposer = fmt.Sprint("p", len(a.attempts))
	}
	a.attempts = append(a.attempts, &attempt{
		epoch: a.epoch, ballot: b, value: []byte(fmt.Sprint("v", len(a.attempts)%3)),
		promises: map[int]register{}, votes: map[int]bool{}, valueSelected: round == 0,
	})
}

// deliverMessage delivers one message of an attempt of the current epoch to one acceptor.
func (a *acceptors) deliverMessage(t *rapid.T) {
	var current []*attempt
	for _, at := range a.attempts {
		if at.epoch == a.epoch {
			current = append(current, at)
		}
	}
	if len(current) == 0 {
		a.beginAttempt(t)
		return
	}
	at := rapid.SampledFrom(current).Draw(t, "attempt")
	i := rapid.IntRange(0, a.n()-1).Draw(t, "acceptor")
	if !at.valueSelected {
		next, ok := a.states[i].prepare(at.ballot)
		if ok {
			a.states[i], at.promises[i] = next, next
		}
		a.selectValue(at)
		return
	}
	next, ok, _ := a.states[i].accept(at.ballot, at.value)
	a.states[i] = next
	at.votes[i] = at.votes[i] || ok
	if len(at.votes) > 0 && countVotes(at.votes) >= majority(a.n()) {
		a.decidedValues[string(at.value)] = true
	}
}

func countVotes(votes map[int]bool) int {
	n := 0
	for _, ok := range votes {
		if ok {
			n++
		}
	}
	return n
}

func (a *acceptors) selectValue(at *attempt) {
	if len(at.promises) < majority(a.n()) {
		return
	}
	var states []register
	for _, s := range at.promises {
		states = append(states, s)
	}
	value, rule := selectValue(a.n(), states)
	if rule == ambiguous {
		return
	}
	if rule == oneValue {
		at.value = value
	}
	at.valueSelected = true
}

// readDecision records the value that the states of a random majority show as decided.
func (a *acceptors) readDecision(t *rapid.T) {
	states := rapid.Permutation(a.states).Draw(t, "order")[:majority(a.n())]
	if value, ok := decidedBy(a.n(), states); ok {
		a.decidedValues[string(value)] = true
	}
}

// replaceDisk gives one member a new disk with the merged state of at least a majority of members, copied
// from the others.
func (a *acceptors) replaceDisk(t *rapid.T) {
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

// Guards against two decided values for one register, caused by any order of messages, split fast rounds
// and disk replacements, and against a later ballot that overturns a decided value.
func TestOneValuePerRegister(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.checks", "4000")).To(Succeed())
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "members")
		a := &acceptors{states: make([]register, n), decidedValues: map[string]bool{}}
		a.beginAttempt(t)
		for range 60 {
			switch step := rapid.IntRange(0, 19).Draw(t, "step"); {
			case step < 3:
				a.beginAttempt(t)
			case step < 16:
				a.deliverMessage(t)
			case step < 18:
				a.readDecision(t)
			default:
				a.replaceDisk(t)
			}
			if len(a.decidedValues) > 1 {
				t.Fatalf("more than one value was decided: %v\n%+v", a.decidedValues, a.states)
			}
		}
	})
}

// Guards against a recovery after a fast round that proposes another value than the one that may be decided.
func TestSelectValueAfterFastRound(t *testing.T) {
	vote := func(value string) register { return register{hasAccepted: true, value: []byte(value)} }
	none, unknown := register{}, register{unknownVote: true}
	high := register{hasAccepted: true, value: []byte("h"), accepted: ballot{1, "p"}}
	for _, c := range []struct {
		n        int
		promises []register
		value    string
		rule     valueRule
	}{
		{3, []register{none, none}, "", anyValue},
		{3, []register{vote("x"), none}, "x", oneValue},
		{3, []register{vote("x"), vote("y")}, "", ambiguous},
		{3, []register{vote("x"), vote("y"), none}, "", anyValue},
		{3, []register{vote("x"), vote("y"), vote("y")}, "y", oneValue},
		{3, []register{vote("x"), vote("y"), unknown}, "", ambiguous},
		{3, []register{none, unknown}, "", ambiguous},
		{3, []register{vote("x"), vote("y"), high}, "h", oneValue},
		{5, []register{vote("x"), vote("y"), none}, "", ambiguous},
		{5, []register{vote("x"), vote("x"), vote("y")}, "", ambiguous},
		{5, []register{vote("x"), vote("x"), vote("y"), none}, "x", oneValue},
	} {
		g := NewWithT(t)
		value, rule := selectValue(c.n, c.promises)
		g.Expect(rule).To(Equal(c.rule), "%+v", c)
		if rule == oneValue {
			g.Expect(string(value)).To(Equal(c.value), "%+v", c)
		}
	}
}
