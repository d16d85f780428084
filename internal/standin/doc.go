// Package standin implements a simulated backend server for tests, benchmarks and demonstrations.
//
// The server runs each request for a configured time in one of its slots, queues a limited number of
// further requests, and rejects the rest with status 503 and "Tarragon-Outcome: not-run". It simulates a
// cold start, supports draining, honours cancellation and the Grpc-Timeout header, and announces itself
// to one of several entry hosts. Its health and load endpoints (/healthz, /load) report its state with
// a configured delay (Config.HealthLag).
//
// Faults are set at run time with SetFaults or over the control listener:
//
//	GET  /standin/faults   returns the current faults
//	PUT  /standin/faults   replaces them (JSON, see Faults)
//	POST /standin/drain    announces draining and rejects new work
//	GET  /standin/log      returns which work ran, by request id and by idempotency key
//
// Request headers control the work: Standin-Work (its duration), Standin-Size (size of the response body
// in bytes), Standin-Status (status of the response) and Standin-Crash (any value: the server resets all
// connections, stops listening, and restarts cold with a new incarnation).
package standin
