package agreement

import (
	"sort"

	"github.com/tarragonmux/tarragonmux/proto/agreementpb"
)

// replicaCopy is the full state of one member of the previous epoch.
type replicaCopy struct {
	chains map[string]*copiedChain
}

type copiedChain struct {
	floor     uint64
	snapshot  []byte
	registers map[uint64]register
}

func newReplicaCopy() *replicaCopy {
	return &replicaCopy{chains: map[string]*copiedChain{}}
}

func (c *replicaCopy) chain(prefix string) *copiedChain {
	known := c.chains[prefix]
	if known == nil {
		known = &copiedChain{registers: map[uint64]register{}}
		c.chains[prefix] = known
	}
	return known
}

func (c *replicaCopy) addPage(page *agreementpb.CopyReply) error {
	for _, s := range page.GetSnapshots() {
		if s.GetFloor() > 0 {
			copied := c.chain(s.GetPrefix())
			copied.floor, copied.snapshot = s.GetFloor(), s.GetSnapshot()
		}
	}
	for _, m := range page.GetRegisters() {
		prefix, index, err := parseKey(m.GetKey())
		if err != nil {
			return err
		}
		c.chain(prefix).registers[index] = registerOf(index, m)
	}
	return nil
}

// mergedEntry is either a compaction (floor above 0) or the state of a register.
type mergedEntry struct {
	prefix   string
	floor    uint64
	snapshot []byte
	state    register
}

// mergeCopies merges the states of a majority of the n members of the previous epoch.
func mergeCopies(n int, copies []*replicaCopy) []mergedEntry {
	prefixes := map[string]bool{}
	for _, c := range copies {
		for prefix := range c.chains {
			prefixes[prefix] = true
		}
	}
	sorted := make([]string, 0, len(prefixes))
	for prefix := range prefixes {
		sorted = append(sorted, prefix)
	}
	sort.Strings(sorted)
	var out []mergedEntry
	for _, prefix := range sorted {
		out = append(out, mergeChain(n, prefix, copies)...)
	}
	return out
}

func mergeChain(n int, prefix string, copies []*replicaCopy) []mergedEntry {
	compaction := mergedEntry{prefix: prefix}
	indexes := map[uint64]bool{}
	for _, c := range copies {
		copied := c.chains[prefix]
		if copied == nil {
			continue
		}
		if copied.floor > compaction.floor {
			compaction.floor, compaction.snapshot = copied.floor, copied.snapshot
		}
		for index := range copied.registers {
			indexes[index] = true
		}
	}
	var out []mergedEntry
	if compaction.floor > 0 {
		out = append(out, compaction)
	}
	sorted := make([]uint64, 0, len(indexes))
	for index := range indexes {
		if index >= compaction.floor {
			sorted = append(sorted, index)
		}
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	for _, index := range sorted {
		out = append(out, mergedEntry{prefix: prefix, state: mergeRegister(n, index, prefix, copies)})
	}
	return out
}

func mergeRegister(n int, index uint64, prefix string, copies []*replicaCopy) register {
	states := make([]register, 0, len(copies))
	for _, c := range copies {
		state := register{index: index}
		if copied := c.chains[prefix]; copied != nil {
			if known, ok := copied.registers[index]; ok {
				state = known
			}
		}
		states = append(states, state)
	}
	return mergeStates(n, index, states)
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
