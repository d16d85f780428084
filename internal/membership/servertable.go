package membership

import (
	"cmp"
	"slices"
)

// serverTable holds the entries of the backend servers and finds them by several keys. Announcements and gossip
// renew entries far more often than they change them, so lists are kept in order and computed again only after a
// change. Entries are modified by put only. The table is not safe for concurrent use.
type serverTable struct {
	entries   map[serverID]*serverEntry
	byKey     map[uint64]*serverEntry
	byAddress map[string][]*serverEntry
	// byService holds the entries of each service, ordered by instance; a service is missing after a change.
	byService map[string][]*serverEntry
	// inKeyOrder holds all entries in ascending order of their keys; nil after a change.
	inKeyOrder []*serverEntry
}

func newServerTable() *serverTable {
	return &serverTable{
		entries:   map[serverID]*serverEntry{},
		byKey:     map[uint64]*serverEntry{},
		byAddress: map[string][]*serverEntry{},
		byService: map[string][]*serverEntry{},
	}
}

// put adds the entry or replaces the one with the same id. It computes the key.
func (t *serverTable) put(e *serverEntry) {
	e.key = serverKey(e)
	old, ok := t.entries[e.id()]
	if ok && old.key == e.key {
		*old = *e
		return
	}
	if ok {
		t.drop(old)
	}
	t.entries[e.id()] = e
	t.byKey[e.key] = e
	t.byAddress[e.Address] = append(t.byAddress[e.Address], e)
	t.forgetOrder(e)
}

// drop removes the entry.
func (t *serverTable) drop(e *serverEntry) {
	delete(t.entries, e.id())
	delete(t.byKey, e.key)
	rest := slices.DeleteFunc(slices.Clone(t.byAddress[e.Address]), func(other *serverEntry) bool { return other == e })
	if t.byAddress[e.Address] = rest; len(rest) == 0 {
		delete(t.byAddress, e.Address)
	}
	t.forgetOrder(e)
}

func (t *serverTable) forgetOrder(e *serverEntry) {
	delete(t.byService, e.Service)
	t.inKeyOrder = nil
}

// atAddress returns the entries with the address. The list stays valid while entries are put or dropped.
func (t *serverTable) atAddress(address string) []*serverEntry {
	return slices.Clip(t.byAddress[address])
}

// ofService returns the entries of a service, ordered by instance. The list must not be modified.
func (t *serverTable) ofService(service string) []*serverEntry {
	list, ok := t.byService[service]
	if ok {
		return list
	}
	for id, e := range t.entries {
		if id.service == service {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *serverEntry) int { return cmp.Compare(a.Instance, b.Instance) })
	t.byService[service] = list
	return list
}

// ordered returns all entries in ascending order of their keys. The list must not be modified.
func (t *serverTable) ordered() []*serverEntry {
	if t.inKeyOrder == nil {
		t.inKeyOrder = make([]*serverEntry, 0, len(t.entries))
		for _, e := range t.entries {
			t.inKeyOrder = append(t.inKeyOrder, e)
		}
		slices.SortFunc(t.inKeyOrder, func(a, b *serverEntry) int { return cmp.Compare(a.key, b.key) })
	}
	return t.inKeyOrder
}
