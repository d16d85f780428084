// Package hostset selects which nodes serve a service and which of them a caller should use.
//
// Every selection is a rendezvous hash over the hosts list of the accepted configuration, so all nodes
// with the same revision select the same nodes without communication, and a change of one host moves
// only what was assigned to that host.
//
//   - The host set of a service is up to 48 nodes, taken round-robin from its data centres.
//   - The voting group is the first five nodes of the host set, so that the loss of one of three
//     data centres costs at most two voters. If the hosts are the control hosts of a fleet, up to nine
//     vote: a majority of five could be on the side of few control hosts in a network partition.
//   - The list of endpoints for a caller has 4 nodes of the host set. Nodes that are leaving, dead,
//     not ready, or cannot reach the service are never in it. Suspect nodes are used only if there
//     are too few others, since a burst of false suspicions must not empty the lists.
//
// The only setting of the package is the time to live of the list of endpoints (entry.endpoint_ttl).
package hostset
