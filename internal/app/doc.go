// Package app assembles the parts of a process with uber/fx: a node, a control
// replica, or both.
//
// A process starts in this order: listeners, the state that it keeps on disk,
// membership, configuration, elections and dispatch, and last the callers'
// listener. A graceful stop goes the other way round: the node leaves the endpoint
// answers, keeps accepting until answers that were handed out have aged out,
// finishes every request in flight, gives its dispatcher leases back, records the
// last outcomes and exits.
package app
