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

// Answer is the recorded response of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// TooLarge is set when the work ran but its response exceeded the size limit of the records.
	TooLarge bool
}

// Claim is this node's exclusive right to run an operation. The first call of Done,
// Abandon or Unknown ends it; later calls are ignored.
type Claim interface {
	// Start records that the first byte is about to be written to a backend server.
	// It returns false if the claim was already abandoned; in that case nothing may be written.
	Start() bool
	// Rejected records that the server rejected the request before running it, which
	// returns the attempt to the state before Start.
	Rejected()
	// Done records the response in the background.
	Done(Answer)
	// Abandon releases the claim. It must be called only if the work was not run, and
	// before the caller receives the outcome not-run.
	Abandon(ctx context.Context)
	// Unknown records that the work may have run.
	Unknown()
}

// Result is the result of a request to claim an operation. Exactly one field is set.
type Result struct {
	// Claim is set when this node may run the operation.
	Claim Claim
	// Replay is the recorded response. It is set when the operation already ran.
	Replay *Answer
}

// Claimer claims operations. Its errors are of type *problem.Problem.
type Claimer interface {
	Claim(ctx context.Context, op Operation) (Result, error)
}
