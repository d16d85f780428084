// Package storage keeps a journal and its snapshots in one folder.
//
// The journal is a row of append-only segment files of about 16 MiB. Entries that arrive while a
// sync runs share the next sync (group commit), and each sync writes one frame with a CRC-32C. An
// entry is durable when Sync returned nil for its sequence.
//
// On a start the newest snapshot is read, then the segments after it. An incomplete frame at the
// very end of the newest segment is the trace of a crash and is cut off. Any other frame with a
// wrong checksum, a gap between segments or an incomplete snapshot is reported as ErrDamaged, and
// the folder is left as it is.
//
// After a failed write or sync the log refuses everything with ErrStopped until the process is
// restarted, because the kernel may have dropped the data that it could not write. Check the disk
// (space, kernel messages) before the restart.
//
// MemFS is a file system in memory for the demo and for tests, with the faults of real disks.
package storage
