// Package baseline holds the two ways of selecting a backend server with which bench decisions compares the
// dispatcher. They are not part of a serving node.
//
// Both select on each node by the power of two choices: of two random servers, the one with fewer requests
// in flight. With own counts a node sees only its own requests; with shared counts it sees the requests of
// all nodes, up to the given delay old. Both eject a server on the node that saw 5 consecutive failures,
// for 5 s and longer at each repeat, and never more than half of the servers. They have no queue, so an
// overloaded backend server sheds the work.
//
// A Source refuses with no-capacity when no server is usable.
package baseline
