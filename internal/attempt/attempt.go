// Package attempt defines how the request path claims an operation key, so that
// non-idempotent work runs at most once.
package attempt

import (
	"context"
	"net/http"
)

// Operation identifies one non-idempotent request of a caller.
type Operation struct {
	Service string
	Route   string
	// Key is the value of the caller's Idempotency-Key header.
	Key  string
	Team string
	// Fingerprint is the SHA-256 of method, path, query and body.
	Fingerprint [32]byte
}

// Answer is the recorded answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// TooLarge is set when the work ran but its answer exceeded what the records keep.
	TooLarge bool
}

// Claim is this node's right to run an operation. Exactly one of Done, Abandon
// and Unknown ends it; later calls are ignored.
type Claim interface {
	// Start reports that the first byte is about to be written to a backend server.
	// It returns false when the claim was abandoned meanwhile; then nothing may be written.
	Start() bool
	// Rejected reports that the server rejected the request before running it, so that
	// the attempt counts as not started again.
	Rejected()
	// Done records the answer in the background.
	Done(Answer)
	// Abandon gives the claim up. It must be called only if the work was not run, and
	// before the caller is told so.
	Abandon(ctx context.Context)
	// Unknown records that the work may have run.
	Unknown()
}

// Result of a claim: exactly one field is set.
type Result struct {
	// Claim is set when this node may run the operation.
	Claim Claim
	// Replay is set when the operation ran before.
	Replay *Answer
}

// Claimer claims operations. Errors are *problem.Problem.
type Claimer interface {
	Claim(ctx context.Context, op Operation) (Result, error)
}
