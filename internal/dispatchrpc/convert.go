package dispatchrpc

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/dispatch"
	"github.com/tarragonmux/tarragonmux/internal/grant"
	"github.com/tarragonmux/tarragonmux/internal/priority"
	"github.com/tarragonmux/tarragonmux/proto/dispatchpb"
)

func requestFromProto(now time.Time, a *dispatchpb.Acquire) dispatch.Request {
	return dispatch.Request{
		ID:          a.Id,
		Priority:    priority.FromProto(a.Priority),
		Team:        a.Team,
		Weight:      a.Weight,
		Deadline:    now.Add(time.Duration(a.DeadlineMs) * time.Millisecond),
		Kind:        a.Kind,
		Target:      time.Duration(a.TargetMs) * time.Millisecond,
		Fingerprint: a.Fingerprint,
		Idempotent:  a.Idempotent,
		Keyless:     a.Keyless,
		Exclude:     a.Exclude,
		Purpose:     purposesFromProto[a.Purpose],
	}
}

var purposesFromProto = map[dispatchpb.Purpose]grant.Purpose{
	dispatchpb.Purpose_PURPOSE_FIRST: grant.First,
	dispatchpb.Purpose_PURPOSE_RETRY: grant.Retry,
	dispatchpb.Purpose_PURPOSE_HEDGE: grant.Hedge,
}

func acquireToProto(now time.Time, id uint64, r *grant.Request) *dispatchpb.Acquire {
	return &dispatchpb.Acquire{
		Id:          id,
		Priority:    r.Priority.Proto(),
		Team:        r.Team,
		Weight:      r.Weight,
		DeadlineMs:  r.Deadline.Sub(now).Milliseconds(),
		Kind:        r.Kind,
		TargetMs:    r.Target.Milliseconds(),
		Fingerprint: r.Fingerprint,
		Idempotent:  r.Idempotent,
		Keyless:     r.Keyless,
		Exclude:     r.Exclude,
		Purpose:     dispatchpb.Purpose(r.Purpose),
	}
}

// The values of grant.Result and dispatchpb.Result are the same.
func completionFromProto(c *dispatchpb.Complete) grant.Completion {
	return grant.Completion{
		Result:    grant.Result(c.Result),
		FirstByte: time.Duration(c.FirstByteUs) * time.Microsecond,
		Total:     time.Duration(c.TotalUs) * time.Microsecond,
		ServerSignals: grant.ServerSignals{
			Draining: c.Draining, RateLimited: c.RateLimited, Rate: c.Rate,
			Pause: time.Duration(c.PauseMs) * time.Millisecond,
		},
	}
}

func completionToProto(id uint64, c grant.Completion) *dispatchpb.Complete {
	return &dispatchpb.Complete{
		Id:          id,
		Result:      dispatchpb.Result(c.Result),
		FirstByteUs: c.FirstByte.Microseconds(),
		TotalUs:     c.Total.Microseconds(),
		Draining:    c.Draining,
		RateLimited: c.RateLimited,
		Rate:        c.Rate,
		PauseMs:     c.Pause.Milliseconds(),
	}
}

func responseSignalsToProto(id uint64, s grant.ServerSignals) *dispatchpb.ResponseSignals {
	return &dispatchpb.ResponseSignals{
		Id: id, Draining: s.Draining, RateLimited: s.RateLimited, Rate: s.Rate, PauseMs: s.Pause.Milliseconds(),
	}
}

func responseSignalsFromProto(s *dispatchpb.ResponseSignals) grant.ServerSignals {
	return grant.ServerSignals{
		Draining: s.Draining, RateLimited: s.RateLimited, Rate: s.Rate, Pause: time.Duration(s.PauseMs) * time.Millisecond,
	}
}

// signalsFromProto returns what a server said about itself to a node, and when the last response arrived there.
func signalsFromProto(now time.Time, s *dispatchpb.ServerSignals) (signals grant.ServerSignals, arrived time.Time) {
	age := time.Duration(s.AgeMs) * time.Millisecond
	signals = grant.ServerSignals{Draining: s.Draining, RateLimited: s.RateLimited, Rate: s.Rate}
	if s.PauseLeftMs > 0 {
		signals.Pause = age + time.Duration(s.PauseLeftMs)*time.Millisecond
	}
	return signals, now.Add(-age)
}

func outstandingFromProto(now time.Time, hello *dispatchpb.Hello) []dispatch.Outstanding {
	list := make([]dispatch.Outstanding, 0, len(hello.Outstanding))
	for _, o := range hello.Outstanding {
		list = append(list, dispatch.Outstanding{
			ID:          o.Id,
			Instance:    o.Instance,
			Sent:        now.Add(-time.Duration(o.AgeMs) * time.Millisecond),
			Priority:    priority.FromProto(o.Priority),
			Idempotent:  o.Idempotent,
			Fingerprint: o.Fingerprint,
			FirstByte:   o.FirstByte,
		})
	}
	return list
}
