package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// The code in this file handles the case that so many servers fail in turn that the capacity that may be
// out of rotation is used up. A verdict that is some seconds old then keeps a recovered server out of
// rotation or idle, and a server that now fails in rotation.
const (
	// maxIdleTime is how long a server in rotation may be without work before it gets a request although it
	// is failing and kept by the minimum, or is in another data centre.
	maxIdleTime = 1200 * time.Millisecond
	// scarceOutShare is the share of the capacity that may be out of rotation above which that capacity is
	// scarce.
	scarceOutShare = 0.5
)

// capacityScarce reports whether more than scarceOutShare of the capacity that may be out of rotation is
// out.
func (m *Machine) capacityScarce(now time.Time) bool {
	minimum := m.minimum(now)
	mayBeOut := m.announcedSlots() - minimum
	return float64(m.healthyCapacity(now)-minimum) < (1-scarceOutShare)*float64(mayBeOut)
}

// firstCanaryAt is when a server that leaves rotation gets its first canary. The service can do without a
// single bad server for the usual time; while capacity is scarce, a verdict stands no longer than after a
// failed canary.
func (m *Machine) firstCanaryAt(now time.Time, usual time.Duration) time.Time {
	if m.capacityScarce(now) {
		return now.Add(min(usual, canaryRetryInterval))
	}
	return now.Add(usual)
}

// testsIdleServer reports whether the request should test an idle, failing server that the minimum keeps in
// rotation.
func (m *Machine) testsIdleServer(now time.Time, s *server, r *request) bool {
	return r.Idempotent && r.Purpose == grant.First && s.state == inRotation && s.longIdle(now) &&
		now.Before(s.deprioritizedUntil) && m.canaries.allows(now)
}
