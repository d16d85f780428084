package records

import (
	"context"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
	"github.com/tarragonmux/tarragonmux/proto/recordspb"
)

// maxAbandonWait bounds how long Abandon waits until the outcome is recorded.
const maxAbandonWait = 500 * time.Millisecond

// claim is a claim that this node has won.
type claim struct {
	claimer *Claimer
	attempt *localAttempt
	// index is the claim's register in the chain; the outcome goes into the next one.
	index uint64
}

var _ attempt.Claim = (*claim)(nil)

func (c *claim) Start() bool { return c.attempt.start() }

func (c *claim) Rejected() { c.attempt.markRejected() }

func (c *claim) Done(response attempt.Answer) {
	c.end(endedDone, responseToProto(response))
}

func (c *claim) Unknown() {
	c.end(endedUnknown, nil)
}

// Abandon marks the attempt as abandoned in memory, which ensures that it never starts. It then waits
// up to maxAbandonWait until that is recorded, so that a node that receives the request again does not
// have to query this one.
func (c *claim) Abandon(ctx context.Context) {
	recorded := c.end(endedAbandoned, nil)
	if recorded == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxAbandonWait)
	defer cancel()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}

// end ends the attempt and submits its outcome to the recorder. The channel is closed when the recorder
// has finished with it; it is nil if the attempt had already ended.
func (c *claim) end(to stage, response *fleetpb.Answer) <-chan struct{} {
	final, first := c.attempt.finish(to, response)
	if !first {
		return nil
	}
	c.claimer.attempts.markEnded(c.attempt)
	value := encode(c.outcomeTransition(final))
	return c.claimer.recorder.submit(outcome{attempt: c.attempt, index: c.index + 1, value: value})
}

func (c *claim) outcomeTransition(final stage) *recordspb.Transition {
	t := &recordspb.Transition{TimeMs: time.Now().UnixMilli()}
	switch final {
	case endedDone:
		t.Kind = &recordspb.Transition_Done{Done: &recordspb.Done{Attempt: c.attempt.id, Answer: c.attempt.reply().GetAnswer()}}
	case endedAbandoned:
		t.Kind = &recordspb.Transition_Abandoned{Abandoned: &recordspb.Abandoned{Attempt: c.attempt.id}}
	default:
		t.Kind = &recordspb.Transition_Unknown{Unknown: &recordspb.Unknown{Attempt: c.attempt.id}}
	}
	return t
}
