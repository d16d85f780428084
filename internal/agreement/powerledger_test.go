package agreement_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
)

const (
	// configChain is written by one proposer in ordinary rounds, and compacted.
	configChain = "config"
	// claimChains are written by one proposer each in fast rounds, contendedChains by two at the same time.
	claimChains     = "rec/claim"
	contendedChains = "rec/contended"
)

// powerLedger holds what clients were told before the power was lost: the digests of values that were acknowledged or
// read.
type powerLedger struct {
	t      *testing.T
	mu     sync.Mutex
	closed bool
	told   map[string]map[uint64]string
}

func newPowerLedger(t *testing.T) *powerLedger {
	return &powerLedger{t: t, told: map[string]map[uint64]string{}}
}

// setClosed ends the recording while the power is lost: what clients are told then never left the host.
func (l *powerLedger) setClosed(closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = closed
}

func (l *powerLedger) add(prefix string, index uint64, digest string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if l.told[prefix] == nil {
		l.told[prefix] = map[uint64]string{}
	}
	if known, ok := l.told[prefix][index]; ok && known != digest {
		l.t.Errorf("%s/%d was %s and is %s", prefix, index, known, digest)
	}
	l.told[prefix][index] = digest
}

// check compares a read with what clients were told before it began.
func (l *powerLedger) check(prefix string, before int, found chainDigests) {
	l.mu.Lock()
	defer l.mu.Unlock()
	missing := 0
	for index, digest := range l.told[prefix] {
		switch known, ok := found.values[index]; {
		case ok && known != digest:
			l.t.Errorf("%s/%d was %s and is %s", prefix, index, digest, known)
		case !ok:
			missing++
		}
	}
	if missing > len(l.told[prefix])-before && !found.undecided {
		l.t.Errorf("%s lacks %d of %d values, the read ends at %d", prefix, missing, len(l.told[prefix]), len(found.values))
	}
}

func (l *powerLedger) count(prefix string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.told[prefix])
}

func (l *powerLedger) prefixes() (list []string, values int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for prefix, indexes := range l.told {
		list = append(list, prefix)
		values += len(indexes)
	}
	return list, values
}

func digestOf(value []byte) string {
	return fmt.Sprintf("%x", sha256.Sum256(value))[:16]
}

// chainDigests are the digests of the values of a chain, of those in its snapshot as well.
type chainDigests struct {
	values    map[uint64]string
	last      uint64
	undecided bool
}

// snapshot returns a snapshot of the values below the floor.
func (d chainDigests) snapshot(floor uint64) []byte {
	var lines []string
	for index := uint64(1); index < floor; index++ {
		lines = append(lines, fmt.Sprintf("%d %s", index, d.values[index]))
	}
	return []byte(strings.Join(lines, "\n"))
}

func readDigests(ctx context.Context, p agreement.Proposer, prefix string) (chainDigests, error) {
	out := chainDigests{values: map[uint64]string{}}
	for more := true; more; {
		chain, err := p.Read(ctx, prefix, out.last+1)
		if err != nil {
			return out, err
		}
		for line := range strings.Lines(string(chain.Snapshot)) {
			index, digest := uint64(0), ""
			if _, err := fmt.Sscanf(line, "%d %s", &index, &digest); err != nil {
				return out, err
			}
			out.values[index], out.last = digest, max(out.last, index)
		}
		for _, r := range chain.Decided {
			out.values[r.Index], out.last = digestOf(r.Value), max(out.last, r.Index)
		}
		more, out.undecided = chain.More, chain.Undecided
	}
	return out, nil
}

// powerClient is one process that proposes and reads until its context ends.
type powerClient struct {
	ledger   *powerLedger
	proposer agreement.Proposer
	name     string
	random   *rand.Rand
}

// value returns a value that no other proposal has, some of them large.
func (c *powerClient) value() []byte {
	size := c.random.IntN(200)
	if c.random.IntN(12) == 0 {
		size = c.random.IntN(100 << 10)
	}
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(c.random.Uint32())
	}
	return fmt.Appendf(text, "%s %d", c.name, c.random.Uint64())
}

func (c *powerClient) pause(ctx context.Context, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(c.random.Int64N(int64(longest)))):
	}
}

type proposal func(context.Context, string, uint64, []byte) ([]byte, error)

// propose reports whether the register was decided.
func (c *powerClient) propose(ctx context.Context, propose proposal, prefix string, index uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	decided, err := propose(ctx, prefix, index, c.value())
	if err != nil {
		return false
	}
	c.ledger.add(prefix, index, digestOf(decided))
	return true
}

// read records the whole chain and returns its last index. It reports false if the read failed.
func (c *powerClient) read(ctx context.Context, prefix string) (chainDigests, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	before := c.ledger.count(prefix)
	found, err := readDigests(ctx, c.proposer, prefix)
	if err != nil {
		return found, false
	}
	c.ledger.check(prefix, before, found)
	for index, digest := range found.values {
		c.ledger.add(prefix, index, digest)
	}
	return found, true
}

// writeConfig appends to the configuration chain, and reads it after a proposal whose outcome is not known.
func (c *powerClient) writeConfig(ctx context.Context) {
	last := uint64(0)
	for known := false; ctx.Err() == nil; {
		if !known {
			found, ok := c.read(ctx, configChain)
			last, known = found.last, ok
		}
		if known {
			known = c.propose(ctx, c.proposer.Propose, configChain, last+1)
			last++
		}
		c.pause(ctx, 10*time.Millisecond)
	}
}

// writeClaims claims keys that nobody else claims, and records their outcomes.
func (c *powerClient) writeClaims(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		prefix := fmt.Sprintf("%s-%s-%d", claimChains, c.name, n)
		if c.propose(ctx, c.proposer.ProposeFast, prefix, 1) && c.random.IntN(2) == 0 {
			c.propose(ctx, c.proposer.Propose, prefix, 2)
		}
		c.pause(ctx, 20*time.Millisecond)
	}
}

// contend claims a key at about the same time as the other client of the same run.
func (c *powerClient) contend(ctx context.Context) {
	started := time.Now()
	for n := 1; ctx.Err() == nil; n++ {
		c.propose(ctx, c.proposer.ProposeFast, fmt.Sprintf("%s-%s-%d", contendedChains, started.Format("150405.000"), n), 1)
		next := started.Add(time.Duration(n) * 40 * time.Millisecond)
		time.Sleep(time.Until(next))
	}
}

func (c *powerClient) readConfig(ctx context.Context) {
	for ctx.Err() == nil {
		c.read(ctx, configChain)
		c.pause(ctx, 200*time.Millisecond)
	}
}

// compactConfig compacts the configuration chain at the replicas, as their configuration logs do.
func (c *powerClient) compactConfig(ctx context.Context, replicas []*agreement.Replica) {
	for ctx.Err() == nil {
		c.pause(ctx, 400*time.Millisecond)
		found, ok := c.read(ctx, configChain)
		if !ok || found.last < 8 {
			continue
		}
		for _, r := range replicas {
			floor := found.last - uint64(c.random.IntN(5))
			// A replica that does not vote refuses.
			_ = r.Compact(configChain, floor, found.snapshot(floor))
		}
	}
}
