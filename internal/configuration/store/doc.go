// Package store keeps the configuration in force at a node.
//
// # Operation
//
// A node long-polls the control replicas in turn, for half a second each. A replica that
// did not respond is skipped with exponential backoff. Gossip gives hints that a peer has a
// newer revision; the node then fetches the difference from that peer, so a node that
// cannot reach the control replicas follows as well. Entries are applied in the order of
// revisions, or the document is replaced. What takes more than 16 KiB is omitted from these
// replies and transferred separately, from one process at a time and from a second one if
// that takes too long for its size: transfers that share a slow link would all time out.
// The result is compiled off the request path
// and swapped in. A revision that is not newer than the one in force is never applied.
//
// # Startup
//
// A starting node does not serve until it knows the newest revision: from a control replica
// that confirmed it with a majority or, if none did within 3 s, from at least half and no
// fewer than two of the other hosts listed in the newest document that it has received. A
// node that stored its last document uses the newest document it knows after 3 s.
//
// The node first asks for the revision only: two control replicas concurrently, and one more
// every 50 ms until one has confirmed it. It then fetches the document from one of those that
// responded, in the same way.
//
// # Settings and refusals
//
// With a data folder, each document is stored and synced before it is applied. If storing
// fails, the document is applied nevertheless, the stored one is removed and the error is
// logged: following the operators' changes matters more than a quick restart. A stored
// document with a wrong checksum is ignored.
package store
