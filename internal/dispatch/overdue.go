package dispatch

import "time"

const (
	// overdueFactor is how many times the 90th percentile of its kind an idempotent request waits for the
	// first byte before its node is advised to try another server as well.
	overdueFactor = 2
	// overdueMedians limits that time to a multiple of the median. While several servers hang or are slow,
	// the 90th percentile contains their responses and approaches the deadlines.
	overdueMedians = 3
)

// adviseOverdue handles the load pattern of servers with few slots that hang on single requests: one request
// is too little evidence to eject the server, and the request would wait until its deadline. The node is
// advised to send the request to another server as well, if that can still respond in time. The advice uses
// half of the retry budget at most, and none while requests are queued, which need the slots more.
// Canaries are left out: if the other attempt won, the canary would end without a decision.
func (m *Machine) adviseOverdue(now time.Time) {
	if m.queue.Length() > 0 || !m.latencies.known || !m.retries.AllowsHedging(now) {
		return
	}
	for _, s := range m.servers {
		for _, r := range s.inflight {
			if r.Idempotent && !r.firstByte && !r.advised && !r.canary && r.credible(now) && m.isOverdue(now, r) {
				r.advised = true
				m.emit(r.node, Action{Kind: Advised, ID: r.ID})
			}
		}
	}
}

// isOverdue reports whether the request waits unusually long for its kind, and whether another attempt would
// still have the time that its kind usually takes.
func (m *Machine) isOverdue(now time.Time, r *request) bool {
	k := m.workKindOf(r.Kind)
	usual := min(overdueFactor*k.p90, overdueMedians*k.median)
	return usual > 0 && now.Sub(r.sent) >= max(usual, m.suspicionThreshold()) &&
		!r.Deadline.IsZero() && r.Deadline.Sub(now) > k.median
}
