// Package registerfake is an in-memory fake of the write-once registers of package agreement, for
// tests of the packages that use them.
//
// It gives the guarantees of agreement.Proposer and no stronger ones: a proposal can be decided although
// its reply is lost, it can stay open until a later call completes it, or it can be lost. Faults are
// drawn from a seeded source, so that a run under testing/synctest is reproducible.
package registerfake

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
)

// Faults holds the probabilities of the faults of one call, 0 to 1, and the bound of its delays.
type Faults struct {
	// NoQuorum fails a call without any effect.
	NoQuorum float64
	// ReplyLost fails a proposal with ErrUndecided although its register is decided, by this call or before.
	ReplyLost float64
	// Open fails a proposal with ErrUndecided and leaves it open: a later call decides or discards it.
	Open float64
	// ProposalLost fails a proposal with ErrUndecided without any effect.
	ProposalLost float64
	// ReadUndecided makes a read report a decided register as undecided, unless an earlier read has returned
	// it. It simulates that the replicas that respond hold too few of the votes for the value.
	ReadUndecided float64
	// MaxDelay bounds the delay before and after the effect of a call.
	MaxDelay time.Duration
}

// Registers holds the chains that all proposers share. It is safe for concurrent use.
type Registers struct {
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	chains map[string]*chain
}

type chain struct {
	floor    uint64
	snapshot []byte
	decided  map[uint64][]byte
	open     map[uint64][][]byte
	// highestRead is the highest index that a read has returned.
	highestRead uint64
}

// New returns Registers without any chain.
func New(seed uint64, faults Faults) *Registers {
	return &Registers{
		random: rand.New(rand.NewPCG(seed, 0)),
		faults: faults,
		chains: map[string]*chain{},
	}
}

// SetFaults replaces the probabilities.
func (r *Registers) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Values returns the consecutive decided values of a chain, starting at its floor.
func (r *Registers) Values(prefix string) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain(prefix).values(1)
}

// Prefixes returns the sorted prefixes of the existing chains.
func (r *Registers) Prefixes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var prefixes []string
	for prefix := range r.chains {
		prefixes = append(prefixes, prefix)
	}
	slices.Sort(prefixes)
	return prefixes
}

// Compact replaces the registers below the floor with the snapshot.
func (r *Registers) Compact(prefix string, floor uint64, snapshot []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.chain(prefix)
	if floor <= c.floor {
		return nil
	}
	for index := c.floor; index < floor; index++ {
		if _, ok := c.decided[index]; !ok {
			return errors.Errorf("register %d of %s is not decided; compact only decided registers", index, prefix)
		}
		delete(c.decided, index)
	}
	c.floor, c.snapshot = floor, snapshot
	return nil
}

// Proposer returns a proposer that can be disconnected from the registers.
func (r *Registers) Proposer() *Proposer {
	return &Proposer{registers: r}
}

func (r *Registers) chain(prefix string) *chain {
	c, ok := r.chains[prefix]
	if !ok {
		c = &chain{floor: 1, decided: map[uint64][]byte{}, open: map[uint64][][]byte{}}
		r.chains[prefix] = c
	}
	return c
}

// drawNoQuorum draws whether the fault NoQuorum applies to a call.
func (r *Registers) drawNoQuorum() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < r.faults.NoQuorum
}

func (r *Registers) delay(ctx context.Context) {
	r.mu.Lock()
	d := time.Duration(r.random.Float64() * float64(r.faults.MaxDelay))
	r.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// decide decides a register, if it is not decided yet, by selecting one of the open values or the
// proposed one. It returns the decided value.
func (r *Registers) decide(c *chain, index uint64, value []byte) []byte {
	if decided, ok := c.decided[index]; ok {
		return decided
	}
	candidates := append(slices.Clone(c.open[index]), value)
	c.decided[index] = candidates[r.random.IntN(len(candidates))]
	delete(c.open, index)
	return c.decided[index]
}

func (c *chain) values(from uint64) [][]byte {
	var values [][]byte
	for index := max(from, c.floor); ; index++ {
		value, ok := c.decided[index]
		if !ok {
			return values
		}
		values = append(values, value)
	}
}

// Proposer is the access of one process to the registers.
type Proposer struct {
	registers    *Registers
	mu           sync.Mutex
	disconnected bool
}

var _ agreement.Proposer = (*Proposer)(nil)

// SetDisconnected sets whether later calls fail with ErrNoQuorum.
func (p *Proposer) SetDisconnected(disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = disconnected
}

func (p *Proposer) isDisconnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disconnected
}

// Propose implements agreement.Proposer. The configured faults apply.
func (p *Proposer) Propose(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error) {
	r := p.registers
	r.delay(ctx)
	if ctx.Err() != nil || p.isDisconnected() || r.drawNoQuorum() {
		return nil, errors.WithStack(agreement.ErrNoQuorum)
	}
	decided, err := r.propose(prefix, index, value)
	r.delay(ctx)
	return decided, err
}

// ProposeFast implements agreement.Proposer and does the same as Propose.
func (p *Proposer) ProposeFast(ctx context.Context, prefix string, index uint64, value []byte) ([]byte, error) {
	return p.Propose(ctx, prefix, index, value)
}

func (r *Registers) propose(prefix string, index uint64, value []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.chain(prefix)
	if index < c.floor {
		return nil, errors.WithStack(agreement.ErrCompacted)
	}
	draw := r.random.Float64()
	switch {
	case draw < r.faults.ProposalLost:
		return nil, errors.WithStack(agreement.ErrUndecided)
	case draw < r.faults.ProposalLost+r.faults.Open:
		if _, ok := c.decided[index]; !ok {
			c.open[index] = append(c.open[index], value)
		}
		return nil, errors.WithStack(agreement.ErrUndecided)
	case draw < r.faults.ProposalLost+r.faults.Open+r.faults.ReplyLost:
		r.decide(c, index, value)
		return nil, errors.WithStack(agreement.ErrUndecided)
	default:
		return r.decide(c, index, value), nil
	}
}

// Read returns the chain. If the register after the last decided one has open proposals, Read decides it
// or, with a probability of 1/4, reports it as undecided.
func (p *Proposer) Read(ctx context.Context, prefix string, from uint64) (agreement.Chain, error) {
	r := p.registers
	r.delay(ctx)
	if ctx.Err() != nil || p.isDisconnected() || r.drawNoQuorum() {
		return agreement.Chain{}, errors.WithStack(agreement.ErrNoQuorum)
	}
	result := r.read(prefix, from)
	r.delay(ctx)
	return result, nil
}

func (r *Registers) read(prefix string, from uint64) agreement.Chain {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.chain(prefix)
	next := c.floor + uint64(len(c.values(c.floor)))
	undecided := false
	if open := c.open[next]; len(open) > 0 {
		undecided = r.random.IntN(4) == 0
		if !undecided {
			r.decide(c, next, open[0])
		}
	}
	result := agreement.Chain{Floor: c.floor, Undecided: undecided}
	if from < c.floor {
		result.Snapshot = c.snapshot
	}
	first := max(from, c.floor)
	for i, value := range c.values(first) {
		index := first + uint64(i)
		if index > c.highestRead && r.random.Float64() < r.faults.ReadUndecided {
			result.Undecided = true
			return result
		}
		c.highestRead = max(c.highestRead, index)
		result.Decided = append(result.Decided, agreement.Register{Index: index, Value: value})
	}
	return result
}
