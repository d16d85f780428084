package dispatch

import (
	"slices"
	"time"
)

// UnusedAfter is how long a usable server must be without a grant to count as unused.
const UnusedAfter = 2 * time.Second

// ServerCounts counts the usable servers of a service by the reason why they get less work or none, for
// logs and metrics.
type ServerCounts struct {
	// Usable servers announce themselves as ready for work; Out of them are not in rotation.
	Usable, Out int
	// Probation and Held are the servers that wait for the end of an ejection or of a hold after a crash,
	// and Canary those that are due for a canary or running one.
	Probation, Held, Canary int
	// Spared, Limited, Avoided and Doubted servers are in rotation and get work last, or less of it. Spared
	// servers are the deprioritized ones (server.deprioritizedUntil), and Doubted servers those under
	// suspicion. One server may count in several of them.
	Spared, Limited, Avoided, Doubted int
	// UnusedOutOfRotation and UnusedInRotation are the servers without a grant for UnusedAfter.
	UnusedOutOfRotation, UnusedInRotation int
	// OutLongest and OutMedian are how long the servers that are out of rotation have been out.
	OutLongest, OutMedian time.Duration
	// LongestUntested is the longest time since the last grant to a server that is out of rotation.
	LongestUntested time.Duration
}

// CountServers returns the current counts.
func (m *Machine) CountServers(now time.Time) ServerCounts {
	c := ServerCounts{}
	var out []time.Duration
	for _, s := range m.servers {
		if !s.usable(now) {
			continue
		}
		c.Usable++
		unused := now.Sub(s.idleSince()) >= UnusedAfter && len(s.inflight) == 0
		if s.state == inRotation {
			c.addInRotation(now, s, unused)
			continue
		}
		c.Out++
		c.addOutOfRotation(s, unused)
		out = append(out, now.Sub(s.outSince))
		c.LongestUntested = max(c.LongestUntested, now.Sub(s.idleSince()))
	}
	c.OutMedian = median(out)
	if len(out) > 0 {
		c.OutLongest = slices.Max(out)
	}
	return c
}

// merge adds the counts of another dispatcher of the same service. The median becomes the larger one.
func (c *ServerCounts) merge(o *ServerCounts) {
	c.Usable += o.Usable
	c.Out += o.Out
	c.Probation += o.Probation
	c.Held += o.Held
	c.Canary += o.Canary
	c.Spared += o.Spared
	c.Limited += o.Limited
	c.Avoided += o.Avoided
	c.Doubted += o.Doubted
	c.UnusedOutOfRotation += o.UnusedOutOfRotation
	c.UnusedInRotation += o.UnusedInRotation
	c.OutLongest = max(c.OutLongest, o.OutLongest)
	c.OutMedian = max(c.OutMedian, o.OutMedian)
	c.LongestUntested = max(c.LongestUntested, o.LongestUntested)
}

func (c *ServerCounts) addInRotation(now time.Time, s *server, unused bool) {
	count := func(n *int, matches bool) {
		if matches {
			*n++
		}
	}
	count(&c.Spared, now.Before(s.deprioritizedUntil))
	count(&c.Limited, now.Before(s.limitedUntil))
	count(&c.Avoided, now.Before(s.avoidedUntil))
	count(&c.Doubted, s.underSuspicion)
	count(&c.UnusedInRotation, unused)
}

func (c *ServerCounts) addOutOfRotation(s *server, unused bool) {
	switch s.state {
	case ejectedServer:
		c.Probation++
	case heldAfterCrash:
		c.Held++
	default:
		c.Canary++
	}
	if unused {
		c.UnusedOutOfRotation++
	}
}

// idleSince is when the server got its latest request, or when the dispatcher started to use it.
func (s *server) idleSince() time.Time {
	if s.lastGrant.After(s.knownSince) {
		return s.lastGrant
	}
	return s.knownSince
}
