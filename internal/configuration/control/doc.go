// Package control implements the replicated configuration log of a control replica.
//
// # Operation
//
// The log is the chain of registers config/1, config/2 and so on; the index is the
// revision. An operator's change with expected revision r is validated against the
// document at r and proposed to register r+1, so exactly one of several concurrent changes
// with the same expected revision is accepted. The replica follows the chain by reading it
// from a majority every 250 ms, and immediately after a notification. Only one read runs at
// a time; callers that arrive while it runs share the next one. Every 1,024 revisions the
// replica replaces the older registers by a snapshot that contains the document, the table
// of request ids and the newest entries.
//
// # Resends
//
// A request id identifies one request for 24 h or 10,000 revisions, whichever ends first. A
// resend of an accepted request gets the original verdict and revision, even from another
// replica, after a restart or after compaction, since the table of request ids is derived
// from the log. Rejections are not stored: they are a function of the document and the
// change and are computed again, as long as the document at the expected revision is among
// the newest 32.
//
// # Refusals
//
//   - Conflict: another change holds the next revision.
//   - Rejected: the change is invalid, the request id was used for another change, or a
//     change of hosts must wait until the previous one is in force on a majority of each
//     voting group that it replaced.
//   - Unknown: the change may or may not be accepted later; a resend returns the outcome.
//   - Unavailable: no majority of the control replicas responds; the change was not proposed.
package control
