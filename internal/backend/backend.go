// Package backend defines the state of backend servers that their announcements report.
package backend

import (
	"context"
	"time"
)

// Timing of announcements. A server that vanished or is draining gets no new work after at most 3 s.
const (
	// Lease is the validity of an announcement that the response to the backend server states.
	Lease = 2 * time.Second
	// RenewEvery is the interval at which a backend server should renew its announcement.
	RenewEvery = 500 * time.Millisecond
	// Cutoff is the age of the last renewal at which a server gets no new work.
	Cutoff = 2500 * time.Millisecond
)

// UnstatedIncarnation is the incarnation of a process that states none.
const UnstatedIncarnation = 1

// State is the state that a backend server announces.
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

// Server is one backend server as its announcements describe it.
type Server struct {
	Service  string
	Instance string
	// Incarnation increases with each start of the server's process.
	Incarnation uint64
	// Address is ip:port.
	Address    string
	DataCentre string
	State      State
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is the number of connections that the server accepts from all nodes together.
	Connections int
	// WarmUp is how long the server needs after becoming ready until it can use all its slots.
	WarmUp time.Duration
	// Load is the load that the server reports, from 0 to 1. It is only a hint.
	Load float64
	// Renewed is the time of the last renewal on this node's monotonic clock, never later than the actual
	// renewal.
	Renewed time.Time
	// ReadySince is when the server became ready, on this node's monotonic clock.
	ReadySince time.Time
	// Cutoff is the age of the last renewal at which the server gets no new work; 0 means the default.
	Cutoff time.Duration
}

// Usable reports whether the server may get new work.
func (s *Server) Usable(now time.Time) bool {
	cutoff := s.Cutoff
	if cutoff == 0 {
		cutoff = Cutoff
	}
	return s.State == Ready && now.Sub(s.Renewed) < cutoff
}

// Departure states that a backend server drains or has left, in every service.
type Departure struct {
	Instance string
	// Incarnation is that of the process; all earlier ones have ended. 0 stands for every process that started before
	// the sender sent this, provided that the sender still waits for the confirmation.
	Incarnation uint64
	// UpTo is, if Incarnation is 0, an incarnation below those of all processes that start from now on. It covers processes
	// that no host knows; those above it are covered as far as hosts know them.
	UpTo uint64
	// State is Draining or Left.
	State State
}

// Registry holds this node's view of the backend servers. It is safe for concurrent use.
type Registry interface {
	// Servers returns the servers of a service that were renewed within a minute, ordered by instance.
	// The returned slice must not be modified.
	Servers(service string) []Server
	// Announce records an announcement that a backend server sent to this node, and propagates it to other
	// hosts.
	Announce(ctx context.Context, s Server) error
	// MarkDraining records a drain signal found in a response of the server, and propagates it to other
	// hosts.
	MarkDraining(service, instance string)
}
