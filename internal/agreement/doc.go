// Package agreement decides write-once registers by majority among the control replicas, without a
// leader.
//
// A register is named by the prefix of its chain and an index. A Proposer decides a register in two
// round trips, or in one with ProposeFast. If two fast proposals split the votes, an ordinary round
// completes the one that may have been decided; while that is not known because a replica is
// silent, the proposer answers ErrUndecided. ErrNoQuorum means that the value was accepted nowhere.
//
// A Replica keeps its registers in memory and every change in a journal below its folder. It
// answers only after a sync. Status shows one of the states blank (waits for its group), checking
// (asks its peers whether its folder is the newest), learning (copies the state), voting and
// stopped (a disk failure, or another member has its place), with a reason.
//
// A replica whose folder is lost, damaged or an old copy keeps the old folder aside, takes a new
// disk id and asks a voting member to be swapped in. It votes again when it has copied the state of
// a majority of the members before the swap. A replica under a new id is swapped in by an operator
// (Swap). A swap is refused while fewer than a majority of the members would go on voting, because
// nobody could copy the state then.
//
// Memory: about 260 bytes and the value for each register; 100,000 registers with values of 200 bytes
// took 46 MB. A value of 64 KiB takes 64 KiB. A restart reads the newest snapshot as a whole, which
// takes its size once more. Retain drops chains at compaction, which runs when the journal has grown
// by four segments and by the size of the last snapshot, and hourly while there are changes.
//
// Limits of the detection of an old copy: a copy that is behind by less than the last exchange
// (200 ms; 1 s if all peers restart at the same time) is not noticed.
package agreement
