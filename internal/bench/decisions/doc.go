// Package decisions measures the quality of the fleet's dispatch decisions. It runs
// real nodes over loopback with stand-in backend servers, at the current size of
// both users' deployments, and compares them with two baselines: power of two
// choices on each node with only its own counts, and the same with counts shared by
// all nodes.
//
// The targets come from the acceptance table of docs/design.md. Latency between
// data centres is emulated at the dialers.
package decisions
