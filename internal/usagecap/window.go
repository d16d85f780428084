package usagecap

import "time"

// slots is into how many slots a window is divided. A request counts for up to one slot longer than the window.
const slots = 40

// window counts requests in a sliding window.
type window struct {
	counts [slots + 1]int32
	sum    int32
	// at is the number of the current slot.
	at int64
}

// advance drops the slots that have left the window.
func (w *window) advance(now, length time.Duration) {
	at := int64(now / (length / slots))
	if at-w.at > slots {
		*w = window{at: at}
		return
	}
	for w.at < at {
		w.at++
		c := &w.counts[w.at%(slots+1)]
		w.sum -= *c
		*c = 0
	}
}

// add counts requests in the current slot.
func (w *window) add(n int32) {
	w.counts[w.at%(slots+1)] += n
	w.sum += n
}

// before returns how many requests in the window are older than an age.
func (w *window) before(age, length time.Duration) int32 {
	left, slot := w.sum, length/slots
	for n := int64(0); n <= min(int64(age/slot)+1, slots); n++ {
		left -= w.counts[(w.at-n+slots+1)%(slots+1)]
	}
	return max(left, 0)
}

// falls returns how long it takes until the count has fallen to most.
func (w *window) falls(now, length time.Duration, most float64) time.Duration {
	if float64(w.sum) <= most {
		return 0
	}
	left, slot := w.sum, length/slots
	for n := int64(1); n <= slots+1; n++ {
		left -= w.counts[(w.at+n)%(slots+1)]
		if float64(left) <= most {
			return min(time.Duration(w.at+n)*slot-now, length)
		}
	}
	return length
}
