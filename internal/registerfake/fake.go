// Package registerfake is an in-memory stand-in for the write-once registers of package
// agreement, for the tests of what is built on them.
//
// It keeps the promises of agreement.Proposer and no more: a proposal can be decided and its
// answer lost, it can stay open until a later call completes it, or it can vanish. Faults are
// drawn from a seeded source, so that a run under testing/synctest can be repeated.
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

// Faults are the probabilities of what can go wrong with one call, 0 to 1.
type Faults struct {
	// NoQuorum fails a call without any effect.
	NoQuorum float64
	// ReplyLost fails a proposal with ErrUndecided although it was decided or met a decided value.
	ReplyLost float64
	// Open fails a proposal with ErrUndecided and leaves it to be decided or dropped by a later call.
	Open float64
	// ProposalLost fails a proposal with ErrUndecided without any effect.
	ProposalLost float64
	// ReadUndecided makes a read report a decided register as undecided, as long as no read has shown
	// it yet: the replicas that answer hold too few of its votes.
	ReadUndecided float64
	// MaxDelay bounds the delay before and after the effect of a call.
	MaxDelay time.Duration
}

// Registers are the chains that all proposers share. They are safe for concurrent use.
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

// New returns registers without values.
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

// Values returns the decided values of a chain from its floor on.
func (r *Registers) Values(prefix string) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chain(prefix).values(1)
}

// Prefixes returns the chains that exist.
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

// Compact replaces the registers below the floor by the snapshot.
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

// Proposer returns a proposer that can be cut off from the registers.
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

// drawNoQuorum draws whether a call finds no majority.
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

// decide settles a register among the open values and the proposed one.
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

// Proposer is one process's access to the registers.
type Proposer struct {
	registers    *Registers
	mu           sync.Mutex
	disconnected bool
}

var _ agreement.Proposer = (*Proposer)(nil)

// SetDisconnected makes every later call fail with ErrNoQuorum, or undoes that.
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

// Propose decides the register or fails as the faults say.
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

// ProposeFast acts as Propose.
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

// Read returns the chain. It completes an open register, or at times reports it as undecided.
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
