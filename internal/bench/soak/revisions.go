package soak

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
)

// revisionChecker checks that the revision in force on a node never decreases.
type revisionChecker struct {
	// byProcess holds the last revision that each process had in force, by the identity of the process.
	byProcess map[any]uint64
	// byHost holds the newest revision that each host had in force while it was ready.
	byHost map[string]uint64
}

func newRevisionChecker() *revisionChecker {
	return &revisionChecker{byProcess: map[any]uint64{}, byHost: map[string]uint64{}}
}

// observe checks a node's revision in force. A restarted node has a different process.
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
	// maxTimeBelowMinimum is how long servers may stay out of rotation while the healthy capacity is below the
	// minimum. The design requires their immediate return; the bound is the design's limit for a change of
	// dispatcher.
	maxTimeBelowMinimum = time.Second
	percent             = 100
)

// capacityChecker checks the views that dispatchers have of one service. It computes the capacities itself
// instead of using the dispatcher's figures.
type capacityChecker struct {
	service string
	// minimumPercent is the configured minimum healthy capacity.
	minimumPercent int
	// belowSince holds, by dispatcher host, since when the healthy capacity has been below the minimum.
	belowSince map[string]time.Time
}

func newCapacityChecker(service string, minimumPercent int) *capacityChecker {
	return &capacityChecker{service: service, minimumPercent: minimumPercent, belowSince: map[string]time.Time{}}
}

// observe checks the view of a node that dispatches the service.
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
	minimum := (announced*c.minimumPercent + percent - 1) / percent
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

// forgetHost discards the state of a host that does not dispatch the service.
func (c *capacityChecker) forgetHost(host string) { delete(c.belowSince, host) }
