package dispatch

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// bucket holds the queued requests of the teams that share one hash, the earliest deadline first.
type bucket struct {
	requests []*request
	weight   float64
	deficit  float64
	// position in class.active, or -1.
	position int
}

func (b *bucket) Len() int { return len(b.requests) }

func (b *bucket) Less(i, j int) bool {
	return b.requests[i].Deadline.Before(b.requests[j].Deadline)
}

func (b *bucket) Swap(i, j int) {
	b.requests[i], b.requests[j] = b.requests[j], b.requests[i]
	b.requests[i].index = i
	b.requests[j].index = j
}

func (b *bucket) Push(x any) {
	r := x.(*request)
	r.index = len(b.requests)
	b.requests = append(b.requests, r)
}

func (b *bucket) Pop() any {
	last := len(b.requests) - 1
	r := b.requests[last]
	b.requests[last] = nil
	b.requests = b.requests[:last]
	return r
}

func (b *bucket) newest() *request {
	newest := b.requests[0]
	for _, r := range b.requests[1:] {
		if r.arrived.After(newest.arrived) || r.arrived.Equal(newest.arrived) && r.ID > newest.ID {
			newest = r
		}
	}
	return newest
}

// class is the queue of one priority: deficit round robin over the buckets.
type class struct {
	buckets [teamBuckets]*bucket
	active  []*bucket
	cursor  int
	length  int
}

// head returns the request whose turn it is, or nil.
func (c *class) head() *request {
	if c.length == 0 {
		return nil
	}
	if c.cursor >= len(c.active) {
		c.cursor = 0
		c.active[0].deficit += c.active[0].weight
	}
	if c.active[c.cursor].deficit < 1 {
		c.cursor = (c.cursor + 1) % len(c.active)
		c.active[c.cursor].deficit += c.active[c.cursor].weight
	}
	return c.active[c.cursor].requests[0]
}

func (c *class) push(r *request, slot int) {
	b := c.buckets[slot]
	if b == nil {
		b = &bucket{position: -1}
		c.buckets[slot] = b
	}
	b.weight = max(1, float64(r.Weight))
	if b.position < 0 {
		b.position = len(c.active)
		c.active = append(c.active, b)
	}
	r.bucket = b
	heap.Push(b, r)
	c.length++
}

func (c *class) remove(r *request) {
	b := r.bucket
	heap.Remove(b, r.index)
	r.bucket = nil
	c.length--
	if len(b.requests) == 0 {
		c.deactivate(b)
	}
}

func (c *class) deactivate(b *bucket) {
	last := len(c.active) - 1
	moved := c.active[last]
	c.active[b.position] = moved
	moved.position = b.position
	c.active[last] = nil
	c.active = c.active[:last]
	b.position = -1
	b.deficit = 0
}

// largest returns the bucket with the most queued requests, or nil.
func (c *class) largest() *bucket {
	var most *bucket
	for _, b := range c.active {
		if most == nil || len(b.requests) > len(most.requests) {
			most = b
		}
	}
	return most
}

// queue holds the requests that wait for a grant.
type queue struct {
	classes [priority.Count]class
	// credit is the slot time in seconds owed to a priority under its minimum share.
	credit [priority.Count]float64
	salt   uint64
}

func (q *queue) slotOf(team string) int {
	// The salt goes in before a multiplication, so that other teams share a bucket in the next term.
	mixed := (xxhash.Sum64String(team) ^ q.salt*hashMultiplier) * hashMultiplier
	return int((mixed >> 32) % teamBuckets)
}

func (q *queue) length() int {
	total := 0
	for i := range q.classes {
		total += q.classes[i].length
	}
	return total
}

func (q *queue) push(r *request) {
	q.classes[r.Priority].push(r, q.slotOf(r.Team))
}

// take removes a request that is granted, and charges its team's turn.
func (q *queue) take(r *request) {
	r.bucket.deficit--
	q.remove(r)
}

func (q *queue) remove(r *request) {
	c := &q.classes[r.Priority]
	c.remove(r)
	if c.length == 0 {
		q.credit[r.Priority] = 0
	}
}

// next returns the request to serve next, or nil. A priority that is owed slot time under its
// minimum share goes first; otherwise the most urgent goes first.
func (q *queue) next(cost *[priority.Count]float64) *request {
	for p := priority.Count - 1; p > 0; p-- {
		if q.credit[p] >= cost[p] && q.classes[p].length > 0 {
			return q.classes[p].head()
		}
	}
	for p := range q.classes {
		if r := q.classes[p].head(); r != nil {
			return r
		}
	}
	return nil
}

// served charges the slot time of a granted request: every waiting priority earns its share of
// it, and the served one pays.
func (q *queue) served(p priority.Priority, cost float64, shares *[priority.Count]float64) {
	for i := range q.classes {
		if q.classes[i].length > 0 {
			q.credit[i] += shares[i] * cost
		}
	}
	q.credit[p] -= cost
	for i := range q.credit {
		// A bounded debt keeps a priority that had idle capacity from paying for it under a later flood.
		q.credit[i] = min(max(q.credit[i], -cost), creditCap*max(cost, minimumCost))
		if q.classes[i].length == 0 {
			q.credit[i] = 0
		}
	}
}

const (
	// hashMultiplier is the odd number next to 2^64 divided by the golden ratio.
	hashMultiplier = 0x9E3779B97F4A7C15
	// creditCap bounds the owed slot time, in requests.
	creditCap = 8
	// minimumCost in seconds keeps the credit meaningful for services without measurements.
	minimumCost = 0.001
)

// victim returns the request to drop so that a request of the team may enter a full class; it
// returns nil when the newcomer itself is the one to drop.
func (q *queue) victim(p priority.Priority, team string) *request {
	c := &q.classes[p]
	most := c.largest()
	if most == nil || most == c.buckets[q.slotOf(team)] {
		return nil
	}
	return most.newest()
}

// expired appends the queued requests that have less than need left, bucket heads first.
func (q *queue) expired(now time.Time, need time.Duration, out []*request) []*request {
	for i := range q.classes {
		for _, b := range q.classes[i].active {
			for _, r := range b.requests {
				if r.Deadline.Sub(now) < need {
					out = append(out, r)
				}
			}
		}
	}
	return out
}
