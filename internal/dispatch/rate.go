package dispatch

import (
	"math"
	"strconv"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

const (
	// rateBurst is for how long requests that were not sent may be made up for.
	rateBurst = 250 * time.Millisecond
	// MinRate is the least rate in requests per second: a server that names less still gets some requests, since
	// only a response tells that it no longer limits its rate.
	MinRate = 0.2
)

// RateLimit spaces the requests to a server that names the rate of requests that it accepts. The zero value limits
// nothing. It is not safe for concurrent use.
type RateLimit struct {
	// interval is the time between two requests; 0 without a limit.
	interval time.Duration
	// next is when the next request may be sent.
	next time.Time
}

// Set sets the rate in requests per second, which must be above 0. The first request comes after the part of an
// interval that firstShare states, from 0 to 1.
func (l *RateLimit) Set(now time.Time, rate, firstShare float64) {
	limited := l.interval > 0
	l.interval = max(time.Duration(float64(time.Second)/rate), 1)
	if !limited {
		l.next = now.Add(time.Duration(firstShare * float64(l.interval)))
	}
}

// Lift ends the limit.
func (l *RateLimit) Lift() {
	*l = RateLimit{}
}

// Limited reports whether there is a limit.
func (l *RateLimit) Limited() bool {
	return l.interval > 0
}

// Allows reports whether a request may be sent now.
func (l *RateLimit) Allows(now time.Time) bool {
	return l.interval == 0 || !now.Before(l.next)
}

// Spend counts a request that is sent now.
func (l *RateLimit) Spend(now time.Time) {
	if l.interval == 0 {
		return
	}
	if earliest := now.Add(-rateBurst); l.next.Before(earliest) {
		l.next = earliest
	}
	l.next = l.next.Add(l.interval)
}

// slots returns how many slots can be in use at the rate, given the seconds that a request takes.
func (l *RateLimit) slots(slotSeconds float64) float64 {
	if l.interval == 0 {
		return math.Inf(1)
	}
	return slotSeconds / l.interval.Seconds()
}

// observeSignals applies what a server said about itself in a response.
func (m *Machine) observeSignals(now time.Time, s *server, c *grant.Completion) {
	if c.Draining {
		s.draining = true
	}
	if !c.Responded() {
		return
	}
	switch {
	case c.RateLimited:
		m.limitRate(now, s, c.Rate)
	case s.rate.Limited():
		s.rate.Lift()
		m.recordEvent(now, s, eventRateLifted, "")
	}
}

func (m *Machine) limitRate(now time.Time, s *server, rate float64) {
	if !s.rate.Limited() {
		m.recordEvent(now, s, eventRateLimited, strconv.FormatFloat(rate, 'g', 3, 64)+" requests/s")
	}
	s.rate.Set(now, max(rate, MinRate), 1)
}

// ReportRate applies the rate that a server named in its last response to a node, in requests per second. Nodes report
// it to a new dispatcher.
func (m *Machine) ReportRate(now time.Time, instance string, rate float64) {
	if s := m.byName[instance]; s != nil && !s.rate.Limited() {
		m.limitRate(now, s, rate)
	}
}
