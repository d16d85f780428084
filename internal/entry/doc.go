// Package entry serves callers and the backend servers that announce themselves.
//
// A request passes the filters that Filters lists, in that order. The first filters
// admit it: they track it, give it an id, bound its headers and body, find its route and
// its team, and set its deadline. The at-most-once filter claims non-idempotent work. The
// dispatch filter asks for grants, retries and hedges. The forward filter sends the
// request to the granted backend server.
//
// Refusals are problem documents (see package problem). The outcome not-run is stated only
// if no byte of the request was written to a backend server, or if each server that got it
// rejected it with the header "Tarragon-Outcome: not-run" before running it.
//
// An answer that breaks off after its first bytes reached the caller ends with a broken
// connection, so that the part cannot be taken for the whole. Callers must speak HTTP/1.1
// or later, because an HTTP/1.0 answer without a length cannot be told from a broken one.
//
// Memory is bounded per request: bodies of idempotent requests up to 64 KiB and all bodies
// of non-idempotent requests (up to the route's limit) are buffered; larger ones stream
// through 32 KiB buffers and are not retried once a byte was sent. Answers of stated length
// up to 32 KiB are read whole before the caller sees them; others stream.
//
// A dialect (Dialect) says which headers carry id, deadline and outcome, and how refusals are written; the
// product's own is Native. A keyless route sends each non-idempotent request once and keeps no record. A
// route's limit of attempts counts those that may have run; a server that reports a failure of its own is
// followed by another one where the work may run again, and its answer is passed on if none does better.
//
// The paths /v1/endpoints and /v1/backends/ are served by the host itself and reach no route.
package entry
