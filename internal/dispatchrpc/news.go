package dispatchrpc

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// ServerSink takes the lists of backend servers that dispatchers send to nodes without a registry of
// their own. It is safe for concurrent use.
type ServerSink interface {
	ApplyUpdate(service string, news *dispatchpb.ServerNews)
}

// serverEntries lists the servers that may get new work, ordered by instance.
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

func sameEntries(a, b []*dispatchpb.ServerEntry) bool {
	return slices.EqualFunc(a, b, func(x, y *dispatchpb.ServerEntry) bool { return proto.Equal(x, y) })
}

// newsBetween returns what changes the former list into the present one. Both are ordered by instance.
func newsBetween(former, present []*dispatchpb.ServerEntry) *dispatchpb.ServerNews {
	news := &dispatchpb.ServerNews{}
	i := 0
	for _, e := range present {
		for i < len(former) && former[i].Instance < e.Instance {
			news.Removed = append(news.Removed, former[i].Instance)
			i++
		}
		if i < len(former) && former[i].Instance == e.Instance {
			if !proto.Equal(former[i], e) {
				news.Changed = append(news.Changed, e)
			}
			i++
			continue
		}
		news.Changed = append(news.Changed, e)
	}
	for ; i < len(former); i++ {
		news.Removed = append(news.Removed, former[i].Instance)
	}
	return news
}

// merge joins news that were not sent yet with later ones.
func merge(pending, later *dispatchpb.ServerNews) *dispatchpb.ServerNews {
	if pending == nil || later.Reset_ {
		return later
	}
	gone := func(name string) func(string) bool { return func(other string) bool { return other == name } }
	for _, e := range later.Changed {
		pending.Removed = slices.DeleteFunc(pending.Removed, gone(e.Instance))
		pending.Changed = slices.DeleteFunc(pending.Changed, func(p *dispatchpb.ServerEntry) bool { return p.Instance == e.Instance })
		pending.Changed = append(pending.Changed, e)
	}
	for _, name := range later.Removed {
		pending.Changed = slices.DeleteFunc(pending.Changed, func(p *dispatchpb.ServerEntry) bool { return p.Instance == name })
		pending.Removed = append(slices.DeleteFunc(pending.Removed, gone(name)), name)
	}
	return pending
}

// refreshEntries takes the list of usable servers and tells the sessions that want it.
func (r *runner) refreshEntries(now time.Time, servers []backend.Server) {
	present := serverEntries(servers, now)
	if sameEntries(r.entries, present) {
		return
	}
	former := r.entries
	r.entries = present
	news := newsBetween(former, present)
	for _, x := range r.sessions {
		if x.wantsServers {
			x.pending().Servers = merge(x.out.Servers, proto.CloneOf(news))
			x.signal()
		}
	}
}
