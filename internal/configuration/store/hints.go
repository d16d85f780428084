package store

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/tarragonmux/tarragonmux/internal/logging"
)

const (
	// maxHints bounds the number of pending hints.
	maxHints = 16
	// maxHintFetches is the maximum number of concurrent fetches from peers. It is above 1, so that an
	// unresponsive peer does not delay fetches from others.
	maxHintFetches = 3
)

// hint records that the peer at the address has the revision in force.
type hint struct {
	address  string
	revision uint64
	// size is the size of the contents in bytes; 0 if unknown.
	size int64
}

// hintQueue holds the hints with the highest revisions until they are drained.
type hintQueue struct {
	mu      sync.Mutex
	pending []hint
	wake    chan struct{}
}

func newHintQueue() *hintQueue {
	return &hintQueue{wake: make(chan struct{}, 1)}
}

func (h *hintQueue) add(added hint) {
	h.mu.Lock()
	h.pending = slices.DeleteFunc(h.pending, func(k hint) bool { return k.address == added.address })
	h.pending = append(h.pending, added)
	slices.SortStableFunc(h.pending, func(a, b hint) int { return cmp.Compare(b.revision, a.revision) })
	h.pending = h.pending[:min(len(h.pending), maxHints)]
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// drain removes and returns the pending hints, highest revision first.
func (h *hintQueue) drain() []hint {
	h.mu.Lock()
	defer h.mu.Unlock()
	drained := h.pending
	h.pending = nil
	return drained
}

// takeAbove removes all pending hints. It returns the addresses of those above the revision, highest revision first,
// and the largest size of their contents.
func (h *hintQueue) takeAbove(revision uint64) (addresses []string, size int64) {
	for _, k := range h.drain() {
		if k.revision > revision {
			addresses = append(addresses, k.address)
			size = max(size, k.size)
		}
	}
	return addresses, size
}

// followHints fetches from peers that have newer revisions until the context ends.
func (s *Store) followHints(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxHintFetches)
	for ctx.Err() == nil {
		for _, hint := range s.hints.drain() {
			group.Go(func() error {
				s.fetchFromPeer(ctx, hint)
				return nil
			})
		}
		select {
		case <-s.hints.wake:
		case <-ctx.Done():
		}
	}
	return group.Wait()
}

// fetchFromPeer fetches newer revisions from the peer without a wait. A failed fetch is not retried, since
// gossip repeats the hint.
func (s *Store) fetchFromPeer(ctx context.Context, h hint) {
	if h.revision <= s.Revision() {
		return
	}
	if err := s.fetch(ctx, h.address, 0); err != nil {
		s.options.Logger.Debug("could not fetch the configuration from a peer", "address", h.address, "err", logging.Err(err))
	}
}
