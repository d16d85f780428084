// Package settings reads the static settings of a process: its addresses, data
// centre, data folder, peers and limits. They are separate from the replicated
// configuration, which operators change while the fleet runs.
//
// The file is strict JSON. The process does not start if the file has an unknown
// field, a bad unit, an address out of range, overlapping ports or a data centre that
// does not exist. The error names the field and the remedy.
package settings
