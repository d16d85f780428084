package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AutonomousSlots returns how many slots of a server the node may use while it has no dispatcher. The
// result depends only on the host set and the server's own slots, so nodes with different views of other
// servers still never exceed the slots in total.
func AutonomousSlots(service, instance, node string, members []Member, slots int) int {
	if len(members) == 0 || slots <= 0 {
		return 0
	}
	own := rendezvousScore(service, instance, node)
	ahead, found := 0, false
	for _, m := range members {
		if m.Node == node {
			found = true
			continue
		}
		score := rendezvousScore(service, instance, m.Node)
		if score > own || score == own && m.Node < node {
			ahead++
		}
	}
	if !found {
		return 0
	}
	share := slots / len(members)
	if ahead < slots%len(members) {
		share++
	}
	return share
}

// memberShares returns the share of each member, in the order of members.
func memberShares(service, instance string, members []Member, slots int) []int {
	type ranked struct {
		index int
		score uint64
	}
	order := make([]ranked, len(members))
	for i, m := range members {
		order[i] = ranked{i, rendezvousScore(service, instance, m.Node)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case members[a.index].Node < members[b.index].Node:
			return -1
		default:
			return 1
		}
	})
	out := make([]int, len(members))
	for rank, r := range order {
		out[r.index] = slots / len(members)
		if rank < slots%len(members) {
			out[r.index]++
		}
	}
	return out
}

func rendezvousScore(service, instance, node string) uint64 {
	digest := xxhash.New()
	// Writing to a digest cannot fail.
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(instance)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
