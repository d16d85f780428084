package dispatch

import (
	"container/heap"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/internal/priority"
)

// bucket holds the queued requests of the teams that share one hash value, the earliest due time first.
type bucket struct {
	requests []*request
	weight   float64
	deficit  float64
	// position is the index in teamQueue.active, or -1.
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

// teamQueue is a queue with deficit round robin over the buckets.
type teamQueue struct {
	buckets [teamBuckets]*bucket
	active  []*bucket
	cursor  int
	length  int
	// queuedSeconds is the slot time that the queued requests are expected to take.
	queuedSeconds float64
}

// head returns the request whose turn it is, or nil.
func (c *teamQueue) head() *request {
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

func (c *teamQueue) push(r *request, bucketIndex int) {
	b := c.buckets[bucketIndex]
	if b == nil {
		b = &bucket{position: -1}
		c.buckets[bucketIndex] = b
	}
	b.weight = max(1, float64(r.Weight))
	if b.position < 0 {
		b.position = len(c.active)
		c.active = append(c.active, b)
	}
	r.bucket = b
	heap.Push(b, r)
	c.length++
	c.queuedSeconds += r.slotSeconds
}

func (c *teamQueue) remove(r *request) {
	b := r.bucket
	heap.Remove(b, r.index)
	r.bucket = nil
	c.length--
	c.queuedSeconds -= r.slotSeconds
	if c.length == 0 {
		// Discards accumulated rounding errors.
		c.queuedSeconds = 0
	}
	if len(b.requests) == 0 {
		c.deactivate(b)
	}
}

func (c *teamQueue) deactivate(b *bucket) {
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
func (c *teamQueue) largest() *bucket {
	var most *bucket
	for _, b := range c.active {
		if most == nil || len(b.requests) > len(most.requests) {
			most = b
		}
	}
	return most
}

// priorityQueue holds the queued requests of one priority. Those that can still meet the target latency go
// first: under overload, a slot spent on late work would make the next request late as well.
type priorityQueue struct {
	onTime teamQueue
	late   teamQueue
}

// teamQueueOf returns the queue that the request is in.
func (k *priorityQueue) teamQueueOf(r *request) *teamQueue {
	if r.late {
		return &k.late
	}
	return &k.onTime
}

func (k *priorityQueue) length() int {
	return k.onTime.length + k.late.length
}

// head returns the request whose turn it is, or nil.
func (k *priorityQueue) head() *request {
	if r := k.onTime.head(); r != nil {
		return r
	}
	return k.late.head()
}

// queue holds the requests that wait for a grant.
type queue struct {
	priorities [priority.Count]priorityQueue
	// credit is the slot time in seconds owed to a priority under its minimum share.
	credit [priority.Count]float64
	salt   uint64
}

func (q *queue) bucketOf(team string) int {
	// The salt is applied before a multiplication, so that other teams share a bucket in the next term.
	mixed := (xxhash.Sum64String(team) ^ q.salt*hashMultiplier) * hashMultiplier
	return int((mixed >> 32) % teamBuckets)
}

func (q *queue) length() int {
	total := 0
	for i := range q.priorities {
		total += q.priorities[i].length()
	}
	return total
}

func (q *queue) push(r *request) {
	q.priorities[r.Priority].teamQueueOf(r).push(r, q.bucketOf(r.Team))
}

// demote moves a request that can no longer meet its target behind those that can.
func (q *queue) demote(r *request) {
	q.remove(r)
	r.late = true
	r.due = r.Deadline
	q.push(r)
}

// removeGranted removes a request that is granted, and charges the deficit of its team's bucket.
func (q *queue) removeGranted(r *request) {
	r.bucket.deficit--
	q.remove(r)
}

func (q *queue) remove(r *request) {
	k := &q.priorities[r.Priority]
	k.teamQueueOf(r).remove(r)
	if k.length() == 0 {
		q.credit[r.Priority] = 0
	}
}

// next returns the request to serve next, or nil. A priority that is owed slot time under its minimum share
// goes first; otherwise the most urgent one does.
func (q *queue) next(cost *[priority.Count]float64) *request {
	for p := priority.Count - 1; p > 0; p-- {
		if q.credit[p] >= cost[p] && q.priorities[p].length() > 0 {
			return q.priorities[p].head()
		}
	}
	for p := range q.priorities {
		if r := q.priorities[p].head(); r != nil {
			return r
		}
	}
	return nil
}

// chargeSlotTime accounts for the slot time of a granted request: it credits every priority that has queued
// requests with its share of the time, and charges the priority of the request.
func (q *queue) chargeSlotTime(p priority.Priority, cost float64, shares *[priority.Count]float64) {
	for i := range q.priorities {
		if q.priorities[i].length() > 0 {
			q.credit[i] += shares[i] * cost
		}
	}
	q.credit[p] -= cost
	for i := range q.credit {
		// The debt is bounded, so that a priority that used idle capacity is not held back during a later
		// flood.
		q.credit[i] = min(max(q.credit[i], -cost), maxCredit*max(cost, minCost))
		if q.priorities[i].length() == 0 {
			q.credit[i] = 0
		}
	}
}

const (
	// hashMultiplier is the odd number next to 2^64 divided by the golden ratio.
	hashMultiplier = 0x9E3779B97F4A7C15
	// maxCredit bounds the owed slot time, in requests.
	maxCredit = 8
	// minCost is the least cost of a request in seconds. It keeps the credit meaningful for services
	// without measurements.
	minCost = 0.001
)

// secondsAhead returns the slot time in seconds of the requests that are certain to be served before a new
// one of the team.
func (q *queue) secondsAhead(p priority.Priority, team string) float64 {
	work := 0.0
	for i := range p {
		work += q.priorities[i].onTime.queuedSeconds + q.priorities[i].late.queuedSeconds
	}
	c := &q.priorities[p].onTime
	if len(c.active) == 1 && c.active[0] == c.buckets[q.bucketOf(team)] {
		// If other teams have queued requests as well, the order depends on the turns.
		work += c.queuedSeconds
	}
	return work
}

// evictionCandidate returns the queued request to refuse so that a request of the team may enter a full
// queue; nil if the new request itself is the one to refuse.
func (q *queue) evictionCandidate(p priority.Priority, team string) *request {
	c := &q.priorities[p].onTime
	if late := &q.priorities[p].late; late.length > 0 {
		c = late
	}
	most := c.largest()
	if most == nil || most == c.buckets[q.bucketOf(team)] {
		return nil
	}
	return most.newest()
}

// expired appends the queued requests that are too late, bucket heads first.
func (q *queue) expired(tooLate func(*request) bool, out []*request) []*request {
	for i := range q.priorities {
		out = q.priorities[i].onTime.expired(tooLate, out)
		out = q.priorities[i].late.expired(tooLate, out)
	}
	return out
}

func (c *teamQueue) expired(tooLate func(*request) bool, out []*request) []*request {
	for _, b := range c.active {
		for _, r := range b.requests {
			if tooLate(r) {
				out = append(out, r)
			}
		}
	}
	return out
}
