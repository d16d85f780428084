package dispatch

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

// The code in this file handles the case that so many servers fail in turn that the capacity that may be
// out of rotation is used up. If assessments are some seconds old, a recovered server then stays out of
// rotation or idle, while a server that has begun to fail stays in rotation.
const (
	// maxIdleTime is how long a server in rotation may be without work before it gets a request even though
	// it is deprioritized or in another data centre.
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
// single bad server for the usual time; while capacity is scarce, the canary comes as soon as it would
// after a failed one.
func (m *Machine) firstCanaryAt(now time.Time, usual time.Duration) time.Time {
	if m.capacityScarce(now) {
		return now.Add(min(usual, canaryRetryInterval))
	}
	return now.Add(usual)
}

// maySpendOnTest reports whether the request may go to a server that probably fails it: an idempotent one, or any other
// while the service gets no idempotent work and many servers have none.
func (m *Machine) maySpendOnTest(now time.Time, r *request) bool {
	return r.Idempotent || m.manyWithoutWork && now.Sub(m.lastIdempotent) >= idempotentWorkPause
}

// doubted reports whether weak evidence or recent failures speak against the server.
func (s *server) doubted(now time.Time) bool {
	return s.underSuspicion || s.failureRate.current(now) >= elevatedFailureRate
}

// endsAvoidance reports whether an avoided server has been without work for so long that it gets the request all the
// same, since many others have none either. Its delays cost no request, so this does not count as a test.
func (m *Machine) endsAvoidance(now time.Time, s *server, r *request) bool {
	if r.Purpose != grant.First || !s.longIdle(now) {
		return false
	}
	if r.Idempotent {
		return now.Before(m.passedOverUntil)
	}
	return m.maySpendOnTest(now, r)
}

// testsIdleServer reports whether the request should test an idle, failing server that the minimum keeps in rotation.
// In a service without idempotent work nothing else shows that a doubted server works again, so it is tested likewise.
func (m *Machine) testsIdleServer(now time.Time, s *server, r *request) bool {
	if r.Purpose != grant.First || s.state != inRotation || !s.longIdle(now) || !m.maySpendOnTest(now, r) {
		return false
	}
	if r.Idempotent {
		return now.Before(s.deprioritizedUntil) && m.canaries.allows(now)
	}
	return (now.Before(s.deprioritizedUntil) || s.doubted(now)) && m.canaries.allowsIdleTest(now)
}
