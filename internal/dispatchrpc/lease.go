package dispatchrpc

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

// lease is a grant that this node holds. Its changing fields are guarded by the channel's mutex.
type lease struct {
	channel     *channel
	id          uint64
	server      grant.Server
	sent        time.Time
	expires     time.Time
	priority    priority.Priority
	idempotent  bool
	fingerprint uint64

	firstByte bool
	completed bool
	// advised is made on the first use, since most grants end without it.
	advised   chan struct{}
	wasAdvice bool
}

var _ grant.Grant = (*lease)(nil)

// Server returns the backend server.
func (l *lease) Server() grant.Server { return l.server }

// Expires returns the time until which the request may be sent.
func (l *lease) Expires() time.Time { return l.expires }

// FirstByte reports that the answer began; it goes out with the next batch.
func (l *lease) FirstByte() {
	c := l.channel
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.firstByte || l.completed {
		return
	}
	l.firstByte = true
	if !c.linked {
		return
	}
	if c.out.Progress == nil {
		c.out.Progress = &dispatchpb.Progress{}
	}
	c.out.Progress.FirstByte = append(c.out.Progress.FirstByte, l.id)
}

// Advised returns a channel that is closed when the request should be retried elsewhere.
func (l *lease) Advised() <-chan struct{} {
	l.channel.mu.Lock()
	defer l.channel.mu.Unlock()
	if l.advised == nil {
		l.advised = make(chan struct{})
		if l.wasAdvice {
			close(l.advised)
		}
	}
	return l.advised
}

// advise is called with the channel's mutex held.
func (l *lease) advise() {
	if l.wasAdvice {
		return
	}
	l.wasAdvice = true
	if l.advised != nil {
		close(l.advised)
	}
}

// Complete ends the grant.
func (l *lease) Complete(done grant.Completion) {
	if done.Draining {
		l.channel.client.config.Registry.MarkDraining(l.server.Service, l.server.Instance)
	}
	c := l.channel
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.completed {
		return
	}
	l.completed = true
	delete(c.held, l.id)
	if l.server.Autonomous {
		c.noteAlone(time.Now(), l.server.Instance, done.Result)
	}
	if c.linked {
		c.out.Completes = append(c.out.Completes, completeMessage(l.id, done))
		c.signal()
	}
	c.freedAlone(time.Now())
}

func (l *lease) outstanding(now time.Time) *dispatchpb.Outstanding {
	return &dispatchpb.Outstanding{
		Id:          l.id,
		Instance:    l.server.Instance,
		AgeMs:       now.Sub(l.sent).Milliseconds(),
		Priority:    l.priority.Proto(),
		Idempotent:  l.idempotent,
		Fingerprint: l.fingerprint,
		FirstByte:   l.firstByte,
	}
}
