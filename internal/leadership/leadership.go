// Package leadership defines how a node learns who dispatches a service.
package leadership

import "time"

// Lease is this node's right to dispatch a service.
type Lease struct {
	// Term rises with each new holder.
	Term uint64
	// Until is this node's monotonic time at which the lease ends unless it is renewed.
	Until time.Time
}

// Holder names a dispatcher.
type Holder struct {
	Node string
	// Address is the fleet address of the node.
	Address string
	Term    uint64
}

// Elections tells about the dispatchers of all services. It is safe for concurrent use.
type Elections interface {
	// Held returns this node's lease on the service; ok is false if it holds none or if it has run out.
	Held(service string) (l Lease, ok bool)
	// Dispatcher returns the dispatcher as far as this node knows; ok is false if it knows none.
	Dispatcher(service string) (h Holder, ok bool)
}

// Observer takes word of dispatchers from the streams to them, so that nodes need not ask voters who
// the dispatcher is. Elections may implement it. It is safe for concurrent use.
type Observer interface {
	// DispatcherResponded tells that the dispatcher of the term answered on its stream.
	DispatcherResponded(service, node string, term uint64)
	// DispatcherStreamEnded tells that the stream to the dispatcher ended.
	DispatcherStreamEnded(service string)
}
