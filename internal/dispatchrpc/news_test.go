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

// takeNews applies news as a node does.
func takeNews(known map[string]uint32, news *dispatchpb.ServerNews) {
	if news.Reset_ {
		clear(known)
	}
	for _, name := range news.Removed {
		delete(known, name)
	}
	for _, e := range news.Changed {
		known[e.Instance] = e.Slots
	}
}

// A node that misses one removal places work on a drained server while it has no dispatcher, so the list
// after any changes, sent one by one or joined, must be the dispatcher's.
func TestNewsLeadToTheDispatchersList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		names := []string{"a", "b", "c", "d", "e", "f"}
		present := map[string]uint32{}
		node := map[string]uint32{}
		var sent []*dispatchpb.ServerEntry
		var pending *dispatchpb.ServerNews
		for range 30 {
			name := names[random.IntN(len(names))]
			if random.IntN(2) == 0 {
				delete(present, name)
			} else {
				present[name] = uint32(random.IntN(3))
			}
			list := entriesOf(present)
			pending = merge(pending, newsBetween(sent, list))
			sent = list
			if random.IntN(3) == 0 {
				takeNews(node, pending)
				pending = nil
				if len(node) != len(present) {
					t.Fatalf("the node has %v, the dispatcher %v", node, present)
				}
				for name, slots := range present {
					if got, ok := node[name]; !ok || got != slots {
						t.Fatalf("the node has %v, the dispatcher %v", node, present)
					}
				}
			}
		}
	})
}

// A list that starts anew replaces what was pending.
func TestResetReplacesPendingNews(t *testing.T) {
	g := NewWithT(t)
	reset := &dispatchpb.ServerNews{Reset_: true, Changed: entriesOf(map[string]uint32{"a": 1})}
	g.Expect(merge(&dispatchpb.ServerNews{Removed: []string{"a"}}, reset)).To(BeIdenticalTo(reset))
	later := merge(reset, &dispatchpb.ServerNews{Removed: []string{"a"}})
	g.Expect(later.Reset_).To(BeTrue())
	g.Expect(later.Changed).To(BeEmpty())
}
