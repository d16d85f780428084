package soak

import (
	"context"
	"time"
)

const (
	sampleEvery = 50 * time.Millisecond
	// auditEvery is the least pause between two comparisons with the logs of the stand-ins.
	auditEvery = time.Second
	// auditShare bounds the share of time spent on these comparisons, as the logs grow.
	auditShare = 20
)

// watch samples the fleet until the context ends.
func (e *environment) watch(ctx context.Context) {
	seen := newRevisions()
	capacities := make([]*capacity, len(e.user.Services))
	for i, s := range e.user.Services {
		capacities[i] = newCapacity(s.GetName(), int(s.GetMinimumHealthyPercent()))
	}
	nextAudit := time.Now()
	for pause(ctx, sampleEvery) {
		e.sampleRevisions(seen)
		for _, c := range capacities {
			e.sampleCapacity(c)
		}
		if begin := time.Now(); begin.After(nextAudit) {
			e.judge.report(e.promises.audit(e.logs()))
			took := time.Since(begin)
			nextAudit = time.Now().Add(max(auditEvery, auditShare*took))
		}
	}
}

func (e *environment) sampleRevisions(seen *revisions) {
	for _, h := range e.fleet.Nodes {
		p := h.Process()
		if p == nil {
			continue
		}
		store := p.Node().Store
		// The readiness is read first, so that a revision that comes between the two does no harm.
		ready := store.Ready()
		e.judge.report(seen.see(h.ID, p, ready, store.Revision()))
		e.mu.Lock()
		e.counts.Revisions++
		e.mu.Unlock()
	}
}

func (e *environment) sampleCapacity(c *capacity) {
	for _, h := range e.fleet.Nodes {
		p := h.Process()
		if p == nil {
			c.gone(h.ID)
			continue
		}
		view, _, ok := p.Node().Dispatcher.View(c.service)
		if !ok {
			c.gone(h.ID)
			continue
		}
		e.judge.report(c.see(time.Now(), h.ID, view))
		e.mu.Lock()
		e.counts.Views++
		e.mu.Unlock()
	}
}
