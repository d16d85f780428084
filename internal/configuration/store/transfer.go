package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/logging"
)

const (
	// maxInlineBytes is the size up to which polls and fetches for hints bring the contents of newer revisions,
	// several at a time. Larger contents are transferred separately.
	maxInlineBytes = 16 << 10
	// maxTransfers is how many transfers of large contents may be in progress. More of them would share the link
	// and all exceed their timeout.
	maxTransfers = 2
	// transferHedgeDelay is the time, beyond that of the transfer itself, after which the contents are requested from
	// a second process as well.
	transferHedgeDelay = 700 * time.Millisecond
	// transferTimeout bounds a transfer, beyond three times the time of the transfer itself. The bound doubles up
	// to maxTimeoutDoublings times while no transfer succeeds, since the link may be slower than expected.
	transferTimeout     = 3 * time.Second
	maxTimeoutDoublings = 4
	// expectedBytesPerSecond is the part of a link of 2 Mbit/s that a transfer gets at least beside requests.
	expectedBytesPerSecond = 100 << 10
)

// transfers fetches large contents from one process after another.
type transfers struct {
	// failures counts the failed transfers since the last success.
	failures atomic.Int32
	// active is set while a call of run is in progress.
	active atomic.Bool
}

// run calls fetch for one address after another until one call returns true, and reports whether one did. The next
// call begins when one has failed or takes too long for the size in bytes, if fewer than maxTransfers are running.
// It returns when all calls have ended.
func (t *transfers) run(ctx context.Context, addresses []string, size int64, fetch func(ctx context.Context, address string) bool) bool {
	expected := time.Duration(size) * time.Second / expectedBytesPerSecond
	timeout := (transferTimeout + 3*expected) << min(t.failures.Load(), maxTimeoutDoublings)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	t.active.Store(true)
	defer t.active.Store(false)
	results := make(chan bool, len(addresses))
	running, succeeded := 0, false
	defer func() {
		cancel()
		for range running {
			<-results
		}
		t.failures.Add(1)
		if succeeded {
			t.failures.Store(0)
		}
	}()
	for len(addresses) > 0 || running > 0 {
		if len(addresses) > 0 && running < maxTransfers {
			address := addresses[0]
			addresses = addresses[1:]
			running++
			go func() { results <- fetch(ctx, address) }()
		}
		timer := time.NewTimer(transferHedgeDelay + expected)
		select {
		case succeeded = <-results:
			running--
		case <-timer.C:
		}
		timer.Stop()
		if succeeded || ctx.Err() != nil {
			break
		}
	}
	return succeeded
}

// transfer fetches contents by transfers.run. It measures the transfer and logs its result.
func (s *Store) transfer(ctx context.Context, addresses []string, size int64, fetch func(ctx context.Context, address string) bool) {
	began := time.Now()
	succeeded := s.transfers.run(ctx, addresses, size, fetch)
	if ctx.Err() != nil {
		return
	}
	took := time.Since(began)
	s.options.Metrics.observeTransfer(took, succeeded)
	if !succeeded {
		s.options.Logger.Warn("could not transfer the configuration in time", "in_force", s.Revision(), "bytes", size, "processes", len(addresses), "took_ms", took.Milliseconds())
		return
	}
	s.options.Logger.Info("transferred the configuration", "in_force", s.Revision(), "bytes", size, "took_ms", took.Milliseconds())
}

// transferNewer fetches large contents of newer revisions from the processes that have them, until the context
// ends.
func (s *Store) transferNewer(ctx context.Context) error {
	for ctx.Err() == nil {
		before := s.Revision()
		if addresses, size := s.ahead.takeAbove(before); len(addresses) > 0 {
			s.transfer(ctx, addresses, size, func(ctx context.Context, address string) bool {
				return s.fetchContents(ctx, address) && s.Revision() > before
			})
			continue
		}
		select {
		case <-s.ahead.wake:
		case <-ctx.Done():
		}
	}
	return nil
}

// fetchContents fetches and applies what is newer than the revision in force, whatever its size, and reports
// whether that succeeded.
func (s *Store) fetchContents(ctx context.Context, address string) bool {
	reply, err := s.sendFetch(ctx, address, s.newRequest(s.Revision(), 0))
	if err == nil {
		err = s.applyReply(reply)
	}
	if err != nil {
		s.options.Logger.Debug("could not fetch a large configuration", "address", address, "err", logging.Err(err))
	}
	return err == nil
}
