package agreement

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of proposers.
var (
	// ErrNoQuorum means that no majority answered and that the proposed value was accepted nowhere.
	ErrNoQuorum = errors.New("no majority of control replicas answers; check the control hosts and their network")
	// ErrUndecided means that the value may have been accepted by some replicas and may be decided later.
	ErrUndecided = errors.New("the outcome of the proposal is not known; read the register or propose again")
	// ErrCompacted means that the register was replaced by a snapshot.
	ErrCompacted = errors.New("the register was compacted; read the chain's snapshot")
)

// Register is one decided register of a chain.
type Register struct {
	// Index is the position in the chain, from 1.
	Index uint64
	Value []byte
}

// Chain is what a majority knows of a chain of registers.
type Chain struct {
	// Floor is the first index that still exists as a register; lower ones are in Snapshot.
	Floor    uint64
	Snapshot []byte
	// Decided lists consecutive decided registers from the asked index or the floor.
	Decided []Register
	// Undecided is set when the register after the last decided one has votes without a known decision.
	Undecided bool
}

// Proposer decides write-once registers that are named by a chain prefix and an
// index. It is safe for concurrent use.
type Proposer interface {
	// Propose decides the register and returns the decided value, which may be another proposer's.
	// Errors: ErrNoQuorum, ErrUndecided, ErrCompacted.
	Propose(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error)
	// ProposeFast is Propose that tries one round trip without a prepare first.
	ProposeFast(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error)
	// Read returns the chain from the index on, as a majority knows it. A register with votes that
	// may be decided is completed first, so that a later Read never returns less.
	Read(ctx context.Context, prefix string, from uint64) (Chain, error)
}
