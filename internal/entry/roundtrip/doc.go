// Package roundtrip sends requests to backend servers over pooled HTTP/1.1 connections.
//
// It reads and writes messages with net/http but keeps its own connections, because
// http.Transport may send a request again on its own when a reused connection breaks.
// Here a request is written at most once per Send, and an error tells whether any byte
// of it was handed to the network.
//
// A connection carries one request at a time. It is reused only after the whole request
// was written and the whole answer was read with nothing left over. After a timeout, a
// cancellation, an unread answer or an answer without a stated length it is closed. An
// idle connection that became readable is closed before reuse, so that a late answer can
// never be taken for the answer of a later request.
//
// Answers must state their length, by Content-Length or by chunks. An answer that ends
// with the connection is refused, since a broken one would look whole.
package roundtrip
