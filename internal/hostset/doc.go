// Package hostset chooses which nodes serve a service and which of them a caller should use.
//
// Every choice is a rendezvous hash over the hosts list of the accepted configuration, so all
// nodes with the same revision choose the same nodes without talking to each other, and a change
// of one host moves only what belonged to that host.
//
//   - The host set of a service is up to 48 nodes, taken one data centre after another.
//   - The voting group is the first five nodes of the host set, so that the loss of one of three
//     data centres costs at most two voters.
//   - The endpoint answer of a caller has 4 nodes of the host set. Nodes that are leaving, dead,
//     not ready, or cannot reach the service are never in it. Suspect nodes are used only when
//     there are too few others, since a storm of false suspicions must not empty the answers.
//
// The package has no settings but the time to live of the endpoint answer (entry.endpoint_ttl).
package hostset
