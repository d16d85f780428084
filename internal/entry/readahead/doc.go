// Package readahead notices that a caller has closed its connection while pipelined requests wait on it.
//
// While net/http handles a request it watches the connection by reading one byte, and stops once that byte
// belongs to a further request. From then on a Conn reads ahead itself, up to MaxBuffered bytes, and cancels
// the context of the connection's requests when the caller closes or resets it. Beyond MaxBuffered the close
// is noticed only once earlier requests have ended. Connections without pipelined requests cost nothing.
//
// The package has no settings and refuses no requests.
package readahead
