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
	floodMeasure = 5 * time.Second
	// urgentLoad is the urgent work, as a share of capacity, beside a flood of the lowest priority.
	urgentLoad     = 0.5
	urgentMetShare = 0.99
	// keptDemand is what the other priorities ask for while urgent work floods, above their shares.
	keptDemand    = 0.5
	keptTolerance = 0.1
	// teamLoad is what each of the teams but the flooding one asks for, as a share of capacity.
	teamLoad       = 0.07
	quietTeams     = 7
	teamKeptShare  = 0.95
	goodputShare   = 0.9
	overloadFactor = 2
	measureTeam    = 4 * time.Second
)

// backgroundFlood measures the urgent work that meets its target while background work floods.
func backgroundFlood(ctx context.Context, e *environment) ([]table.Row, error) {
	e.slowWork()
	l := e.load(ctx, nil, e.class(urgent, urgentLoad*e.capacity()), e.class(background, floodFactor*e.capacity()))
	time.Sleep(settle)
	l.measure(e.span(floodMeasure))
	c := l.Stats(urgent).Counts()
	p99 := l.Stats(urgent).Latency(99)
	l.stop()
	share := ratio(c.Good, c.Sent)
	return []table.Row{{
		Measure: "urgent work within its target while background floods at 4 times capacity", User: e.user.Name,
		Target: "99 in 100", Value: share, Unit: "of 1", Met: share >= urgentMetShare,
		Note: fmt.Sprintf("%d sent, p99 %s", c.Sent, p99.Round(time.Millisecond)),
	}}, nil
}

func ratio(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// urgentFlood measures the slot time that the other priorities keep while urgent work floods.
func urgentFlood(ctx context.Context, e *environment) ([]table.Row, error) {
	e.slowWork()
	l := e.load(ctx, nil,
		e.class(urgent, floodFactor*e.capacity()),
		e.class(normal, keptDemand*e.capacity()),
		e.class(background, keptDemand*e.capacity()))
	time.Sleep(settle)
	span := e.span(floodMeasure)
	l.measure(span)
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
			Met:  math.Abs(kept/configured-1) <= keptTolerance,
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

// teamFlood measures what other teams keep while one team floods at the same priority.
func teamFlood(ctx context.Context, e *environment) ([]table.Row, error) {
	e.slowWork()
	quiet := e.class(normal, teamLoad*quietTeams*e.capacity())
	quiet.Teams = quiet.Teams[:quietTeams]
	flood := e.class(normal, 0)
	flood.Name = "flood"
	flood.Teams = []string{scenario.FloodTeam}
	l := e.load(ctx, nil, quiet, flood)
	time.Sleep(settle)
	span := e.span(measureTeam)
	l.measure(span)
	before := goodput(l, normal, span)
	l.SetRate("flood", floodFactor*e.capacity())
	time.Sleep(settle)
	l.measure(span)
	after := goodput(l, normal, span)
	l.stop()
	kept := after / max(before, 1)
	return []table.Row{{
		Measure: "other teams' goodput while one team floods, over what they had", User: e.user.Name,
		Target: "over 0.95", Value: kept, Unit: "of 1", Met: kept > teamKeptShare,
		Note: fmt.Sprintf("%.0f/s before, %.0f/s during", before, after),
	}}, nil
}

// goodput returns the answers a second within the target.
func goodput(l *loading, class string, span time.Duration) float64 {
	return float64(l.Stats(class).Counts().Good) / span.Seconds()
}

// overload measures the goodput at twice the capacity against what the slots could serve.
func overload(ctx context.Context, e *environment) ([]table.Row, error) {
	e.slowWork()
	rate := overloadFactor * e.capacity() / 3
	var classes []load.Class
	for _, name := range []string{urgent, normal, background} {
		classes = append(classes, e.class(name, rate))
	}
	l := e.load(ctx, nil, classes...)
	time.Sleep(settle)
	span := e.span(floodMeasure)
	l.measure(span)
	total := 0.0
	for _, c := range classes {
		total += goodput(l, c.Name, span)
	}
	l.stop()
	share := total / e.capacity()
	return []table.Row{{
		Measure: "goodput at twice the capacity against the best possible", User: e.user.Name,
		Target: "over 0.9", Value: share, Unit: "of 1", Met: share > goodputShare,
		Note: fmt.Sprintf("%.0f/s of %.0f/s", total, e.capacity()),
	}}, nil
}
