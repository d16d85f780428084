// Package settings reads the static settings of a process: its addresses, data
// centre, data folder, peers and limits. They are apart from the replicated
// configuration, which operators change while the fleet runs.
//
// The file is strict JSON. An unknown field, a bad unit, an address out of range,
// overlapping ports or a data centre that does not exist is reported with the field
// and the remedy, and the process does not start.
package settings
