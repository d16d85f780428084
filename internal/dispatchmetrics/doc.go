// Package dispatchmetrics exports the decisions of this node's dispatchers to Prometheus.
//
// # What operators see
//
// Only the node that holds the lease of a service exports its series; after a takeover they
// continue on another node, and the counters start at 0 there. Sum the increases over all nodes.
// tarragonmux_dispatch_overload is 1 while hedges and retries are stopped because requests queue up
// or most backend servers look bad. tarragonmux_dispatch_ejections_denied_total rises when the minimum
// healthy capacity keeps a bad backend server in rotation.
package dispatchmetrics
