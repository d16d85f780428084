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
	// Key is the header with which callers identify themselves where the configuration requires keys. It is never passed
	// on then.
	Key string
	// ServerTeam is the header that tells backend servers the caller's team where the configuration requires keys. What
	// the caller sends in it is not passed on then.
	ServerTeam string
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
	// Pause returns how long the backend server of a response wants no requests from this host; 0 if it does not say.
	Pause func(status int, h http.Header) time.Duration
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
	// LiteralPaths is set if the path of a request is compared with the prefixes of routes as it was sent, with its
	// percent-encoding. Otherwise it is decoded first.
	LiteralPaths bool
	// BuiltInPaths is set if the host itself serves endpoint lists and announcements, besides the routes.
	BuiltInPaths bool
}

// ParseNumber parses a decimal number of at least 0, such as a rate in requests per second; ok is false if the text is
// none.
func ParseNumber(text string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && number >= 0 && !math.IsInf(number, 1)
}

// maxPause bounds how long a backend server may ask this host to pause.
const maxPause = time.Hour

// UnavailableFor returns for how long a response states that its server is unavailable, by a status of 503 and
// Retry-After; 0 if it does not state it.
func UnavailableFor(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	return retryAfter(time.Now(), h)
}

// retryAfter returns the delay in a Retry-After header, which holds a number of seconds or a time of day. It is 0 if
// there is none or it is malformed.
func retryAfter(now time.Time, h http.Header) time.Duration {
	text := h.Get("Retry-After")
	if text == "" {
		return 0
	}
	if seconds, ok := ParseNumber(text); ok {
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return min(max(at.Sub(now), 0), maxPause)
}

// Native returns the default dialect, with the headers that this package defines.
func Native() *Dialect {
	return &Dialect{
		RequestID:      headerRequestID,
		Deadline:       headerTimeout,
		ParseDeadline:  parseTimeout,
		FormatDeadline: formatTimeout,
		Team:           headerTeam,
		Key:            headerCallerKey,
		ServerTeam:     headerTeam,
		Private:        hasInternalPrefix,
		NotRun: func(status int, h http.Header) bool {
			return status == http.StatusServiceUnavailable && h.Get(headerOutcome) == outcomeNotRun
		},
		AddressReassigned: func(int, http.Header) bool { return false },
		Draining: func(h http.Header) bool {
			return strings.EqualFold(h.Get(headerState), stateDraining)
		},
		RateLimit: func(h http.Header) (rate float64, ok bool) { return ParseNumber(h.Get(headerRateLimit)) },
		Pause:     UnavailableFor,
		WriteProblem: func(w http.ResponseWriter, p *problem.Problem, requestID string) int {
			p.Write(w, requestID)
			return p.Status()
		},
		BuiltInPaths: true,
	}
}
