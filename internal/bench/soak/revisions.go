package soak

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
)

// revisions checks that no node's revision in force falls.
type revisionChecker struct {
	// lives holds the last revision of each life of a process.
	byProcess map[any]uint64
	// hosts holds the newest revision that each host had in force while it was ready.
	byHost map[string]uint64
}

func newRevisionChecker() *revisionChecker {
	return &revisionChecker{byProcess: map[any]uint64{}, byHost: map[string]uint64{}}
}

// see takes a node's revision in force. The life identifies the run of its process.
func (r *revisionChecker) observe(host string, process any, ready bool, revision uint64) *finding {
	if revision < r.byProcess[process] {
		return newFinding(CheckRevision, "%s had revision %d in force and now has %d, without a restart", host, r.byProcess[process], revision)
	}
	r.byProcess[process] = revision
	if !ready {
		return nil
	}
	if revision < r.byHost[host] {
		return newFinding(CheckRevision, "%s had revision %d in force before its restart and is ready with %d", host, r.byHost[host], revision)
	}
	r.byHost[host] = revision
	return nil
}

const (
	// returnBound is how long ejected servers may stay out while the healthy capacity is below the
	// minimum. The design says "at once"; the bound is its limit for a change of dispatcher.
	maxTimeBelowMinimum = time.Second
	minimumPercent      = 100
)

// capacity checks one service's views by its dispatchers. It computes the capacities itself.
type capacityChecker struct {
	service string
	// percent is the configured minimum.
	percent int
	// below holds, by dispatcher, since when the minimum is not kept.
	belowSince map[string]time.Time
}

func newCapacityChecker(service string, minimumPercent int) *capacityChecker {
	return &capacityChecker{service: service, percent: minimumPercent, belowSince: map[string]time.Time{}}
}

// see takes the view of a node that dispatches the service.
func (c *capacityChecker) observe(now time.Time, host string, v dispatch.View) *finding {
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
	minimum := (announced*c.percent + minimumPercent - 1) / minimumPercent
	if healthy >= minimum || out == "" {
		delete(c.belowSince, host)
		return nil
	}
	since, known := c.belowSince[host]
	if !known {
		c.belowSince[host] = now
		return nil
	}
	if now.Sub(since) < maxTimeBelowMinimum {
		return nil
	}
	return newFinding(CheckMinimumCapacity, "%s keeps %s of %s out of rotation for %v with %d healthy slots of at least %d", host, out, c.service, now.Sub(since).Round(time.Millisecond), healthy, minimum)
}

// gone forgets a host that does not dispatch the service.
func (c *capacityChecker) forgetHost(host string) { delete(c.belowSince, host) }
