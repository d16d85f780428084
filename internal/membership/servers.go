package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
)

// loadScale is the number that stands for a load of 1 in gossip replies.
const loadScale = 255

// serverKey identifies one version of an entry. The key covers the state, so that a node that has
// missed a drain cannot renew the entry.
func serverKey(e *serverEntry) uint64 {
	var d xxhash.Digest
	d.Reset()
	var numbers [34]byte
	binary.LittleEndian.PutUint64(numbers[1:], e.Incarnation)
	binary.LittleEndian.PutUint64(numbers[9:], e.version)
	binary.LittleEndian.PutUint64(numbers[17:], uint64(e.Slots))
	binary.LittleEndian.PutUint64(numbers[25:], uint64(e.Connections))
	numbers[33] = byte(e.State)
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(e.Service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(e.Instance)
	_, _ = d.Write(numbers[:])
	_, _ = d.WriteString(e.Address)
	if e.kind == fleetpb.EntryKind_ENTRY_KIND_ENTRY_HOST {
		// The keys of backend servers stay those of former versions.
		_, _ = d.Write([]byte{0, byte(e.kind)})
	}
	return d.Sum64()
}

// table returns the table of the entries of a kind.
func (s *State) table(kind fleetpb.EntryKind) *serverTable {
	if kind == fleetpb.EntryKind_ENTRY_KIND_ENTRY_HOST {
		return s.entryHosts
	}
	return s.servers
}

func (s *State) putServer(e *serverEntry) {
	table := s.table(e.kind)
	if old, ok := table.entries[e.id()]; ok && old.Incarnation == e.Incarnation {
		invariant.Check(!e.Renewed.Before(old.Renewed), "membership.age-never-falls-back",
			"the renewal of %s/%s went back by %v", e.Service, e.Instance, old.Renewed.Sub(e.Renewed))
	}
	table.put(e)
}

// Announce records an announcement that a backend server made to a node of the fleet. announcedAt is
// not later than the true time of the announcement. Errors: MalformedError, SupersededError.
func (s *State) Announce(announcedAt time.Time, a backend.Server) error {
	if err := checkAnnouncement(a); err != nil {
		return err
	}
	return s.announce(announcedAt, a, fleetpb.EntryKind_ENTRY_KIND_BACKEND_SERVER)
}

// AnnounceEntryHost records the heartbeat that an entry host sent to this node. Errors: MalformedError,
// SupersededError.
func (s *State) AnnounceEntryHost(now time.Time, h EntryHost) error {
	a := backend.Server{Instance: h.ID, Incarnation: h.Incarnation, Address: h.Address, DataCentre: h.DataCentre, State: h.State}
	const kind = fleetpb.EntryKind_ENTRY_KIND_ENTRY_HOST
	if err := checkServer(serverMessage(&serverEntry{Server: a, kind: kind})); err != nil {
		return err
	}
	return s.announce(now, a, kind)
}

// EntryHosts returns the attached entry hosts whose last heartbeat is less than a minute old, ordered by id.
func (s *State) EntryHosts(now time.Time) []EntryHost {
	entries := s.entryHosts.ofService("")
	list := make([]EntryHost, 0, len(entries))
	for _, e := range entries {
		if now.Sub(e.Renewed) < serverRetention {
			list = append(list, e.entryHost())
		}
	}
	return list
}

func (s *State) announce(announcedAt time.Time, a backend.Server, kind fleetpb.EntryKind) error {
	a.Renewed = announcedAt
	a.ReadySince = announcedAt
	table := s.table(kind)
	if a.State != backend.Left {
		if newer := s.supersedeAddress(table, a); newer != nil {
			return &SupersededError{Service: a.Service, Instance: a.Instance, Known: newer.Incarnation}
		}
	}
	old, ok := table.entries[serverID{a.Service, a.Instance}]
	if !ok || a.Incarnation > old.Incarnation {
		s.putServer(&serverEntry{Server: a, kind: kind, version: 1})
		return nil
	}
	if a.Incarnation < old.Incarnation || old.State == backend.Left {
		return &SupersededError{Service: a.Service, Instance: a.Instance, Known: old.Incarnation}
	}
	if a.State == backend.Left {
		a = withdrawnServer(old.Server, announcedAt)
	}
	if old.State >= backend.Ready {
		a.ReadySince = old.ReadySince
	}
	if old.Renewed.After(announcedAt) {
		a.Renewed = old.Renewed
	}
	a.State = max(a.State, old.State)
	version := old.version
	if contentDiffers(a, old.Server) {
		version++
	}
	s.putServer(&serverEntry{Server: a, kind: kind, version: version})
	return nil
}

// withdrawnServer returns the server in state Left. All other fields come from the known entry, since a
// withdrawal only identifies the server.
func withdrawnServer(a backend.Server, announcedAt time.Time) backend.Server {
	a.State = backend.Left
	a.Renewed = announcedAt
	return a
}

// contentDiffers compares the fields that the version of an entry covers.
func contentDiffers(a, b backend.Server) bool {
	return a.Address != b.Address || a.DataCentre != b.DataCentre || a.Slots != b.Slots ||
		a.Connections != b.Connections || a.WarmUp != b.WarmUp
}

// MarkDraining records that a response of the server carried a drain signal.
func (s *State) MarkDraining(service, instance string) {
	old, ok := s.servers.entries[serverID{service, instance}]
	if !ok || old.State >= backend.Draining {
		return
	}
	e := *old
	e.State = backend.Draining
	s.putServer(&e)
}

// MarkServer raises the state of every entry of the instance up to the incarnation and returns the
// services of these entries. An incarnation of 0 covers every entry of the instance.
func (s *State) MarkServer(now time.Time, instance string, incarnation uint64, state backend.State) (services []string) {
	for _, old := range s.servers.byInstance.get(instance) {
		if incarnation > 0 && old.Incarnation > incarnation {
			continue
		}
		services = append(services, old.Service)
		if old.State >= state {
			continue
		}
		e := *old
		e.State = state
		s.putServer(&e)
	}
	return services
}

// supersedeAddress marks other entries of the table with the same address and a lower incarnation as
// left, since their processes have ended. It returns the entry with a higher incarnation that has the address, or
// nil. A service that is not configured shows nothing about the servers of one that is: whoever announces it need not
// be a backend server.
func (s *State) supersedeAddress(table *serverTable, a backend.Server) (newer *serverEntry) {
	for _, old := range table.byAddress.get(a.Address) {
		if old.id() == (serverID{a.Service, a.Instance}) || old.State == backend.Left {
			continue
		}
		if s.isConfigured(a.Service) != s.isConfigured(old.Service) {
			continue
		}
		if old.Incarnation > a.Incarnation {
			return old
		}
		if old.Incarnation == a.Incarnation {
			continue
		}
		e := *old
		e.State = backend.Left
		s.putServer(&e)
	}
	return nil
}

// Servers returns the backend servers of a service that were renewed within a minute, ordered by
// instance.
func (s *State) Servers(now time.Time, service string) []backend.Server {
	entries := s.servers.ofService(service)
	list := make([]backend.Server, 0, len(entries))
	for _, e := range entries {
		if now.Sub(e.Renewed) < serverRetention {
			list = append(list, e.Server)
		}
	}
	return list
}

// mergeServer merges an entry whose ages are relative to the reference time, which is not later than
// the moment at which the sender stated them.
func (s *State) mergeServer(now, reference time.Time, m *fleetpb.Server) {
	e := serverFromMessage(reference, m)
	if now.Sub(e.Renewed) > serverShareMaxAge {
		return
	}
	old, ok := s.table(e.kind).entries[e.id()]
	if !ok || e.Incarnation > old.Incarnation {
		s.putServer(e)
		return
	}
	if e.Incarnation < old.Incarnation {
		return
	}
	if precedes(e, old) {
		return
	}
	if old.Renewed.After(e.Renewed) {
		e.Renewed = old.Renewed
	}
	s.putServer(e)
}

// precedes reports whether a is an older version than b of the same incarnation. Two nodes that change an
// entry at the same time create the same version number with different content; the key breaks the tie.
func precedes(a, b *serverEntry) bool {
	order := cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.version, b.version), cmp.Compare(serverKey(a), b.key))
	return order < 0
}

// renewServer applies an age from the reply to a request that was sent at the given time. known is
// false if this node has no entry with the key.
func (s *State) renewServer(sent time.Time, key uint64, age uint32, load byte) (known bool) {
	e, ok := s.gossiped.byKey[key]
	if !ok {
		return false
	}
	renewed := sent.Add(-time.Duration(age) * ageUnit)
	if renewed.After(e.Renewed) {
		e.Renewed = renewed
		e.Load = float64(load) / loadScale
	}
	return true
}

// sharedServers returns the entries to pass on, in ascending order of their keys, and their digest.
func (s *State) sharedServers(now time.Time) (entries []*serverEntry, digest uint64) {
	all := s.gossiped.ordered()
	outdated := func(e *serverEntry) bool { return now.Sub(e.Renewed) > serverShareMaxAge }
	entries = all
	if slices.ContainsFunc(all, outdated) {
		entries = slices.DeleteFunc(slices.Clone(all), outdated)
	}
	for _, e := range entries {
		digest ^= e.key
	}
	return entries, digest
}

// encodeAge rounds up, so that an age is never understated.
func encodeAge(now, renewed time.Time) uint32 {
	age := max(0, now.Sub(renewed))
	return uint32(min((age+ageUnit-1)/ageUnit, math.MaxUint32))
}

func serverMessage(e *serverEntry) *fleetpb.Server {
	m := &fleetpb.Server{
		Service:     e.Service,
		Instance:    e.Instance,
		Incarnation: e.Incarnation,
		Address:     e.Address,
		DataCentre:  e.DataCentre,
		State:       fleetpb.ServerState(e.State),
		Slots:       uint32(min(max(e.Slots, 0), math.MaxUint32)),
		Connections: uint32(min(max(e.Connections, 0), math.MaxUint32)),
		WarmUpMs:    e.WarmUp.Milliseconds(),
		Load:        e.Load,
		Version:     e.version,
		Kind:        e.kind,
	}
	if e.kind == fleetpb.EntryKind_ENTRY_KIND_ENTRY_HOST {
		m.Service = formerEntryHostService
	}
	return m
}

// entryKind returns what the message describes.
func entryKind(m *fleetpb.Server) fleetpb.EntryKind {
	switch {
	case m.GetKind() != fleetpb.EntryKind_ENTRY_KIND_UNSPECIFIED:
		return m.GetKind()
	case m.GetService() == formerEntryHostService:
		return fleetpb.EntryKind_ENTRY_KIND_ENTRY_HOST
	default:
		return fleetpb.EntryKind_ENTRY_KIND_BACKEND_SERVER
	}
}

// serverMessageWithAges returns the entry as a message with its ages at now. The renewal age is rounded
// up.
func serverMessageWithAges(now time.Time, e *serverEntry) *fleetpb.Server {
	m := serverMessage(e)
	m.AgeMs = now.Sub(e.Renewed).Milliseconds() + 1
	m.ReadyAgeMs = min(now.Sub(e.ReadySince).Milliseconds(), maxAgeMS)
	return m
}

func serverFromMessage(reference time.Time, m *fleetpb.Server) *serverEntry {
	e := &serverEntry{
		kind: entryKind(m),
		Server: backend.Server{
			Service:     m.GetService(),
			Instance:    m.GetInstance(),
			Incarnation: m.GetIncarnation(),
			Address:     m.GetAddress(),
			DataCentre:  m.GetDataCentre(),
			State:       backend.State(m.GetState()),
			Slots:       int(m.GetSlots()),
			Connections: int(m.GetConnections()),
			WarmUp:      time.Duration(m.GetWarmUpMs()) * time.Millisecond,
			Load:        m.GetLoad(),
			Renewed:     reference.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
			ReadySince:  reference.Add(-time.Duration(m.GetReadyAgeMs()) * time.Millisecond),
		},
		version: m.GetVersion(),
	}
	if e.kind == fleetpb.EntryKind_ENTRY_KIND_ENTRY_HOST {
		e.Service = ""
	}
	return e
}
