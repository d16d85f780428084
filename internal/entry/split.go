package entry

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// goldenRatioStep is the distance between the positions of successive requests, the golden ratio
// minus 1. Any run of successive positions modulo 1 covers the range from 0 to 1 evenly, so that
// each part of a split route gets its share of the requests even over few requests.
var goldenRatioStep = (math.Sqrt(5) - 1) / 2

// splitPositions returns the positions by which requests of split routes select their service. Each
// host starts at a random position, so that the hosts do not all select the same part at the same
// time.
type splitPositions struct {
	byRoute sync.Map
}

type splitSequence struct {
	start float64
	count atomic.Uint64
}

// next returns a position from 0 (inclusive) to 1 (exclusive).
func (p *splitPositions) next(route string) float64 {
	known, ok := p.byRoute.Load(route)
	if !ok {
		known, _ = p.byRoute.LoadOrStore(route, &splitSequence{start: rand.Float64()})
	}
	current := known.(*splitSequence)
	position := current.start + float64(current.count.Add(1))*goldenRatioStep
	return position - math.Floor(position)
}
