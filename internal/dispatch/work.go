package dispatch

import "time"

const (
	// maxKinds bounds the kinds of work of a service that are measured apart; others share one record.
	maxKinds = 512
	// trustedAnswers is how many answers a kind needs before its own times are used.
	trustedAnswers = 8
	// kindWeight is the weight of a new answer in the mean time of a kind.
	kindWeight = 0.1
)

// kind is what is known of one kind of work, such as the requests of one route. A service often runs
// short and long work beside each other, so the times of the service as a whole say little about a
// request: by them a short one would be refused although it could be served in time.
type kind struct {
	taken   distribution
	answers int
	// median and slow are the 50th and 90th percentile of the time from sending to the first byte.
	median, slow time.Duration
	// seconds is the mean slot time.
	seconds float64
}

// kindOf returns the record of the request's kind, which it makes if there is room.
func (m *Machine) kindOf(id uint32) *kind {
	if k := m.kinds[id]; k != nil {
		return k
	}
	if len(m.kinds) >= maxKinds {
		id = 0
	}
	k := m.kinds[id]
	if k == nil {
		k = &kind{}
		m.kinds[id] = k
	}
	return k
}

// learn takes the time of an answer.
func (k *kind) learn(latency, total time.Duration) {
	k.taken.add(latency)
	k.answers++
	if k.seconds == 0 {
		k.seconds = total.Seconds()
	}
	k.seconds += kindWeight * (total.Seconds() - k.seconds)
}

// refresh updates the percentiles.
func (k *kind) refresh(now time.Time) {
	k.taken.decay(now)
	if k.answers >= trustedAnswers && k.taken.total > 0 {
		k.median, k.slow = k.taken.quantile(0.5), k.taken.quantile(0.9)
	}
}

// needs is the time that a request must have left to be worth a slot. While others wait, a slot is not
// spent on work that would probably end too late.
func (m *Machine) needs(r *Request, contended bool) time.Duration {
	k := m.kinds[r.Kind]
	if k == nil || k.median == 0 {
		return 0
	}
	if contended {
		return k.slow
	}
	return k.median
}

// hopelessFactor is how far the expected wait must exceed the time that a request has before it is
// refused at once. The estimate is rough, and what waits may be cancelled.
const hopelessFactor = 1.25

// hopeless tells whether a request would probably wait in vain, by the work that waits before it. A
// burst of work that the slots cannot take is then refused when it comes, not when its deadlines are near.
func (m *Machine) hopeless(now time.Time, q *Request) bool {
	ahead := m.queue.ahead(q.Priority, q.Team)
	if ahead == 0 {
		return false
	}
	slots := 0
	for _, s := range m.servers {
		slots += s.limit(now)
	}
	wait := time.Duration(ahead / float64(max(slots, 1)) * float64(time.Second))
	left := q.Deadline.Sub(now) - m.needs(q, false)
	return float64(wait) > hopelessFactor*float64(left)
}
