package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// Dialect is how callers and backend servers speak HTTP with the fleet: which headers carry what,
// and what an answer means. All header names are canonical. A dialect decides nothing about requests.
type Dialect struct {
	// RequestID is the header with the id of a request, echoed by backend servers.
	RequestID string
	// RequireID refuses requests without an id; otherwise the host makes one.
	RequireID bool
	// Deadline is the header with the time that a caller waits, and that a backend server has.
	Deadline string
	// ParseDeadline reads the deadline header; ok is false if it is malformed.
	ParseDeadline func(text string) (d time.Duration, ok bool)
	// FormatDeadline writes the time left for a backend server.
	FormatDeadline func(left time.Duration) string
	// Team is the header that names the caller's team; empty if there are no teams.
	Team string
	// ExpectInstance is the header that names the backend server for which a request is meant; empty
	// if backend servers do not know it.
	ExpectInstance string
	// Private tells whether a header stays between the fleet and one of its neighbours.
	Private func(name string) bool
	// NotRun tells whether an answer says that the backend server did not run the request.
	NotRun func(status int, h http.Header) bool
	// AddressReassigned tells whether an answer says that another backend server has the address now.
	AddressReassigned func(status int, h http.Header) bool
	// Draining tells whether an answer says that its backend server is about to leave.
	Draining func(h http.Header) bool
	// HasServerMark tells whether a success bears the mark of a backend server; nil means that there is none.
	HasServerMark func(h http.Header) bool
	// EchoesRequestID is set if every answer carries the id of its request, so that a stray one is recognised.
	EchoesRequestID bool
	// CloseDelimited is set if an answer without a length ends with its connection.
	CloseDelimited bool
	// MaxBufferedResponse is up to how many bytes of an answer of unknown length are read before it is passed
	// on, so that a break can still be told or retried.
	MaxBufferedResponse int
	// WriteProblem sends a refusal and returns its status.
	WriteProblem func(w http.ResponseWriter, p *problem.Problem, requestID string) int
	// BuiltInPaths is set if the host serves endpoint answers and announcements beside the routes.
	BuiltInPaths bool
}

// Native returns the product's own dialect.
func Native() *Dialect {
	return &Dialect{
		RequestID:      headerRequestID,
		Deadline:       headerTimeout,
		ParseDeadline:  parseTimeout,
		FormatDeadline: formatTimeout,
		Team:           headerTeam,
		Private:        hasInternalPrefix,
		NotRun: func(status int, h http.Header) bool {
			return status == http.StatusServiceUnavailable && h.Get(headerOutcome) == outcomeNot
		},
		AddressReassigned: func(int, http.Header) bool { return false },
		Draining: func(h http.Header) bool {
			return strings.EqualFold(h.Get(headerState), stateDrain)
		},
		WriteProblem: func(w http.ResponseWriter, p *problem.Problem, requestID string) int {
			p.Write(w, requestID)
			return p.Status()
		},
		BuiltInPaths: true,
	}
}
