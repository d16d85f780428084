// Package baseline holds the two ways of choosing a backend server that the dispatcher is compared
// with in bench decisions. They are no part of a serving node.
//
// Both choose on each node by the power of two choices: of two random servers, the one with fewer
// requests in flight. With own counts a node sees only its own requests; with shared counts it
// sees the requests of all nodes, as old as the given delay. Both eject a server for 5 s on the
// node that saw 5 failures in a row, longer at each repeat, and never more than half of the
// servers. They know no queue, so an overloaded backend server sheds the work.
//
// A Source refuses with no-capacity when no server is usable.
package baseline
