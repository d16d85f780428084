// Package app assembles the components of a process with uber/fx: a node, a control replica, or both.
//
// A process starts in this order: listeners, the state that it keeps on disk, membership, configuration,
// elections and dispatch, and last the callers' listener. A graceful stop takes the reverse order: the node
// is removed from the lists of endpoints, accepts connections until the lists that callers have cached are
// outdated, finishes every request in flight, gives up its dispatcher leases, records the last outcomes and
// exits.
package app
