package soak

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
)

// revisions checks that no node's revision in force falls.
type revisions struct {
	// lives holds the last revision of each life of a process.
	lives map[any]uint64
	// hosts holds the newest revision that each host had in force while it was ready.
	hosts map[string]uint64
}

func newRevisions() *revisions {
	return &revisions{lives: map[any]uint64{}, hosts: map[string]uint64{}}
}

// see takes a node's revision in force. The life identifies the run of its process.
func (r *revisions) see(host string, life any, ready bool, revision uint64) *finding {
	if revision < r.lives[life] {
		return found(CheckRevision, "%s had revision %d in force and now has %d, without a restart", host, r.lives[life], revision)
	}
	r.lives[life] = revision
	if !ready {
		return nil
	}
	if revision < r.hosts[host] {
		return found(CheckRevision, "%s had revision %d in force before its restart and is ready with %d", host, r.hosts[host], revision)
	}
	r.hosts[host] = revision
	return nil
}

const (
	// returnBound is how long ejected servers may stay out while the healthy capacity is below the
	// minimum. The design says "at once"; the bound is its limit for a change of dispatcher.
	returnBound = time.Second
	percent     = 100
)

// capacity checks one service's views by its dispatchers. It computes the capacities itself.
type capacity struct {
	service string
	// percent is the configured minimum.
	percent int
	// below holds, by dispatcher, since when the minimum is not kept.
	below map[string]time.Time
}

func newCapacity(service string, percent int) *capacity {
	return &capacity{service: service, percent: percent, below: map[string]time.Time{}}
}

// see takes the view of a node that dispatches the service.
func (c *capacity) see(now time.Time, host string, v dispatch.View) *finding {
	healthy, announced, out := 0, 0, ""
	for _, s := range v.Servers {
		announced += s.Slots
		if s.LeaseLeft <= 0 {
			continue
		}
		switch s.State {
		case dispatch.ViewReady, dispatch.ViewSuspect:
			healthy += s.Slots
		case dispatch.ViewEjected, dispatch.ViewProbation, dispatch.ViewCrashed:
			out = s.Instance
		}
	}
	minimum := (announced*c.percent + percent - 1) / percent
	if healthy >= minimum || out == "" {
		delete(c.below, host)
		return nil
	}
	since, known := c.below[host]
	if !known {
		c.below[host] = now
		return nil
	}
	if now.Sub(since) < returnBound {
		return nil
	}
	return found(CheckCapacity, "%s keeps %s of %s out of rotation for %v with %d healthy slots of at least %d", host, out, c.service, now.Sub(since).Round(time.Millisecond), healthy, minimum)
}

// gone forgets a host that does not dispatch the service.
func (c *capacity) gone(host string) { delete(c.below, host) }
