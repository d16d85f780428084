package dispatch

import (
	"container/heap"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// bucket holds the queued requests of the teams that share one hash, the earliest due time first.
type bucket struct {
	requests []*request
	weight   float64
	deficit  float64
	// position in class.active, or -1.
	position int
}

func (b *bucket) Len() int { return len(b.requests) }

func (b *bucket) Less(i, j int) bool {
	return b.requests[i].due.Before(b.requests[j].due)
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

// class is a queue with deficit round robin over the buckets.
type class struct {
	buckets [teamBuckets]*bucket
	active  []*bucket
	cursor  int
	length  int
	// work is the slot time in seconds that the requests will take.
	work float64
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
	c.work += r.work
}

func (c *class) remove(r *request) {
	b := r.bucket
	heap.Remove(b, r.index)
	r.bucket = nil
	c.length--
	c.work -= r.work
	if c.length == 0 {
		// Nothing of rounding errors may stay.
		c.work = 0
	}
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

// rank holds the waiting requests of one priority. Those that can still meet the target latency go
// first: under overload a slot spent on late work would make the next request late, too.
type rank struct {
	fresh class
	late  class
}

// of returns the class that the request is in.
func (k *rank) of(r *request) *class {
	if r.late {
		return &k.late
	}
	return &k.fresh
}

func (k *rank) length() int {
	return k.fresh.length + k.late.length
}

// head returns the request whose turn it is, or nil.
func (k *rank) head() *request {
	if r := k.fresh.head(); r != nil {
		return r
	}
	return k.late.head()
}

// queue holds the requests that wait for a grant.
type queue struct {
	ranks [priority.Count]rank
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
	for i := range q.ranks {
		total += q.ranks[i].length()
	}
	return total
}

func (q *queue) push(r *request) {
	q.ranks[r.Priority].of(r).push(r, q.slotOf(r.Team))
}

// demote puts a request that can no longer meet its target behind those that can.
func (q *queue) demote(r *request) {
	q.remove(r)
	r.late = true
	r.due = r.Deadline
	q.push(r)
}

// take removes a request that is granted, and charges its team's turn.
func (q *queue) take(r *request) {
	r.bucket.deficit--
	q.remove(r)
}

func (q *queue) remove(r *request) {
	k := &q.ranks[r.Priority]
	k.of(r).remove(r)
	if k.length() == 0 {
		q.credit[r.Priority] = 0
	}
}

// next returns the request to serve next, or nil. A priority that is owed slot time under its
// minimum share goes first; otherwise the most urgent goes first.
func (q *queue) next(cost *[priority.Count]float64) *request {
	for p := priority.Count - 1; p > 0; p-- {
		if q.credit[p] >= cost[p] && q.ranks[p].length() > 0 {
			return q.ranks[p].head()
		}
	}
	for p := range q.ranks {
		if r := q.ranks[p].head(); r != nil {
			return r
		}
	}
	return nil
}

// served charges the slot time of a granted request: every waiting priority earns its share of
// it, and the served one pays.
func (q *queue) served(p priority.Priority, cost float64, shares *[priority.Count]float64) {
	for i := range q.ranks {
		if q.ranks[i].length() > 0 {
			q.credit[i] += shares[i] * cost
		}
	}
	q.credit[p] -= cost
	for i := range q.credit {
		// A bounded debt keeps a priority that had idle capacity from paying for it under a later flood.
		q.credit[i] = min(max(q.credit[i], -cost), creditCap*max(cost, minimumCost))
		if q.ranks[i].length() == 0 {
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

// ahead returns the slot time in seconds of the requests that are served before a new one of the team.
func (q *queue) ahead(p priority.Priority, team string) float64 {
	work := 0.0
	for i := range p {
		work += q.ranks[i].fresh.work + q.ranks[i].late.work
	}
	c := &q.ranks[p].fresh
	if len(c.active) == 1 && c.active[0] == c.buckets[q.slotOf(team)] {
		// With other teams waiting, the turns decide.
		work += c.work
	}
	return work
}

// victim returns the request to drop so that a request of the team may enter a full class; it
// returns nil when the newcomer itself is the one to drop.
func (q *queue) victim(p priority.Priority, team string) *request {
	c := &q.ranks[p].fresh
	if late := &q.ranks[p].late; late.length > 0 {
		c = late
	}
	most := c.largest()
	if most == nil || most == c.buckets[q.slotOf(team)] {
		return nil
	}
	return most.newest()
}

// expired appends the queued requests that are too late, bucket heads first.
func (q *queue) expired(tooLate func(*request) bool, out []*request) []*request {
	for i := range q.ranks {
		out = q.ranks[i].fresh.expired(tooLate, out)
		out = q.ranks[i].late.expired(tooLate, out)
	}
	return out
}

func (c *class) expired(tooLate func(*request) bool, out []*request) []*request {
	for _, b := range c.active {
		for _, r := range b.requests {
			if tooLate(r) {
				out = append(out, r)
			}
		}
	}
	return out
}
