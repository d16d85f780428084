package main

import "time"

// Bounds of FLOOR, and the step between the spans that are looked at.
const (
	floorSpan  = 2 * time.Second
	floorStep  = 100 * time.Millisecond
	floorShare = 0.7
)

// checkFloor looks at each span of 2 s of the load from a time after its beginning on.
func (p *play) checkFloor(servers []*instance, exchanges []exchange, began time.Time, judgedFrom, load time.Duration) (broken bool) {
	for from := began.Add(judgedFrom); from.Before(began.Add(load - floorSpan)); from = from.Add(floorStep) {
		to := from.Add(floorSpan)
		sent, missed, used := 0, 0, 0
		for _, e := range exchanges {
			if !e.sent.Before(from) && e.sent.Before(to) {
				sent++
				if !e.served {
					missed++
				}
			}
		}
		for _, s := range servers {
			for _, a := range s.arrived() {
				if !a.at.Before(from) && a.at.Before(to) {
					used++
					break
				}
			}
		}
		share := float64(missed) / float64(max(sent, 1))
		if used > 0 && float64(used) < floorShare*float64(len(servers)) && share > 0.1 && share < 0.5 {
			broken = true
			p.recordf("FLOOR: in the 2 s from %.1f s of the load on, %d of %d instances got requests, and %d of %d requests were not served",
				from.Sub(began).Seconds(), used, len(servers), missed, sent)
		}
	}
	return broken
}
