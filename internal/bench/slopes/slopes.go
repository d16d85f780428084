package slopes

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one figure at several sizes with its fitted line.
type Series struct {
	Role   string  `json:"role"`
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	// Intercept and Slope describe the fitted line.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// TargetSize is the size at the target, and AtTarget is the value of the fitted line there.
	TargetSize float64 `json:"target_size"`
	AtTarget   float64 `json:"at_target"`
}

// Options of a run.
type Options struct {
	// Duration is the intended total time of the run. It shortens the measurement of each fleet, but not below
	// minimumSpan; zero means full measurements.
	Duration time.Duration
	// Only runs the named group: configuration, dispatcher, today or fleet; empty runs all.
	Only string
	// Progress receives a line per measurement.
	Progress io.Writer
}

type seriesGroup struct {
	name string
	run  func(ctx context.Context, o Options) ([]Series, error)
}

func seriesGroups() []seriesGroup {
	return []seriesGroup{
		{"configuration", configurationSlopes},
		{"dispatcher", dispatcherSlopes},
		{"today", currentFleet},
		{"fleet", fleetSlopes},
	}
}

// Run measures all series of the selected groups. It fails if the group is unknown or a measurement fails,
// such as when a fleet does not start; series that were measured before are returned with the error.
func Run(ctx context.Context, o Options) ([]Series, error) {
	var all []Series
	known := false
	for _, g := range seriesGroups() {
		if o.Only != "" && o.Only != g.name {
			continue
		}
		known = true
		series, err := g.run(ctx, o)
		if err != nil {
			return all, errors.Wrapf(err, "measure %s", g.name)
		}
		all = append(all, series...)
	}
	if !known {
		return nil, errors.Errorf("unknown group %q; use configuration, dispatcher, today or fleet", o.Only)
	}
	return all, nil
}

func (o Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

// fit computes the line through the points and its value at the target size.
func (s Series) fit(target float64) Series {
	var sizes, values []float64
	for _, p := range s.Points {
		sizes = append(sizes, p.Size)
		values = append(values, p.Value)
	}
	s.Intercept, s.Slope = stat.LinearRegression(sizes, values, nil, false)
	s.TargetSize = target
	s.AtTarget = s.Intercept + s.Slope*target
	return s
}

func (s *Series) addPoint(size, value float64) {
	s.Points = append(s.Points, Point{Size: size, Value: value})
}

// singlePoint completes a series that is measured at one size only: it takes this size as the target, without
// extrapolation.
func (s Series) singlePoint() Series {
	s.TargetSize = s.Points[0].Size
	s.AtTarget = s.Points[0].Value
	s.Intercept = s.AtTarget
	return s
}
