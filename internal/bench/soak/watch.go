package soak

import (
	"context"
	"time"
)

const (
	sampleInterval = 50 * time.Millisecond
	// minAuditPause is the minimum pause between two audits of the logs of the stand-ins.
	minAuditPause = time.Second
	// auditPauseFactor is the ratio of the pause after an audit to the audit's duration. It bounds the share
	// of time spent on audits as the logs grow.
	auditPauseFactor = 20
)

// monitor samples the fleet and audits the logs of the stand-ins until the context ends.
func (e *environment) monitor(ctx context.Context) {
	revisions := newRevisionChecker()
	capacities := make([]*capacityChecker, len(e.user.Services))
	for i, s := range e.user.Services {
		capacities[i] = newCapacityChecker(s.GetName(), int(s.GetMinimumHealthyPercent()))
	}
	nextAudit := time.Now()
	for pause(ctx, sampleInterval) {
		e.sampleRevisions(revisions)
		for _, c := range capacities {
			e.sampleCapacity(c)
		}
		if begin := time.Now(); begin.After(nextAudit) {
			e.recorder.reportFinding(e.outcomes.auditLogs(e.serverLogs()))
			took := time.Since(begin)
			nextAudit = time.Now().Add(max(minAuditPause, auditPauseFactor*took))
		}
	}
}

func (e *environment) sampleRevisions(checker *revisionChecker) {
	for _, h := range e.fleet.Nodes {
		p := h.Process()
		if p == nil {
			continue
		}
		store := p.Node().Store
		// Readiness is read before the revision. Otherwise, if the node became ready between the two reads, the
		// older revision would be checked as that of a ready node.
		ready := store.Ready()
		e.recorder.reportFinding(checker.observe(h.ID, p, ready, store.Revision()))
		e.mu.Lock()
		e.counts.Revisions++
		e.mu.Unlock()
	}
}

func (e *environment) sampleCapacity(checker *capacityChecker) {
	for _, h := range e.fleet.Nodes {
		p := h.Process()
		if p == nil {
			checker.forgetHost(h.ID)
			continue
		}
		view, _, ok := p.Node().Dispatcher.View(checker.service)
		if !ok {
			checker.forgetHost(h.ID)
			continue
		}
		e.recorder.reportFinding(checker.observe(time.Now(), h.ID, view))
		e.mu.Lock()
		e.counts.Views++
		e.mu.Unlock()
	}
}
