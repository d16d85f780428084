// Package feed passes revisions of the configuration on to others.
//
// # Operation
//
// A Tail remembers the newest document and the newest entries. A fetch names the revision
// that the asking process has. It is answered with the entries after that revision or, if
// these are no longer remembered or larger than it, with the whole document. A brief fetch
// is answered with the newest revision only. A fetch with a wait is held
// until something newer is published or the wait ends. Control replicas and nodes serve
// the same feed, so a node that is cut off from the control replicas follows its peers.
//
// # Settings and refusals
//
// There are no settings. Waits are cut to 30 s. A fetch is never refused; before the first
// revision it is answered with revision 0 and nothing else.
package feed
