package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// The pattern that this file answers: so many servers fail by turns that the capacity that may be out is used up.
// A verdict that is some seconds old then keeps a server out, or idle, that works again, and one in that fails.
const (
	// idleBeforeTest is how long a server in rotation may be without work before it gets a request although it fails and
	// the minimum keeps it, or stands in another data centre.
	idleBeforeTest = 1200 * time.Millisecond
	// scarceShare is the share of the capacity that may be out from which on places are scarce.
	scarceShare = 0.5
)

// scarce tells whether more than scarceShare of the capacity that may be out is out.
func (m *Machine) scarce(now time.Time) bool {
	minimum := m.minimum(now)
	mayBeOut := m.announcedSlots() - minimum
	return float64(m.healthyCapacity(now)-minimum) < (1-scarceShare)*float64(mayBeOut)
}

// firstTest is when a server that goes out gets its first canary. A single bad server is not missed and can wait; while
// places are scarce no verdict stands longer than after a failed canary.
func (m *Machine) firstTest(now time.Time, usual time.Duration) time.Time {
	if m.scarce(now) {
		return now.Add(min(usual, retestEvery))
	}
	return now.Add(usual)
}

// tests tells whether the request should test a failing server that the minimum keeps and that is idle.
func (m *Machine) tests(now time.Time, s *server, r *request) bool {
	return r.Idempotent && r.Purpose == grant.First && s.state == inRotation && s.forgotten(now) &&
		now.Before(s.failingUntil) && m.canaries.allows(now)
}
