// Package control is the configuration log of a control replica.
//
// # Operation
//
// The log is the chain of registers config/1, config/2 and so on; the index is the
// revision. An operator's change with expected revision r is validated against the
// document at r and proposed to register r+1, so of racing operators with equal expected
// revisions exactly one wins. The replica follows the chain by reading it from a majority
// every 250 ms, and at once after a notification. One read runs at a time, and those that
// ask while it runs share the next one. Every 1,024 revisions the replica
// replaces the older registers by a snapshot that carries the document, the table of
// request ids and the newest entries.
//
// # Resends
//
// A request id names one request for 24 h or 10,000 revisions, whichever ends first. An
// accepted request that is sent again gets its first verdict and revision, also from
// another replica, after a restart and after compaction, since the table of request ids is
// derived from the log. Rejections follow from the document and the change and are
// computed again, as long as the document at the expected revision is among the newest 32.
//
// # Refusals
//
// Conflict: another change holds the next revision. Rejected: the change is invalid, the
// request id was used for another change, or a change of hosts must wait for the last one
// to be in force on a majority of the hosts before it. Unknown: the change may or may not
// be accepted later, and the resend tells. Unavailable: no majority of the control
// replicas answers, and the change was not proposed.
package control
