// Package problem defines the refusals that callers receive, as RFC 9457
// problem documents.
//
// Each refusal has a typed kind, a remedy and one of three outcomes. The outcome is
// "not-run" only if no byte of the request was written to a backend server, or if
// the server itself rejected the request before running it.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether the work of a refused request ran.
type Outcome string

// The three outcomes. Unknown means that the work may have run.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Run     Outcome = "run"
)

// Kind is the cause of a refusal.
type Kind string

// The kinds of refusal.
const (
	NoRoute        Kind = "no-route"
	BadRequest     Kind = "bad-request"
	BodyTooLarge   Kind = "body-too-large"
	HeaderTooLarge Kind = "header-too-large"
	KeyRequired    Kind = "key-required"
	KeyReuse       Kind = "key-reuse"
	InProgress     Kind = "in-progress"
	OutcomeUnknown Kind = "outcome-unknown"
	Quota          Kind = "quota"
	// UnknownKey means that no team has the caller's key, ConfigurationOutdated that the host cannot tell, and UsageCap
	// that the team has used up its cap over all hosts.
	UnknownKey            Kind = "unknown-key"
	ConfigurationOutdated Kind = "configuration-outdated"
	UsageCap              Kind = "usage-cap"
	QueueFull             Kind = "queue-full"
	DeadlineUnmeetable    Kind = "deadline-unmeetable"
	DeadlinePassed        Kind = "deadline-passed"
	NoCapacity            Kind = "no-capacity"
	PoisonRequest         Kind = "poison-request"
	Starting              Kind = "starting"
	ShuttingDown          Kind = "shutting-down"
	RecordsUnavailable    Kind = "records-unavailable"
	BackendFailed         Kind = "backend-failed"
	AnswerTruncated       Kind = "answer-truncated"
	Loop                  Kind = "loop"
	Internal              Kind = "internal"
)

// TypePrefix precedes the kind in the "type" member of a problem document.
const TypePrefix = "urn:tarragonmux:problem:"

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// definition holds what is the same for all refusals of a kind.
type definition struct {
	status int
	title  string
	remedy string
}

var definitions = map[Kind]definition{
	NoRoute:               {http.StatusNotFound, "No route matches the request.", "Check the host name, path and method against the configured routes."},
	BadRequest:            {http.StatusBadRequest, "The request is malformed.", "Correct the request as the detail says."},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, "The request body is too large.", "Send a smaller body or ask an operator to raise the route's body limit."},
	HeaderTooLarge:        {http.StatusRequestHeaderFieldsTooLarge, "The request headers are too large.", "Send fewer or shorter headers."},
	KeyRequired:           {http.StatusBadRequest, "The route needs an idempotency key.", "Send an Idempotency-Key header with a value unique to the operation."},
	KeyReuse:              {http.StatusUnprocessableEntity, "The idempotency key belongs to another request.", "Use a new key for a new operation; resend an operation with the same team and body."},
	InProgress:            {http.StatusConflict, "The operation is still running.", "Send the request again with the same key after the given time."},
	OutcomeUnknown:        {http.StatusConflict, "It is not known whether the operation ran.", "Check the operation's effect at its service before sending it under a new key."},
	Quota:                 {http.StatusTooManyRequests, "The team has too many requests in flight.", "Wait for earlier requests to finish, or ask an operator for a larger quota."},
	UnknownKey:            {http.StatusUnauthorized, "The request has no valid key.", "Send a key of your team, or ask an operator for one."},
	ConfigurationOutdated: {http.StatusServiceUnavailable, "The host has not heard lately which keys are valid.", "Use another address from the endpoint list."},
	UsageCap:              {http.StatusTooManyRequests, "The team has used up its cap of requests per second.", "Send the request again after the given time, or ask an operator for a larger cap."},
	QueueFull:             {http.StatusServiceUnavailable, "The queue of the service is full.", "Send the request again after the given time."},
	DeadlineUnmeetable:    {http.StatusServiceUnavailable, "The deadline cannot be met.", "Send the request again later or with a longer deadline."},
	DeadlinePassed:        {http.StatusGatewayTimeout, "The deadline passed.", "Send the request again with a longer deadline, with the same key if it has one."},
	NoCapacity:            {http.StatusServiceUnavailable, "No backend server can take the request.", "Send the request again after the given time."},
	PoisonRequest:         {http.StatusUnprocessableEntity, "Backend servers crashed while running this request.", "Do not send this request again unchanged; report it to the operators of the service."},
	Starting:              {http.StatusServiceUnavailable, "The host is starting.", "Use another address from the endpoint list."},
	ShuttingDown:          {http.StatusServiceUnavailable, "The host is shutting down.", "Ask for the endpoint list again and use another address."},
	RecordsUnavailable:    {http.StatusServiceUnavailable, "The operation records cannot be reached.", "Send the request again with the same key after the given time."},
	BackendFailed:         {http.StatusBadGateway, "The backend server failed.", "Send the request again, with the same key if it has one."},
	AnswerTruncated:       {http.StatusBadGateway, "The answer of the backend server broke off.", "Send the request again, with the same key if it has one."},
	Loop:                  {http.StatusLoopDetected, "The request has passed through this fleet before.", "Remove the fleet's own address from the backend server's upstreams."},
	Internal:              {http.StatusInternalServerError, "The proxy failed to handle the request.", "Report the request id to the operators of the fleet."},
}

// Kinds lists every kind, for documentation and metrics.
func Kinds() []Kind {
	return []Kind{
		NoRoute, BadRequest, BodyTooLarge, HeaderTooLarge, KeyRequired, KeyReuse, InProgress,
		OutcomeUnknown, Quota, UnknownKey, ConfigurationOutdated, UsageCap, QueueFull, DeadlineUnmeetable, DeadlinePassed, NoCapacity,
		PoisonRequest, Starting, ShuttingDown, RecordsUnavailable, BackendFailed,
		AnswerTruncated, Loop, Internal,
	}
}

// Problem is a refusal. It is an error whose message ends with the remedy.
type Problem struct {
	Kind    Kind
	Outcome Outcome
	// Detail describes this occurrence; it may be empty.
	Detail string
	// RetryAfter is how long a caller should wait before it retries. It is 0 if a retry cannot help.
	RetryAfter time.Duration
}

// New returns a refusal of the kind with the outcome.
func New(kind Kind, outcome Outcome, detail string) *Problem {
	return &Problem{Kind: kind, Outcome: outcome, Detail: detail}
}

// After returns a copy that asks the caller to wait before it retries.
func (p *Problem) After(wait time.Duration) *Problem {
	c := *p
	c.RetryAfter = wait
	return &c
}

// Status returns the HTTP status code of the refusal.
func (p *Problem) Status() int {
	return p.definition().status
}

// Error returns title, detail and remedy.
func (p *Problem) Error() string {
	d := p.definition()
	if p.Detail == "" {
		return d.title + " " + d.remedy
	}
	return d.title + " " + p.Detail + ". " + d.remedy
}

func (p *Problem) definition() definition {
	d, ok := definitions[p.Kind]
	if !ok {
		return definitions[Internal]
	}
	return d
}

// document is the JSON form of a refusal.
type document struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Remedy  string  `json:"remedy"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is more precise than the Retry-After header, which has whole seconds only.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

// Write sends the refusal as the response.
func (p *Problem) Write(w http.ResponseWriter, requestID string) {
	d := p.definition()
	body, err := json.Marshal(document{
		Type:         TypePrefix + string(p.Kind),
		Title:        d.title,
		Status:       d.status,
		Detail:       p.Detail,
		Remedy:       d.remedy,
		Outcome:      p.Outcome,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	})
	if err != nil {
		http.Error(w, d.title, d.status)
		return
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		seconds := int64(math.Ceil(p.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(d.status)
	// An error means that the caller has disconnected, so it cannot be reported to anyone.
	_, _ = w.Write(body)
}
