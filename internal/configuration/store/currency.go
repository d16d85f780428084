package store

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bootclock"
	"github.com/tarragonmux/tarragonmux/proto/configpb"
)

// maxPendingReadings bounds the readings that wait for their revision to come into force. Later ones replace the newest.
const maxPendingReadings = 16

// reading states that every change confirmed up to a time is in a revision or an earlier one.
type reading struct {
	asOf     time.Duration
	revision uint64
}

// currency tracks up to when the revision in force is known to be the newest. Times are of bootclock. It is safe for
// concurrent use.
type currency struct {
	// asOf is nil before the first reading. Requests read it without the mutex.
	asOf atomic.Pointer[time.Duration]

	mu sync.Mutex
	// pending holds readings of revisions that are not in force yet, oldest first.
	pending []reading
}

// recordReply records what the reply to a request that was sent at the given time says. The offset in it counts from the
// arrival of the request, so counting it from the sending never overstates the time.
func (c *currency) recordReply(sent time.Duration, reply *configpb.FetchReply, inForce uint64) {
	if reply.GetCurrentRevision() == 0 {
		return
	}
	r := reading{asOf: sent + time.Duration(reply.GetCurrentOffsetMs())*time.Millisecond, revision: reply.GetCurrentRevision()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == maxPendingReadings {
		c.pending[maxPendingReadings-1] = r
	} else {
		c.pending = append(c.pending, r)
	}
	c.advanceLocked(inForce)
}

// advance takes over the readings of revisions up to the one in force.
func (c *currency) advance(inForce uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advanceLocked(inForce)
}

func (c *currency) advanceLocked(inForce uint64) {
	kept := c.pending[:0]
	for _, r := range c.pending {
		switch {
		case r.revision > inForce:
			kept = append(kept, r)
		default:
			if asOf := c.asOf.Load(); asOf == nil || r.asOf > *asOf {
				c.asOf.Store(&r.asOf)
			}
		}
	}
	c.pending = kept
}

// age returns for how long changes may have been confirmed that are not in force; known is false if no process has said
// since the start which revision is the newest.
func (c *currency) age(now time.Duration) (age time.Duration, known bool) {
	asOf := c.asOf.Load()
	if asOf == nil {
		return 0, false
	}
	return now - *asOf, true
}

// Age returns for how long changes of the configuration may have been confirmed that are not in force here, including
// time for which the machine was suspended; known is false until a control replica has said which revision is the
// newest.
func (s *Store) Age() (age time.Duration, known bool) {
	return s.currency.age(bootclock.Now())
}
