// Package membership is a node's view of the fleet: nodes and backend servers.
//
// Each node exchanges one message with one other member every 100 ms. The request tells who asks
// and a digest of what it knows; the reply carries the ages of all backend servers and, if the
// digests differ, the keys of all entries. The asking node then fetches the entries it lacks from
// the same member at once. Everything is repaired by this exchange; nothing depends on a message
// that is sent once.
//
// Ages. The age of a backend server's last renewal is taken only from the replies to a node's own
// requests, and the whole round trip is added, so it is never understated. Between two renewals
// an age grows by the node's own monotonic clock. A server whose age exceeds 2.5 s gets no new
// work, also at a node that no longer hears any other.
//
// Suspicion. An exchange is also a probe. If it fails within 500 ms, three members of other data
// centres probe the node. If these fail too, the node is suspect, and dead once members of two
// data centres confirm it or after 3 s. A node that hears that it is suspect or dead raises its
// incarnation, which clears the suspicion everywhere. A node that hears nobody keeps its
// suspicions to itself, so that its return does not spread them. Dead members, configured hosts
// and the peers of the settings are tried once a second, which joins a fleet that was split.
//
// Settings: id, data_centre, fleet.advertise, entry.advertise and peers. The package refuses
// malformed messages as a whole, announcements of services that are not configured, and
// announcements of an older process of a backend server.
package membership
