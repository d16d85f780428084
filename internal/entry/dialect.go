package entry

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// Dialect describes the HTTP conventions between the fleet and its callers and backend servers:
// which header carries which information, and what a response means. All header names are in
// canonical form. A dialect makes no decisions about requests.
type Dialect struct {
	// RequestID is the header with the id of a request. Backend servers echo it if EchoesRequestID is set.
	RequestID string
	// RequireID refuses requests without an id; otherwise the host generates one.
	RequireID bool
	// Deadline is the header with the time that a caller waits and that a backend server has left.
	Deadline string
	// ParseDeadline parses the deadline header; ok is false if it is malformed.
	ParseDeadline func(text string) (d time.Duration, ok bool)
	// FormatDeadline formats the time that a backend server has left.
	FormatDeadline func(left time.Duration) string
	// Team is the header that names the caller's team; empty if there are no teams.
	Team string
	// ExpectInstance is the header that names the backend server for which a request is intended; empty
	// if backend servers do not support it.
	ExpectInstance string
	// Private reports whether a header is addressed to the fleet itself, by a caller or a backend server.
	// Private headers are not passed on.
	Private func(name string) bool
	// NotRun reports whether a response states that the backend server did not run the request.
	NotRun func(status int, h http.Header) bool
	// AddressReassigned reports whether a response states that another backend server has the
	// address now.
	AddressReassigned func(status int, h http.Header) bool
	// Draining reports whether a response states that its backend server is draining.
	Draining func(h http.Header) bool
	// RateLimit returns the rate of requests that the backend server of a response accepts from all hosts together, in
	// requests per second; ok is false if it names none.
	RateLimit func(h http.Header) (rate float64, ok bool)
	// HasServerMark reports whether a successful response has the header with which backend servers
	// identify themselves; nil means that there is no such header.
	HasServerMark func(h http.Header) bool
	// EchoesRequestID is set if every response carries the id of its request, so that a response to
	// another request is recognised.
	EchoesRequestID bool
	// CloseDelimited is set if a response without a length ends with its connection.
	CloseDelimited bool
	// MaxBufferedResponse is how many bytes of a response of unknown length are read before it is
	// passed on, so that a truncated one can still be reported as an error or retried.
	MaxBufferedResponse int
	// WriteProblem sends a refusal and returns its status.
	WriteProblem func(w http.ResponseWriter, p *problem.Problem, requestID string) int
	// BuiltInPaths is set if the host itself serves endpoint lists and announcements, besides the routes.
	BuiltInPaths bool
}

// ParseRate parses a rate in requests per second; ok is false if the text is not a decimal number of at least 0.
func ParseRate(text string) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(text, 64)
	return rate, err == nil && rate >= 0 && !math.IsInf(rate, 1)
}

// Native returns the default dialect, with the headers that this package defines.
func Native() *Dialect {
	return &Dialect{
		RequestID:      headerRequestID,
		Deadline:       headerTimeout,
		ParseDeadline:  parseTimeout,
		FormatDeadline: formatTimeout,
		Team:           headerTeam,
		Private:        hasInternalPrefix,
		NotRun: func(status int, h http.Header) bool {
			return status == http.StatusServiceUnavailable && h.Get(headerOutcome) == outcomeNotRun
		},
		AddressReassigned: func(int, http.Header) bool { return false },
		Draining: func(h http.Header) bool {
			return strings.EqualFold(h.Get(headerState), stateDraining)
		},
		RateLimit: func(h http.Header) (rate float64, ok bool) { return ParseRate(h.Get(headerRateLimit)) },
		WriteProblem: func(w http.ResponseWriter, p *problem.Problem, requestID string) int {
			p.Write(w, requestID)
			return p.Status()
		},
		BuiltInPaths: true,
	}
}
