package roundtrip

import "github.com/pkg/errors"

// Stage is the step at which a round trip failed.
type Stage uint8

// The stages, in order.
const (
	// StageAcquire for a free connection.
	StageAcquire Stage = iota + 1
	// StageConnect opens the connection.
	StageConnect
	// StageStart asks the holder of the request whether it may be written.
	StageStart
	// StageSend writes the request.
	StageSend
	// StageAwait waits for the first byte of the answer.
	StageAwait
	// StageHeader reads the status line and the headers.
	StageHeader
	// StageBody reads the body of the answer.
	StageBody
)

var stageNames = map[Stage]string{
	StageAcquire: "wait for a connection", StageConnect: "connect", StageStart: "start",
	StageSend: "send the request", StageAwait: "await the answer", StageHeader: "read the answer's headers", StageBody: "read the answer's body",
}

// String returns what the stage does.
func (s Stage) String() string {
	return stageNames[s]
}

// Error is the failure of one round trip.
type Error struct {
	Stage Stage
	// Written is set when at least one byte of the request was handed to the network.
	Written bool
	Err     error
}

// Error returns stage and cause.
func (e *Error) Error() string {
	return "cannot " + e.Stage.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Causes of failed round trips.
var (
	// ErrNotStarted means that Request.Start forbade the write.
	ErrNotStarted = errors.New("the request was withdrawn before it was written; acquire a new grant")
	// ErrNotHTTP means that the server sent something that is no answer of HTTP/1.
	ErrNotHTTP = errors.New("the server sent bytes that are no answer; check what listens at its address")
	// ErrAborted means that Abort was called.
	ErrAborted = errors.New("the attempt was aborted, since another one answered; no action is needed")
	// ErrNoConnection means that all connections to the server stayed busy.
	ErrNoConnection = errors.New("all connections to the backend server are busy; retry later")
	// ErrNoLength means that an answer's end cannot be told from a broken connection.
	ErrNoLength = errors.New("the answer states no length; the backend server must send Content-Length or chunks")
	// ErrHeaderTooLarge means that the headers of an answer exceed MaxHeadBytes.
	ErrHeaderTooLarge = errors.New("the answer's headers are too large; the backend server must send fewer or shorter headers")
	// ErrInformationalStatus means that an answer has a status that ends no request.
	ErrInformationalStatus = errors.New("the answer has an unexpected informational status; the backend server must send a final status")
	// ErrMismatchedResponse means that the answer belongs to another request and ends the connection.
	ErrMismatchedResponse = errors.New("the connection ends with an answer to another request; the backend server must answer in order")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("the connection pool is closed; use another host")
)
