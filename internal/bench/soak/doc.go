// Package soak runs a real fleet on loopback under random faults and checks its promises.
//
// The fleet is that of package localfleet: 9 nodes in 3 data centres, 3 control replicas and
// stand-in backend servers of two services. Callers send idempotent and keyed requests and send
// keyed ones again through other entry hosts, also after a lost answer and with another body.
// Pairs of operators change the configuration with equal expected revisions and resend after lost
// answers. Kinds, times and targets of all faults are drawn from the seed before the start, so
// that a run with the same seed does the same things; only the scheduling of the machine differs.
//
// The faults stay within what the design promises: for instance, at most one control replica at
// a time has lost its disk. The run ends at the first violation of a check, with the time and the
// faults before it. The checks are the Check constants; their bounds (3 s, 10 s) are those of the
// design and never measured ones.
package soak
