// Package agreement decides write-once registers by majority among the control replicas, without a
// leader.
//
// A register is identified by the prefix of its chain and an index. A Proposer decides a register in two
// round trips, or in one with ProposeFast. If two fast proposals split the votes, an ordinary round
// completes the one that may have been decided. While an unresponsive replica keeps that unknown, the
// proposer returns ErrUndecided. ErrNoQuorum means that no replica accepted the value.
//
// A Replica keeps its registers in memory and every change in a journal in its folder. It reports
// promises and votes only after they are synced to disk. Status shows one of the states blank (waiting
// for its group), checking (asking its peers whether its folder is the newest), learning (copying the
// state), voting and stopped (a disk failed, or another member has taken its place), with a reason.
//
// A replica whose folder is lost, damaged or an old copy sets the old folder aside, takes a new disk id
// and asks a voting member to swap it in. It votes again once it has copied the state of a majority of
// the members before the swap. A replica with a new id is swapped in by an operator (Swap). A swap is
// refused if fewer than a majority of the members would remain voting, because the new member could then
// not copy the state.
// A change of the group that its proposer left undecided is completed by a member that has voted for it, while a majority
// of the changed group answers. Otherwise the group goes on without it.
//
// Memory: about 260 bytes plus the value for each register; 100,000 registers with values of 200 bytes
// take 46 MB. A value of 64 KiB takes 64 KiB. A copy is read in pages of 1 MiB, of which a learner holds one for each
// member without decided values, and at most three with them; what is decided is stored at once. A page holds at least one
// value or snapshot. A restart reads the newest snapshot as a whole, which
// takes its size once more. Compaction drops the chains that Retain rejects. It runs when the journal has
// grown by four segments and by the size of the last snapshot, and hourly while there are changes.
//
// Limits of the detection of an old copy: a copy that is behind by less than the last exchange
// (200 ms; 1 s if all peers restart at the same time) is not detected.
package agreement
