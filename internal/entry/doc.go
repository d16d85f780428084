// Package entry serves callers and the backend servers that announce themselves.
//
// A request passes the filters that Filters lists, in that order. The first filters
// admit it: they assign it an id, limit the requests in flight, limit the size of its headers
// and body, find its route and its team, set its deadline, and enforce the team's quota. The
// at-most-once filter claims non-idempotent work. The dispatch filter acquires grants and makes
// retries and hedges. The forward filter sends the request to the granted backend server.
//
// A refusal is a response of the host itself; it is a problem document (see package problem). It
// states the outcome not-run only if no byte of the request was written to a backend server, or
// if each server that received it rejected it with the header "Tarragon-Outcome: not-run" before
// running it.
//
// If a response breaks off after its first bytes reached the caller, the caller's connection is
// closed abruptly, so that the partial response cannot be mistaken for a complete one. Callers must
// use HTTP/1.1 or later, because an HTTP/1.0 response without a length cannot be distinguished
// from a truncated one.
//
// Memory is bounded per request. Bodies of idempotent requests up to 64 KiB and all bodies of
// non-idempotent requests with a key (up to the route's limit) are buffered. Bodies of keyless
// non-idempotent requests up to 512 KiB are buffered as long as Config.BodyMemory allows, so that
// no slot of a server waits for a slow caller and another server is tried after a rejection.
// Other bodies are streamed through 32 KiB buffers and are not sent again once a part of the
// stream was read. Responses of stated length up to 32 KiB
// are read completely before any part of them is sent to the caller; others are streamed.
//
// A Dialect defines which headers carry the id, the deadline and the outcome, and how refusals are
// written; Native is the default. A keyless route sends each non-idempotent request once and keeps
// no record. A route's limit of attempts counts only the attempts that may have run the work. If a
// response that was read completely has a status of 500 or above and the work may run again, another
// server is tried. The response is passed on to the caller if no later attempt gets a response.
//
// The host itself serves the paths /v1/endpoints and /v1/backends/; they are not matched against
// the routes.
package entry
