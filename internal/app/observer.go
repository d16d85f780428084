package app

import (
	"github.com/tarragonmux/tarragonmux/internal/burn"
	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// burnObserver counts finished requests for the service-level report.
type burnObserver struct {
	recorder *burn.Recorder
}

// Observe implements entry.Observer. Requests whose caller disconnected are not counted, since they say
// nothing about the service.
func (b burnObserver) Observe(o entry.Observation) {
	if !o.Matched || o.Outcome == entry.OutcomeCallerGone {
		return
	}
	key := burn.Key{Service: o.Match.Service, Priority: o.Match.Priority}
	target := burn.Target{Latency: o.Match.TargetLatency, Share: o.Match.TargetShare}
	switch o.Outcome {
	case entry.OutcomeAnswered, entry.OutcomeReplayed:
		b.recorder.RecordResponse(key, target, o.Status, o.Latency)
	case entry.OutcomeBroken:
		b.recorder.RecordRefusal(key, target, problem.AnswerTruncated)
	default:
		b.recorder.RecordRefusal(key, target, problem.Kind(o.Outcome))
	}
}
