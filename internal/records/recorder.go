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
	// recordTimeout bounds one try to record an outcome.
	recordTimeout = 2 * time.Second
	// firstBackoff and lastBackoff bound the pause between two tries.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// recordFanOut bounds the tries in flight.
	recordFanOut = 64
	// maxPending bounds the outcomes that wait to be recorded.
	maxPending = 8192
)

// recorder writes outcomes to the records in the background.
type recorder struct {
	proposer agreement.Proposer
	attempts *Attempts
	logger   *log.Logger
	slots    chan struct{}
	closing  context.Context
	close    context.CancelFunc

	mu      sync.Mutex
	pending int
	// idle is closed when nothing is pending; nil while nobody waits.
	idle chan struct{}
}

func newRecorder(p agreement.Proposer, a *Attempts, logger *log.Logger) *recorder {
	closing, closeAll := context.WithCancel(context.Background())
	return &recorder{
		proposer: p,
		attempts: a,
		logger:   logger,
		slots:    make(chan struct{}, recordFanOut),
		closing:  closing,
		close:    closeAll,
	}
}

// outcome is one transition to be recorded.
type outcome struct {
	entry *entry
	index uint64
	value []byte
}

// submit records the outcome in the background and returns a channel that is closed when
// the recorder is through with it.
func (r *recorder) submit(o outcome) <-chan struct{} {
	finished := make(chan struct{})
	if !r.begin() {
		r.logger.Warn("too many outcomes wait to be recorded; one stays in memory only", "attempt", o.entry.attempt)
		close(finished)
		return finished
	}
	go func() {
		defer close(finished)
		defer r.end()
		r.run(o)
	}()
	return finished
}

func (r *recorder) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending >= maxPending {
		return false
	}
	r.pending++
	return true
}

func (r *recorder) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	if r.pending == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// drain waits until nothing is pending. Errors: the context's.
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
		return errors.Wrap(ctx.Err(), "outcomes of operations wait to be recorded; their resends are told that the outcome is unknown")
	}
}

// run tries until the outcome is recorded, the window for it has passed, or the recorder closes.
func (r *recorder) run(o outcome) {
	backoff := firstBackoff
	for try := 0; ; try++ {
		if r.try(o, try) {
			r.attempts.forget(o.entry)
			return
		}
		if time.Since(o.entry.created) > outcomeWindow {
			r.logger.Warn("gave up recording an outcome; its resends are told that it is unknown", "attempt", o.entry.attempt)
			return
		}
		select {
		case <-time.After(jittered(backoff)):
		case <-r.closing.Done():
			return
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

// jittered returns half to all of the pause, so that many outcomes do not retry at once
// after the control replicas return.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2)
}

// try proposes the outcome once and tells whether it is settled.
func (r *recorder) try(o outcome, number int) bool {
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-r.closing.Done():
		return false
	}
	ctx, cancel := context.WithTimeout(r.closing, recordTimeout)
	defer cancel()
	propose := r.proposer.Propose
	if number == 0 {
		propose = r.proposer.ProposeFast
	}
	decided, err := propose(ctx, o.entry.chain, o.index, o.value)
	if errors.Is(err, agreement.ErrCompacted) {
		return true
	}
	if err != nil {
		r.logger.Debug("could not record an outcome", "attempt", o.entry.attempt, "try", number, "err", logging.Err(err))
		return false
	}
	r.check(o, decided)
	return true
}

// check asserts that nobody but the claiming node decided the end of its attempt. The only
// other writer is a resend that this node told that the attempt is abandoned.
func (r *recorder) check(o outcome, decided []byte) {
	if string(decided) == string(o.value) {
		return
	}
	t := &recordspb.Transition{}
	err := proto.Unmarshal(decided, t)
	own := &recordspb.Transition{}
	ownErr := proto.Unmarshal(o.value, own)
	cleared := t.GetAbandoned().GetAttempt() == o.entry.attempt && own.GetAbandoned() != nil
	invariant.Check(err == nil && ownErr == nil && cleared, "records.outcome-is-own", "attempt %s: wanted %v, decided %v", o.entry.attempt, own, t)
}
