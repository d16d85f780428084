package entry

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// goldenStep spaces the positions of successive requests. Any run of them covers the range from 0 to
// 1 evenly, so that the parts of a split route get their shares also over few requests.
var goldenStep = (math.Sqrt(5) - 1) / 2

// turns hands out the positions at which requests of split routes choose their service. Each host
// starts at a place of its own, so that the hosts do not choose the same part at once.
type turns struct {
	byRoute sync.Map
}

type turn struct {
	start float64
	count atomic.Uint64
}

// next returns a position from 0 to 1, exclusively.
func (t *turns) next(route string) float64 {
	known, ok := t.byRoute.Load(route)
	if !ok {
		known, _ = t.byRoute.LoadOrStore(route, &turn{start: rand.Float64()})
	}
	current := known.(*turn)
	position := current.start + float64(current.count.Add(1))*goldenStep
	return position - math.Floor(position)
}
