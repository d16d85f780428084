// Package localfleet runs real nodes, control replicas and stand-in backend
// servers inside one process on loopback addresses, for the demo and experiments.
//
// Every part is the one that a separate process would run. Each host has its own
// loopback address, so that it keeps its ports across restarts.
package localfleet
