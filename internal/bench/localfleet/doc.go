// Package localfleet runs real nodes, control replicas and stand-in backend
// servers inside one process on loopback addresses, for the demo and experiments.
//
// Each host runs the same components as a separate process would. Each host has its
// own loopback address, so that it keeps its ports across restarts.
package localfleet
