// Package soak runs a real fleet on loopback, injects random faults and checks the guarantees of the fleet.
//
// The fleet is started by package localfleet: 9 nodes in 3 data centres, 3 control replicas, and stand-ins as
// the backend servers of two services. Callers send idempotent and keyed requests. They resend keyed requests
// through other entry hosts, also after a lost response, and reuse keys with a different body. Pairs of
// operators change the configuration with equal expected revisions and resend after lost replies. The kinds,
// times and targets of all faults are drawn from the seed before the start, so that runs with the same seed
// inject the same faults; only the scheduling of the machine differs.
//
// The faults stay within the failures that the design tolerates: for instance, at most one control replica at
// a time has lost its disk. The run ends at the first violation of a check, and reports it with its time and
// the events before it. The checks are the Check constants. Their bounds (3 s, 10 s) are taken from the
// design, not from measurements.
package soak
