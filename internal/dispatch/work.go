package dispatch

import "time"

const (
	// maxWorkKinds bounds the kinds of work of a service that are measured separately; further kinds share
	// one record.
	maxWorkKinds = 512
	// minKindResponses is how many responses a kind needs before its own latencies are used.
	minKindResponses = 8
	// kindMeanWeight is the weight of a new response in the mean slot time of a kind.
	kindMeanWeight = 0.1
)

// workKind holds the latency statistics of one kind of work, such as the requests of one route. A service
// often runs short and long work side by side, so the latencies of the service as a whole say little about
// one request: by those, a short request would be refused although it could be served in time.
type workKind struct {
	latency   distribution
	responses int
	// median and p90 are the 50th and 90th percentile of the time from sending to the first byte.
	median, p90     time.Duration
	meanSlotSeconds float64
}

// workKindOf returns the record of a kind of work. It creates the record if there is room, and otherwise
// returns the shared one.
func (m *Machine) workKindOf(id uint32) *workKind {
	if k := m.workKinds[id]; k != nil {
		return k
	}
	if len(m.workKinds) >= maxWorkKinds {
		id = 0
	}
	k := m.workKinds[id]
	if k == nil {
		k = &workKind{}
		m.workKinds[id] = k
	}
	return k
}

// addResponse records the time to the first byte and the total time of a response.
func (k *workKind) addResponse(latency, total time.Duration) {
	k.latency.add(latency)
	k.responses++
	if k.meanSlotSeconds == 0 {
		k.meanSlotSeconds = total.Seconds()
	}
	k.meanSlotSeconds += kindMeanWeight * (total.Seconds() - k.meanSlotSeconds)
}

// refresh decays the statistics and updates the percentiles.
func (k *workKind) refresh(now time.Time) {
	k.latency.decay(now)
	if k.responses >= minKindResponses && k.latency.total > 0 {
		k.median, k.p90 = k.latency.quantile(0.5), k.latency.quantile(0.9)
	}
}

// requiredTime is the time that a request must have left to be worth a slot. It is the median of the kind
// and, under contention, the 90th percentile, so that no slot is spent on work that would probably finish
// too late.
func (m *Machine) requiredTime(r *Request, contended bool) time.Duration {
	k := m.workKinds[r.Kind]
	if k == nil || k.median == 0 {
		return 0
	}
	if contended {
		return k.p90
	}
	return k.median
}

// latestStart returns until when a request must be sent to be worth a slot.
func (m *Machine) latestStart(r *Request) time.Time {
	return r.Deadline.Add(-m.requiredTime(r, false))
}

// unmeetableWaitFactor is the ratio of the expected wait to the time left above which a request is refused
// on arrival. The estimate is rough, and queued requests may be cancelled.
const unmeetableWaitFactor = 1.25

// unmeetable reports whether the work queued ahead of a request would probably take longer than the request
// can wait. A burst that exceeds the slots is then refused on arrival instead of shortly before its
// deadlines.
func (m *Machine) unmeetable(now time.Time, q *Request) bool {
	ahead := m.queue.SecondsAhead(q.Priority, q.Team)
	if ahead == 0 {
		return false
	}
	slots := 0.0
	slotSeconds := m.workKindOf(q.Kind).meanSlotSeconds
	for _, s := range m.servers {
		slots += min(float64(s.limit(now)), s.rate.slots(slotSeconds))
	}
	if slots == 0 {
		// A server may return at any time.
		slots = 1
	}
	wait := time.Duration(ahead / slots * float64(time.Second))
	left := q.Deadline.Sub(now) - m.requiredTime(q, false)
	return float64(wait) > unmeetableWaitFactor*float64(left)
}
