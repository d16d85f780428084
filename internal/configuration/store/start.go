package store

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// startInterval is the time between two rounds of questions of a starting node.
	startInterval = 200 * time.Millisecond
	// startTimeout bounds one question of a starting node.
	startTimeout = 900 * time.Millisecond
	// startFanOut bounds the questions in flight of a starting node.
	startFanOut = 32
)

// start returns once the newest revision was learned, or with the context's error.
func (s *Store) start(ctx context.Context) error {
	stored, err := s.file.load()
	if err != nil {
		s.options.Logger.Error("ignored the stored configuration", "err", logging.Err(err))
	}
	s.writing.Lock()
	s.starting = newStartup(s.options.Address, stored, time.Now())
	s.writing.Unlock()
	for round := 0; ; round++ {
		s.ask(ctx)
		if s.finishStart(time.Now()) {
			return nil
		}
		select {
		case <-time.After(startInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// finishStart puts the newest document in force if it is known to be the newest.
func (s *Store) finishStart(now time.Time) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	if !s.starting.learned(now) {
		return false
	}
	if d := s.starting.newest; d != nil {
		s.enforce(configuration.Compile(d))
		s.tail.Publish(d, nil)
	}
	s.starting = nil
	s.ready.Store(true)
	return true
}

// ask questions the control replicas, and after a while the peers as well. It returns when
// all have answered or failed, or as soon as the newest revision was confirmed.
func (s *Store) ask(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(startFanOut)
	for _, address := range s.startAddresses(time.Now()) {
		group.Go(func() error {
			if s.askOne(ctx, address) {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
}

// startAddresses lists whom to ask: the control replicas, then hints, configured peers and
// the hosts of the newest document.
func (s *Store) startAddresses(now time.Time) []string {
	s.writing.Lock()
	defer s.writing.Unlock()
	addresses := newAddressSet(s.options.Address)
	addresses.add(s.controlAddresses(s.starting.newest)...)
	if !s.starting.asksPeers(now) {
		return addresses.list
	}
	for _, hint := range s.hints.take() {
		addresses.add(hint.address)
	}
	addresses.add(s.options.Peers...)
	for _, h := range s.starting.newest.GetHosts() {
		if !s.starting.answered[h.GetFleetAddress()] {
			addresses.add(h.GetFleetAddress())
		}
	}
	return addresses.list
}

// askOne asks one process and tells whether the newest revision is confirmed.
func (s *Store) askOne(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	base := s.startDocument()
	reply, err := s.options.Client.Fetch(ctx, address, s.request(base.GetRevision(), 0))
	if err != nil {
		return false
	}
	newest := base
	if d := reply.GetDocument(); d != nil {
		newest = d
	} else if documents, _, err := replay(base, reply.GetEntries()); err == nil && len(documents) > 0 {
		newest = documents[len(documents)-1]
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	s.starting.given(newest)
	s.starting.answer(address, reply.GetRevision(), reply.GetConfirmed())
	return s.starting.confirmed
}

// startDocument returns the newest document of a starting node, or the empty one.
func (s *Store) startDocument() *configpb.Document {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.starting.newest != nil {
		return s.starting.newest
	}
	return configuration.Empty()
}
