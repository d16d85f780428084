package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

// A list that misses a change hides a server from dispatchers, or keeps the former process of an address in use.
func TestServerTableFollowsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		table := newServerTable(newGossipIndex())
		want := map[serverID]serverEntry{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := serverEntry{Server: backend.Server{
				Service:     rapid.SampledFrom([]string{"booking", "catalogue"}).Draw(t, "service"),
				Instance:    fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "instance")),
				Address:     fmt.Sprintf("10.0.0.1:%d", rapid.IntRange(1, 4).Draw(t, "port")),
				Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				WarmUp:      0,
				State:       backend.State(rapid.IntRange(int(backend.Starting), int(backend.Left)).Draw(t, "state")),
				Load:        rapid.Float64Range(0, 1).Draw(t, "load"),
			}}
			if old := table.entries[e.id()]; old != nil && rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
				table.drop(old)
				delete(want, e.id())
			} else {
				put := e
				table.put(&put)
				e.key = serverKey(&e)
				want[e.id()] = e
			}
			checkTable(g, table, want)
		}
	})
}

func checkTable(g *WithT, table *serverTable, want map[serverID]serverEntry) {
	selected := func(match func(serverEntry) bool, order func(a, b serverEntry) int) []serverEntry {
		list := []serverEntry{}
		for _, e := range want {
			if match(e) {
				list = append(list, e)
			}
		}
		slices.SortFunc(list, order)
		return list
	}
	values := func(entries []*serverEntry) []serverEntry {
		list := []serverEntry{}
		for _, e := range entries {
			list = append(list, *e)
		}
		return list
	}
	byKey := func(a, b serverEntry) int { return cmp.Compare(a.key, b.key) }
	byInstance := func(a, b serverEntry) int { return cmp.Compare(a.Instance, b.Instance) }
	g.Expect(values(table.shared.ordered())).To(Equal(selected(func(serverEntry) bool { return true }, byKey)))
	for _, service := range []string{"booking", "catalogue"} {
		g.Expect(values(table.ofService(service))).To(Equal(selected(func(e serverEntry) bool { return e.Service == service }, byInstance)))
	}
	for port := range 5 {
		address := fmt.Sprintf("10.0.0.1:%d", port)
		got := values(table.byAddress.get(address))
		slices.SortFunc(got, byKey)
		g.Expect(got).To(Equal(selected(func(e serverEntry) bool { return e.Address == address }, byKey)))
	}
	for i := range 6 {
		instance := fmt.Sprintf("i-%d", i)
		got := values(table.byInstance.get(instance))
		slices.SortFunc(got, byKey)
		g.Expect(got).To(Equal(selected(func(e serverEntry) bool { return e.Instance == instance }, byKey)))
	}
	g.Expect(table.shared.byKey).To(HaveLen(len(want)))
}
