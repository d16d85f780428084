// Package dispatchrpc runs the dispatchers of this node and connects the node to the dispatchers
// of its services.
//
// # Dispatcher
//
// A Server runs one dispatch.Machine for each service for which this node holds the lease. It reads
// the backend servers from the registry every 100 ms. When the lease ends, it drops all state
// immediately and notifies its nodes. They report their requests in flight to the next dispatcher, which
// grants nothing until it has collected these reports for 150 ms.
//
// # Node
//
// A Client is the node's grant.Source. It keeps one stream per service, sends everything that is
// pending in one message, and sends a heartbeat when it has sent nothing else for 100 ms. Either
// side closes a stream on which it has received nothing for 300 ms.
//
// A stream is idle when the node has had nothing in flight on it for 2 s. The node then sends one
// message per second, to which the dispatcher responds, and either side closes the stream after
// 1.3 s without a message. The first request ends the idle state; the dispatcher then has 300 ms to
// respond.
//
// A node that has had no dispatcher for 300 ms, or for 1.3 s if its stream was idle, is autonomous:
// it uses its own share of the slots of each server, serves urgent requests first, never ejects
// servers, and does not use servers that the last dispatcher had ejected until 5 s after the last
// message from that dispatcher. The shares of all nodes of the host set never add up to more than the
// slots. Requests wait for a free slot until their deadline and are then refused as deadline-passed,
// with the outcome not-run. Hedges are refused.
//
// # Settings
//
// The minimum healthy capacity, the minimum shares, the default slots and connections and the host
// set come from the Settings interface. The package refuses requests as starting while the node does
// not follow the service, and as shutting-down when it stops.
package dispatchrpc
