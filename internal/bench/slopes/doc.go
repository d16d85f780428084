// Package slopes measures how state, messages, processor time and memory of each
// role grow with the size of the fleet, and carries the fitted lines to the target
// size, for docs/CAPACITY.md.
//
// Each series is measured at several sizes and fitted by least squares. Processor
// time of a whole fleet includes its stand-ins and callers, since they share the
// process, so that it is an upper bound for the hosts.
package slopes
