// Package dispatchrpc runs the dispatchers of this node and connects the node to the dispatchers
// of its services.
//
// # Dispatcher
//
// A Server runs one dispatch.Machine for each service on which this node holds the lease. It takes
// the backend servers from the registry every 100 ms. When the lease ends, it drops all state at
// once and tells its nodes; they report their requests in flight to the next dispatcher, which
// grants nothing before it has collected these reports for 150 ms.
//
// # Node
//
// A Client is the node's grant.Source. It keeps one stream per service, sends everything that is
// pending in one message, and sends a heartbeat when it sent nothing else for 100 ms. A stream that
// is silent for 300 ms is given up on either side.
//
// A stream on which the node had nothing in flight for 2 s is quiet: the node sends a message each
// second, which the dispatcher answers, and either side gives the stream up after 1.3 s of silence.
// The first request ends this; the dispatcher then has 300 ms to answer.
//
// A node that has had no dispatcher for 300 ms, or for 1.3 s if its stream was quiet, is autonomous:
// it uses its own share of the slots
// of each server, serves urgent work first, never ejects, and does not use servers that the last
// dispatcher had ejected. The shares of all nodes of the host set never add up to more than the
// slots. Requests wait for a free slot until their deadline and are then refused as
// deadline-passed, with the outcome not-run. Hedges are refused.
//
// # Settings
//
// The minimum healthy capacity, the minimum shares, the default slots and connections and the host
// set come from the Settings interface. The package refuses with starting while the node does not
// follow the service, and with shutting-down when it stops.
package dispatchrpc
