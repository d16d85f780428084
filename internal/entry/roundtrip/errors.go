package roundtrip

import "github.com/pkg/errors"

// Stage is the step of a round trip at which it failed.
type Stage uint8

// The stages, in order.
const (
	// StageAcquire waits for a free connection.
	StageAcquire Stage = iota + 1
	// StageConnect opens a connection.
	StageConnect
	// StageStart asks Hooks.BeforeWrite whether the request may be written.
	StageStart
	// StageSend writes the request.
	StageSend
	// StageAwait waits for the first byte of the response.
	StageAwait
	// StageHeader reads the status line and the headers.
	StageHeader
	// StageBody reads the body of the response.
	StageBody
)

// stageDescriptions holds texts that are part of responses to callers.
var stageDescriptions = map[Stage]string{
	StageAcquire: "wait for a connection", StageConnect: "connect", StageStart: "start",
	StageSend: "send the request", StageAwait: "await the answer", StageHeader: "read the answer's headers", StageBody: "read the answer's body",
}

// String returns what the stage does, as a verb phrase that follows "cannot".
func (s Stage) String() string {
	return stageDescriptions[s]
}

// Error is the failure of one round trip.
type Error struct {
	Stage Stage
	// Written is set if at least one byte of the request was handed to the network.
	Written bool
	Use     Use
	Err     error
}

// Error implements error. It states the stage and the cause.
func (e *Error) Error() string {
	return "cannot " + e.Stage.String() + ": " + e.Err.Error()
}

func (e *Error) Unwrap() error {
	return e.Err
}

// Causes of failed round trips. Their texts are part of responses to callers.
var (
	// ErrNotStarted means that Hooks.BeforeWrite returned false.
	ErrNotStarted = errors.New("the request was withdrawn before it was written; acquire a new grant")
	// ErrInvalidField means that a field of the request cannot be written as one line.
	ErrInvalidField = errors.New("a header field of the request has a line end or a zero byte; check the id that the backend server announces and the name of the team")
	// ErrNotHTTP means that the server sent bytes that are not an HTTP/1 response.
	ErrNotHTTP = errors.New("the server sent bytes that are no answer; check what listens at its address")
	// ErrReset means that the connection was reset while the request was written, so that a response without a length may
	// have been cut off.
	ErrReset = errors.New("the connection was reset during an answer without a length; let the server state the length")
	// ErrNoMemory means that the headers of a response are large while those of others take all memory for them.
	ErrNoMemory = errors.New("the headers of the answer are large, and so are those of others; check what the servers send")
	// ErrAborted means that Abort.Abort was called.
	ErrAborted = errors.New("the attempt was aborted, since another one answered; no action is needed")
	// ErrNoConnection means that no connection to the server became free before Request.AcquireDeadline.
	ErrNoConnection = errors.New("all connections to the backend server are busy; retry later")
	// ErrNoLength means that the end of a response cannot be distinguished from a broken connection.
	ErrNoLength = errors.New("the answer states no length; the backend server must send Content-Length or chunks")
	// ErrHeaderTooLarge means that the headers of a response exceed MaxResponseHeaderBytes.
	ErrHeaderTooLarge = errors.New("the answer's headers are too large; the backend server must send fewer or shorter headers")
	// ErrInvalidStatus means that the server sent a status outside 100 to 599.
	ErrInvalidStatus = errors.New("the answer's status is outside 100 to 599; the backend server must send a valid status")
	// ErrInformationalStatus means that no response with a final status arrived: the server switched
	// protocols, sent an informational response with a body, or too many responses that are informational or belong to
	// other requests.
	ErrInformationalStatus = errors.New("the answer has an unexpected informational status; the backend server must send a final status")
	// ErrMismatchedResponse means that the response belongs to another request and that its end cannot be told.
	ErrMismatchedResponse = errors.New("an answer to another request came whose end is not known; the backend server must answer in order")
	// ErrMerged means that the head of a response holds the beginning of another one, so its status is not known.
	ErrMerged = errors.New("the answer's headers hold the beginning of another answer; the backend server must complete each answer")
	// ErrUnattributed means that a response on a reused connection does not state the id of its request.
	ErrUnattributed = errors.New("the answer does not say to which request it belongs; the backend server must send the request's id back")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("the connection pool is closed; use another host")
)
