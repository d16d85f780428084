package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

const (
	// pollWait is how long a control replica may hold a poll. It is short, since a replica
	// that is silent cannot be told from one that has nothing new.
	pollWait = 500 * time.Millisecond
	// pollLate is how long after the wait a poll counts as late, so that the next replica is
	// polled beside it. Two silent replicas in turn must cost less than the 2 s within which a
	// change is to be in force.
	pollLate = 150 * time.Millisecond
	// pollGrace is how long after the wait an answer is given up; a whole document takes longer
	// than an empty answer.
	pollGrace = 3 * time.Second
	// pollPause is the least time between two polls that brought nothing.
	pollPause = 50 * time.Millisecond
	// firstPenalty and lastPenalty bound how long a silent replica is passed over.
	firstPenalty = time.Second
	lastPenalty  = 4 * time.Second
)

// errLate means that a replica has not answered in time.
var errLate = errors.New("the control replica has not answered in time; check its host and network")

// rotation chooses which control replica to poll. It is a pure state machine.
type rotation struct {
	next     int
	failures map[string]int
	until    map[string]time.Time
}

func newRotation() *rotation {
	return &rotation{failures: map[string]int{}, until: map[string]time.Time{}}
}

// choose returns the next replica in turn that is not passed over at present or, if all are,
// the one whose penalty ends first with the time until then.
func (r *rotation) choose(addresses []string, now time.Time) (address string, wait time.Duration) {
	best := ""
	for range addresses {
		address := addresses[r.next%len(addresses)]
		r.next++
		if !now.Before(r.until[address]) {
			return address, 0
		}
		if best == "" || r.until[address].Before(r.until[best]) {
			best = address
		}
	}
	return best, r.until[best].Sub(now)
}

func (r *rotation) succeeded(address string) {
	delete(r.failures, address)
	delete(r.until, address)
}

func (r *rotation) failed(address string, now time.Time) {
	penalty := min(firstPenalty<<min(r.failures[address], 8), lastPenalty)
	r.failures[address]++
	r.until[address] = now.Add(penalty)
}

// poll follows the control replicas until the context ends.
func (s *Store) poll(ctx context.Context) error {
	turns := newRotation()
	for ctx.Err() == nil {
		address, wait := turns.choose(s.controlAddresses(s.document()), time.Now())
		if wait > 0 {
			pause(ctx, wait)
		}
		began := s.Revision()
		if err := s.pollOne(ctx, address); err != nil {
			turns.failed(address, time.Now())
			s.options.Logger.Debug("could not poll a control replica", "address", address, "err", logging.Err(err))
		} else {
			turns.succeeded(address)
		}
		if s.Revision() == began {
			pause(ctx, pollPause)
		}
	}
	return nil
}

// pollOne polls a replica and returns errLate if it is late. A late answer is still applied.
func (s *Store) pollOne(ctx context.Context, address string) error {
	answered := make(chan error, 1)
	go func() { answered <- s.fetch(ctx, address, pollWait) }()
	select {
	case err := <-answered:
		return err
	case <-time.After(pollWait + pollLate):
		return errLate
	}
}

// fetch asks a process for what is newer than the revision in force and applies it.
func (s *Store) fetch(ctx context.Context, address string, wait time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	reply, err := s.options.Client.Fetch(bounded, address, s.request(s.Revision(), wait))
	if err != nil {
		return err
	}
	err = s.accept(reply)
	if err != nil {
		s.options.Logger.Error("cannot apply a revision; the former one stays in force", "address", address, "in_force", s.Revision(), "err", logging.Err(err))
	}
	return err
}

func (s *Store) request(revision uint64, wait time.Duration) *configpb.FetchRequest {
	return &configpb.FetchRequest{
		Revision: revision,
		WaitMs:   wait.Milliseconds(),
		From:     &configpb.HostStatus{Id: s.options.ID, DataCentre: s.options.DataCentre, Revision: s.Revision()},
	}
}

// controlAddresses lists the control replicas of the settings, then those that were discovered and those
// of the document.
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

// addressSet is a list without repetitions.
type addressSet struct {
	list []string
	seen map[string]bool
}

// newAddressSet returns a set that leaves out the empty address and the excluded one.
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
