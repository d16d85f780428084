// Package transport carries drpc calls between the project's own processes over TCP.
//
// A Server answers calls on the fleet listener. A Pool keeps a few idle connections
// per peer and opens more while calls overlap, since a drpc connection carries one
// call at a time. Messages are limited in size, and a peer that sends a malformed or
// oversized frame loses its connection without any effect on others.
package transport
