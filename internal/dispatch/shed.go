package dispatch

import "time"

const (
	// shedDecrease multiplies the weight at a shed response.
	shedDecrease = 0.7
	// shedInterval limits the decrease to one per burst of shed responses.
	shedInterval = 100 * time.Millisecond
	// shedIncrease is added to the weight per shedInterval without a shed response.
	shedIncrease = 0.05
	// minShedPause is the first pause after a shed response. A server that sheds everything at once would
	// otherwise look idle and attract all work.
	minShedPause = 20 * time.Millisecond
	// sharedShedWindow is the time within which shed responses of different servers count as simultaneous.
	sharedShedWindow = time.Second
	// maxShedPause bounds the pause, which doubles with each consecutive shed response.
	maxShedPause = 500 * time.Millisecond
)

// observeShed records a shed response. When most servers shed at once, no server is backed off: none is
// more loaded than the others, so fewer requests at each would only leave slots idle.
func (m *Machine) observeShed(now time.Time, s *server) {
	s.lastShed = now
	healthy, shedding := 0, 0
	for _, other := range m.servers {
		if !other.healthy(now) {
			continue
		}
		healthy++
		if now.Sub(other.lastShed) < sharedShedWindow {
			shedding++
		}
	}
	if 2*shedding > healthy {
		return
	}
	s.backOff(now)
}

// backOff lowers the weight and pauses the server.
func (s *server) backOff(now time.Time) {
	pause := min(minShedPause<<min(s.consecutiveSheds, 5), maxShedPause)
	s.consecutiveSheds++
	s.pausedUntil = now.Add(pause)
	if now.Sub(s.shedWeightAt) < shedInterval {
		return
	}
	s.shedWeightAt = now
	s.shedWeight = max(s.shedWeight*shedDecrease, 1/float64(max(s.Slots, 1)))
}

// recoverWeight raises the weight by shedIncrease per shedInterval.
func (s *server) recoverWeight(now time.Time) {
	if s.shedWeight >= 1 || now.Sub(s.shedWeightAt) < shedInterval {
		return
	}
	s.shedWeightAt = now
	s.shedWeight = min(1, s.shedWeight+shedIncrease)
}
