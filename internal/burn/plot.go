package burn

import (
	"bytes"
	"image/color"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.4 * vg.Inch
)

var (
	shareColour  = color.RGBA{R: 0x20, G: 0x60, B: 0xa0, A: 0xff}
	targetColour = color.RGBA{R: 0xb0, A: 0xff}
)

// plot draws the share of good requests over time, with the target as a line.
func (l *Line) plot() (string, error) {
	p := plot.New()
	p.Y.Label.Text = "share good"
	p.X.Tick.Marker = plot.TimeTicks{Format: "02 Jan 15:04"}
	p.Y.Min, p.Y.Max = 0, 1
	line, points, err := plotter.NewLinePoints(l.shares())
	if err != nil {
		return "", errors.Wrap(err, "draw the burn plot")
	}
	line.Color = shareColour
	points.Shape = draw.CircleGlyph{}
	points.Radius = vg.Points(1.5)
	points.Color = shareColour
	p.Add(line, points)
	if l.TargetShare > 0 {
		target := plotter.NewFunction(func(float64) float64 { return l.TargetShare })
		target.Color = targetColour
		p.Add(target)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "write the burn plot")
	}
	// The SVG element is embedded in an HTML page, where the XML declaration before it is not allowed.
	svg := out.String()
	return svg[strings.Index(svg, "<svg"):], nil
}

func (l *Line) shares() plotter.XYs {
	var xys plotter.XYs
	for _, p := range l.Points {
		if p.Total > 0 {
			xys = append(xys, plotter.XY{X: float64(p.StartS), Y: float64(p.Good) / float64(p.Total)})
		}
	}
	if len(xys) == 0 {
		xys = plotter.XYs{{X: 0, Y: 0}}
	}
	return xys
}
