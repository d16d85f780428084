package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// slowSamples is the least number of samples for slowness.
	slowSamples = 5
	// slowFactor is how much slower than the others a bad server's median is.
	slowFactor = 3
	// errorSamples is the least number of samples for a failure rate.
	errorSamples = 5
	// failureFloor is the failure rate that is assumed of a healthy server at least.
	failureFloor = 0.02
	// slowMargin allows for differences between healthy servers.
	slowMargin = 1.5
	// tailFloor is the least probability assumed of a slow answer.
	tailFloor = 1e-3
	// tailFloorFar holds beyond twice the stall threshold, for servers with too few slots for several late requests.
	tailFloorFar = 1e-5
	// significance bounds the probability that a healthy server shows such evidence by chance. The
	// evidence is judged 50 times per second over windows of many lengths, so the bound is far
	// below one false alarm per day and window.
	significance = 1e-8
	// pauseSpan is over what time the slow requests of a bad server are spread at most; shorter
	// pauses, such as those of a garbage collector, are no reason for an ejection.
	pauseSpan = 300 * time.Millisecond
	// slowAnswers is the least number of slow answers of a bad server.
	slowAnswers = 4
	// quantilesEvery is how often the latency quantiles are computed.
	quantilesEvery = 200 * time.Millisecond
	// sweepEvery is how often expired state is dropped.
	sweepEvery = 100 * time.Millisecond
	// backlogFor is how long requests must wait without a gap to count as overload.
	backlogFor = 200 * time.Millisecond
	// badFor is how long the service counts as overloaded after most servers looked bad.
	badFor = 500 * time.Millisecond
)

// Tick evaluates the evidence and moves time-driven state. Call it every TickInterval.
func (m *Machine) Tick(now time.Time) {
	if now.Before(m.started.Add(CollectionPeriod)) {
		return
	}
	if !m.collected {
		m.collected = true
		m.inherit(now)
	}
	m.refreshQuantiles(now)
	if now.Sub(m.lastSweep) >= sweepEvery {
		m.lastSweep = now
		m.sweepNodes(now)
		m.sweepQueue(now)
		m.crashes.sweep(now)
		m.recordPeak(now)
		m.reserve(now)
	}
	m.moveConditions(now)
	m.judgePaths(now)
	m.judgeOverload(now)
	m.judgeServers(now)
	m.judgeDelays(now)
	m.enforceMinimum(now)
	m.pump(now)
}

func (m *Machine) refreshQuantiles(now time.Time) {
	if now.Sub(m.lastQuantiles) < quantilesEvery {
		return
	}
	m.lastQuantiles = now
	for _, s := range m.servers {
		s.latency.decay(now)
	}
	m.latencies = serviceLatencies(m.servers)
	for _, k := range m.kinds {
		k.refresh(now)
	}
	m.pool(now)
}

// pool merges the distributions of the servers that answer as usual.
func (m *Machine) pool(now time.Time) {
	m.pooled = distribution{}
	for _, s := range m.servers {
		if s.latency.total < trustedSamples || !s.healthy(now) || s.latency.quantile(0.95) > 2*m.latencies.p95 {
			continue
		}
		for i, count := range s.latency.counts {
			m.pooled.counts[i] += count
		}
		m.pooled.total += s.latency.total
	}
}

// tail is the probability that a healthy server takes longer than the latency.
func (m *Machine) tail(latency time.Duration) float64 {
	if latency >= 2*m.threshold() {
		return max(m.pooled.above(latency), tailFloorFar)
	}
	return max(m.pooled.above(latency), tailFloor)
}

// moveConditions ends probations and holds, recovers weights and judges overdue canaries.
func (m *Machine) moveConditions(now time.Time) {
	for _, s := range m.servers {
		s.recoverWeight(now)
		if (s.state == ejectedServer || s.state == held) && !now.Before(s.stateUntil) {
			s.state = onCanary
		}
		if s.state != onCanary {
			continue
		}
		for _, r := range s.inflight {
			if r.canary && !r.firstByte && r.age(now) >= max(m.threshold(), m.canaryLimit(r)) {
				r.canary = false
				m.failCanary(now, s, "not answered")
				m.advise(s)
				break
			}
		}
	}
}

// judgeOverload sets the doubts and finds out whether the service as a whole is slow.
func (m *Machine) judgeOverload(now time.Time) {
	if m.queue.length() == 0 {
		m.backlogAt = time.Time{}
	} else if m.backlogAt.IsZero() {
		m.backlogAt = now
	}
	active, doubted := 0, 0
	for _, s := range m.servers {
		if !s.healthy(now) {
			continue
		}
		m.doubt(now, s)
		if len(s.inflight) == 0 && now.Sub(s.lastGrant) > sampleWindow {
			continue
		}
		active++
		if s.doubted {
			doubted++
		}
	}
	if active > 1 && 2*doubted > active || m.medianRose(now) {
		m.badAt = now
	}
	backlog := !m.backlogAt.IsZero() && now.Sub(m.backlogAt) >= backlogFor
	m.overload = backlog || m.serviceBad(now)
}

// serviceBad tells whether most servers looked bad a moment ago.
func (m *Machine) serviceBad(now time.Time) bool {
	return !m.badAt.IsZero() && now.Sub(m.badAt) < badFor
}

// doubt marks a server whose oldest request waits unusually long with no answer since.
func (m *Machine) doubt(now time.Time, s *server) {
	limit := m.doubtAge()
	s.hanging = false
	for _, r := range s.inflight {
		if !r.firstByte && r.age(now) >= limit && !s.lastAnswer.After(r.sent.Add(limit)) {
			s.doubted, s.hanging = true, true
			return
		}
	}
	if s.slower(now, m.latencies.p50) {
		s.doubted = true
		return
	}
	if s.doubted && len(s.inflight) == 0 && now.Sub(s.lastGrant) > sampleWindow {
		s.doubted = false
	}
}

// medianRose tells whether the recent median of all servers is twice the usual one.
func (m *Machine) medianRose(now time.Time) bool {
	if !m.latencies.known {
		return false
	}
	m.values = m.values[:0]
	for _, s := range m.servers {
		m.values = s.recent(now, sampleWindow/4, m.values)
	}
	return len(m.values) >= 2*slowSamples && median(m.values) >= 2*m.latencies.p50
}

// recent appends the latencies of the answers within the window.
func (s *server) recent(now time.Time, window time.Duration, out []time.Duration) []time.Duration {
	for i := len(s.samples) - 1; i >= 0; i-- {
		x := &s.samples[i]
		if now.Sub(x.at) > window {
			break
		}
		if !x.failed {
			out = append(out, x.latency)
		}
	}
	return out
}

// judgeServers collects the evidence on each server and classifies it.
func (m *Machine) judgeServers(now time.Time) {
	m.rates = m.rates[:0]
	for _, s := range m.servers {
		if !s.healthy(now) {
			continue
		}
		if p := m.stallProof(now, s); m.stalled(now, s, &p) {
			m.classify(now, s, &p, causeStall)
			continue
		}
		if p, bad := m.errorProof(now, s); bad {
			m.classify(now, s, &p, causeError)
			continue
		}
		if p, bad := m.slowProof(now, s); bad {
			m.classify(now, s, &p, causeSlow)
		}
	}
}

// errorProof compares the failure rate of the server with the median of the others. A request
// that is sent again and again counts once.
func (m *Machine) errorProof(now time.Time, s *server) (p proof, bad bool) {
	failed, total := s.failures(now, &p)
	if total < errorSamples || failed < 2 {
		return p, false
	}
	usual := max(1.5*m.othersRate(now, float64(failed)/float64(total)), failureFloor)
	return p, binomialTail(total, failed, usual) < significance
}

// othersRate returns the median of the failure rates of all servers but one, whose rate is given. The rates
// are those at the first call of a judgement.
func (m *Machine) othersRate(now time.Time, own float64) float64 {
	if len(m.rates) == 0 {
		for _, s := range m.servers {
			if failed, total := s.failures(now, nil); total > 0 {
				m.rates = append(m.rates, float64(failed)/float64(total))
			}
		}
		slices.Sort(m.rates)
	}
	others := len(m.rates) - 1
	if others < 1 {
		return 0
	}
	middle := others / 2
	if at, _ := slices.BinarySearch(m.rates, own); at <= middle {
		middle++
	}
	return m.rates[middle]
}

func (s *server) failures(now time.Time, p *proof) (failed, total int) {
	for i := len(s.samples) - 1; i >= 0; i-- {
		x := &s.samples[i]
		if now.Sub(x.at) > sampleWindow {
			break
		}
		if x.failed && s.failedLater(i) {
			continue
		}
		total++
		if !x.failed {
			continue
		}
		failed++
		if p != nil {
			p.note(s, x.node, x.sent)
		}
	}
	return failed, total
}

// failedLater tells whether a later failed sample has the same fingerprint.
func (s *server) failedLater(i int) bool {
	fingerprint := s.samples[i].fingerprint
	if fingerprint == 0 {
		return false
	}
	for _, x := range s.samples[i+1:] {
		if x.failed && x.fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// slowProof compares the latencies of the server with those of the others at the same time, the
// newest first, so that good answers from before a fault do not hide it. Requests that already
// wait longer than slowFactor medians count as slow samples.
func (m *Machine) slowProof(now time.Time, s *server) (p proof, bad bool) {
	if !m.latencies.known {
		return p, false
	}
	p, bad = m.slowerThan(now, s, slowFactor*m.latencies.p50, failureFloor)
	if bad {
		return p, true
	}
	// A server that hangs for moments has few slow answers, but very slow ones.
	return m.slowerThan(now, s, m.doubtAge(), tailFloor)
}

// slowerThan tests the answers beyond a limit; floor is the least share expected of a healthy server.
func (m *Machine) slowerThan(now time.Time, s *server, limit time.Duration, floor float64) (p proof, bad bool) {
	if !m.looksSlow(now, s, limit, max(m.tail(limit), floor), &p) {
		return p, false
	}
	// Only a server that looks slow by the usual latencies is compared with what the others do just
	// now: a change of the work makes all servers slower.
	limit = max(limit, slowFactor*m.othersMedian(now, s))
	expected := max(m.tail(limit), floor, m.othersSlow(now, s, limit))
	p = proof{}
	bad = m.looksSlow(now, s, limit, expected, &p)
	return p, bad
}

// looksSlow tells whether more answers of the server are slow than chance explains. The slow ones
// must be spread over some time, since one short pause delays all requests in flight, unless two of
// them took longer than a pause explains.
func (m *Machine) looksSlow(now time.Time, s *server, limit time.Duration, expected float64, p *proof) bool {
	spread := max(limit, min(m.threshold(), pauseSpan))
	slow, total, long := 0, 0, 0
	sent := span{}
	count := func(n *node, at time.Time, latency time.Duration) {
		slow++
		if latency >= pauseSpan+m.latencies.p95 {
			long++
		}
		p.note(s, n, at)
		sent.add(at)
	}
	for _, r := range s.inflight {
		if !r.firstByte && r.age(now) >= limit && r.credible(now) {
			total++
			count(r.node, r.sent, r.age(now))
		}
	}
	convincing := func() bool {
		return total >= slowSamples && slow >= slowAnswers &&
			(sent.width() >= spread || long >= 2) && binomialTail(total, slow, expected) < significance
	}
	for i := len(s.samples) - 1; i >= 0; i-- {
		x := &s.samples[i]
		if now.Sub(x.at) > sampleWindow {
			break
		}
		if x.failed {
			continue
		}
		total++
		if x.latency < limit {
			continue
		}
		count(x.node, x.sent, x.latency)
		if convincing() {
			return true
		}
	}
	return convincing()
}

// span is the time that events cover.
type span struct {
	oldest, second, penultimate, newest time.Time
}

func (s *span) add(at time.Time) {
	switch {
	case s.newest.IsZero() || at.After(s.newest):
		s.penultimate, s.newest = s.newest, at
	case s.penultimate.IsZero() || at.After(s.penultimate):
		s.penultimate = at
	}
	switch {
	case s.oldest.IsZero() || at.Before(s.oldest):
		s.second, s.oldest = s.oldest, at
	case s.second.IsZero() || at.Before(s.second):
		s.second = at
	}
}

// width is the time covered without the most distant event, which may be there by chance.
func (s *span) width() time.Duration {
	if s.second.IsZero() || s.penultimate.IsZero() {
		return 0
	}
	return min(s.newest.Sub(s.second), s.penultimate.Sub(s.oldest))
}

// othersSlow is the share of slow answers of the other servers in the window, with a margin.
func (m *Machine) othersSlow(now time.Time, s *server, limit time.Duration) float64 {
	slow, total := 0, 0
	for _, other := range m.servers {
		if other == s || !other.healthy(now) {
			continue
		}
		m.values = other.recent(now, sampleWindow, m.values[:0])
		total += len(m.values)
		for _, latency := range m.values {
			if latency >= limit {
				slow++
			}
		}
	}
	return slowMargin * float64(slow+1) / float64(total+1)
}

// othersMedian is the median over the other servers of their median latency in the last second.
func (m *Machine) othersMedian(now time.Time, s *server) time.Duration {
	medians := m.medians[:0]
	for _, other := range m.servers {
		if other == s || !other.healthy(now) {
			continue
		}
		m.values = other.recent(now, sampleWindow/2, m.values[:0])
		if len(m.values) > 0 {
			medians = append(medians, median(m.values))
		}
	}
	m.medians = medians
	return max(median(medians), m.latencies.p50)
}

// binomialTail is the probability of at least k successes in n trials of probability p.
func binomialTail(n, k int, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	sum := 0.0
	term := math.Pow(1-p, float64(n))
	for i := 0; i <= n; i++ {
		if i >= k {
			sum += term
		}
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return sum
}
