package usagecap

import "time"

// almostOne is the number of tokens that admits a request. It is below 1, so that rounding does not refuse a caller that
// comes back at the time it was told.
const almostOne = 1 - 1e-6

// bucket is a token bucket whose rate and depth change. Times are relative to an origin of the owner's choice.
type bucket struct {
	tokens float64
	// rate is in tokens/s.
	rate, depth float64
	settled     time.Duration
	// promised is the latest time at which a refused caller was told to come back.
	promised time.Duration
}

// settle adds the tokens of the time that has passed.
func (b *bucket) settle(now time.Duration) {
	if now > b.settled {
		b.tokens = min(b.tokens+b.rate*(now-b.settled).Seconds(), b.depth)
		b.settled = now
	}
}

// change sets the rate and the depth from now on. It never adds tokens, and cuts the bucket to its new depth.
func (b *bucket) change(now time.Duration, rate, depth float64) {
	b.settle(now)
	b.rate, b.depth = rate, depth
	b.tokens = min(b.tokens, depth)
}

// waits returns the time until the bucket holds a token, at most the limit.
func (b *bucket) waits(limit time.Duration) time.Duration {
	if b.tokens >= almostOne {
		return 0
	}
	return seconds((1-b.tokens)/b.rate, limit)
}

// promise returns the time after which a refused caller may come back: the wait, but a token's time after the caller
// refused before it, at rate tokens/s; at most the limit.
func (b *bucket) promise(now, wait, limit time.Duration, rate float64) time.Duration {
	if b.promised > now {
		wait = max(wait, b.promised-now+seconds(1/rate, limit))
	}
	wait = min(max(wait, time.Millisecond), limit)
	b.promised = now + wait
	return wait
}

// seconds converts s to a duration of at most limit, rounded up.
func seconds(s float64, limit time.Duration) time.Duration {
	if !(s < limit.Seconds()) {
		return limit
	}
	return max(time.Duration(s*float64(time.Second)), 0) + 1
}
