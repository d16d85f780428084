package dispatchrpc

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// heldGrant is a grant that this node holds. The channel's mutex guards its mutable fields.
type heldGrant struct {
	channel *channel
	id      uint64
	server  grant.Server
	// incarnation is that of the server at the time of the grant; 0 if unknown.
	incarnation uint64
	sent        time.Time
	expires     time.Time
	priority    priority.Priority
	idempotent  bool
	fingerprint uint64
	// countedTeam is the team whose allowance was charged for this grant; empty if none was.
	countedTeam string

	firstByte bool
	completed bool
	// advised is created on first use, since most grants end without it.
	advised      chan struct{}
	retryAdvised bool
}

var _ grant.Grant = (*heldGrant)(nil)

func (h *heldGrant) Server() grant.Server { return h.server }

// Expires returns the time until which the request may be sent.
func (h *heldGrant) Expires() time.Time { return h.expires }

// FirstByte records that the response has begun. The next batch reports it to the dispatcher.
func (h *heldGrant) FirstByte() {
	c := h.channel
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.firstByte || h.completed {
		return
	}
	h.firstByte = true
	if !c.connected {
		return
	}
	if c.outgoing.Progress == nil {
		c.outgoing.Progress = &dispatchpb.Progress{}
	}
	c.outgoing.Progress.FirstByte = append(c.outgoing.Progress.FirstByte, h.id)
}

// Signals records what the server says about itself, and reports it to the dispatcher, if there is one.
func (h *heldGrant) Signals(s grant.ServerSignals) {
	c := h.channel
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.completed {
		return
	}
	c.recordSignals(time.Now(), h, s)
	if c.connected {
		c.outgoing.ResponseSignals = append(c.outgoing.ResponseSignals, responseSignalsToProto(h.id, s))
		c.wakeWriter()
	}
}

// Advised returns a channel that is closed when the request should be retried on another server.
func (h *heldGrant) Advised() <-chan struct{} {
	h.channel.mu.Lock()
	defer h.channel.mu.Unlock()
	if h.advised == nil {
		h.advised = make(chan struct{})
		if h.retryAdvised {
			close(h.advised)
		}
	}
	return h.advised
}

// adviseRetry closes the channel of Advised. The caller holds the channel's mutex.
func (h *heldGrant) adviseRetry() {
	if h.retryAdvised {
		return
	}
	h.retryAdvised = true
	if h.advised != nil {
		close(h.advised)
	}
}

// Complete ends the grant and reports the result to the dispatcher, if there is one.
func (h *heldGrant) Complete(done grant.Completion) {
	c := h.channel
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.completed {
		return
	}
	h.completed = true
	delete(c.held, h.id)
	if done.HasHead() {
		c.recordSignals(time.Now().Add(-done.HeadAge()), h, done.ServerSignals)
	}
	if h.countedTeam != "" && (done.Result == grant.Unused || done.Result == grant.ConnectFailed && done.FirstByte == 0) {
		c.autonomy.allowance.Return(h.countedTeam)
	}
	if h.server.Autonomous {
		c.recordAutonomousResult(time.Now(), h.server.Instance, done.Result)
	}
	if c.connected {
		c.outgoing.Completes = append(c.outgoing.Completes, completionToProto(h.id, done))
		c.wakeWriter()
	}
	c.serveAfterRelease(time.Now())
}

func (h *heldGrant) toOutstanding(now time.Time) *dispatchpb.Outstanding {
	return &dispatchpb.Outstanding{
		Id:          h.id,
		Instance:    h.server.Instance,
		AgeMs:       now.Sub(h.sent).Milliseconds(),
		Priority:    h.priority.Proto(),
		Idempotent:  h.idempotent,
		Fingerprint: h.fingerprint,
		FirstByte:   h.firstByte,
	}
}
