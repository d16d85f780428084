package agreement

import (
	"bytes"

	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// register is the state of one register at one replica. Values of this type are not changed after
// they were stored, so that snapshots and replies can use them without the lock.
type register struct {
	index       uint64
	promised    ballot
	accepted    ballot
	hasAccepted bool
	decided     bool
	// unknownVote is set at a member whose replaced disk may have voted for any value in round 0.
	unknownVote bool
	value       []byte
	// sequence is the journal entry that must be durable before the state is shown to anyone.
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

// prepare promises the ballot unless the register is decided or has promised as much before.
func (r register) prepare(b ballot) (register, bool) {
	if r.decided || b.round == 0 || !r.promised.less(b) {
		return r, false
	}
	r.promised = b
	return r, true
}

// accept votes for the value in the ballot. The second result tells whether the vote stands,
// and the third whether the state changed.
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

// acceptFast votes in round 0: only if nothing was promised and nothing else was voted for.
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

// hasVote tells whether the register may take part in a decision.
func (r register) hasVote() bool {
	return r.hasAccepted || r.unknownVote || r.decided
}

// majority returns the size of a majority of n members.
func majority(n int) int {
	return n/2 + 1
}

// freedom tells which values a proposer in a round ≥ 1 may propose.
type freedom uint8

const (
	// free means that no value can have been decided.
	free freedom = iota + 1
	// bound means that one value may have been decided and must be proposed.
	bound
	// ambiguous means that several values may have been decided in the fast round.
	ambiguous
)

// choose computes from the promises of a majority what may be proposed, for n members. A value of
// round 0 could have been decided if its votes and all votes that are not known make a majority.
func choose(n int, promises []register) ([]byte, freedom) {
	if value, ok := highestAccepted(promises); ok {
		return value, bound
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
		return nil, free
	case 1:
		return []byte(value), bound
	default:
		return nil, ambiguous
	}
}

// highestAccepted returns the value of the highest round ≥ 1; votes of round 0 then no longer count.
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
