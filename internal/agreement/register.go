package agreement

import (
	"bytes"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// register is the state of one register at one replica. Stored values of this type are immutable, so
// that snapshots and replies can use them without the lock.
type register struct {
	index       uint64
	promised    ballot
	accepted    ballot
	hasAccepted bool
	decided     bool
	// unknownVote is set at a member whose replaced disk may have voted for any value in round 0.
	unknownVote bool
	value       []byte
	// sequence is the journal entry that must be durable before the state may be reported to another process.
	sequence uint64
}

func registerOf(index uint64, m *agreementpb.Register) register {
	return register{
		index:       index,
		promised:    ballotOf(m.GetPromised()),
		accepted:    ballotOf(m.GetAccepted()),
		hasAccepted: m.GetHasAccepted(),
		decided:     m.GetDecided(),
		unknownVote: m.GetUnknownVote(),
		value:       m.GetValue(),
	}
}

func (r register) message(prefix string) *agreementpb.Register {
	return &agreementpb.Register{
		Key:         registerKey(prefix, r.index),
		Promised:    r.promised.message(),
		HasAccepted: r.hasAccepted,
		Accepted:    r.accepted.message(),
		Value:       r.value,
		Decided:     r.decided,
		UnknownVote: r.unknownVote,
	}
}

// prepare promises the ballot unless the register is decided or has already promised this or a higher one.
func (r register) prepare(b ballot) (register, bool) {
	if r.decided || b.round == 0 || !r.promised.less(b) {
		return r, false
	}
	r.promised = b
	return r, true
}

// accept votes for the value in the ballot. ok reports whether the register holds that vote,
// and changed whether its state changed.
func (r register) accept(b ballot, value []byte) (next register, ok, changed bool) {
	if r.decided {
		return r, false, false
	}
	if b.round == 0 {
		return r.acceptFast(value)
	}
	if b.less(r.promised) {
		return r, false, false
	}
	if r.hasAccepted && r.accepted == b {
		same := bytes.Equal(r.value, value)
		invariant.Check(same, "agreement.one-value-per-ballot", "ballot %d of %s carries two values", b.round, b.proposer)
		return r, same, false
	}
	r.promised, r.accepted, r.hasAccepted, r.value = b, b, true, value
	r.unknownVote = false
	return r, true, true
}

// acceptFast votes in round 0, only if no ballot was promised and there is no vote for another value.
func (r register) acceptFast(value []byte) (next register, ok, changed bool) {
	if r.promised != (ballot{}) || r.unknownVote {
		return r, false, false
	}
	if r.hasAccepted {
		return r, bytes.Equal(r.value, value), false
	}
	r.hasAccepted, r.value = true, value
	return r, true, true
}

// decide marks the value as decided. It reports false if another value was decided before.
func (r register) decide(value []byte) (register, bool) {
	if r.decided {
		return r, bytes.Equal(r.value, value)
	}
	if !r.hasAccepted || !bytes.Equal(r.value, value) {
		r.value = value
	}
	r.decided, r.hasAccepted, r.unknownVote = true, true, false
	return r, true
}

// hasVote reports whether the register may contribute to a decision.
func (r register) hasVote() bool {
	return r.hasAccepted || r.unknownVote || r.decided
}

// majority returns the size of a majority of n members.
func majority(n int) int {
	return n/2 + 1
}

// valueRule restricts the value that a proposer may propose in a round ≥ 1.
type valueRule uint8

const (
	// anyValue means that no value can have been decided.
	anyValue valueRule = iota + 1
	// oneValue means that exactly one value may have been decided and must be proposed.
	oneValue
	// ambiguous means that several values may have been decided in the fast round.
	ambiguous
)

// selectValue determines from the promises of a majority of n members what may be proposed. A value of
// round 0 could have been decided if its votes and all unknown votes together form a majority.
func selectValue(n int, promises []register) ([]byte, valueRule) {
	if value, ok := highestAccepted(promises); ok {
		return value, oneValue
	}
	unseen := n - len(promises)
	votes := map[string]int{}
	for _, r := range promises {
		if r.unknownVote {
			unseen++
		}
		if r.hasAccepted {
			votes[string(r.value)]++
		}
	}
	if unseen >= majority(n) {
		return nil, ambiguous
	}
	possible := 0
	value := ""
	for v, count := range votes {
		if count+unseen >= majority(n) {
			possible++
			value = v
		}
	}
	switch possible {
	case 0:
		return nil, anyValue
	case 1:
		return []byte(value), oneValue
	default:
		return nil, ambiguous
	}
}

// highestAccepted returns a decided value, or else the value accepted in the highest ballot of a round ≥ 1.
// It ignores votes of round 0, which a value accepted in a later round supersedes.
func highestAccepted(promises []register) ([]byte, bool) {
	best := register{}
	for _, r := range promises {
		if r.decided {
			return r.value, true
		}
		if r.hasAccepted && best.accepted.less(r.accepted) {
			best = r
		}
	}
	return best.value, best.accepted.round > 0
}

// decidedBy returns the value that the states of a majority of n members show as decided.
func decidedBy(n int, states []register) ([]byte, bool) {
	type vote struct {
		accepted ballot
		value    string
	}
	votes := map[vote]int{}
	for _, r := range states {
		if r.decided {
			return r.value, true
		}
		if !r.hasAccepted {
			continue
		}
		v := vote{r.accepted, string(r.value)}
		votes[v]++
		if votes[v] >= majority(n) {
			return r.value, true
		}
	}
	return nil, false
}
