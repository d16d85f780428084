// Package records makes non-idempotent operations run at most once.
//
// # Operation
//
// An operation is named by service, route and the caller's key. Its record is a chain of
// write-once registers at the control replicas; each register holds one transition:
// claimed, then done, abandoned or unknown. A node claims the record in one round trip
// before it writes a byte to a backend server, and records the outcome in the background.
// An abandoned attempt did not run, and a later attempt may claim the record again.
//
// A resend that finds the record claimed asks the claiming node about that attempt. It
// waits while the attempt runs, replays the answer once there is one, and takes over only
// after the claiming node itself has confirmed that the attempt is abandoned. An abandoned
// attempt can never start, not even on a node that was frozen meanwhile, since both
// follow from one state under one lock in the claiming process. No clocks are compared.
//
// # Settings
//
// Outcomes are kept for the record retention of the control replicas plus one hour.
// Answers up to 64 KiB are kept for replay; of larger ones only the fact that the work ran.
//
// # Refusals
//
// key-reuse: the key belongs to a request of another team or with another body; not run.
// in-progress: an earlier attempt runs beyond this request's deadline; unknown.
// outcome-unknown: the earlier attempt may have run and its node cannot tell, or the vote
// on the claim was split; unknown. records-unavailable: no majority of the control
// replicas answers; this request was not run.
//
// # Memory
//
// A node remembers attempts that run or whose outcome is not recorded yet, at most 65,536
// and 32 MiB of answers; beyond that the bodies of unrecorded answers and then the oldest
// ended attempts are dropped, which makes their outcome unknown but never wrong.
package records
