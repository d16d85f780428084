// Package dispatchmetrics exports the decisions of this node's dispatchers to Prometheus.
//
// # For operators
//
// Only the node that holds the lease of a service exports its series. After a takeover they continue
// on another node, and the counters start at 0 there, so sum the increases over all nodes.
// tarragonmux_dispatch_overload is 1 while hedges and retries are stopped because requests queue up
// or most backend servers appear unhealthy. tarragonmux_dispatch_ejections_denied_total increases when
// the minimum healthy capacity keeps an unhealthy backend server in rotation.
package dispatchmetrics
