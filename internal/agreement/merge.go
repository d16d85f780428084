package agreement

import (
	"bytes"
	"maps"
	"slices"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// keyedRegister is the state of a register together with its key.
type keyedRegister struct {
	key    string
	prefix string
	state  register
}

// undecidedVotes holds the registers that a copy has found without a decision: for each, the states of the members that
// hold it. They are few, since a decision is announced as soon as it is made.
type undecidedVotes struct {
	byKey map[string]*undecidedRegister
}

type undecidedRegister struct {
	prefix string
	index  uint64
	// states is keyed by the id of the member.
	states map[string]register
}

func newUndecidedVotes() *undecidedVotes {
	return &undecidedVotes{byKey: map[string]*undecidedRegister{}}
}

// add records the states that one member holds. A page that is read again replaces the earlier states. Equal
// values of several members are held once.
func (u *undecidedVotes) add(member string, registers []keyedRegister) {
	for _, r := range registers {
		known := u.byKey[r.key]
		if known == nil {
			known = &undecidedRegister{prefix: r.prefix, index: r.state.index, states: map[string]register{}}
			u.byKey[r.key] = known
		}
		for _, other := range known.states {
			if bytes.Equal(other.value, r.state.value) {
				r.state.value = other.value
				break
			}
		}
		known.states[member] = r.state
	}
}

// removeDecided removes the registers that a page shows as decided.
func (u *undecidedVotes) removeDecided(page []*agreementpb.Register) {
	for _, m := range page {
		if m.GetDecided() {
			delete(u.byKey, m.GetKey())
		}
	}
}

// merge returns the registers that follow from the states of the sources, which are a majority of the n members of
// the previous epoch, sorted by key. A source that holds no state of a register has neither promised nor voted.
func (u *undecidedVotes) merge(n int, sources []string) []keyedRegister {
	var out []keyedRegister
	for _, key := range slices.Sorted(maps.Keys(u.byKey)) {
		r := u.byKey[key]
		states := make([]register, 0, len(sources))
		held := false
		for _, member := range sources {
			state, ok := r.states[member]
			if !ok {
				state = register{index: r.index}
			}
			held = held || ok
			states = append(states, state)
		}
		if held {
			out = append(out, keyedRegister{key, r.prefix, mergeStates(n, r.index, states)})
		}
	}
	return out
}

// mergeStates returns the highest promise and the vote in the highest accepted ballot. Of votes in round 0
// it keeps the value that could have been decided; if there are several, the vote of the replaced disk is
// marked unknown, so that no proposer concludes from its absence that a value was not decided.
func mergeStates(n int, index uint64, states []register) register {
	merged := register{index: index}
	for _, s := range states {
		if s.decided {
			return register{index: index, promised: s.promised, accepted: s.accepted, hasAccepted: true, decided: true, value: s.value}
		}
		if merged.promised.less(s.promised) {
			merged.promised = s.promised
		}
		if s.hasAccepted && merged.accepted.less(s.accepted) {
			merged.accepted, merged.hasAccepted, merged.value = s.accepted, true, s.value
		}
	}
	if merged.hasAccepted {
		return merged
	}
	value, rule := selectValue(n, states)
	switch rule {
	case oneValue:
		merged.hasAccepted, merged.value = true, value
	case ambiguous:
		merged.unknownVote = true
	case anyValue:
	}
	return merged
}
