// Package roundtrip sends requests to backend servers over pooled HTTP/1.1 connections.
//
// It parses responses with net/http but manages its own connections, because
// http.Transport may resend a request by itself when a reused connection breaks.
// Here a request is written at most once per Send, and an error reports whether any byte
// of it was handed to the network.
//
// A connection carries one request at a time. It is reused only after the complete request
// was written and the complete response was read with no bytes left over. It is closed after
// a timeout, a cancellation, a response that was not fully read, or a response that ends with
// the connection. An idle connection that became readable is closed instead of reused, so that
// a late response is never delivered to a later request.
//
// A request that was refused is never sent again on the connection that refused it: servers
// may send a refusal once more, and with the same id the copy could not be told from the
// response.
//
// A status outside 100 to 599, or an informational one with a body, is not a valid response. The round trip fails, and
// the connection is closed, since the bytes behind it may look like a response.
//
// Responses must state their length, by Content-Length or by chunked encoding. A response that
// ends with the connection is refused unless Request.CloseDelimited is set, since a truncated
// one would look complete.
package roundtrip
