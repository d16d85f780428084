package decisions

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/bench/load"
	"github.com/tarragonmux/tarragonmux/internal/bench/scenario"
	"github.com/tarragonmux/tarragonmux/internal/bench/table"
	"github.com/tarragonmux/tarragonmux/internal/priority"
)

const (
	floodMeasurementTime = 5 * time.Second
	// urgentLoad is the rate of urgent work during a flood of background work, as a share of capacity.
	urgentLoad        = 0.5
	urgentTargetShare = 0.99
	// otherPriorityLoad is the rate of each other priority during a flood of urgent work, as a share of
	// capacity. It is above their minimum shares.
	otherPriorityLoad = 0.5
	shareTolerance    = 0.1
	// teamLoad is the rate of each team other than the flooding one, as a share of capacity.
	teamLoad            = 0.07
	otherTeams          = 7
	teamKeptTarget      = 0.95
	goodputTarget       = 0.9
	overloadFactor      = 2
	teamMeasurementTime = 4 * time.Second
)

// backgroundFlood measures the share of urgent work that meets its target during a flood of background work.
func backgroundFlood(ctx context.Context, e *environment) ([]table.Row, error) {
	e.lengthenWork()
	l := e.startLoad(ctx, nil, e.class(urgent, urgentLoad*e.capacity()), e.class(background, floodFactor*e.capacity()))
	time.Sleep(settleTime)
	l.measureFor(e.scaleDuration(floodMeasurementTime))
	c := l.Stats(urgent).Counts()
	p99 := l.Stats(urgent).Latency(99)
	l.stop()
	share := ratio(c.Good, c.Sent)
	return []table.Row{{
		Measure: "urgent work within its target while background floods at 4 times capacity", User: e.user.Name,
		Target: "99 in 100", Value: share, Unit: "of 1", Met: share >= urgentTargetShare,
		Note: fmt.Sprintf("%d sent, p99 %s", c.Sent, p99.Round(time.Millisecond)),
	}}, nil
}

func ratio(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// urgentFlood measures the share of served requests that the other priorities keep during a flood of urgent
// work. All requests have the same mean work time, so this is also their share of slot time.
func urgentFlood(ctx context.Context, e *environment) ([]table.Row, error) {
	e.lengthenWork()
	l := e.startLoad(ctx, nil,
		e.class(urgent, floodFactor*e.capacity()),
		e.class(normal, otherPriorityLoad*e.capacity()),
		e.class(background, otherPriorityLoad*e.capacity()))
	time.Sleep(settleTime)
	span := e.scaleDuration(floodMeasurementTime)
	l.measureFor(span)
	served := map[string]uint64{}
	total := uint64(0)
	for _, name := range []string{urgent, normal, background} {
		served[name] = l.Stats(name).Counts().OK
		total += served[name]
	}
	l.stop()
	var rows []table.Row
	for _, name := range []string{normal, background} {
		configured := e.minimumShare(name)
		kept := ratio(served[name], total)
		rows = append(rows, table.Row{
			Measure: name + " work's kept share while urgent floods at 4 times capacity, over the configured share",
			User:    e.user.Name, Target: "1, within a tenth", Value: kept / configured, Unit: "of 1",
			Met:  math.Abs(kept/configured-1) <= shareTolerance,
			Note: fmt.Sprintf("kept %.3f of %.3f; %.0f answers/s in all, capacity %.0f", kept, configured, float64(total)/span.Seconds(), e.capacity()),
		})
	}
	return rows, nil
}

func (e *environment) minimumShare(class string) float64 {
	for _, s := range e.user.Services {
		if s.GetName() != e.service {
			continue
		}
		for _, t := range s.GetPriorities() {
			if priority.FromProto(t.GetPriority()).String() == class {
				return t.GetMinimumShare()
			}
		}
	}
	return 0
}

// teamFlood measures how much goodput other teams keep during a flood by one team at the same priority.
func teamFlood(ctx context.Context, e *environment) ([]table.Row, error) {
	e.lengthenWork()
	others := e.class(normal, teamLoad*otherTeams*e.capacity())
	others.Teams = others.Teams[:otherTeams]
	flood := e.class(normal, 0)
	flood.Name = "flood"
	flood.Teams = []string{scenario.FloodTeam}
	l := e.startLoad(ctx, nil, others, flood)
	time.Sleep(settleTime)
	span := e.scaleDuration(teamMeasurementTime)
	l.measureFor(span)
	before := goodput(l, normal, span)
	l.SetRate("flood", floodFactor*e.capacity())
	time.Sleep(settleTime)
	l.measureFor(span)
	after := goodput(l, normal, span)
	l.stop()
	kept := after / max(before, 1)
	return []table.Row{{
		Measure: "other teams' goodput while one team floods, over what they had", User: e.user.Name,
		Target: "over 0.95", Value: kept, Unit: "of 1", Met: kept > teamKeptTarget,
		Note: fmt.Sprintf("%.0f/s before, %.0f/s during", before, after),
	}}, nil
}

// goodput returns the responses per second that met the target.
func goodput(l *backgroundLoad, class string, span time.Duration) float64 {
	return float64(l.Stats(class).Counts().Good) / span.Seconds()
}

// overload measures the goodput at a load of twice the capacity, relative to the capacity.
func overload(ctx context.Context, e *environment) ([]table.Row, error) {
	e.lengthenWork()
	rate := overloadFactor * e.capacity() / 3
	var classes []load.Class
	for _, name := range []string{urgent, normal, background} {
		classes = append(classes, e.class(name, rate))
	}
	l := e.startLoad(ctx, nil, classes...)
	time.Sleep(settleTime)
	span := e.scaleDuration(floodMeasurementTime)
	l.measureFor(span)
	total := 0.0
	for _, c := range classes {
		total += goodput(l, c.Name, span)
	}
	l.stop()
	share := total / e.capacity()
	return []table.Row{{
		Measure: "goodput at twice the capacity against the best possible", User: e.user.Name,
		Target: "over 0.9", Value: share, Unit: "of 1", Met: share > goodputTarget,
		Note: fmt.Sprintf("%.0f/s of %.0f/s", total, e.capacity()),
	}}, nil
}
