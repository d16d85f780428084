package dispatch

import (
	"math"
	"time"
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
// interval that firstShare states, from 0 to 1. After a change, the next one comes within an interval of the new rate.
func (l *RateLimit) Set(now time.Time, rate, firstShare float64) {
	limited := l.interval > 0
	l.interval = max(time.Duration(float64(time.Second)/rate), 1)
	latestNext := now.Add(l.interval)
	switch {
	case !limited:
		l.next = now.Add(time.Duration(firstShare * float64(l.interval)))
	case l.next.After(latestNext):
		l.next = latestNext
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
	return l.Wait(now) == 0
}

// Wait returns how long it takes until a request may be sent; 0 if one may be sent now.
func (l *RateLimit) Wait(now time.Time) time.Duration {
	if l.interval == 0 {
		return 0
	}
	return max(l.next.Sub(now), 0)
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
