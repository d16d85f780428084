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
	// maxHints bounds the remembered hints.
	maxHints = 16
	// hintFanOut is from how many peers to fetch at once, so that a silent one holds up nothing.
	hintFanOut = 3
)

// hint says that the peer at the address has the revision.
type hint struct {
	address  string
	revision uint64
}

// hints remembers the newest hints until they are taken.
type hints struct {
	mu    sync.Mutex
	known []hint
	wake  chan struct{}
}

func newHints() *hints {
	return &hints{wake: make(chan struct{}, 1)}
}

func (h *hints) add(address string, revision uint64) {
	h.mu.Lock()
	h.known = slices.DeleteFunc(h.known, func(k hint) bool { return k.address == address })
	h.known = append(h.known, hint{address, revision})
	slices.SortStableFunc(h.known, func(a, b hint) int { return cmp.Compare(b.revision, a.revision) })
	h.known = h.known[:min(len(h.known), maxHints)]
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// take returns the hints, the newest revision first, and forgets them.
func (h *hints) take() []hint {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.known
	h.known = nil
	return taken
}

// follow fetches from peers that are ahead until the context ends.
func (s *Store) follow(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(hintFanOut)
	for ctx.Err() == nil {
		for _, hint := range s.hints.take() {
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

// fetchFromPeer asks at once what the peer has. If the peer is silent nothing is lost, since
// gossip repeats the hint.
func (s *Store) fetchFromPeer(ctx context.Context, h hint) {
	if h.revision <= s.Revision() {
		return
	}
	if err := s.fetch(ctx, h.address, 0); err != nil {
		s.options.Logger.Debug("could not fetch the configuration from a peer", "address", h.address, "err", logging.Err(err))
	}
}
