// Package store keeps the configuration in force at a node.
//
// # Operation
//
// A node long-polls the control replicas in turn, for half a second each, and skips a
// replica that was silent for a while. Gossip gives hints that a peer has a newer
// revision; the node then fetches the difference from that peer, so a node that is cut off
// from the control replicas follows as well. Entries are applied in the order of
// revisions, or a whole document at once. The result is compiled off the request path and
// swapped in. A revision that is not newer than the one in force is never applied.
//
// # Restart
//
// A node that starts serves nothing until it has learned the newest revision: from a
// control replica that confirmed it with a majority or, after 3 s without, from at least
// half of the other hosts listed in the newest document that it was given, two at the
// least. A node that stored its last document uses the newest document it knows after 3 s.
//
// It asks for the revision only, two control replicas first and one more every 50 ms until one has
// confirmed it, and then fetches the document from one of those that answered, and from the next
// as well if that takes longer than 700 ms.
//
// # Settings and refusals
//
// With a data folder each document is stored and synced before it is applied. If storing
// fails, the document is applied all the same, the stored one is removed and the fault is
// logged: following the operators weighs more than a quick restart. A stored document
// with a wrong checksum is ignored.
package store
