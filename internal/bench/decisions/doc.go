// Package decisions measures how well the fleet decides, on real nodes over
// loopback with stand-in backend servers at today's sizes of both users, beside
// two baselines: power of two choices on each node with its own observations, and
// the same with counts shared by all nodes.
//
// The targets come from the acceptance table of docs/design.md. Latency between
// data centres is emulated at the dialers.
package decisions
