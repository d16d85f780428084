// Package leadership defines how a node learns which node is the dispatcher of a service.
package leadership

import "time"

// Lease is the right of this node to dispatch a service for a limited time.
type Lease struct {
	// Term increases with each new holder.
	Term uint64
	// Until is the time at which the lease expires unless it is renewed, on the monotonic clock of this node.
	Until time.Time
}

// Holder identifies the dispatcher of a service, which is the node that holds its lease.
type Holder struct {
	Node string
	// Address is the fleet address of the node.
	Address string
	Term    uint64
}

// Elections gives access to the leases and dispatchers of all services. It is safe for concurrent use.
type Elections interface {
	// Held returns the lease of this node on the service; ok is false if it holds none or if it has expired.
	Held(service string) (l Lease, ok bool)
	// Dispatcher returns the last known dispatcher of the service; ok is false if none is known.
	Dispatcher(service string) (h Holder, ok bool)
}

// Observer is notified about dispatchers by the clients of their streams, so that a node with a working
// stream need not ask the voters who the dispatcher is. An implementation of Elections may also implement
// Observer. It is safe for concurrent use.
type Observer interface {
	// DispatcherResponded reports that the node responded on its stream as the dispatcher of the given term.
	DispatcherResponded(service, node string, term uint64)
	// DispatcherStreamEnded reports that the stream to the dispatcher ended.
	DispatcherStreamEnded(service string)
}
