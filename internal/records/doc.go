// Package records makes non-idempotent operations run at most once.
//
// # Operation
//
// An operation is identified by its service, its route and the caller's idempotency key. Its
// record is a chain of write-once registers on the control replicas. Each register holds one
// transition: first claimed, then done, abandoned or unknown. A node claims the record in one
// round trip before it writes a byte to a backend server, and records the outcome in the
// background. An abandoned attempt did not run, so a later attempt may claim the record again.
//
// When a request is resent and its record is already claimed, the node that received it asks
// the claiming node about that attempt. It waits while the attempt runs and replays the response
// once there is one. It takes the operation over only after the claiming node itself has
// confirmed that the attempt is abandoned. An abandoned attempt can never start, even on a node
// that was frozen in the meantime: whether an attempt may start and whether it is reported as
// abandoned both depend on one state under one lock in the claiming process. No clocks of
// different nodes are compared.
//
// # Settings
//
// Outcomes are kept for the record retention of the control replicas plus one hour. Responses of
// up to 64 KiB are kept for replay; for a larger one the record only shows that the operation ran.
//
// # Refusals
//
// key-reuse: the key was used for a request of another team or with different content (method,
// path, query or body); this request was not run.
//
// in-progress: an earlier attempt is still running shortly before this request's deadline; the
// outcome is unknown.
//
// outcome-unknown: the earlier attempt may have run and its node has no knowledge of it or cannot
// be reached, or the vote on the claim was split; the outcome is unknown.
//
// records-unavailable: no majority of the control replicas responds; this request was not run.
//
// # Memory
//
// A node remembers the attempts that are running or whose outcome is not recorded yet. Of the ended
// ones it keeps at most 65,536, and at most 32 MiB of response bodies, where each body counts twice
// because it is also in the transition to be recorded. Above 32 MiB a response is kept without its
// body, so that only the fact that the operation ran is known. Above 65,536 the oldest ended
// attempts are dropped, which makes their outcome unknown. Neither makes an outcome wrong.
package records
