package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// minSlowSamples is the least number of samples from which slowness is determined.
	minSlowSamples = 5
	// slowFactor times the median of the service is the latency from which on a response is slow.
	slowFactor = 3
	// minErrorSamples is the least number of samples for a failure rate.
	minErrorSamples = 5
	// minExpectedFailureRate is the lowest failure rate assumed of a healthy server.
	minExpectedFailureRate = 0.02
	// slowMargin allows for differences between healthy servers.
	slowMargin = 1.5
	// minTailProbability is the lowest probability assumed of a slow response.
	minTailProbability = 1e-3
	// minFarTailProbability applies beyond twice the stall threshold, for servers with too few slots for
	// several late requests.
	minFarTailProbability = 1e-5
	// ejectionSignificance bounds the probability that a healthy server shows such evidence by chance. The
	// evidence is evaluated 50 times per second over windows of many lengths, so the bound is far below one
	// false alarm per day and window.
	ejectionSignificance = 1e-8
	// maxPause is the longest pause of a healthy server, such as a garbage collection. One pause delays all
	// requests in flight, so the slow requests of a server must be spread over at least this time, or over
	// the stall threshold if that is less, to justify an ejection (see looksSlow).
	maxPause = 300 * time.Millisecond
	// minSlowResponses is the least number of slow responses of a bad server.
	minSlowResponses = 4
	// quantileInterval is the interval at which the latency quantiles are computed.
	quantileInterval = 200 * time.Millisecond
	// sweepInterval is the interval at which expired state is dropped.
	sweepInterval = 100 * time.Millisecond
	// overloadBacklogTime is how long requests must be queued without a gap to count as overload.
	overloadBacklogTime = 200 * time.Millisecond
	// overloadHoldTime is how long the service counts as overloaded after most servers looked bad.
	overloadHoldTime = 500 * time.Millisecond
)

// Tick evaluates the evidence and advances time-driven state. Call it every TickInterval.
func (m *Machine) Tick(now time.Time) {
	if now.Before(m.started.Add(CollectionPeriod)) {
		return
	}
	if !m.collectionDone {
		m.collectionDone = true
		m.inheritEjections(now)
	}
	m.refreshQuantiles(now)
	if now.Sub(m.lastSweep) >= sweepInterval {
		m.lastSweep = now
		m.releaseLostNodes(now)
		m.refuseExpired(now)
		m.crashes.dropExpired(now)
		m.recordPeak(now)
		m.reserveAutonomousSlots(now)
	}
	m.advanceStates(now)
	m.detectBadPaths(now)
	m.detectOverload(now)
	m.detectBadServers(now)
	m.detectDelays(now)
	m.adviseOverdue(now)
	m.enforceMinimum(now)
	m.dispatchQueued(now)
}

func (m *Machine) refreshQuantiles(now time.Time) {
	if now.Sub(m.lastQuantiles) < quantileInterval {
		return
	}
	m.lastQuantiles = now
	for _, s := range m.servers {
		s.latency.decay(now)
	}
	m.latencies = serviceLatencies(m.servers)
	for _, k := range m.workKinds {
		k.refresh(now)
	}
	m.poolLatencies(now)
}

// poolLatencies merges the distributions of the servers with usual latencies.
func (m *Machine) poolLatencies(now time.Time) {
	m.pooled = distribution{}
	for _, s := range m.servers {
		if s.latency.total < minServerSamples || !s.healthy(now) || s.latency.quantile(0.95) > 2*m.latencies.p95 {
			continue
		}
		for i, count := range s.latency.counts {
			m.pooled.counts[i] += count
		}
		m.pooled.total += s.latency.total
	}
}

// tailProbability is the probability that a healthy server takes longer than the latency.
func (m *Machine) tailProbability(latency time.Duration) float64 {
	if latency >= 2*m.stallThreshold() {
		return max(m.pooled.shareAbove(latency), minFarTailProbability)
	}
	return max(m.pooled.shareAbove(latency), minTailProbability)
}

// advanceStates ends probations and holds, raises the weights of servers that shed load and fails overdue
// canaries.
func (m *Machine) advanceStates(now time.Time) {
	for _, s := range m.servers {
		s.recoverWeight(now)
		if (s.state == ejectedServer || s.state == heldAfterCrash) && !now.Before(s.stateUntil) {
			s.state = onCanary
		}
		if s.state != onCanary {
			continue
		}
		for _, r := range s.inflight {
			if r.canary && !r.firstByte && r.age(now) >= max(m.stallThreshold(), m.canaryLatencyLimit(r)) {
				r.canary = false
				m.failCanary(now, s, "no response")
				m.adviseRetries(s)
				break
			}
		}
	}
}

// detectOverload updates which servers are suspected and determines whether the service as a whole is
// overloaded.
func (m *Machine) detectOverload(now time.Time) {
	if m.queue.Length() == 0 {
		m.backlogSince = time.Time{}
	} else if m.backlogSince.IsZero() {
		m.backlogSince = now
	}
	active, suspected := 0, 0
	for _, s := range m.servers {
		if !s.healthy(now) {
			continue
		}
		m.updateSuspicion(now, s)
		if len(s.inflight) == 0 && now.Sub(s.lastGrant) > sampleWindow {
			continue
		}
		active++
		if s.underSuspicion {
			suspected++
		}
	}
	if active > 1 && 2*suspected > active || m.medianDoubled(now) {
		m.mostBadAt = now
	}
	backlog := !m.backlogSince.IsZero() && now.Sub(m.backlogSince) >= overloadBacklogTime
	m.overload = backlog || m.mostServersBad(now)
}

// mostServersBad reports whether most servers looked bad within the last overloadHoldTime.
func (m *Machine) mostServersBad(now time.Time) bool {
	return !m.mostBadAt.IsZero() && now.Sub(m.mostBadAt) < overloadHoldTime
}

// updateSuspicion marks a server as suspected if a request has been waiting unusually long with no response
// since, or if its recent responses are slow. It clears the suspicion of a server that has been idle for
// the sample window.
func (m *Machine) updateSuspicion(now time.Time, s *server) {
	limit := m.suspicionThreshold()
	s.hanging = false
	for _, r := range s.inflight {
		if !r.firstByte && r.age(now) >= limit && !s.lastResponse.After(r.sent.Add(limit)) {
			s.underSuspicion, s.hanging = true, true
			return
		}
	}
	if s.recentlySlow(now, m.latencies.p50) {
		s.underSuspicion = true
		return
	}
	if s.underSuspicion && len(s.inflight) == 0 && now.Sub(s.lastGrant) > sampleWindow {
		s.underSuspicion = false
	}
}

// medianDoubled reports whether the recent median latency of all servers is at least twice the usual one.
func (m *Machine) medianDoubled(now time.Time) bool {
	if !m.latencies.known {
		return false
	}
	m.values = m.values[:0]
	for _, s := range m.servers {
		m.values = s.recentLatencies(now, sampleWindow/4, m.values)
	}
	return len(m.values) >= 2*minSlowSamples && median(m.values) >= 2*m.latencies.p50
}

// recentLatencies appends the latencies of the successful responses within the window.
func (s *server) recentLatencies(now time.Time, window time.Duration, out []time.Duration) []time.Duration {
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

// detectBadServers collects the evidence on each server and classifies it.
func (m *Machine) detectBadServers(now time.Time) {
	m.rates = m.rates[:0]
	for _, s := range m.servers {
		if !s.healthy(now) {
			continue
		}
		if e := m.stallEvidence(now, s); m.stalled(now, s, &e) {
			m.classifyEvidence(now, s, &e, causeStall)
			continue
		}
		if e, bad := m.errorEvidence(now, s); bad {
			m.classifyEvidence(now, s, &e, causeError)
			continue
		}
		if e, bad := m.slowEvidence(now, s); bad {
			m.classifyEvidence(now, s, &e, causeSlow)
		}
	}
}

// errorEvidence compares the failure rate of the server with the median of the others. A request that is
// sent repeatedly counts once.
func (m *Machine) errorEvidence(now time.Time, s *server) (e evidence, bad bool) {
	failed, total := s.countFailures(now, &e)
	if total < minErrorSamples || failed < 2 {
		return e, false
	}
	usual := max(1.5*m.othersFailureRate(now, float64(failed)/float64(total)), minExpectedFailureRate)
	return e, binomialTail(total, failed, usual) < ejectionSignificance
}

// othersFailureRate returns the median of the failure rates of all servers but one, whose rate is given.
// The rates are those at the first call within one run of detectBadServers.
func (m *Machine) othersFailureRate(now time.Time, own float64) float64 {
	if len(m.rates) == 0 {
		for _, s := range m.servers {
			if failed, total := s.countFailures(now, nil); total > 0 {
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

func (s *server) countFailures(now time.Time, e *evidence) (failed, total int) {
	for i := len(s.samples) - 1; i >= 0; i-- {
		x := &s.samples[i]
		if now.Sub(x.at) > sampleWindow {
			break
		}
		if x.failed && s.failedAgainLater(i) {
			continue
		}
		total++
		if !x.failed {
			continue
		}
		failed++
		if e != nil {
			e.addRequest(s, x.node, x.sent)
		}
	}
	return failed, total
}

// failedAgainLater reports whether a later failed sample has the same fingerprint.
func (s *server) failedAgainLater(i int) bool {
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

// slowEvidence compares the latencies of the server with those of the others at the same time, the newest
// first, so that good responses from before a fault do not hide it. Requests in flight that have already
// waited longer than the limit count as slow samples.
func (m *Machine) slowEvidence(now time.Time, s *server) (e evidence, bad bool) {
	if !m.latencies.known {
		return e, false
	}
	e, bad = m.slowEvidenceBeyond(now, s, slowFactor*m.latencies.p50, minExpectedFailureRate)
	if bad {
		return e, true
	}
	// A server that hangs briefly has few slow responses, but very slow ones.
	return m.slowEvidenceBeyond(now, s, m.suspicionThreshold(), minTailProbability)
}

// slowEvidenceBeyond tests the responses beyond a limit; floor is the least share of them expected of a
// healthy server.
func (m *Machine) slowEvidenceBeyond(now time.Time, s *server, limit time.Duration, floor float64) (e evidence, bad bool) {
	if !m.looksSlow(now, s, limit, max(m.tailProbability(limit), floor), &e) {
		return e, false
	}
	// Only a server that looks slow by the usual latencies is compared with the current latencies of the
	// others: a change of the work makes all servers slower.
	limit = max(limit, slowFactor*m.othersMedian(now, s))
	expected := max(m.tailProbability(limit), floor, m.othersSlowShare(now, s, limit))
	e = evidence{}
	bad = m.looksSlow(now, s, limit, expected, &e)
	return e, bad
}

// looksSlow reports whether more responses of the server are slow than chance explains. The slow requests
// must be spread over some time, since one short pause delays all requests in flight, unless two of them
// took longer than a pause explains.
func (m *Machine) looksSlow(now time.Time, s *server, limit time.Duration, expected float64, e *evidence) bool {
	spread := max(limit, min(m.stallThreshold(), maxPause))
	slow, total, beyondPause := 0, 0, 0
	sent := sendTimeSpan{}
	count := func(n *node, at time.Time, latency time.Duration) {
		slow++
		if latency >= maxPause+m.latencies.p95 {
			beyondPause++
		}
		e.addRequest(s, n, at)
		sent.add(at)
	}
	for _, r := range s.inflight {
		if !r.firstByte && r.age(now) >= limit && r.credible(now) {
			total++
			count(r.node, r.sent, r.age(now))
		}
	}
	significant := func() bool {
		return total >= minSlowSamples && slow >= minSlowResponses &&
			(sent.width() >= spread || beyondPause >= 2) && binomialTail(total, slow, expected) < ejectionSignificance
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
		if significant() {
			return true
		}
	}
	return significant()
}

// sendTimeSpan is the time range that requests cover by their sending times.
type sendTimeSpan struct {
	oldest, second, penultimate, newest time.Time
}

func (s *sendTimeSpan) add(at time.Time) {
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

// width is the range without its oldest or its newest time, whichever is farther from the others and may be
// an outlier.
func (s *sendTimeSpan) width() time.Duration {
	if s.second.IsZero() || s.penultimate.IsZero() {
		return 0
	}
	return min(s.newest.Sub(s.second), s.penultimate.Sub(s.oldest))
}

// othersSlowShare is the share of slow responses of the other servers in the window, with a margin.
func (m *Machine) othersSlowShare(now time.Time, s *server, limit time.Duration) float64 {
	slow, total := 0, 0
	for _, other := range m.servers {
		if other == s || !other.healthy(now) {
			continue
		}
		m.values = other.recentLatencies(now, sampleWindow, m.values[:0])
		total += len(m.values)
		for _, latency := range m.values {
			if latency >= limit {
				slow++
			}
		}
	}
	return slowMargin * float64(slow+1) / float64(total+1)
}

// othersMedian is the median over the other servers of their median latency in the last second, at least
// the usual median of the service.
func (m *Machine) othersMedian(now time.Time, s *server) time.Duration {
	medians := m.medians[:0]
	for _, other := range m.servers {
		if other == s || !other.healthy(now) {
			continue
		}
		m.values = other.recentLatencies(now, sampleWindow/2, m.values[:0])
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
