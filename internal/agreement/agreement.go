package agreement

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of proposers.
var (
	// ErrNoQuorum means that no majority responded and that no replica accepted the proposed value.
	ErrNoQuorum = errors.New("no majority of control replicas answers; check the control hosts and their network")
	// ErrUndecided means that the value may have been accepted by some replicas and may be decided later.
	ErrUndecided = errors.New("the outcome of the proposal is not known; read the register or propose again")
	// ErrCompacted means that compaction replaced the register by a snapshot.
	ErrCompacted = errors.New("the register was compacted; read the snapshot of its chain")
)

// Register is one decided register of a chain.
type Register struct {
	// Index is the position in the chain, from 1.
	Index uint64
	Value []byte
}

// Chain is the state of a chain of registers as known to a majority.
type Chain struct {
	// Floor is the first index that still exists as a register; Snapshot replaces the lower ones.
	Floor    uint64
	Snapshot []byte
	// Decided lists consecutive decided registers, starting at the requested index or at the floor.
	Decided []Register
	// Undecided is set if the register after the last decided one has votes but no known decision.
	Undecided bool
	// More is set if the chain is longer than one Read returns. The next Read begins after the last decided
	// register.
	More bool
}

// Proposer decides write-once registers, each identified by a chain prefix and an
// index. It is safe for concurrent use.
type Proposer interface {
	// Propose decides the register and returns the decided value, which may be another proposer's.
	// Errors: ErrNoQuorum, ErrUndecided, ErrCompacted.
	Propose(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error)
	// ProposeFast is like Propose, but first tries a single round trip without a prepare phase.
	ProposeFast(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error)
	// Read returns the chain from the index on, as known to a majority, or its first 4 MiB. A register with votes
	// that may be decided is completed first, so that a later Read never returns fewer decided registers.
	Read(ctx context.Context, prefix string, from uint64) (Chain, error)
}
