// Package membership maintains a node's view of the fleet: its nodes and the backend servers.
//
// Every 100 ms, each node runs one exchange with one other member. The request identifies the sender
// and carries digests of the entries that the sender knows. The reply carries the ages of all backend
// servers and, where a digest differs, the keys of all entries that it covers. The requesting node then
// immediately fetches the entries that it lacks from the same member. These exchanges repair any missed
// update; nothing depends on a message that is sent only once.
//
// Ages. A node takes the age of a backend server's last renewal only from replies to its own requests
// and adds the whole round trip, so an age is never understated. Between two renewals, an age grows by
// the node's own monotonic clock. A server whose age exceeds 2.5 s gets no new work, even at a node
// that no longer receives messages from any other node.
//
// Suspicion. An exchange is also a probe. If it does not succeed within 500 ms, three members,
// preferably of other data centres, probe the node. If these probes fail as well, the node is suspect;
// it is dead once members of two data centres suspect it, or after 3 s. A node that learns that others
// consider it suspect or dead raises its incarnation, which clears the suspicion everywhere. A node
// that reaches no other node keeps its suspicions local, so that it does not spread them when it
// reconnects. Once a second, a node tries one of the dead members, the configured hosts and the peers
// of the settings, so that the parts of a split fleet join again.
//
// Settings: id, data_centre, fleet.advertise, entry.advertise and peers. The package rejects malformed
// messages as a whole, announcements of services that are not configured, and announcements of an older
// process of a backend server.
package membership
