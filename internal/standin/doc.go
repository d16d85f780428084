// Package standin is a backend server for tests, benches and demonstrations.
//
// It runs each request for a set time in one of its slots, queues a few more, and rejects
// the rest with status 503 and "Tarragon-Outcome: not-run". It starts cold, drains, honours
// cancellation and the Grpc-Timeout header, and announces itself to one of several entry
// hosts. Its health and load endpoints (/healthz, /load) report what was true a set time ago.
//
// Faults are switched at run time with SetFaults or over the control listener:
//
//	GET  /standin/faults   the faults in force
//	PUT  /standin/faults   replaces them (JSON, see Faults)
//	POST /standin/drain    announces draining and rejects new work
//	GET  /standin/log      which work ran, by request id and by idempotency key
//
// Headers of a request steer its work: Standin-Work (duration), Standin-Size (bytes of the
// answer), Standin-Status (status of the answer), Standin-Crash (any value: the server breaks
// all connections, stops listening, and comes back cold with a new incarnation).
package standin
