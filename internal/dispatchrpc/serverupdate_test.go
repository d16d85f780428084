package dispatchrpc

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

func entriesOf(names map[string]uint32) []*dispatchpb.ServerEntry {
	var list []*dispatchpb.ServerEntry
	for name, slots := range names {
		list = append(list, &dispatchpb.ServerEntry{Instance: name, Slots: slots})
	}
	slices.SortFunc(list, func(a, b *dispatchpb.ServerEntry) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return list
}

// applyUpdate applies an update as a node does.
func applyUpdate(known map[string]uint32, update *dispatchpb.ServerNews) {
	if update.Reset_ {
		clear(known)
	}
	for _, name := range update.Removed {
		delete(known, name)
	}
	for _, e := range update.Changed {
		known[e.Instance] = e.Slots
	}
}

// A node that misses a removal uses a drained server while it has no dispatcher. After any sequence of
// updates, sent one by one or merged, the node must have the dispatcher's list.
func TestUpdatesYieldTheDispatchersList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		names := []string{"a", "b", "c", "d", "e", "f"}
		current := map[string]uint32{}
		node := map[string]uint32{}
		var sent []*dispatchpb.ServerEntry
		var pending *dispatchpb.ServerNews
		for range 30 {
			name := names[random.IntN(len(names))]
			if random.IntN(2) == 0 {
				delete(current, name)
			} else {
				current[name] = uint32(random.IntN(3))
			}
			list := entriesOf(current)
			pending = mergeUpdates(pending, diffEntries(sent, list))
			sent = list
			if random.IntN(3) == 0 {
				applyUpdate(node, pending)
				pending = nil
				if len(node) != len(current) {
					t.Fatalf("the node has %v, the dispatcher %v", node, current)
				}
				for name, slots := range current {
					if got, ok := node[name]; !ok || got != slots {
						t.Fatalf("the node has %v, the dispatcher %v", node, current)
					}
				}
			}
		}
	})
}

// An update that resets the list must replace pending updates.
func TestResetReplacesPendingUpdates(t *testing.T) {
	g := NewWithT(t)
	reset := &dispatchpb.ServerNews{Reset_: true, Changed: entriesOf(map[string]uint32{"a": 1})}
	g.Expect(mergeUpdates(&dispatchpb.ServerNews{Removed: []string{"a"}}, reset)).To(BeIdenticalTo(reset))
	later := mergeUpdates(reset, &dispatchpb.ServerNews{Removed: []string{"a"}})
	g.Expect(later.Reset_).To(BeTrue())
	g.Expect(later.Changed).To(BeEmpty())
}

// The first updates of all sessions shared one list. Merging a removal into two of them that had not been sent yet deleted
// from it in place: the second one met a nil entry, which ended the process, and the list of the dispatcher lost servers.
func TestFirstUpdatesOfSessionsAreIndependent(t *testing.T) {
	g := NewWithT(t)
	list := entriesOf(map[string]uint32{"a": 1, "b": 1, "c": 1})
	removed := &dispatchpb.ServerNews{Removed: []string{"a"}}
	first, second := fullUpdate(list), fullUpdate(list)
	for _, update := range []*dispatchpb.ServerNews{first, second} {
		node := map[string]uint32{}
		applyUpdate(node, mergeUpdates(update, removed))
		g.Expect(node).To(Equal(map[string]uint32{"b": 1, "c": 1}))
	}
	g.Expect(list).To(HaveEach(Not(BeNil())))
	g.Expect(list).To(HaveLen(3))
	g.Expect(list[0].Instance).To(Equal("a"))
}
