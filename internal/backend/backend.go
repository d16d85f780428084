// Package backend defines what is known of backend servers from their announcements.
package backend

import (
	"context"
	"time"
)

// Times of announcements. They keep a server that vanished or drains from new work within 3 s.
const (
	// Lease is what a backend server is told.
	Lease = 2 * time.Second
	// RenewEvery is how often a backend server should renew.
	RenewEvery = 500 * time.Millisecond
	// Cutoff is the age of the last renewal at which a server gets no new work.
	Cutoff = 2500 * time.Millisecond
)

// State as announced.
type State uint8

// The announced states.
const (
	Starting State = iota + 1
	Ready
	Draining
	Left
)

// String returns the name used in announcements and reports.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Left:
		return "left"
	default:
		return "invalid"
	}
}

// ParseState returns the state with the given name; ok is false if there is none.
func ParseState(name string) (s State, ok bool) {
	for _, s := range []State{Starting, Ready, Draining, Left} {
		if s.String() == name {
			return s, true
		}
	}
	return 0, false
}

// Server is one backend server as announced.
type Server struct {
	Service  string
	Instance string
	// Incarnation rises with each start of the server's process.
	Incarnation uint64
	// Address is ip:port.
	Address    string
	DataCentre string
	State      State
	// Slots is how many requests the server runs at once.
	Slots int
	// Connections is how many connections the server accepts over all nodes.
	Connections int
	// WarmUp is how long the server needs from ready to its full slots.
	WarmUp time.Duration
	// Load is as reported, 0 to 1; a hint only.
	Load float64
	// Renewed is this node's monotonic time of the last renewal, never later than the true one.
	Renewed time.Time
	// ReadySince is this node's monotonic time at which the server became ready.
	ReadySince time.Time
	// Cutoff is the age of the last renewal at which the server gets no new work; 0 means the default.
	Cutoff time.Duration
}

// Usable tells whether the server may get new work.
func (s *Server) Usable(now time.Time) bool {
	cutoff := s.Cutoff
	if cutoff == 0 {
		cutoff = Cutoff
	}
	return s.State == Ready && now.Sub(s.Renewed) < cutoff
}

// Registry holds this node's view of the backend servers. It is safe for concurrent use.
type Registry interface {
	// Servers returns the servers of a service that were renewed within a minute, ordered by instance.
	// The caller must not change the slice.
	Servers(service string) []Server
	// Announce records an announcement that a backend server sent to this node, and passes it on.
	Announce(ctx context.Context, s Server) error
	// MarkDraining records a drain signal that showed up in an answer, and passes it on.
	MarkDraining(service, instance string)
}
