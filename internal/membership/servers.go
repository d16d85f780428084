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

// loadUnits is the resolution of a load on the wire.
const loadUnits = 255

// serverKey identifies one version of an entry. It includes the state, so that a node cannot renew
// an entry whose drain it has missed.
func serverKey(e *serverEntry) uint64 {
	var d xxhash.Digest
	d.Reset()
	var numbers [34]byte
	binary.LittleEndian.PutUint64(numbers[1:], e.Incarnation)
	binary.LittleEndian.PutUint64(numbers[9:], e.version)
	binary.LittleEndian.PutUint64(numbers[17:], uint64(e.Slots))
	binary.LittleEndian.PutUint64(numbers[25:], uint64(e.Connections))
	numbers[33] = byte(e.State)
	// Writing to a digest cannot fail.
	_, _ = d.WriteString(e.Service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(e.Instance)
	_, _ = d.Write(numbers[:])
	_, _ = d.WriteString(e.Address)
	return d.Sum64()
}

func (s *State) putServer(e *serverEntry) {
	if old, ok := s.servers[e.id()]; ok {
		if old.Incarnation == e.Incarnation {
			invariant.Check(!e.Renewed.Before(old.Renewed), "membership.age-never-falls-back",
				"the renewal of %s/%s went back by %v", e.Service, e.Instance, old.Renewed.Sub(e.Renewed))
		}
		delete(s.byKey, old.key)
	}
	e.key = serverKey(e)
	s.servers[e.id()] = e
	s.byKey[e.key] = e
}

func (s *State) dropServer(e *serverEntry) {
	delete(s.servers, e.id())
	delete(s.byKey, e.key)
}

// Announce records what a backend server told a node of the fleet at the given time, which is not
// later than the true one. Errors: MalformedError, SupersededError.
func (s *State) Announce(heard time.Time, a backend.Server) error {
	if err := checkAnnouncement(a); err != nil {
		return err
	}
	a.Renewed = heard
	a.ReadySince = heard
	if a.State != backend.Left && !s.supersedeAddress(a) {
		return &SupersededError{Service: a.Service, Instance: a.Instance, Known: a.Incarnation}
	}
	old, ok := s.servers[serverID{a.Service, a.Instance}]
	if !ok || a.Incarnation > old.Incarnation {
		s.putServer(&serverEntry{Server: a, version: 1})
		return nil
	}
	if a.Incarnation < old.Incarnation || old.State == backend.Left {
		return &SupersededError{Service: a.Service, Instance: a.Instance, Known: old.Incarnation}
	}
	if a.State == backend.Left {
		a = withdrawn(old.Server, heard)
	}
	if old.State >= backend.Ready {
		a.ReadySince = old.ReadySince
	}
	if old.Renewed.After(heard) {
		a.Renewed = old.Renewed
	}
	a.State = max(a.State, old.State)
	version := old.version
	if differs(a, old.Server) {
		version++
	}
	s.putServer(&serverEntry{Server: a, version: version})
	return nil
}

// withdrawn is the server after it left; a withdrawal names only the server.
func withdrawn(a backend.Server, heard time.Time) backend.Server {
	a.State = backend.Left
	a.Renewed = heard
	return a
}

// differs compares the fields that an entry's version covers.
func differs(a, b backend.Server) bool {
	return a.Address != b.Address || a.DataCentre != b.DataCentre || a.Slots != b.Slots ||
		a.Connections != b.Connections || a.WarmUp != b.WarmUp
}

// MarkDraining records that an answer of the server showed that it drains.
func (s *State) MarkDraining(service, instance string) {
	old, ok := s.servers[serverID{service, instance}]
	if !ok || old.State >= backend.Draining {
		return
	}
	e := *old
	e.State = backend.Draining
	s.putServer(&e)
}

// MarkServer raises the state of every entry of the instance that is not of a newer incarnation, and returns
// the services of these entries.
func (s *State) MarkServer(now time.Time, instance string, incarnation uint64, state backend.State) (services []string) {
	for id, old := range s.servers {
		if id.instance != instance || incarnation > 0 && old.Incarnation > incarnation {
			continue
		}
		services = append(services, id.service)
		if old.State >= state {
			continue
		}
		e := *old
		e.State = state
		s.putServer(&e)
	}
	return services
}

// supersedeAddress marks the entries that announced the address before the server did as left, since
// their processes have ended. It returns false if the address belongs to a newer server.
func (s *State) supersedeAddress(a backend.Server) bool {
	for id, old := range s.servers {
		if old.Address != a.Address || id == (serverID{a.Service, a.Instance}) || old.State == backend.Left {
			continue
		}
		if old.Incarnation > a.Incarnation {
			return false
		}
		if old.Incarnation == a.Incarnation {
			continue
		}
		e := *old
		e.State = backend.Left
		s.putServer(&e)
	}
	return true
}

// Servers returns the backend servers of a service that were renewed within a minute, ordered by
// instance.
func (s *State) Servers(now time.Time, service string) []backend.Server {
	var list []backend.Server
	for id, e := range s.servers {
		if id.service == service && now.Sub(e.Renewed) < keepServerFor {
			list = append(list, e.Server)
		}
	}
	slices.SortFunc(list, func(a, b backend.Server) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// mergeServer takes in an entry whose ages are relative to the given time, which is not later than
// the moment at which the sender stated them.
func (s *State) mergeServer(now, reference time.Time, m *fleetpb.Server) {
	e := serverFromMessage(reference, m)
	if now.Sub(e.Renewed) > shareServerFor {
		return
	}
	old, ok := s.servers[e.id()]
	if !ok || e.Incarnation > old.Incarnation {
		s.putServer(e)
		return
	}
	if e.Incarnation < old.Incarnation {
		return
	}
	if older(e, old) {
		return
	}
	if old.Renewed.After(e.Renewed) {
		e.Renewed = old.Renewed
	}
	s.putServer(e)
}

// older orders versions of the same incarnation. Two nodes that change an entry at the same time
// make the same version with different content; the key decides between them.
func older(a, b *serverEntry) bool {
	order := cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.version, b.version), cmp.Compare(serverKey(a), b.key))
	return order < 0
}

// renew takes in an age from the reply to a request that was sent at the given time.
func (s *State) renew(sent time.Time, key uint64, age uint32, load byte) (known bool) {
	e, ok := s.byKey[key]
	if !ok {
		return false
	}
	renewed := sent.Add(-time.Duration(age) * ageUnit)
	if renewed.After(e.Renewed) {
		e.Renewed = renewed
		e.Load = float64(load) / loadUnits
	}
	return true
}

// sharedServers returns the entries to pass on, in ascending order of their keys, and their digest.
func (s *State) sharedServers(now time.Time) (entries []*serverEntry, digest uint64) {
	entries = make([]*serverEntry, 0, len(s.servers))
	for _, e := range s.servers {
		if now.Sub(e.Renewed) > shareServerFor {
			continue
		}
		entries = append(entries, e)
		digest ^= e.key
	}
	slices.SortFunc(entries, func(a, b *serverEntry) int { return cmp.Compare(a.key, b.key) })
	return entries, digest
}

// ageOnWire rounds up, so that an age is never understated.
func ageOnWire(now, renewed time.Time) uint32 {
	age := max(0, now.Sub(renewed))
	return uint32(min((age+ageUnit-1)/ageUnit, math.MaxUint32))
}

func serverMessage(e *serverEntry) *fleetpb.Server {
	return &fleetpb.Server{
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
	}
}

// agedMessage states the ages at now, rounded up.
func agedMessage(now time.Time, e *serverEntry) *fleetpb.Server {
	m := serverMessage(e)
	m.AgeMs = now.Sub(e.Renewed).Milliseconds() + 1
	m.ReadyAgeMs = min(now.Sub(e.ReadySince).Milliseconds(), maxAgeMS)
	return m
}

func serverFromMessage(reference time.Time, m *fleetpb.Server) *serverEntry {
	return &serverEntry{
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
}
