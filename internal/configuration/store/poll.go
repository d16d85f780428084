package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/bootclock"
	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// pollWait is how long a control replica may hold a poll. It is short, since an unresponsive
	// replica cannot be distinguished from one that has nothing new.
	pollWait = 500 * time.Millisecond
	// lateAfter is the time after the wait at which a poll counts as late and the next replica is
	// polled in parallel. Two unresponsive replicas in a row must cost less than the 2 s within
	// which a change is to be in force.
	lateAfter = 150 * time.Millisecond
	// fetchTimeout bounds a fetch beyond its wait. It is longer than lateAfter, since a late reply is still
	// applied.
	fetchTimeout = 3 * time.Second
	// idlePollPause is the pause after a poll that brought nothing new.
	idlePollPause = 50 * time.Millisecond
	// minBackoff and maxBackoff bound how long a replica is skipped after failed polls.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
)

// errPollLate means that a control replica did not respond in time.
var errPollLate = errors.New("the control replica did not respond in time; check its host and network")

// replicaRotation selects the control replica to poll. It is a state machine without I/O.
type replicaRotation struct {
	next      int
	failures  map[string]int
	skipUntil map[string]time.Time
}

func newReplicaRotation() *replicaRotation {
	return &replicaRotation{failures: map[string]int{}, skipUntil: map[string]time.Time{}}
}

// nextReplica returns the next replica in turn that is not in backoff or, if all are, the one whose backoff
// ends first and the time until then.
func (r *replicaRotation) nextReplica(addresses []string, now time.Time) (address string, wait time.Duration) {
	best := ""
	for range addresses {
		address := addresses[r.next%len(addresses)]
		r.next++
		if !now.Before(r.skipUntil[address]) {
			return address, 0
		}
		if best == "" || r.skipUntil[address].Before(r.skipUntil[best]) {
			best = address
		}
	}
	return best, r.skipUntil[best].Sub(now)
}

func (r *replicaRotation) recordSuccess(address string) {
	delete(r.failures, address)
	delete(r.skipUntil, address)
}

func (r *replicaRotation) recordFailure(address string, now time.Time) {
	backoff := min(minBackoff<<min(r.failures[address], 8), maxBackoff)
	r.failures[address]++
	r.skipUntil[address] = now.Add(backoff)
}

// poll fetches new revisions from the control replicas until the context ends.
func (s *Store) poll(ctx context.Context) error {
	rotation := newReplicaRotation()
	for ctx.Err() == nil {
		address, wait := rotation.nextReplica(s.controlAddresses(s.document()), time.Now())
		if wait > 0 {
			// If all replicas are in backoff, an entry host that lost its way to them must notice soon that it is back.
			sleepContext(ctx, min(wait, pollWait))
		}
		before := s.Revision()
		if err := s.pollOne(ctx, address); err != nil {
			rotation.recordFailure(address, time.Now())
			s.options.Logger.Debug("could not poll a control replica", "address", address, "err", logging.Err(err))
		} else {
			rotation.recordSuccess(address)
		}
		switch {
		case s.transfers.active.Load():
			// Until the transfer ends, replicas have newer revisions and hold no poll.
			sleepContext(ctx, pollWait)
		case s.Revision() == before:
			sleepContext(ctx, idlePollPause)
		}
	}
	return nil
}

// pollOne polls a replica and returns errPollLate if the reply is late. A late reply is still applied.
func (s *Store) pollOne(ctx context.Context, address string) error {
	result := make(chan error, 1)
	go func() { result <- s.fetch(ctx, address, pollWait) }()
	select {
	case err := <-result:
		return err
	case <-time.After(pollWait + lateAfter):
		return errPollLate
	}
}

// fetch requests what is newer than the revision in force from a process and applies it. Large contents are left to
// transferNewer.
func (s *Store) fetch(ctx context.Context, address string, wait time.Duration) error {
	fetchCtx, cancel := context.WithTimeout(ctx, wait+fetchTimeout)
	defer cancel()
	request := s.newRequest(s.Revision(), wait)
	request.MaxBytes = maxInlineBytes
	sent := bootclock.Now()
	reply, err := s.sendFetch(fetchCtx, address, request)
	if err != nil {
		return err
	}
	err = s.applyReply(reply)
	s.currency.recordReply(sent, reply, s.Revision())
	if err != nil {
		s.options.Logger.Error("cannot apply a configuration revision; the previous one stays in force", "address", address, "in_force", s.Revision(), "err", logging.Err(err))
	}
	if reply.GetRevision() > s.Revision() {
		s.ahead.add(hint{address, reply.GetRevision(), reply.GetOmittedBytes()})
	}
	return err
}

// sendFetch sends a fetch to a process and measures the reply.
func (s *Store) sendFetch(ctx context.Context, address string, r *configpb.FetchRequest) (*configpb.FetchReply, error) {
	reply, err := s.options.Client.Fetch(ctx, address, r)
	if err == nil {
		s.options.Metrics.observeReply(reply)
	}
	return reply, err
}

func (s *Store) newRequest(revision uint64, wait time.Duration) *configpb.FetchRequest {
	return &configpb.FetchRequest{
		Revision: revision,
		WaitMs:   wait.Milliseconds(),
		From:     &configpb.HostStatus{Id: s.options.ID, DataCentre: s.options.DataCentre, Revision: s.Revision()},
		// A process that has nothing in force yet is sent the whole document.
		AcceptsDifference: revision > 0,
	}
}

// controlAddresses lists the control replicas in the settings, then those that were discovered, then those in
// the document.
func (s *Store) controlAddresses(d *configpb.Document) []string {
	addresses := newAddressSet("")
	addresses.add(s.options.Control...)
	if s.options.Discover != nil {
		addresses.add(s.options.Discover()...)
	}
	for _, h := range d.GetHosts() {
		if configuration.RunsControl(h) {
			addresses.add(h.GetFleetAddress())
		}
	}
	return addresses.list
}

// addressSet is an ordered set of addresses.
type addressSet struct {
	list []string
	seen map[string]bool
}

// newAddressSet returns a set that ignores the empty address and the excluded one.
func newAddressSet(excluded string) *addressSet {
	return &addressSet{seen: map[string]bool{"": true, excluded: true}}
}

func (s *addressSet) add(addresses ...string) {
	for _, a := range addresses {
		if !s.seen[a] {
			s.seen[a] = true
			s.list = append(s.list, a)
		}
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
