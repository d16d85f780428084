package queue

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmux/tarragonmux/internal/priority"
)

const (
	// teamBuckets bounds the fairness state of one priority.
	teamBuckets = 1024
	// maxQueuedPerSlot limits the queue of one priority per announced slot.
	maxQueuedPerSlot = 50
	// minQueueLimit is the smallest limit of the queue of one priority.
	minQueueLimit = 256
)

// Limit returns how many requests of one priority may be queued, given the announced slots of the service.
func Limit(announcedSlots int) int {
	return max(minQueueLimit, maxQueuedPerSlot*announcedSlots)
}

// Item is the record of one request in a Queue. Its fields must not change while it is queued.
type Item[T any] struct {
	// Owner is the record of the request that contains the item.
	Owner *T
	// ID orders requests that arrived at the same time.
	ID       uint64
	Priority priority.Priority
	Team     string
	// Weight is the weight of the team; 0 means 1.
	Weight  uint32
	Arrived time.Time
	// Due is the time by which the response is expected: the target latency after the arrival, or the
	// deadline once the request is late.
	Due time.Time
	// SlotSeconds is the slot time that the request is expected to take.
	SlotSeconds float64
	late        bool
	// bucket and index are the position in the queue.
	bucket *bucket[T]
	index  int
}

// Late reports whether Demote was called for the request.
func (r *Item[T]) Late() bool { return r.late }

// bucket holds the queued requests of the teams that share one hash value, the earliest due time first.
type bucket[T any] struct {
	requests []*Item[T]
	weight   float64
	deficit  float64
	// position is the index in teamQueue.active, or -1.
	position int
}

func (b *bucket[T]) Len() int { return len(b.requests) }

func (b *bucket[T]) Less(i, j int) bool {
	return b.requests[i].Due.Before(b.requests[j].Due)
}

func (b *bucket[T]) Swap(i, j int) {
	b.requests[i], b.requests[j] = b.requests[j], b.requests[i]
	b.requests[i].index = i
	b.requests[j].index = j
}

func (b *bucket[T]) Push(x any) {
	r := x.(*Item[T])
	r.index = len(b.requests)
	b.requests = append(b.requests, r)
}

func (b *bucket[T]) Pop() any {
	last := len(b.requests) - 1
	r := b.requests[last]
	b.requests[last] = nil
	b.requests = b.requests[:last]
	return r
}

func (b *bucket[T]) newest() *Item[T] {
	newest := b.requests[0]
	for _, r := range b.requests[1:] {
		if r.Arrived.After(newest.Arrived) || r.Arrived.Equal(newest.Arrived) && r.ID > newest.ID {
			newest = r
		}
	}
	return newest
}

// teamQueue is a queue with deficit round robin over the buckets.
type teamQueue[T any] struct {
	buckets [teamBuckets]*bucket[T]
	active  []*bucket[T]
	cursor  int
	length  int
	// queuedSeconds is the slot time that the queued requests are expected to take.
	queuedSeconds float64
}

// head returns the request whose turn it is, or nil.
func (c *teamQueue[T]) head() *Item[T] {
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

func (c *teamQueue[T]) push(r *Item[T], bucketIndex int) {
	b := c.buckets[bucketIndex]
	if b == nil {
		b = &bucket[T]{position: -1}
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
	c.queuedSeconds += r.SlotSeconds
}

func (c *teamQueue[T]) remove(r *Item[T]) {
	b := r.bucket
	heap.Remove(b, r.index)
	r.bucket = nil
	c.length--
	c.queuedSeconds -= r.SlotSeconds
	if c.length == 0 {
		// Discards accumulated rounding errors.
		c.queuedSeconds = 0
	}
	if len(b.requests) == 0 {
		c.deactivate(b)
	}
}

func (c *teamQueue[T]) deactivate(b *bucket[T]) {
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
func (c *teamQueue[T]) largest() *bucket[T] {
	var most *bucket[T]
	for _, b := range c.active {
		if most == nil || len(b.requests) > len(most.requests) {
			most = b
		}
	}
	return most
}

// priorityQueue holds the queued requests of one priority. Those that can still meet the target latency go
// first: under overload, a slot spent on late work would make the next request late as well.
type priorityQueue[T any] struct {
	onTime teamQueue[T]
	late   teamQueue[T]
}

// teamQueueOf returns the queue that the request is in.
func (k *priorityQueue[T]) teamQueueOf(r *Item[T]) *teamQueue[T] {
	if r.late {
		return &k.late
	}
	return &k.onTime
}

func (k *priorityQueue[T]) length() int {
	return k.onTime.length + k.late.length
}

// head returns the request whose turn it is, or nil.
func (k *priorityQueue[T]) head() *Item[T] {
	if r := k.onTime.head(); r != nil {
		return r
	}
	return k.late.head()
}

// Queue holds the requests that wait for a grant, each owned by a T. The zero value is empty. It is not safe for
// concurrent use.
type Queue[T any] struct {
	priorities [priority.Count]priorityQueue[T]
	// credit is the slot time in seconds owed to a priority under its minimum share.
	credit [priority.Count]float64
	// Salt is mixed into the hash of team names. It may change only while the queue is empty.
	Salt uint64
}

func (q *Queue[T]) bucketOf(team string) int {
	// The salt is applied before a multiplication, so that other teams share a bucket in the next term.
	mixed := (xxhash.Sum64String(team) ^ q.Salt*hashMultiplier) * hashMultiplier
	return int((mixed >> 32) % teamBuckets)
}

// Length returns the number of queued requests.
func (q *Queue[T]) Length() int {
	total := 0
	for i := range q.priorities {
		total += q.priorities[i].length()
	}
	return total
}

// LengthOf returns the number of queued requests of one priority.
func (q *Queue[T]) LengthOf(p priority.Priority) int {
	return q.priorities[p].length()
}

// Push queues a request.
func (q *Queue[T]) Push(r *Item[T]) {
	q.priorities[r.Priority].teamQueueOf(r).push(r, q.bucketOf(r.Team))
}

// Demote moves a request that can no longer meet its target behind those that can. It is then due at its
// deadline.
func (q *Queue[T]) Demote(r *Item[T], deadline time.Time) {
	q.Remove(r)
	r.late = true
	r.Due = deadline
	q.Push(r)
}

// RemoveGranted removes a request that is granted, and charges the deficit of its team's bucket.
func (q *Queue[T]) RemoveGranted(r *Item[T]) {
	r.bucket.deficit--
	q.Remove(r)
}

// Remove removes a queued request that is not granted.
func (q *Queue[T]) Remove(r *Item[T]) {
	k := &q.priorities[r.Priority]
	k.teamQueueOf(r).remove(r)
	if k.length() == 0 {
		q.credit[r.Priority] = 0
	}
}

// Next returns the request to serve next, or nil. A priority that is owed slot time under its minimum share
// goes first; otherwise the most urgent one does. cost is the mean slot time in seconds of a request of each
// priority.
func (q *Queue[T]) Next(cost *[priority.Count]float64) *T {
	for p := priority.Count - 1; p > 0; p-- {
		if q.credit[p] >= cost[p] && q.priorities[p].length() > 0 {
			return q.priorities[p].head().Owner
		}
	}
	for p := range q.priorities {
		if r := q.priorities[p].head(); r != nil {
			return r.Owner
		}
	}
	return nil
}

// ChargeSlotTime accounts for the slot time of a granted request, cost in seconds: it credits every priority
// that has queued requests with its share of the time, from 0 to 1, and charges the priority of the request.
func (q *Queue[T]) ChargeSlotTime(p priority.Priority, cost float64, shares *[priority.Count]float64) {
	for i := range q.priorities {
		if q.priorities[i].length() > 0 {
			q.credit[i] += shares[i] * cost
		}
	}
	q.credit[p] -= cost
	for i := range q.credit {
		// The debt is bounded, so that a priority that used idle capacity is not held back during a later
		// flood.
		q.credit[i] = min(max(q.credit[i], -cost), maxCredit*max(cost, MinCost))
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
	// MinCost is the least cost of a request in seconds. It keeps the credit meaningful for services
	// without measurements.
	MinCost = 0.001
)

// SecondsAhead returns the slot time in seconds of the requests that are certain to be served before a new
// one of the team.
func (q *Queue[T]) SecondsAhead(p priority.Priority, team string) float64 {
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

// EvictionCandidate returns the queued request to refuse so that a request of the team may enter a full
// queue; nil if the new request itself is the one to refuse.
func (q *Queue[T]) EvictionCandidate(p priority.Priority, team string) *T {
	c := &q.priorities[p].onTime
	if late := &q.priorities[p].late; late.length > 0 {
		c = late
	}
	most := c.largest()
	if most == nil || most == c.buckets[q.bucketOf(team)] {
		return nil
	}
	return most.newest().Owner
}

// Expired appends the queued requests that are too late, bucket heads first.
func (q *Queue[T]) Expired(tooLate func(*T) bool, out []*T) []*T {
	for i := range q.priorities {
		out = q.priorities[i].onTime.expired(tooLate, out)
		out = q.priorities[i].late.expired(tooLate, out)
	}
	return out
}

func (c *teamQueue[T]) expired(tooLate func(*T) bool, out []*T) []*T {
	for _, b := range c.active {
		for _, r := range b.requests {
			if tooLate(r.Owner) {
				out = append(out, r.Owner)
			}
		}
	}
	return out
}
