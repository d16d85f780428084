package records

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonmux/tarragonmux/internal/agreement"
	"github.com/tarragonmux/tarragonmux/internal/invariant"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/proto/recordspb"
)

const (
	// recordTimeout bounds one proposal of an outcome.
	recordTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the backoff between two tries.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxConcurrentProposals bounds the proposals in flight.
	maxConcurrentProposals = 64
	// maxPending bounds the number of outcomes that are waiting to be recorded.
	maxPending = 8192
)

// recorder writes the outcomes of attempts to their records in the background.
type recorder struct {
	proposer agreement.Proposer
	attempts *Attempts
	logger   *log.Logger
	slots    chan struct{}
	closing  context.Context
	close    context.CancelFunc

	mu      sync.Mutex
	pending int
	// idle is closed when no outcome is pending any more; it is nil unless drain is waiting.
	idle chan struct{}
}

func newRecorder(p agreement.Proposer, a *Attempts, logger *log.Logger) *recorder {
	closing, closeAll := context.WithCancel(context.Background())
	return &recorder{
		proposer: p,
		attempts: a,
		logger:   logger,
		slots:    make(chan struct{}, maxConcurrentProposals),
		closing:  closing,
		close:    closeAll,
	}
}

// outcome is a transition to be recorded that ends an attempt.
type outcome struct {
	attempt *localAttempt
	index   uint64
	value   []byte
}

// submit records the outcome in the background. It returns a channel that is closed when the outcome
// is recorded or the recorder has given up on it.
func (r *recorder) submit(o outcome) <-chan struct{} {
	finished := make(chan struct{})
	if !r.reserve() {
		r.logger.Warn("too many outcomes are waiting to be recorded; keeping this one in memory only", "attempt", o.attempt.id)
		close(finished)
		return finished
	}
	go func() {
		defer close(finished)
		defer r.release()
		r.recordWithRetries(o)
	}()
	return finished
}

// reserve counts one more pending outcome. It returns false if there are already maxPending.
func (r *recorder) reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending >= maxPending {
		return false
	}
	r.pending++
	return true
}

func (r *recorder) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	if r.pending == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// drain waits until no outcome is pending. It returns an error only if the context ends first.
func (r *recorder) drain(ctx context.Context) error {
	r.mu.Lock()
	if r.pending == 0 {
		r.mu.Unlock()
		return nil
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "outcomes of operations are not recorded yet; resent requests for them will get an unknown outcome")
	}
}

// recordWithRetries proposes the outcome until it is recorded, outcomeWindow has passed since the claim,
// or the recorder closes.
func (r *recorder) recordWithRetries(o outcome) {
	backoff := initialBackoff
	for try := 0; ; try++ {
		if r.proposeOutcome(o, try) {
			r.attempts.forget(o.attempt)
			return
		}
		if time.Since(o.attempt.created) > outcomeWindow {
			r.logger.Warn("gave up recording an outcome; resent requests for it will get an unknown outcome", "attempt", o.attempt.id)
			return
		}
		select {
		case <-time.After(addJitter(backoff)):
		case <-r.closing.Done():
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// addJitter returns a random duration between half and all of the pause, so that many outcomes are not
// retried at the same moment once the control replicas are available again.
func addJitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2)
}

// proposeOutcome proposes the outcome once and reports whether no further try is needed.
func (r *recorder) proposeOutcome(o outcome, try int) bool {
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-r.closing.Done():
		return false
	}
	ctx, cancel := context.WithTimeout(r.closing, recordTimeout)
	defer cancel()
	propose := r.proposer.Propose
	if try == 0 {
		propose = r.proposer.ProposeFast
	}
	decided, err := propose(ctx, o.attempt.chain, o.index, o.value)
	if errors.Is(err, agreement.ErrCompacted) {
		return true
	}
	if err != nil {
		r.logger.Debug("could not record an outcome", "attempt", o.attempt.id, "try", try, "err", logging.Err(err))
		return false
	}
	r.checkDecided(o, decided)
	return true
}

// checkDecided asserts that the outcome in the record is the one that this node proposed. The only
// other writer allowed is a node that received the request again and records the attempt as abandoned,
// after this node has reported it as abandoned.
func (r *recorder) checkDecided(o outcome, decided []byte) {
	if string(decided) == string(o.value) {
		return
	}
	t := &recordspb.Transition{}
	err := proto.Unmarshal(decided, t)
	own := &recordspb.Transition{}
	ownErr := proto.Unmarshal(o.value, own)
	recordedByPeer := t.GetAbandoned().GetAttempt() == o.attempt.id && own.GetAbandoned() != nil
	invariant.Check(err == nil && ownErr == nil && recordedByPeer, "records.outcome-is-own", "attempt %s: wanted %v, decided %v", o.attempt.id, own, t)
}
