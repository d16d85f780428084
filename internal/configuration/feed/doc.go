// Package feed distributes revisions of the configuration to other processes.
//
// # Operation
//
// A Tail holds the newest document and the newest entries. A fetch contains the revision
// that the requesting process has. The reply contains the entries after that revision or, if
// these are larger than 4 KiB, the smallest of them, the difference between the two documents
// and the whole document. Control replicas keep up to 32 former documents of 4 MiB in all for differences. The reply
// to a brief fetch contains only the newest revision. A fetch with a wait is held until
// something newer is published or the wait ends. Control replicas and nodes serve the same
// feed, so a node that cannot reach the control replicas can follow its peers. The operator's text of a document
// is not part of the feed: operators read it from the control replicas.
//
// # Settings and refusals
//
// There are no settings. Waits are limited to 30 s. A fetch is never refused; before the
// first revision the reply contains revision 0 and nothing else.
package feed
