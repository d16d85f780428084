package store

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonmux/tarragonmux/internal/bootclock"
	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// queryRoundInterval is the time between two rounds of queries of a starting node.
	queryRoundInterval = 200 * time.Millisecond
	// revisionQueryTimeout bounds the revision queries of one round.
	revisionQueryTimeout = 900 * time.Millisecond
	// initialRevisionQueries is the number of processes queried immediately, and revisionQueryDelay the time
	// before each further one. They are not all queried immediately, since one confirmed reply is enough and
	// each query makes a control replica read from a majority.
	initialRevisionQueries = 2
	revisionQueryDelay     = 50 * time.Millisecond
	// maxRevisionQueries bounds the revision queries in flight.
	maxRevisionQueries = 32
)

// runStartup returns once the newest revision is known, or with the context's error.
func (s *Store) runStartup(ctx context.Context) error {
	stored, err := s.file.load()
	if err != nil {
		s.options.Logger.Error("ignored the stored configuration", "err", logging.Err(err))
	}
	s.writeMu.Lock()
	s.startup = newStartupState(s.options.Address, stored, time.Now())
	s.writeMu.Unlock()
	for round := 0; ; round++ {
		s.runQueryRound(ctx, round)
		if s.finishStartup(time.Now()) {
			return nil
		}
		select {
		case <-time.After(queryRoundInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// finishStartup puts the newest document in force if startup is complete, and reports whether it is.
func (s *Store) finishStartup(now time.Time) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if !s.startup.complete(now) {
		return false
	}
	if d := s.startup.newest; d != nil {
		s.putInForce(configuration.Compile(d))
		s.tail.Publish(d, nil)
	}
	s.startup = nil
	s.ready.Store(true)
	return true
}

// runQueryRound queries the revisions of the control replicas and, after peerQueryDelay, of the peers, and
// fetches the newest document. The document is fetched from one process: sent by all of them, it would
// saturate the network link of a small host.
func (s *Store) runQueryRound(ctx context.Context, round int) {
	addresses := s.startupAddresses(time.Now())
	if len(addresses) > 0 {
		// Hosts that start at the same time begin with different control replicas.
		offset := (round + int(xxhash.Sum64String(s.options.ID)%uint64(len(addresses)))) % len(addresses)
		addresses = slices.Concat(addresses[offset:], addresses[:offset])
	}
	replies := s.queryRevisions(ctx, addresses)
	s.fetchNewestDocument(ctx, replies)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for _, r := range replies {
		s.startup.recordReply(r.address, r.revision, r.confirmed)
	}
}

// revisionReply is a process's reply about the newest revision that it knows.
type revisionReply struct {
	address   string
	revision  uint64
	confirmed bool
	// bytes is the size of the document.
	bytes int64
}

// queryRevisions queries the addresses in order for their revision. It returns when all queries have ended
// or as soon as one reply is confirmed to be the newest. Confirmed replies come first, then higher revisions.
func (s *Store) queryRevisions(ctx context.Context, addresses []string) []revisionReply {
	ctx, cancel := context.WithTimeout(ctx, revisionQueryTimeout)
	defer cancel()
	request := s.newRequest(0, 0)
	request.Brief = true
	var group errgroup.Group
	group.SetLimit(maxRevisionQueries)
	var mu sync.Mutex
	var replies []revisionReply
	for i, address := range addresses {
		if i >= initialRevisionQueries {
			sleepContext(ctx, revisionQueryDelay)
		}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			sent := bootclock.Now()
			reply, err := s.sendFetch(ctx, address, request)
			if err != nil {
				return nil
			}
			s.currency.recordReply(sent, reply, s.Revision())
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, revisionReply{address, reply.GetRevision(), reply.GetConfirmed(), reply.GetOmittedBytes()})
			if reply.GetConfirmed() {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.SortStableFunc(replies, func(a, b revisionReply) int {
		if a.confirmed != b.confirmed {
			if a.confirmed {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.revision, a.revision)
	})
	return replies
}

// fetchNewestDocument fetches the newest document that the replies report from one of the processes that have it.
func (s *Store) fetchNewestDocument(ctx context.Context, replies []revisionReply) {
	if len(replies) == 0 || s.startupDocument().GetRevision() >= replies[0].revision {
		return
	}
	newest := replies[0].revision
	var addresses []string
	for _, r := range replies {
		if r.revision >= newest {
			addresses = append(addresses, r.address)
		}
	}
	s.transfer(ctx, addresses, replies[0].bytes, func(ctx context.Context, address string) bool {
		s.fetchNewerFrom(ctx, address)
		return s.startupDocument().GetRevision() >= newest
	})
}

// fetchNewerFrom fetches the newer document or entries of one process. Errors are ignored, since the next
// process is tried.
func (s *Store) fetchNewerFrom(ctx context.Context, address string) {
	base := s.startupDocument()
	reply, err := s.sendFetch(ctx, address, s.newRequest(base.GetRevision(), 0))
	if err != nil {
		return
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.startup.offerDocument(newestDocument(base, reply))
}

// newestDocument returns the document that the reply to a fetch based on the given document leads to. It is the
// given one if the reply has nothing newer that applies to it.
func newestDocument(base *configpb.Document, reply *configpb.FetchReply) *configpb.Document {
	if d := reply.GetDocument(); d != nil {
		return d
	}
	if reply.GetDifference() != nil {
		if d, err := configuration.Patch(base, reply.GetDifference()); err == nil {
			return d
		}
		return base
	}
	if documents, _, err := replay(base, reply.GetEntries()); err == nil && len(documents) > 0 {
		return documents[len(documents)-1]
	}
	return base
}

// startupAddresses lists the addresses to query: the control replicas and, once peers are queried, those of
// hints, configured peers and hosts of the newest document that have not replied yet.
func (s *Store) startupAddresses(now time.Time) []string {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	addresses := newAddressSet(s.options.Address)
	addresses.add(s.controlAddresses(s.startup.newest)...)
	if !s.startup.shouldQueryPeers(now) {
		return addresses.list
	}
	for _, hint := range s.hints.drain() {
		addresses.add(hint.address)
	}
	addresses.add(s.options.Peers...)
	for _, h := range s.startup.newest.GetHosts() {
		if !s.startup.replied[h.GetFleetAddress()] {
			addresses.add(h.GetFleetAddress())
		}
	}
	return addresses.list
}

// startupDocument returns the newest document that the starting node has, or the empty one.
func (s *Store) startupDocument() *configpb.Document {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.startup.newest != nil {
		return s.startup.newest
	}
	return configuration.Empty()
}
