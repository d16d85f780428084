package records

import (
	"context"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/attempt"
	"github.com/tarragonmux/tarragonmux/proto/fleetpb"
	"github.com/tarragonmux/tarragonmux/proto/recordspb"
)

// abandonWait bounds how long Abandon waits until the record shows it.
const abandonWait = 500 * time.Millisecond

// claim is a won claim of this node.
type claim struct {
	claimer *Claimer
	entry   *entry
	// index of the claim in the chain; its outcome follows.
	index uint64
}

var _ attempt.Claim = (*claim)(nil)

func (c *claim) Start() bool { return c.entry.start() }

func (c *claim) Rejected() { c.entry.rejected() }

func (c *claim) Done(a attempt.Answer) {
	c.end(endedDone, answerToProto(a))
}

func (c *claim) Unknown() {
	c.end(endedUnknown, nil)
}

// Abandon marks the attempt in memory, which settles that it never starts, and waits a
// while until the record shows it, so that a resend at another node need not ask this one.
func (c *claim) Abandon(ctx context.Context) {
	recorded := c.end(endedAbandoned, nil)
	if recorded == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, abandonWait)
	defer cancel()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}

// end ends the attempt and records its outcome, or returns nil if it had ended before.
func (c *claim) end(to stage, answer *fleetpb.Answer) <-chan struct{} {
	final, first := c.entry.finish(to, answer)
	if !first {
		return nil
	}
	c.claimer.attempts.end(c.entry)
	value := encode(c.outcome(final))
	return c.claimer.recorder.submit(outcome{entry: c.entry, index: c.index + 1, value: value})
}

func (c *claim) outcome(final stage) *recordspb.Transition {
	t := &recordspb.Transition{TimeMs: time.Now().UnixMilli()}
	switch final {
	case endedDone:
		t.Kind = &recordspb.Transition_Done{Done: &recordspb.Done{Attempt: c.entry.attempt, Answer: c.entry.reply().GetAnswer()}}
	case endedAbandoned:
		t.Kind = &recordspb.Transition_Abandoned{Abandoned: &recordspb.Abandoned{Attempt: c.entry.attempt}}
	default:
		t.Kind = &recordspb.Transition_Unknown{Unknown: &recordspb.Unknown{Attempt: c.entry.attempt}}
	}
	return t
}
