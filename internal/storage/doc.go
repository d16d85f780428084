// Package storage keeps a journal and its snapshots in one folder.
//
// The journal is a sequence of append-only segment files, by default of about 16 MiB. Entries that
// arrive while a sync is running share the next sync (group commit), and each sync writes one frame
// with a CRC-32C. An entry is durable once Sync has returned nil for its sequence.
//
// On a start, Open reads the newest snapshot and then the segments after it, and syncs them: a process
// that was killed may have written an entry without its sync. An incomplete frame at the very end of the
// newest segment was left by a crash and is truncated. Any other frame with a
// wrong checksum, a gap between segments or an incomplete snapshot is reported as ErrDamaged, and
// the segments and snapshots are left unchanged.
//
// After a failed write or sync the log refuses all further writes with ErrStopped until the process
// is restarted, because the kernel may have dropped the data that it could not write. Check the disk
// (free space, kernel messages) before the restart.
//
// MemFS is a file system in memory for the demo and for tests. It can simulate the faults of real
// disks.
package storage
