package baseline

import (
	"sync"
	"time"
)

// Counts tracks how many requests each server has in flight.
type Counts interface {
	// Add changes the count of a server.
	Add(now time.Time, instance string, delta int)
	// InFlight returns the known count of a server.
	InFlight(now time.Time, instance string) int
}

// OwnCounts counts the requests of one node. It is not safe for concurrent use by itself; a Source guards
// it.
type OwnCounts map[string]int

// Add changes the count of a server.
func (c OwnCounts) Add(_ time.Time, instance string, delta int) { c[instance] += delta }

// InFlight returns the count of a server.
func (c OwnCounts) InFlight(_ time.Time, instance string) int { return c[instance] }

// SharedCounts counts the requests of all nodes. Readers see values that are up to the delay old. It is
// safe for concurrent use.
type SharedCounts struct {
	delay       time.Duration
	mu          sync.Mutex
	exact       map[string]int
	visible     map[string]int
	refreshedAt time.Time
}

// NewSharedCounts returns counts that readers see with the delay.
func NewSharedCounts(delay time.Duration) *SharedCounts {
	return &SharedCounts{delay: delay, exact: map[string]int{}, visible: map[string]int{}}
}

// Add changes the count of a server.
func (c *SharedCounts) Add(now time.Time, instance string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exact[instance] += delta
	c.refresh(now)
}

// InFlight returns the count of a server as of the last refresh.
func (c *SharedCounts) InFlight(now time.Time, instance string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(now)
	return c.visible[instance]
}

func (c *SharedCounts) refresh(now time.Time) {
	if now.Sub(c.refreshedAt) < c.delay {
		return
	}
	c.refreshedAt = now
	for instance, count := range c.exact {
		c.visible[instance] = count
	}
}
