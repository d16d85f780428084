package store

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// startAtOnce is how many are asked at once, and startNext after how long one more is: any one that
	// answers is enough, and each question makes a control replica read from a majority.
	startAtOnce = 2
	startNext   = 50 * time.Millisecond
	// obtainTimeout bounds the transfer of a document to a starting node, and obtainNext is after how
	// long it is asked of the next process as well.
	obtainTimeout = 3 * time.Second
	obtainNext    = 700 * time.Millisecond
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
		s.ask(ctx, round)
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

// ask questions the control replicas, and after a while the peers as well, and obtains the newest document
// that they know of. The document comes from one of them: sent by all, it would fill the link of a small host.
func (s *Store) ask(ctx context.Context, round int) {
	addresses := s.startAddresses(time.Now())
	if len(addresses) > 0 {
		// Hosts that start together begin with different control replicas.
		turn := (round + int(xxhash.Sum64String(s.options.ID)%uint64(len(addresses)))) % len(addresses)
		addresses = slices.Concat(addresses[turn:], addresses[:turn])
	}
	answers := s.question(ctx, addresses)
	s.obtain(ctx, answers)
	s.writing.Lock()
	defer s.writing.Unlock()
	for _, a := range answers {
		s.starting.answer(a.address, a.revision, a.confirmed)
	}
}

// startAnswer is what a process told about the revision that it knows.
type startAnswer struct {
	address   string
	revision  uint64
	confirmed bool
}

// question asks one after the other for their revision. It returns when all have answered or failed, or as
// soon as one revision was confirmed to be the newest. The most useful answers are first.
func (s *Store) question(ctx context.Context, addresses []string) []startAnswer {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	request := s.request(0, 0)
	request.Brief = true
	var group errgroup.Group
	group.SetLimit(startFanOut)
	var mu sync.Mutex
	var answers []startAnswer
	for i, address := range addresses {
		if i >= startAtOnce {
			pause(ctx, startNext)
		}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			reply, err := s.options.Client.Fetch(ctx, address, request)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, startAnswer{address, reply.GetRevision(), reply.GetConfirmed()})
			if reply.GetConfirmed() {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.SortStableFunc(answers, func(a, b startAnswer) int {
		if a.confirmed != b.confirmed {
			if a.confirmed {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.revision, a.revision)
	})
	return answers
}

// obtain fetches the newest document that the answers tell of, from one process after the other.
func (s *Store) obtain(ctx context.Context, answers []startAnswer) {
	if len(answers) == 0 {
		return
	}
	newest := answers[0].revision
	ctx, cancel := context.WithTimeout(ctx, obtainTimeout)
	defer cancel()
	var group errgroup.Group
	for _, a := range answers {
		if a.revision < newest || s.startDocument().GetRevision() >= newest {
			break
		}
		done := make(chan struct{})
		group.Go(func() error {
			defer close(done)
			s.obtainFrom(ctx, a.address)
			if s.startDocument().GetRevision() >= newest {
				cancel()
			}
			return nil
		})
		timer := time.NewTimer(obtainNext)
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	_ = group.Wait()
}

// obtainFrom fetches what one process has that is newer. A failure is made good by the next one.
func (s *Store) obtainFrom(ctx context.Context, address string) {
	base := s.startDocument()
	reply, err := s.options.Client.Fetch(ctx, address, s.request(base.GetRevision(), 0))
	if err != nil {
		return
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

// startDocument returns the newest document of a starting node, or the empty one.
func (s *Store) startDocument() *configpb.Document {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.starting.newest != nil {
		return s.starting.newest
	}
	return configuration.Empty()
}
