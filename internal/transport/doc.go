// Package transport carries drpc calls between the project's own processes over TCP.
//
// Serve handles calls on the fleet listener. A Pool keeps a limited number of idle
// connections per peer and opens more while calls overlap, since a drpc connection
// carries one call at a time. A connection whose call got no data in time is reused once data
// arrives on it; if nothing at all comes from a peer, this holds for all connections to it.
// Messages are limited in size. A malformed or oversized
// frame closes the connection that it came on; other connections are not affected.
package transport
