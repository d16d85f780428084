// Package slopes measures how state, messages, processor time and memory of each
// role grow with the size of the fleet, and extrapolates the fitted lines to the
// target size, for docs/CAPACITY.md.
//
// Each series is measured at several sizes and fitted by least squares. The processor
// time of a whole fleet includes its stand-in backend servers and callers, which run
// in the same process, so it is an upper bound for the hosts.
package slopes
