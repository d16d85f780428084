package dispatchrpc

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// ServerSink receives the lists of backend servers that dispatchers send to nodes without a registry of
// their own. It is safe for concurrent use.
type ServerSink interface {
	ApplyUpdate(service string, update *dispatchpb.ServerNews)
}

// serverEntries lists the servers that may get new requests, ordered by instance.
func serverEntries(servers []backend.Server, now time.Time) []*dispatchpb.ServerEntry {
	list := make([]*dispatchpb.ServerEntry, 0, len(servers))
	for _, s := range servers {
		if !s.Usable(now) {
			continue
		}
		list = append(list, &dispatchpb.ServerEntry{
			Instance: s.Instance, Address: s.Address, DataCentre: s.DataCentre,
			Slots: uint32(max(s.Slots, 0)), Connections: uint32(max(s.Connections, 0)), Incarnation: s.Incarnation,
		})
	}
	slices.SortFunc(list, func(a, b *dispatchpb.ServerEntry) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

func equalEntries(a, b []*dispatchpb.ServerEntry) bool {
	return slices.EqualFunc(a, b, func(x, y *dispatchpb.ServerEntry) bool { return proto.Equal(x, y) })
}

// diffEntries returns the update that turns the old list into the current one. Both are ordered by
// instance.
func diffEntries(old, current []*dispatchpb.ServerEntry) *dispatchpb.ServerNews {
	update := &dispatchpb.ServerNews{}
	i := 0
	for _, e := range current {
		for i < len(old) && old[i].Instance < e.Instance {
			update.Removed = append(update.Removed, old[i].Instance)
			i++
		}
		if i < len(old) && old[i].Instance == e.Instance {
			if !proto.Equal(old[i], e) {
				update.Changed = append(update.Changed, e)
			}
			i++
			continue
		}
		update.Changed = append(update.Changed, e)
	}
	for ; i < len(old); i++ {
		update.Removed = append(update.Removed, old[i].Instance)
	}
	return update
}

// fullUpdate returns the first update of a session. Further updates may be merged into it before it is sent, so it has a
// list of its own.
func fullUpdate(entries []*dispatchpb.ServerEntry) *dispatchpb.ServerNews {
	return &dispatchpb.ServerNews{Reset_: true, Changed: slices.Clone(entries)}
}

// mergeUpdates merges a later update into one that has not been sent yet.
func mergeUpdates(pending, later *dispatchpb.ServerNews) *dispatchpb.ServerNews {
	if pending == nil || later.Reset_ {
		return later
	}
	equals := func(name string) func(string) bool { return func(other string) bool { return other == name } }
	for _, e := range later.Changed {
		pending.Removed = slices.DeleteFunc(pending.Removed, equals(e.Instance))
		pending.Changed = slices.DeleteFunc(pending.Changed, func(p *dispatchpb.ServerEntry) bool { return p.Instance == e.Instance })
		pending.Changed = append(pending.Changed, e)
	}
	for _, name := range later.Removed {
		pending.Changed = slices.DeleteFunc(pending.Changed, func(p *dispatchpb.ServerEntry) bool { return p.Instance == name })
		pending.Removed = append(slices.DeleteFunc(pending.Removed, equals(name)), name)
	}
	return pending
}

// refreshEntries updates the list of usable servers and sends the changes to the sessions that want them.
func (r *runner) refreshEntries(now time.Time, servers []backend.Server) {
	current := serverEntries(servers, now)
	if equalEntries(r.entries, current) {
		return
	}
	old := r.entries
	r.entries = current
	update := diffEntries(old, current)
	for _, sess := range r.sessions {
		if sess.wantsServers {
			sess.pending().Servers = mergeUpdates(sess.outgoing.Servers, proto.CloneOf(update))
			sess.wakeWriter()
		}
	}
}
