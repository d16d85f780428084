package membership

import (
	"cmp"
	"slices"
)

// serverTable holds the entries of one kind and finds them by several keys. Announcements and gossip
// renew entries far more often than they change them, so lists are kept in order and computed again only after a
// change. Entries are modified by put only. The table is not safe for concurrent use.
type serverTable struct {
	entries    map[serverID]*serverEntry
	byAddress  entryIndex
	byInstance entryIndex
	// byService holds the entries of each service, ordered by instance; a service is missing after a change.
	byService map[string][]*serverEntry
	// shared holds the entries of all tables.
	shared *gossipIndex
}

// gossipIndex holds the entries of several tables as gossip exchanges them. It is not safe for concurrent use.
type gossipIndex struct {
	byKey map[uint64]*serverEntry
	// inKeyOrder holds all entries in ascending order of their keys; nil after a change.
	inKeyOrder []*serverEntry
}

func newGossipIndex() *gossipIndex {
	return &gossipIndex{byKey: map[uint64]*serverEntry{}}
}

func (x *gossipIndex) add(e *serverEntry) {
	x.byKey[e.key] = e
	x.inKeyOrder = nil
}

func (x *gossipIndex) remove(e *serverEntry) {
	delete(x.byKey, e.key)
	x.inKeyOrder = nil
}

// ordered returns all entries in ascending order of their keys. The list must not be modified.
func (x *gossipIndex) ordered() []*serverEntry {
	if x.inKeyOrder == nil {
		x.inKeyOrder = make([]*serverEntry, 0, len(x.byKey))
		for _, e := range x.byKey {
			x.inKeyOrder = append(x.inKeyOrder, e)
		}
		slices.SortFunc(x.inKeyOrder, func(a, b *serverEntry) int { return cmp.Compare(a.key, b.key) })
	}
	return x.inKeyOrder
}

// entryIndex holds the entries that have the same value of a field.
type entryIndex map[string][]*serverEntry

func (x entryIndex) add(value string, e *serverEntry) {
	x[value] = append(x[value], e)
}

func (x entryIndex) remove(value string, e *serverEntry) {
	rest := slices.DeleteFunc(slices.Clone(x[value]), func(other *serverEntry) bool { return other == e })
	if x[value] = rest; len(rest) == 0 {
		delete(x, value)
	}
}

// get returns the entries with the value. The list stays valid while entries are added or removed.
func (x entryIndex) get(value string) []*serverEntry {
	return x[value]
}

func newServerTable(shared *gossipIndex) *serverTable {
	return &serverTable{
		entries:    map[serverID]*serverEntry{},
		byAddress:  entryIndex{},
		byInstance: entryIndex{},
		byService:  map[string][]*serverEntry{},
		shared:     shared,
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
	t.byAddress.add(e.Address, e)
	t.byInstance.add(e.Instance, e)
	delete(t.byService, e.Service)
	t.shared.add(e)
}

// drop removes the entry.
func (t *serverTable) drop(e *serverEntry) {
	delete(t.entries, e.id())
	t.byAddress.remove(e.Address, e)
	t.byInstance.remove(e.Instance, e)
	delete(t.byService, e.Service)
	t.shared.remove(e)
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
